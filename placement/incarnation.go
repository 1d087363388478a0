package placement

import (
	"lovageshift"
	"lovageshift/catalog"
)

const (
	// A target that may have restarted is asked for its incarnation no more often than this.
	incarnationCheckInterval lovageshift.Millis = 1000
	// An answer that is read later than this after the question shows nothing: the entry may have stood still meanwhile, and the
	// target may have restarted since it answered.
	maxAnswerAge lovageshift.Millis = 700
)

// SetViewLag sets how much later than in the store changes may show in the view.
func (s *Scheduler) SetViewLag(lag lovageshift.Millis) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.viewLag = lag
}

// doubts reports whether the target may have restarted, as far as the view can show by now.
func (s *Scheduler) doubts(now lovageshift.Millis, t *targetState) bool {
	return t.mayHaveRestarted(now - s.viewLag)
}

// Doubted returns the targets that may have restarted (see MayHaveRestarted) and are due to be asked for their incarnation.
func (s *Scheduler) Doubted(now lovageshift.Millis) []*catalog.Target {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var doubted []*catalog.Target
	for _, t := range s.targets {
		due := t.checkedAt == 0 || now-t.checkedAt >= incarnationCheckInterval
		if s.doubts(now, t) && due && !t.noReport && t.doubtedAt() < now {
			t.checkedAt = now
			doubted = append(doubted, t.Target)
		}
	}
	return doubted
}

// RecordPossibleRestart records that the target's incarnation with the given start may have ended, although no request has lost a
// connection to it: the target has ended an idle one if ended is set, or none was open. It does not count as colder for that, as a
// target may end idle connections at any time.
func (s *Scheduler) RecordPossibleRestart(now lovageshift.Millis, id lovageshift.TargetID, born int64, ended bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.targets[id]
	switch {
	case t == nil || t.Born != born:
	case ended:
		t.lostAt = now
	default:
		t.unseenAt = now
	}
}

// ConfirmIncarnation records that the target's incarnation with the given start answered a question that was sent at askedAt.
// So it had not ended with the connections that were lost before, and is no colder than it was. The result reports whether it no
// longer counts as one that may have restarted.
func (s *Scheduler) ConfirmIncarnation(now, askedAt lovageshift.Millis, id lovageshift.TargetID, born int64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.targets[id]
	if t == nil || t.Born != born || t.doubtedAt() >= askedAt || now-askedAt > maxAnswerAge {
		return false
	}
	t.lostAt, t.unseenAt, t.lossColdUntil, t.restarted = 0, 0, 0, false
	s.assignService(now, t.Service)
	return true
}

// RecordNoReport records that the target's incarnation with the given start does not tell it when asked, so that it is not
// asked again.
func (s *Scheduler) RecordNoReport(id lovageshift.TargetID, born int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if t := s.targets[id]; t != nil && t.Born == born {
		t.noReport = true
	}
}

// RecordRestart records that another incarnation answered at the address of this one of the target. It counts as restarted until
// the record of the next one arrives, however long that takes.
func (s *Scheduler) RecordRestart(asked *catalog.Target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if t := s.targets[asked.ID]; t != nil && t.Born == asked.Born {
		t.restarted = true
	}
}
