package idempotency

import (
	"container/list"

	"lovageshift"
)

// Call is one attempt of a call that must run at most once.
type Call struct {
	Key         Key
	Fingerprint lovageshift.Fingerprint // of the account and the body
}

// Answer is the complete answer of a call that ran.
type Answer struct {
	Status      int // HTTP status
	ContentType string
	Body        []byte
}

// Limits bound what a ledger keeps and which keys it accepts.
type Limits struct {
	MaxRecords     int
	MaxAnswerBytes int                // larger answers are not kept
	KeyTTL         lovageshift.Millis // how long after its creation a key may be sent again
	ClockSkew      lovageshift.Millis // how far callers' and agents' wall clocks may differ
}

// Ledger records the calls of one incarnation of an agent. All times are wall time in milliseconds. It is not safe for
// concurrent use.
type Ledger struct {
	limits        Limits
	started       lovageshift.Millis
	newestEvicted lovageshift.Millis // every evicted record was made at or before this time
	records       map[Key]*list.Element
	order         *list.List // of *record, oldest first
}

type record struct {
	key         Key
	fingerprint lovageshift.Fingerprint
	recordedAt  lovageshift.Millis
	finished    bool
	answer      *Answer // nil if the outcome is unknown or the answer was too large to keep
}

// NewLedger returns an empty ledger for an agent that started at the given wall time.
func NewLedger(started lovageshift.Millis, limits Limits) *Ledger {
	return &Ledger{limits: limits, started: started, records: map[Key]*list.Element{}, order: list.New()}
}

// SetLimits changes the limits for later calls.
func (l *Ledger) SetLimits(limits Limits) { l.limits = limits }

// Begin returns the answer of an earlier run of the call, a refusal, or neither if the call may run now; it is then on
// record. homeSince is the time since which the agent has been the key's home.
func (l *Ledger) Begin(now, homeSince lovageshift.Millis, call Call) (*Answer, *lovageshift.Refusal) {
	if element := l.records[call.Key]; element != nil {
		return l.repeated(element.Value.(*record), call)
	}
	if !l.covers(now, max(homeSince, l.started), call.Key) {
		return nil, lovageshift.Unknown(lovageshift.ReasonIdempotencyUnproven,
			"this key may have run before a restart or a move; check before sending it under a new key")
	}
	if !l.makeRoom(now) {
		return nil, lovageshift.NotRun(lovageshift.ReasonIdempotencyFull, "too many calls are remembered").WithRetryAfter(l.limits.ClockSkew)
	}
	l.records[call.Key] = l.order.PushBack(&record{key: call.Key, fingerprint: call.Fingerprint, recordedAt: now})
	return nil, nil
}

// repeated returns the answer to a call whose key is on record, or the reason why there is none.
func (l *Ledger) repeated(known *record, call Call) (*Answer, *lovageshift.Refusal) {
	switch {
	case known.fingerprint != call.Fingerprint:
		return nil, lovageshift.NotRun(lovageshift.ReasonIdempotencyMismatch, "the key was used for another body")
	case !known.finished:
		return nil, lovageshift.Unknown(lovageshift.ReasonIdempotencyInProgress, "the call is running").WithRetryAfter(1000)
	case known.answer == nil:
		return nil, lovageshift.Unknown(lovageshift.ReasonIdempotencyUnproven, "the call ran and its answer was lost or too large to keep")
	default:
		return known.answer, nil
	}
}

// covers reports whether an earlier run of the key would still be on record, given that the record began at since. A
// key that carries its creation time must have been created after the record began and be neither expired nor from the
// future. A key without a time is covered once the record reaches back the whole time to live.
func (l *Ledger) covers(now, since lovageshift.Millis, key Key) bool {
	created, hasTime := key.CreatedAt()
	// A key created after now, but within the skew, would look new again after a restart. The skew therefore counts
	// twice: once against the future and once against the start of the record.
	if !hasTime || created > now+l.limits.ClockSkew || created < now-l.limits.KeyTTL {
		return !hasTime && now-since >= l.limits.KeyTTL && l.newestEvicted <= now-l.limits.KeyTTL
	}
	return created > since+l.limits.ClockSkew && created > l.newestEvicted+l.limits.ClockSkew
}

// makeRoom evicts finished records whose keys have expired and reports whether there is room for one more record.
func (l *Ledger) makeRoom(now lovageshift.Millis) bool {
	for element := l.order.Front(); element != nil; {
		oldest := element.Value.(*record)
		next := element.Next()
		expired := oldest.finished && now-oldest.recordedAt > l.limits.KeyTTL+l.limits.ClockSkew
		if !expired {
			break
		}
		l.evict(element, oldest)
		element = next
	}
	return l.order.Len() < l.limits.MaxRecords
}

func (l *Ledger) evict(element *list.Element, oldest *record) {
	l.order.Remove(element)
	delete(l.records, oldest.key)
	l.newestEvicted = max(l.newestEvicted, oldest.recordedAt)
}

// Finish records the complete answer of a call that ran, or nil if its outcome is unknown.
func (l *Ledger) Finish(key Key, answer *Answer) {
	element := l.records[key]
	if element == nil {
		return
	}
	known := element.Value.(*record)
	known.finished = true
	if answer != nil && len(answer.Body) <= l.limits.MaxAnswerBytes {
		known.answer = answer
	}
}

// Abandon deletes the record of a call that provably did not run.
func (l *Ledger) Abandon(key Key) {
	if element := l.records[key]; element != nil {
		l.order.Remove(element)
		delete(l.records, key)
	}
}

// Len returns the number of calls on record.
func (l *Ledger) Len() int { return l.order.Len() }
