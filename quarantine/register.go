package quarantine

import (
	"container/list"

	"lovageshift"
)

const (
	maxSuspects = 4096
)

// Suspect is a fingerprint that was running when its target crashed.
type Suspect struct {
	Fingerprint lovageshift.Fingerprint
	Crashes     int
	Age         lovageshift.Millis
}

// Verdict says how a request with a fingerprint may run.
type Verdict int

// The verdicts.
const (
	Allowed Verdict = iota
	Alone
	Refused
)

// Register holds the suspects that one process knows of, newest last; times are milliseconds of its clock.
type Register struct {
	maxAge lovageshift.Millis
	// crashesToRefuse is after how many crashes a suspect is refused.
	crashesToRefuse int
	suspects        map[lovageshift.Fingerprint]*list.Element
	order           *list.List
}

type entry struct {
	fingerprint lovageshift.Fingerprint
	crashes     int
	at          lovageshift.Millis
}

// NewRegister returns an empty register whose suspects are forgotten after maxAge and refused after so
// many crashes.
func NewRegister(maxAge lovageshift.Millis, crashesToRefuse int) *Register {
	return &Register{
		maxAge: maxAge, crashesToRefuse: crashesToRefuse,
		suspects: map[lovageshift.Fingerprint]*list.Element{}, order: list.New(),
	}
}

// SetMaxAge changes after which time suspects are forgotten.
func (r *Register) SetMaxAge(maxAge lovageshift.Millis) { r.maxAge = maxAge }

// RecordCrash counts one more crash against a fingerprint and returns its suspect.
func (r *Register) RecordCrash(now lovageshift.Millis, fingerprint lovageshift.Fingerprint) Suspect {
	crashes := 1
	if element := r.suspects[fingerprint]; element != nil {
		crashes = element.Value.(*entry).crashes + 1
	}
	suspect := Suspect{Fingerprint: fingerprint, Crashes: crashes}
	r.Learn(now, suspect)
	return suspect
}

// Learn takes in a suspect from another process and reports whether it was news.
func (r *Register) Learn(now lovageshift.Millis, suspect Suspect) bool {
	r.forget(now)
	if suspect.Age >= r.maxAge || suspect.Crashes <= 0 {
		return false
	}
	at := now - suspect.Age
	if element := r.suspects[suspect.Fingerprint]; element != nil {
		known := element.Value.(*entry)
		if suspect.Crashes <= known.crashes {
			return false
		}
		known.crashes, known.at = suspect.Crashes, at
		r.order.MoveToBack(element)
		return true
	}
	if r.order.Len() >= maxSuspects {
		r.drop(r.order.Front())
	}
	r.suspects[suspect.Fingerprint] = r.order.PushBack(&entry{suspect.Fingerprint, suspect.Crashes, at})
	return true
}

// Clear drops a suspect that gave a whole answer.
func (r *Register) Clear(fingerprint lovageshift.Fingerprint) {
	if element := r.suspects[fingerprint]; element != nil {
		r.drop(element)
	}
}

// Check says how a request with the fingerprint may run.
func (r *Register) Check(now lovageshift.Millis, fingerprint lovageshift.Fingerprint) Verdict {
	r.forget(now)
	element := r.suspects[fingerprint]
	switch {
	case element == nil:
		return Allowed
	case element.Value.(*entry).crashes >= r.crashesToRefuse:
		return Refused
	default:
		return Alone
	}
}

// Newest returns up to count suspects, newest first, to pass on.
func (r *Register) Newest(now lovageshift.Millis, count int) []Suspect {
	r.forget(now)
	var suspects []Suspect
	for element := r.order.Back(); element != nil && len(suspects) < count; element = element.Prev() {
		known := element.Value.(*entry)
		suspects = append(suspects, Suspect{known.fingerprint, known.crashes, now - known.at})
	}
	return suspects
}

func (r *Register) forget(now lovageshift.Millis) {
	for element := r.order.Front(); element != nil; { // at most maxSuspects
		next := element.Next()
		if now-element.Value.(*entry).at >= r.maxAge {
			r.drop(element)
		}
		element = next
	}
}

func (r *Register) drop(element *list.Element) {
	r.order.Remove(element)
	delete(r.suspects, element.Value.(*entry).fingerprint)
}
