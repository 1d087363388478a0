package gateway

import (
	"slices"
	"sort"
	"sync"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
	"lovageshift/stream"
)

// A target of which it is not shown after this long that it has not started again since a lost connection never counts as the
// same incarnation.
const maxRestartDoubt lovageshift.Millis = 30_000

// undecidedStreams are streams that began at targets that may have started again, so that their versions are not known yet. It is
// safe for concurrent use.
type undecidedStreams struct {
	mutex sync.Mutex
	list  []undecidedStream
}

// undecidedStream is the stream that an attempt began at a target.
type undecidedStream struct {
	attempt string
	target  *catalog.Target
	// decidedAt is when the record of the target's next incarnation must have arrived if it started before the stream.
	decidedAt lovageshift.Millis
}

func (u *undecidedStreams) add(s undecidedStream) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.list = append(u.list, s)
}

// take removes the streams that are decided by the view, in which all changes until now show, and returns those whose targets
// have not started again.
func (u *undecidedStreams) take(now lovageshift.Millis, view *catalog.View) []undecidedStream {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	var same []undecidedStream
	u.list = slices.DeleteFunc(u.list, func(s undecidedStream) bool {
		current := view.Targets[s.target.ID]
		switch {
		case current == nil || current.Born != s.target.Born:
			return true
		case now < s.decidedAt:
			return false
		default:
			same = append(same, s)
			return true
		}
	})
	return same
}

// decideLater records that the version at which the request's stream began at the slot's target is not known yet, and remembers to
// record it once it is known.
func (r *request) decideLater(now lovageshift.Millis, slot *placement.Slot) {
	g := r.gateway
	doubt := lovageshift.Millis(sort.Search(int(maxRestartDoubt), func(later int) bool {
		return !g.scheduler.MayHaveRestarted(now+lovageshift.Millis(later), slot)
	}))
	g.streams.Record(r.headers.ID, stream.Origin{})
	if doubt < maxRestartDoubt {
		g.undecided.add(undecidedStream{attempt: r.headers.ID, target: slot.Target, decidedAt: now + doubt})
	}
}

// recordDecided records where streams began of which that has become known.
func (g *Gateway) recordDecided() {
	view := g.tracker.View()
	if view == nil {
		return
	}
	for _, s := range g.undecided.take(g.changesShownUntil(), view) {
		g.streams.Record(s.attempt, stream.Origin{Service: s.target.Service, Version: s.target.Version})
	}
}

// changesShownUntil returns the time (Clock.Now) until which the view counts as complete.
func (g *Gateway) changesShownUntil() lovageshift.Millis {
	now := g.clock.Now()
	return min(now, now-g.tracker.ViewAge()+maxVersionsAge)
}
