package stream

import (
	"maps"
	"sync"

	"lovageshift"
	"lovageshift/catalog"
)

// An entry that lets streams begin may not know of changes of the targets for up to this long.
const maxLagMillis lovageshift.Millis = 5000

// Versions records which software versions of each service had targets lately, by an entry's views. It is safe for concurrent
// use.
type Versions struct {
	mutex sync.Mutex
	// lastSeen holds when each version last had a target.
	lastSeen map[catalog.ServiceID]map[lovageshift.SoftwareVersion]lovageshift.Millis
	// present holds the versions that have one now.
	present map[catalog.ServiceID]map[lovageshift.SoftwareVersion]bool
	// knownFrom is the time since which all versions are recorded, observed whether there was a view.
	knownFrom lovageshift.Millis
	observed  bool
}

// NewVersions returns a record without versions. FirstStart tells that the whole installation starts for the first time, so
// that no stream began before.
func NewVersions(firstStart bool) *Versions {
	v := &Versions{
		lastSeen: map[catalog.ServiceID]map[lovageshift.SoftwareVersion]lovageshift.Millis{},
		present:  map[catalog.ServiceID]map[lovageshift.SoftwareVersion]bool{},
	}
	if firstStart {
		v.knownFrom, v.observed = -longestMillis-maxLagMillis, true
	}
	return v
}

// longestMillis stands for the length of a stream without a bound.
const longestMillis = retentionMillis

// Missed records that targets may have come and gone until now without a view that showed them.
func (v *Versions) Missed(now lovageshift.Millis) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.knownFrom = now
}

// Observe records the versions that have targets by the view. A target that gets no requests counts too: other entries may not
// know yet that it gets none.
func (v *Versions) Observe(now lovageshift.Millis, view *catalog.View) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if !v.observed {
		v.knownFrom, v.observed = now, true
	}
	v.markSeen(now)
	v.forget(now)
	clear(v.present)
	for _, target := range view.Targets {
		if v.present[target.Service] == nil {
			v.present[target.Service] = map[lovageshift.SoftwareVersion]bool{}
		}
		v.present[target.Service][target.Version] = true
	}
	v.markSeen(now)
}

// forget drops the versions that no stream that still runs can be of.
func (v *Versions) forget(now lovageshift.Millis) {
	for _, versions := range v.lastSeen {
		maps.DeleteFunc(versions, func(_ lovageshift.SoftwareVersion, seenAt lovageshift.Millis) bool {
			return now-seenAt > 2*longestMillis
		})
	}
}

// markSeen records that the versions that have targets have had them until now.
func (v *Versions) markSeen(now lovageshift.Millis) {
	for service, versions := range v.present {
		if v.lastSeen[service] == nil {
			v.lastSeen[service] = map[lovageshift.SoftwareVersion]lovageshift.Millis{}
		}
		for version := range versions {
			v.lastSeen[service][version] = now
		}
	}
}

// Only returns the version of the service that was the only one while a stream of at most the length can have begun, and false
// if there were several or it is not known. A length of 0 is that of a stream without a bound. It goes by the views that were
// observed; see Prove.
func (v *Versions) Only(now lovageshift.Millis, service catalog.ServiceID, length lovageshift.Millis) (lovageshift.SoftwareVersion, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if length == 0 {
		length = longestMillis
	}
	since := now - length - maxLagMillis
	if !v.observed || v.knownFrom > since {
		return "", false
	}
	v.markSeen(now)
	var only lovageshift.SoftwareVersion
	count := 0
	for version, seenAt := range v.lastSeen[service] {
		if seenAt >= since {
			only = version
			count++
		}
	}
	return only, count == 1
}
