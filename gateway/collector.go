package gateway

import (
	"net/netip"
	"slices"

	"lovageshift"
	"lovageshift/exchange"
	"lovageshift/quota"
	"lovageshift/reservation"
	"lovageshift/wire"
)

const (
	// Number of entries that collect the use of accounts from all others in every interval of the exchange and send the
	// levels back: the first one, and another in case that it is unresponsive. collectTask is the task name by which
	// rendezvous hashing chooses them. Without them, a use becomes known to all others only after a round of the exchange,
	// and an account that sends many times its rate exceeds it by what all entries let through meanwhile.
	collectorCount = 2
	collectTask    = "collect"
	// Collectors are of use only if a round of the exchange has at least this many intervals.
	minRoundIntervals = 3
	// Interval at which a collector sends the levels.
	levelsInterval lovageshift.Millis = 100
	// Levels of the second collector are used if there were none of the first for this long.
	collectorTimeout lovageshift.Millis = 300
)

// Peers sends messages to the other entries and knows which of them are live and what they reported.
type Peers interface {
	reservation.Peers
	// Incarnation returns the random number of this entry's incarnation.
	Incarnation() uint64
	// Reported returns the incarnation of another entry and the use of accounts that it reported, nil if it reported none.
	Reported(address netip.Addr) (uint64, *exchange.AccountUsage)
}

// Collectors returns the entries to which this one sends a state update in every interval of the exchange.
func (g *Gateway) Collectors() []netip.Addr {
	if g.roundIntervals.Load() < minRoundIntervals {
		return nil
	}
	return g.reservations.First(collectTask, collectorCount)
}

// sendLevels sends the levels of contended accounts to the other live entries if this one is a collector.
func (g *Gateway) sendLevels() {
	if !slices.Contains(g.Collectors(), g.self) {
		return
	}
	contended := g.meter.Contended(g.clock.Now())
	if len(contended) == 0 {
		return
	}
	for _, address := range g.peers.Live() {
		incarnation, reported := g.peers.Reported(address)
		if reported != nil {
			message := levelsMessage(contended, incarnation, reported)
			g.peers.Send(address, &wire.EntryPacket{Body: &wire.EntryPacket_Levels{Levels: message}})
		}
	}
}

// levelsMessage returns the levels for an entry that has reported the use. Accounts of which it is not known whether the
// entry has used them are left out.
func levelsMessage(contended []quota.Usage, incarnation uint64, reported *exchange.AccountUsage) *wire.AccountLevels {
	message := &wire.AccountLevels{ReceiverIncarnation: uint32(incarnation)}
	for _, usage := range contended {
		seen, known := reported.Of(uint32(usage.Account))
		if !known {
			continue
		}
		message.Levels = append(message.Levels, &wire.AccountLevel{
			Account: uint32(usage.Account), UsedLeft: int64(usage.UsedLeft), DeclaredLeft: int64(usage.DeclaredLeft),
			UsedSeen: seen.GetUsed(), DeclaredSeen: seen.GetDeclared(),
		})
	}
	return message
}

// applyLevels applies the levels that a collector sent. It ignores those of an entry that is not a collector by this
// entry's view, those of the second one while the first one sends them, and those for an earlier incarnation. A collector
// applies none: it knows the use from the entries themselves, and two that took over each other's levels would know none.
func (g *Gateway) applyLevels(now lovageshift.Millis, from netip.Addr, message *wire.AccountLevels) {
	collectors := g.reservations.First(collectTask, collectorCount)
	if slices.Contains(collectors, g.self) || message.ReceiverIncarnation != uint32(g.peers.Incarnation()) {
		return
	}
	switch {
	case from == collectors[0]:
		g.levelsAt.Store(int64(now))
	case len(collectors) > 1 && from == collectors[1] && now-lovageshift.Millis(g.levelsAt.Load()) > collectorTimeout:
	default:
		return
	}
	for _, level := range message.Levels {
		account := quota.AccountHash(level.Account)
		g.meter.ApplyCollected(now,
			quota.Usage{
				Account: account, UsedLeft: lovageshift.Tokens(level.UsedLeft), DeclaredLeft: lovageshift.Tokens(level.DeclaredLeft),
			},
			quota.Usage{
				Account: account, Used: lovageshift.Tokens(level.UsedSeen), Declared: lovageshift.Tokens(level.DeclaredSeen),
			})
	}
}
