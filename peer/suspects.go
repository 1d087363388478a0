package peer

import (
	"lovageshift"
	"lovageshift/quarantine"
	"lovageshift/wire"
)

// A request is refused once this many crashes of targets have been counted for its fingerprint. A crash counts for the
// fingerprint of each request that was running at the target. After the first crash, agents run a request with that
// fingerprint only while no other request runs at the target, so that a second crash points to the request itself.
const crashesToRefuse = 2

// SetSuspectMaxAge sets how many milliseconds after its last counted crash a suspect expires, also for those already known.
func (n *Node) SetSuspectMaxAge(maxAge lovageshift.Millis) {
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	n.suspects.SetMaxAge(maxAge)
}

// RecordCrashes counts one more crash for each element of fingerprints, which become suspects, and closes the channel
// that SuspectsChanged returned.
func (n *Node) RecordCrashes(fingerprints []lovageshift.Fingerprint) {
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	for _, fingerprint := range fingerprints {
		n.suspects.RecordCrash(n.Now(), fingerprint)
	}
	n.notifySuspectsChanged()
}

// notifySuspectsChanged closes the channel that SuspectsChanged returned and replaces it; suspectMutex must be held.
func (n *Node) notifySuspectsChanged() {
	close(n.suspectsChanged)
	n.suspectsChanged = make(chan struct{})
}

// SuspectsChanged returns a channel that is closed the next time that a suspect is added or the number of crashes of one
// rises. It may also be closed without such a change.
func (n *Node) SuspectsChanged() <-chan struct{} {
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	return n.suspectsChanged
}

// LearnSuspects applies the suspects that another process reported. It adds those not known yet. For a known suspect with
// fewer crashes than reported, it takes over the reported number and age. It ignores a report that has expired or has no crashes.
func (n *Node) LearnSuspects(suspects []*wire.Suspect) {
	if len(suspects) == 0 {
		return
	}
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	changed := false
	for _, suspect := range suspects {
		reported := quarantine.Suspect{
			Fingerprint: lovageshift.Fingerprint(suspect.Fingerprint),
			Crashes:     int(suspect.Crashes),
			Age:         lovageshift.Millis(suspect.AgeMillis),
		}
		changed = n.suspects.Learn(n.Now(), reported) || changed
	}
	if changed {
		n.notifySuspectsChanged()
	}
}

// CheckSuspect returns whether a request with the fingerprint may run and, if so, whether only alone at its target.
func (n *Node) CheckSuspect(fingerprint lovageshift.Fingerprint) quarantine.Decision {
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	return n.suspects.Check(n.Now(), fingerprint)
}

// ClearSuspect removes the suspect with the fingerprint, if there is one. Callers do so when a request with the fingerprint
// has been answered completely, and so did not crash its target.
func (n *Node) ClearSuspect(fingerprint lovageshift.Fingerprint) {
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	n.suspects.Clear(fingerprint)
}

// ForemostSuspects returns the suspects to report to other processes: at most 8 (maxReportedSuspects), those with most
// crashes first.
func (n *Node) ForemostSuspects() []*wire.Suspect {
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	var messages []*wire.Suspect
	for _, suspect := range n.suspects.Foremost(n.Now(), maxReportedSuspects) {
		messages = append(messages, &wire.Suspect{
			Fingerprint: uint64(suspect.Fingerprint),
			Crashes:     int32(suspect.Crashes),
			AgeMillis:   int64(suspect.Age),
		})
	}
	return messages
}
