package peer

import (
	"lovageshift"
	"lovageshift/quarantine"
	"lovageshift/wire"
)

// A request that was running at this many crashes is refused; agents run a suspect alone, so that it is no chance.
const crashesToRefuse = 2

// SetSuspectMaxAge changes after how many milliseconds suspects age out.
func (n *Node) SetSuspectMaxAge(lifetime lovageshift.Millis) {
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	n.suspects.SetMaxAge(lifetime)
}

// RecordCrashes counts a crash against fingerprints and wakes those who pass suspects on.
func (n *Node) RecordCrashes(fingerprints []lovageshift.Fingerprint) {
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	for _, fingerprint := range fingerprints {
		n.suspects.RecordCrash(n.Now(), fingerprint)
	}
	n.wakeNews()
}

// wakeNews needs the suspects' lock.
func (n *Node) wakeNews() {
	close(n.news)
	n.news = make(chan struct{})
}

// SuspectsChanged returns a channel that is closed when there are new suspects.
func (n *Node) SuspectsChanged() <-chan struct{} {
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	return n.news
}

// LearnSuspects takes in suspects from another process.
func (n *Node) LearnSuspects(suspects []*wire.Suspect) {
	if len(suspects) == 0 {
		return
	}
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	news := false
	for _, suspect := range suspects {
		learned := quarantine.Suspect{
			Fingerprint: lovageshift.Fingerprint(suspect.Fingerprint),
			Crashes:     int(suspect.Crashes),
			Age:         lovageshift.Millis(suspect.AgeMillis),
		}
		news = n.suspects.Learn(n.Now(), learned) || news
	}
	if news {
		n.wakeNews()
	}
}

// CheckSuspect says how a request with the fingerprint may run.
func (n *Node) CheckSuspect(fingerprint lovageshift.Fingerprint) quarantine.Verdict {
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	return n.suspects.Check(n.Now(), fingerprint)
}

// ClearSuspect drops a suspect that gave a whole answer.
func (n *Node) ClearSuspect(fingerprint lovageshift.Fingerprint) {
	n.suspectMutex.Lock()
	defer n.suspectMutex.Unlock()
	n.suspects.Clear(fingerprint)
}

// NewestSuspects returns the newest suspects to pass on.
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
