package quarantine

import (
	"cmp"
	"container/list"
	"slices"

	"lovageshift"
)

// maxSuspects is the highest number of suspects in a register.
const maxSuspects = 4096

// Suspect is the fingerprint of a request that was running when its target crashed.
type Suspect struct {
	Fingerprint lovageshift.Fingerprint
	Crashes     int                // crashes during which the request was running
	Age         lovageshift.Millis // milliseconds since the last of these crashes
}

// Decision says whether and how a request may run.
type Decision int

// The decisions.
const (
	Allowed Decision = iota // not a suspect
	Alone                   // a suspect that may run, but only while no other request runs at its target
	Refused                 // a suspect with at least as many crashes as the register's crashesToRefuse
)

// Register holds the suspects that one process knows of, at most 4096. Times are milliseconds of that process's clock.
// It is not safe for concurrent use.
type Register struct {
	maxAge lovageshift.Millis // milliseconds since the last crash after which a suspect expires
	// crashesToRefuse is the number of crashes from which a suspect is refused.
	crashesToRefuse int
	suspects        map[lovageshift.Fingerprint]*list.Element
	byUpdate        *list.List // of *record, the most recently updated at the back
}

type record struct {
	fingerprint lovageshift.Fingerprint
	crashes     int
	crashedAt   lovageshift.Millis
}

// NewRegister returns an empty register. Its suspects expire maxAge after their last crash and are refused from
// crashesToRefuse crashes on.
func NewRegister(maxAge lovageshift.Millis, crashesToRefuse int) *Register {
	return &Register{
		maxAge: maxAge, crashesToRefuse: crashesToRefuse,
		suspects: map[lovageshift.Fingerprint]*list.Element{}, byUpdate: list.New(),
	}
}

// SetMaxAge changes the age at which suspects expire, also for those already known.
func (r *Register) SetMaxAge(maxAge lovageshift.Millis) { r.maxAge = maxAge }

// RecordCrash counts a crash of the target during which the request with the fingerprint was running, and returns the
// suspect.
func (r *Register) RecordCrash(now lovageshift.Millis, fingerprint lovageshift.Fingerprint) Suspect {
	crashes := 1
	if element := r.suspects[fingerprint]; element != nil {
		crashes = element.Value.(*record).crashes + 1
	}
	suspect := Suspect{Fingerprint: fingerprint, Crashes: crashes}
	r.Learn(now, suspect)
	return suspect
}

// Learn adds a suspect or updates its crashes and age, for example as reported by another process, and returns whether
// the register changed. It ignores a suspect whose age has reached the maximum, and one whose number of crashes
// is not above the number in the register. A full register first evicts the suspect whose update is the longest ago.
func (r *Register) Learn(now lovageshift.Millis, suspect Suspect) bool {
	r.expire(now)
	if suspect.Age >= r.maxAge || suspect.Crashes <= 0 {
		return false
	}
	crashedAt := now - suspect.Age
	if element := r.suspects[suspect.Fingerprint]; element != nil {
		known := element.Value.(*record)
		if suspect.Crashes <= known.crashes {
			return false
		}
		known.crashes, known.crashedAt = suspect.Crashes, crashedAt
		r.byUpdate.MoveToBack(element)
		return true
	}
	if r.byUpdate.Len() >= maxSuspects {
		r.remove(r.byUpdate.Front())
	}
	r.suspects[suspect.Fingerprint] = r.byUpdate.PushBack(&record{suspect.Fingerprint, suspect.Crashes, crashedAt})
	return true
}

// Clear removes a suspect and returns whether there was one. Callers do so when the request has got a complete answer, so
// did not crash its target.
func (r *Register) Clear(fingerprint lovageshift.Fingerprint) bool {
	element := r.suspects[fingerprint]
	if element == nil {
		return false
	}
	r.remove(element)
	return true
}

// Check returns whether and how a request with the fingerprint may run.
func (r *Register) Check(now lovageshift.Millis, fingerprint lovageshift.Fingerprint) Decision {
	r.expire(now)
	element := r.suspects[fingerprint]
	switch {
	case element == nil:
		return Allowed
	case element.Value.(*record).crashes >= r.crashesToRefuse:
		return Refused
	default:
		return Alone
	}
}

// Foremost returns up to count suspects to be reported to other processes: those with most crashes first, and of these the
// most recently updated. All requests at a target that crashes become suspects; few of them do so again.
func (r *Register) Foremost(now lovageshift.Millis, count int) []Suspect {
	r.expire(now)
	var suspects []Suspect
	for element := r.byUpdate.Back(); element != nil; element = element.Prev() {
		known := element.Value.(*record)
		suspects = append(suspects, Suspect{known.fingerprint, known.crashes, now - known.crashedAt})
	}
	slices.SortStableFunc(suspects, func(a, b Suspect) int { return cmp.Compare(b.Crashes, a.Crashes) })
	return suspects[:min(len(suspects), count)]
}

// expire removes all suspects that have reached the maximum age. It checks each one, because a suspect updated later
// than another may have crashed a target earlier: a report from another process comes with its age.
func (r *Register) expire(now lovageshift.Millis) {
	for element := r.byUpdate.Front(); element != nil; {
		next := element.Next()
		if now-element.Value.(*record).crashedAt >= r.maxAge {
			r.remove(element)
		}
		element = next
	}
}

func (r *Register) remove(element *list.Element) {
	r.byUpdate.Remove(element)
	delete(r.suspects, element.Value.(*record).fingerprint)
}
