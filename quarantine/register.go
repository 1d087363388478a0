package quarantine

import (
	"container/list"

	"lovageshift"
)

const (
	maxSuspects = 4096
)

// Suspect is the fingerprint of a request that was running when its target crashed.
type Suspect struct {
	Fingerprint lovageshift.Fingerprint
	Crashes     int
	Age         lovageshift.Millis // time since the last crash
}

// Decision says whether and how a request may run.
type Decision int

// The decisions.
const (
	Allowed Decision = iota // not a suspect
	Alone                   // a suspect: may run, but with no other request at its target
	Refused                 // a suspect with too many crashes
)

// Register holds the suspects that one process knows of. Times are milliseconds of its clock. It is not safe for
// concurrent use.
type Register struct {
	maxAge lovageshift.Millis
	// crashesToRefuse is the number of crashes from which a suspect is refused.
	crashesToRefuse int
	suspects        map[lovageshift.Fingerprint]*list.Element
	order           *list.List // of *record, the last updated at the back
}

type record struct {
	fingerprint lovageshift.Fingerprint
	crashes     int
	crashedAt   lovageshift.Millis
}

// NewRegister returns an empty register whose suspects expire after maxAge and are refused from crashesToRefuse
// crashes on.
func NewRegister(maxAge lovageshift.Millis, crashesToRefuse int) *Register {
	return &Register{
		maxAge: maxAge, crashesToRefuse: crashesToRefuse,
		suspects: map[lovageshift.Fingerprint]*list.Element{}, order: list.New(),
	}
}

// SetMaxAge changes the age at which suspects expire.
func (r *Register) SetMaxAge(maxAge lovageshift.Millis) { r.maxAge = maxAge }

// RecordCrash counts one more crash of a fingerprint and returns the suspect.
func (r *Register) RecordCrash(now lovageshift.Millis, fingerprint lovageshift.Fingerprint) Suspect {
	crashes := 1
	if element := r.suspects[fingerprint]; element != nil {
		crashes = element.Value.(*record).crashes + 1
	}
	suspect := Suspect{Fingerprint: fingerprint, Crashes: crashes}
	r.Learn(now, suspect)
	return suspect
}

// Learn adds or updates a suspect, for example one reported by another process, and returns whether the register
// changed. A suspect with no more crashes than already known is ignored. A full register evicts the suspect that was
// updated the longest ago.
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
		r.order.MoveToBack(element)
		return true
	}
	if r.order.Len() >= maxSuspects {
		r.remove(r.order.Front())
	}
	r.suspects[suspect.Fingerprint] = r.order.PushBack(&record{suspect.Fingerprint, suspect.Crashes, crashedAt})
	return true
}

// Clear removes a suspect whose request was answered completely.
func (r *Register) Clear(fingerprint lovageshift.Fingerprint) {
	if element := r.suspects[fingerprint]; element != nil {
		r.remove(element)
	}
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

// Newest returns up to count suspects to report to other processes, the last updated first.
func (r *Register) Newest(now lovageshift.Millis, count int) []Suspect {
	r.expire(now)
	var suspects []Suspect
	for element := r.order.Back(); element != nil && len(suspects) < count; element = element.Prev() {
		known := element.Value.(*record)
		suspects = append(suspects, Suspect{known.fingerprint, known.crashes, now - known.crashedAt})
	}
	return suspects
}

func (r *Register) expire(now lovageshift.Millis) {
	for element := r.order.Front(); element != nil; { // at most maxSuspects
		next := element.Next()
		if now-element.Value.(*record).crashedAt >= r.maxAge {
			r.remove(element)
		}
		element = next
	}
}

func (r *Register) remove(element *list.Element) {
	r.order.Remove(element)
	delete(r.suspects, element.Value.(*record).fingerprint)
}
