package gateway

import (
	"slices"
	"sync"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
	"lovageshift/stream"
)

// An origin that this entry cannot decide for so long after it might have been is left undecided.
const undecidedMillis lovageshift.Millis = 10_000

// undecidedStreams are streams that began at targets that may have started again, so that their versions are not known yet. It is
// safe for concurrent use.
type undecidedStreams struct {
	mutex sync.Mutex
	list  []undecidedStream
}

// undecidedStream is the stream that an attempt began.
type undecidedStream struct {
	attempt string
	origin  stream.Origin
	beganAt lovageshift.Millis // of the first event
}

func (u *undecidedStreams) add(s undecidedStream) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.list = append(u.list, s)
}

// take removes the streams whose origins are decided, and returns them with these.
func (u *undecidedStreams) take(now lovageshift.Millis, incarnations *stream.Incarnations) []undecidedStream {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	var decided []undecidedStream
	u.list = slices.DeleteFunc(u.list, func(s undecidedStream) bool {
		origin, ok := incarnations.Decide(s.origin)
		if ok {
			decided = append(decided, undecidedStream{s.attempt, origin, s.beganAt})
		}
		return ok || now > s.origin.Doubt.DecidedAt+undecidedMillis
	})
	return decided
}

// takeAnswered removes the streams that began at the target until the given time, and returns them with the version of the target,
// which has answered as the incarnation that was known.
func (u *undecidedStreams) takeAnswered(target *catalog.Target, until lovageshift.Millis) []undecidedStream {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	var decided []undecidedStream
	hash, origin := stream.TargetHashOf(target.ID), stream.Origin{Service: target.Service, Version: target.Version}
	u.list = slices.DeleteFunc(u.list, func(s undecidedStream) bool {
		doubt := s.origin.Doubt
		if doubt.Target != hash || doubt.Born != target.Born || s.beganAt > until {
			return false
		}
		decided = append(decided, undecidedStream{s.attempt, origin, s.beganAt})
		return true
	})
	return decided
}

// decideLater records that the version at which the request's stream began at the slot's target is not known yet, and remembers to
// record it once it is known.
func (r *request) decideLater(now lovageshift.Millis, slot *placement.Slot) {
	g := r.gateway
	var origin stream.Origin
	if decidedAt, ends := g.scheduler.DoubtEnds(now, slot); ends {
		origin.Doubt = stream.Doubt{
			Target: stream.TargetHashOf(slot.Target.ID), Born: slot.Target.Born, DecidedAt: decidedAt,
		}
		g.undecided.add(undecidedStream{r.headers.ID, origin, g.clock.Now()})
	}
	g.streams.Record(r.headers.ID, origin)
}

// recordDecided records where streams began of which that has become known.
func (g *Gateway) recordDecided() {
	incarnations := g.streams.Incarnations()
	incarnations.Shown(g.changesShownUntil())
	g.recordOrigins(g.undecided.take(g.clock.Now(), incarnations))
}

// recordAnswered records where streams began at the target until the given time, as it has answered as the incarnation that was
// known. A target's incarnations follow each other, so it has had no other one since its record was written.
func (g *Gateway) recordAnswered(target *catalog.Target, until lovageshift.Millis) {
	g.recordOrigins(g.undecided.takeAnswered(target, until))
}

func (g *Gateway) recordOrigins(decided []undecidedStream) {
	for _, s := range decided {
		g.streams.Record(s.attempt, s.origin)
	}
}

// changesShownUntil returns the time (Clock.Now) until which the restarts of targets show in the view.
func (g *Gateway) changesShownUntil() lovageshift.Millis {
	return g.shown.Until(g.clock.Now(), g.tracker.ViewAge())
}
