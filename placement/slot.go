package placement

import (
	"errors"
	"net/netip"

	"lovageshift"
)

// AcquireGranted takes the slot that the entry at the address granter granted to the job. It returns ErrUnknownTarget if
// this entry does not know the target's incarnation, ErrLeaving if it knows that the target leaves, ErrUnavailable if the
// target wants no requests from this entry now, ErrOtherVersion if the target cannot run the job, ErrDoubted if it may have
// restarted with another version, and ErrOverLimit if the granter does not know the target's limit and the slot would exceed it.
func (s *Scheduler) AcquireGranted(now lovageshift.Millis, granter netip.Addr, grant Reply, job *Job) (*Slot, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.byHash[grant.Target]
	if t == nil || t.Born != grant.Born {
		return nil, ErrUnknownTarget
	}
	if s.isLeaving(t) {
		return nil, ErrLeaving
	}
	if now < t.unavailable.openAt() {
		return nil, ErrUnavailable
	}
	if !job.fits(t) { // the granter is of an earlier build, or did not know
		return nil, ErrOtherVersion
	}
	if job.HasVersion && s.doubts(now, t) {
		return nil, ErrDoubted
	}
	if !s.acceptsGrant(now, t, grant.KeepsLimit) {
		return nil, ErrOverLimit
	}
	slot := s.acquire(now, t, job)
	slot.Running, slot.granter = grant.Running, granter
	t.ownByGranter[granter]++
	return slot, nil
}

// Errors of AcquireGranted.
var (
	ErrUnknownTarget = errors.New("the slot is at an unknown target")
	ErrUnavailable   = errors.New("the target of the slot wants no requests from this entry for some time")
	ErrLeaving       = errors.New("the target of the slot leaves")
	ErrOtherVersion  = errors.New("the target has another version of its software than the job needs")
	ErrDoubted       = errors.New("the target may have restarted with another version of its software than the job needs")
	ErrOverLimit     = errors.New("the slot would exceed the limit of its target")
)

func (s *Scheduler) acquire(now lovageshift.Millis, chosen *targetState, job *Job) *Slot {
	slot := &Slot{
		Target:         chosen.Target,
		MaxConnections: s.maxConnections(chosen),
		Running:        chosen.running(),
		Waited:         now - job.Arrived,
		promptTokens:   job.PromptTokens,
		state:          chosen,
	}
	chosen.own++
	if chosen.unavailable != nil {
		chosen.unavailable.nextTrial = now + trialInterval
	}
	return slot
}

// maxConnections returns how many connections this entry may have open to the target, 0 for no bound.
func (s *Scheduler) maxConnections(chosen *targetState) int {
	if chosen.service.ConnectionLimit == 0 {
		return 0
	}
	return max(int(float64(chosen.service.ConnectionLimit)*connectionShare)/s.knownEntries, 1)
}

// Release returns a slot and records how its request ended; the slot may be given to a waiting request at once.
func (s *Scheduler) Release(now lovageshift.Millis, slot *Slot, result Result) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	slot.state.own--
	if slot.granter.IsValid() {
		slot.state.releaseGranted(slot.granter)
	}
	slot.state.recordHold(now, slot.grantedAt)
	slot.state.recordResult(now, slot.promptTokens, result)
	s.assignService(now, slot.state.Service)
	if slot.OnRelease != nil {
		slot.OnRelease(result)
	}
}

// ReportUnresponsive counts a failure of the slot's target, for a request to which it sent no response header by the
// caller's timeout. The slot stays in use until Release.
func (s *Scheduler) ReportUnresponsive(now lovageshift.Millis, slot *Slot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	slot.state.observe(now, true)
}

// MayHaveRestarted reports whether the slot's target may be another incarnation than the one for which the slot was granted.
func (s *Scheduler) MayHaveRestarted(now lovageshift.Millis, slot *Slot) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.targets[slot.Target.ID]
	restarted := current != nil && current.Born != slot.Target.Born
	return restarted || slot.state.mayHaveRestarted(now)
}

// DoubtEnds returns when the slot's target no longer counts as another incarnation (see MayHaveRestarted) if it shows as none by
// then, and false if only its next record or an answer tells.
func (s *Scheduler) DoubtEnds(now lovageshift.Millis, slot *Slot) (lovageshift.Millis, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.targets[slot.Target.ID]
	switch {
	case current != nil && current.Born != slot.Target.Born, slot.state.restarted:
		return 0, false
	case slot.state.mayHaveRestarted(now):
		return slot.state.doubtedAt() + recordDelayMillis, true
	default:
		return now, true
	}
}

// ShownSame reports whether the slot's target is known to be the incarnation for which the slot was granted: it was never
// doubted, or it has answered since.
func (s *Scheduler) ShownSame(slot *Slot) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.targets[slot.Target.ID]
	return current == slot.state && slot.state.doubtedAt() == 0 && !slot.state.restarted
}
