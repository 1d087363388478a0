package peer

import (
	"lovageshift"
	"lovageshift/quarantine"
	"lovageshift/wire"
)

// A request that was running at this many crashes is refused. Agents run a suspect with no other request at the target,
// so a second crash is no coincidence.
const crashesToRefuse = 2

// SetSuspectMaxAge changes the age, in milliseconds, at which suspects expire.
func (n *Node) SetSuspectMaxAge(maxAge lovageshift.Millis) {
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	n.suspects.SetMaxAge(maxAge)
}

// RecordCrashes counts one more crash for each fingerprint and notifies those who wait for SuspectsChanged.
func (n *Node) RecordCrashes(fingerprints []lovageshift.Fingerprint) {
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	for _, fingerprint := range fingerprints {
		n.suspects.RecordCrash(n.Now(), fingerprint)
	}
	n.notifySuspectsChanged()
}

// notifySuspectsChanged requires suspectMutex to be held.
func (n *Node) notifySuspectsChanged() {
	close(n.suspectsChanged)
	n.suspectsChanged = make(chan struct{})
}

// SuspectsChanged returns a channel that is closed when a suspect is next added or updated.
func (n *Node) SuspectsChanged() <-chan struct{} {
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	return n.suspectsChanged
}

// LearnSuspects adds or updates suspects that another process reported.
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

// CheckSuspect returns whether and how a request with the fingerprint may run.
func (n *Node) CheckSuspect(fingerprint lovageshift.Fingerprint) quarantine.Decision {
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	return n.suspects.Check(n.Now(), fingerprint)
}

// ClearSuspect removes a suspect whose request was answered completely.
func (n *Node) ClearSuspect(fingerprint lovageshift.Fingerprint) {
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	n.suspects.Clear(fingerprint)
}

// NewestSuspects returns the suspects to report to other processes: at most 8, the last updated first.
func (n *Node) NewestSuspects() []*wire.Suspect {
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	var messages []*wire.Suspect
	for _, suspect := range n.suspects.Newest(n.Now(), suspectsPerExchange) {
		messages = append(messages, &wire.Suspect{
			Fingerprint: uint64(suspect.Fingerprint),
			Crashes:     int32(suspect.Crashes),
			AgeMillis:   int64(suspect.Age),
		})
	}
	return messages
}
