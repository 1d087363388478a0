package stream

import (
	"maps"
	"sync"

	"lovageshift"
	"lovageshift/catalog"
)

// Incarnations records which incarnations of targets an entry's views showed, and until when. It is safe for concurrent use.
type Incarnations struct {
	mutex sync.Mutex
	known map[incarnation]shownTarget
	// shownAt is the time (Clock.Now) until which all changes show in the view.
	shownAt lovageshift.Millis
}

type incarnation struct {
	target TargetHash
	born   int64
}

// shownTarget is what views showed of an incarnation.
type shownTarget struct {
	service catalog.ServiceID
	version lovageshift.SoftwareVersion
	present bool // in the view
	// shownAt is the last time at which the view showed it if that is past.
	shownAt lovageshift.Millis
}

// NewIncarnations returns an empty record.
func NewIncarnations() *Incarnations { return &Incarnations{known: map[incarnation]shownTarget{}} }

// Observe records the incarnations of the view's targets.
func (n *Incarnations) Observe(view *catalog.View) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for key, shown := range n.known {
		if shown.present {
			shown.present, shown.shownAt = false, n.shownAt
			n.known[key] = shown
		}
	}
	for id, target := range view.Targets {
		key := incarnation{TargetHashOf(id), target.Born}
		n.known[key] = shownTarget{service: target.Service, version: target.Version, present: true}
	}
	maps.DeleteFunc(n.known, func(_ incarnation, shown shownTarget) bool {
		return !shown.present && n.shownAt-shown.shownAt > 2*retentionMillis
	})
}

// Shown records that all changes until the time (Clock.Now) show in the view that was observed last.
func (n *Incarnations) Shown(until lovageshift.Millis) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.shownAt = max(n.shownAt, until)
}

// Decide returns the origin with its version if that is known, as views showed the incarnation in doubt for long enough, or if
// there is no doubt. Otherwise it returns false.
func (n *Incarnations) Decide(origin Origin) (Origin, bool) {
	if !origin.Undecided() {
		return origin, true
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	shown, known := n.known[incarnation{origin.Doubt.Target, origin.Doubt.Born}]
	until := shown.shownAt
	if shown.present {
		until = n.shownAt
	}
	if !known || until < origin.Doubt.DecidedAt {
		return origin, false
	}
	return Origin{Service: shown.service, Version: shown.version}, true
}
