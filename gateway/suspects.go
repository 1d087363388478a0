package gateway

import (
	"sync"

	"lovageshift"
	"lovageshift/eventlog"
	"lovageshift/quarantine"
	"lovageshift/wire"
)

const (
	// A request is refused after it has lost this many connections to targets, before the response header or within a
	// stream. A complete response through this entry resets this entry's count.
	crashesToRefuse = 3
	// How long after its last crash a suspect expires.
	suspectTTL lovageshift.Millis = 600_000
	// Retry-After of a quarantined request.
	quarantineRetryAfter lovageshift.Millis = 3000
	// Most suspects in one state update. If there are more, those with most crashes are reported.
	maxReportedSuspects = 16
)

// suspects holds the suspects of this and the other entries: the fingerprints of requests that were running when a
// connection to their target was lost, and that may have crashed the target.
type suspects struct {
	mutex    sync.Mutex
	register *quarantine.Register
	log      *eventlog.Log
}

func newSuspects(log *eventlog.Log) *suspects {
	return &suspects{register: quarantine.NewRegister(suspectTTL, crashesToRefuse), log: log}
}

// recordCrash counts a lost connection to a target as a crash of it by the request that was sent on that connection.
func (s *suspects) recordCrash(now lovageshift.Millis, r *request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	suspect := s.register.RecordCrash(now, r.fingerprint())
	s.log.Info("suspect", "request", r.headers.ID, "fingerprint", r.fingerprint().String(), "crashes", suspect.Crashes,
		"target", r.summary.target, "parts", r.partIDs(), "events", r.summary.targetEvents)
}

// clear removes the suspect for a request that has got a complete response, if there is one.
func (s *suspects) clear(r *request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.register.Clear(r.fingerprint()) {
		s.log.Info("suspectCleared", "request", r.headers.ID, "fingerprint", r.fingerprint().String(), "target", r.summary.target)
	}
}

// refuses reports whether the request with the fingerprint has reached crashesToRefuse and must be refused.
func (s *suspects) refuses(now lovageshift.Millis, fingerprint lovageshift.Fingerprint) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.register.Check(now, fingerprint) == quarantine.Refused
}

// has reports whether the request with the fingerprint has lost a connection to a target.
func (s *suspects) has(now lovageshift.Millis, fingerprint lovageshift.Fingerprint) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.register.Check(now, fingerprint) != quarantine.Allowed
}

// report returns the suspects for this entry's next state update.
func (s *suspects) report(now lovageshift.Millis) []*wire.Suspect {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var reports []*wire.Suspect
	for _, suspect := range s.register.Foremost(now, maxReportedSuspects) {
		reports = append(reports, &wire.Suspect{
			Fingerprint: uint64(suspect.Fingerprint), Crashes: int32(suspect.Crashes), AgeMillis: int64(suspect.Age),
		})
	}
	return reports
}

// merge adds the suspects of another entry's state update.
func (s *suspects) merge(now lovageshift.Millis, reports []*wire.Suspect) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, report := range reports {
		s.register.Learn(now, quarantine.Suspect{
			Fingerprint: lovageshift.Fingerprint(report.Fingerprint),
			Crashes:     int(report.Crashes),
			Age:         lovageshift.Millis(report.AgeMillis),
		})
	}
}
