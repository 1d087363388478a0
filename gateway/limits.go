package gateway

import (
	"math"

	"lovageshift"
	"lovageshift/placement"
	"lovageshift/platform"
	"lovageshift/wire"
)

// limitUnits is the number of units in one request per second in messages.
const limitUnits = 1000

// recordLimit records the limit that the response of the slot's target names or leaves out. A rejection may leave it out
// while it is in force, and one that another target gave at the address tells nothing.
func (r *request) recordLimit(slot *placement.Slot, response platform.ResponseHeader) {
	if response.Misdirected || response.NotRun && !response.HasLimit {
		return
	}
	g := r.gateway
	limit := placement.Limit{PerSecond: response.Limit, Named: response.HasLimit}
	if g.scheduler.RecordLimit(g.clock.Now(), slot, limit) {
		g.log.Info("targetLimit", "target", slot.Target.ID, "named", limit.Named, "perSecond", limit.PerSecond,
			"request", r.headers.ID, "notRun", response.NotRun)
	}
}

func limitMessages(reports []placement.LimitReport) []*wire.TargetLimit {
	var messages []*wire.TargetLimit
	for _, report := range reports {
		messages = append(messages, &wire.TargetLimit{
			Target: uint32(report.Target), Born: report.Born, Ended: !report.Named, AgeMillis: uint32(report.Age),
			LimitMilli: uint32(min(report.PerSecond*limitUnits, math.MaxUint32)),
		})
	}
	return messages
}

func limitReports(messages []*wire.TargetLimit) []placement.LimitReport {
	var reports []placement.LimitReport
	for _, message := range messages {
		reports = append(reports, placement.LimitReport{
			Limit:  placement.Limit{PerSecond: float64(message.LimitMilli) / limitUnits, Named: !message.Ended},
			Target: placement.TargetHash(message.Target), Born: message.Born, Age: lovageshift.Millis(message.AgeMillis),
		})
	}
	return reports
}
