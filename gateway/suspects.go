package gateway

import (
	"strconv"
	"sync"

	"lovageshift"
	"lovageshift/eventlog"
	"lovageshift/quarantine"
	"lovageshift/wire"
)

const (
	// A request that was running at this many lost connections, and never ended well, is refused.
	crashesToRefuse = 3
	// How long a suspect is remembered.
	suspectMillis lovageshift.Millis = 60_000
	// When a quarantined request may come back.
	quarantineRetry lovageshift.Millis = 3000
	// Suspects that one message tells, the newest first.
	maxTold = 16
)

// suspects holds the requests that may crash the targets they run at, as this and the other entries saw it.
type suspects struct {
	mutex    sync.Mutex
	register *quarantine.Register
	log      *eventlog.Log
}

func newSuspects(log *eventlog.Log) *suspects {
	return &suspects{register: quarantine.NewRegister(suspectMillis, crashesToRefuse), log: log}
}

// crashed counts a lost connection against the request that ran on it.
func (s *suspects) crashed(now lovageshift.Millis, id string, fingerprint lovageshift.Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	suspect := s.register.RecordCrash(now, fingerprint)
	s.log.Info("suspect", "request", id, "fingerprint", strconv.FormatUint(uint64(fingerprint), 16), "crashes", suspect.Crashes)
}

// acquit clears a request that ended well.
func (s *suspects) acquit(fingerprint lovageshift.Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.register.Clear(fingerprint)
}

func (s *suspects) refuses(now lovageshift.Millis, fingerprint lovageshift.Fingerprint) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.register.Check(now, fingerprint) == quarantine.Refused
}

func (s *suspects) tell(now lovageshift.Millis) []*wire.Suspect {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var told []*wire.Suspect
	for _, known := range s.register.Newest(now, maxTold) {
		told = append(told, &wire.Suspect{
			Fingerprint: uint64(known.Fingerprint), Crashes: int32(known.Crashes), AgeMillis: int64(known.Age),
		})
	}
	return told
}

func (s *suspects) learn(now lovageshift.Millis, told []*wire.Suspect) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, suspect := range told {
		s.register.Learn(now, quarantine.Suspect{
			Fingerprint: lovageshift.Fingerprint(suspect.Fingerprint),
			Crashes:     int(suspect.Crashes),
			Age:         lovageshift.Millis(suspect.AgeMillis),
		})
	}
}
