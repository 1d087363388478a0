package idempotency

import (
	"container/list"

	"lovageshift"
)

// Call is a caller's request that must run at most once. A resend of the request has the same key and fingerprint.
type Call struct {
	Key         Key
	Fingerprint lovageshift.Fingerprint // of the account, the method, the path and the body
}

// Answer is the complete answer to a call that ran.
type Answer struct {
	Status      int // HTTP status
	ContentType string
	Body        []byte
}

// Limits bound what a ledger keeps, and for how long a key may be used.
type Limits struct {
	MaxRecords     int                // most calls that the ledger keeps records of
	MaxAnswerBytes int                // largest body of an answer that is kept, in bytes
	KeyTTL         lovageshift.Millis // longest time in milliseconds from a key's creation to a call with it
	ClockSkew      lovageshift.Millis // largest difference between a caller's and an agent's wall clock, in milliseconds
}

// Ledger holds the records of the calls that one incarnation of an agent is running or has run. Before it adds a
// record, Begin evicts the oldest records whose keys have expired. All times are wall time in milliseconds. A Ledger is
// not safe for concurrent use.
type Ledger struct {
	limits        Limits
	started       lovageshift.Millis // when the agent's incarnation started
	newestEvicted lovageshift.Millis // time recordedAt of the newest record that was evicted, 0 before the first
	records       map[Key]*list.Element
	byTime        *list.List // of *record, oldest first
}

type record struct {
	key         Key
	fingerprint lovageshift.Fingerprint
	recordedAt  lovageshift.Millis
	finished    bool    // the call is no longer running
	answer      *Answer // nil while the call is running, if its outcome is unknown, and if the answer was too large to keep
}

// NewLedger returns an empty ledger for an incarnation of an agent that started at the given wall time.
func NewLedger(started lovageshift.Millis, limits Limits) *Ledger {
	return &Ledger{limits: limits, started: started, records: map[Key]*list.Element{}, byTime: list.New()}
}

// SetLimits changes the limits for later calls of the ledger's methods.
func (l *Ledger) SetLimits(limits Limits) { l.limits = limits }

// Begin returns the answer of an earlier run of the call, or a refusal. If it returns neither, it has recorded the
// call, and the caller must run it and then call Finish or Abandon. homeSince is the wall time since which the agent
// has been the key's home without interruption.
func (l *Ledger) Begin(now, homeSince lovageshift.Millis, call Call) (*Answer, *lovageshift.Refusal) {
	if element := l.records[call.Key]; element != nil {
		return l.answerFromRecord(element.Value.(*record), call)
	}
	if !l.provesFirstRun(now, max(homeSince, l.started), call.Key) {
		return nil, lovageshift.Unknown(lovageshift.ReasonIdempotencyUnproven,
			"this key may have run before a restart or a move; check before sending it under a new key")
	}
	if !l.makeRoom(now) {
		return nil, lovageshift.NotRun(lovageshift.ReasonIdempotencyFull, "too many calls are remembered").WithRetryAfter(l.limits.ClockSkew)
	}
	l.records[call.Key] = l.byTime.PushBack(&record{key: call.Key, fingerprint: call.Fingerprint, recordedAt: now})
	return nil, nil
}

// answerFromRecord returns the recorded answer to a call whose key is on record, or a refusal if no answer is recorded
// or the record is of a different request.
func (l *Ledger) answerFromRecord(known *record, call Call) (*Answer, *lovageshift.Refusal) {
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

// provesFirstRun reports whether the absence of a record proves that no call with the key has run before. The ledger
// holds all calls with the key since the time since, except those whose records it has evicted.
//
// A key that contains its creation time must have been created more than the clock skew after since and after the
// newest evicted record was made, and its creation time must be neither older than the time to live nor later than now
// plus the clock skew. A key without a creation time is accepted once the time to live has passed since the later of
// since and the time when the newest evicted record was made.
func (l *Ledger) provesFirstRun(now, since lovageshift.Millis, key Key) bool {
	created, hasTime := key.CreatedAt()
	// A caller's clock may be ahead of the agent's, so a creation time up to the clock skew after now is accepted. If the
	// agent then restarts at once and so loses its records, the same key has a creation time after since. The skew is
	// therefore added to since too.
	if !hasTime || created > now+l.limits.ClockSkew || created < now-l.limits.KeyTTL {
		return !hasTime && now-since >= l.limits.KeyTTL && l.newestEvicted <= now-l.limits.KeyTTL
	}
	return created > since+l.limits.ClockSkew && created > l.newestEvicted+l.limits.ClockSkew
}

// makeRoom evicts records in order of age, from the oldest on, until it meets one that is unfinished or whose key may
// still be valid, and reports whether there is room for one more record.
func (l *Ledger) makeRoom(now lovageshift.Millis) bool {
	for element := l.byTime.Front(); element != nil; {
		oldest := element.Value.(*record)
		next := element.Next()
		expired := oldest.finished && now-oldest.recordedAt > l.limits.KeyTTL+l.limits.ClockSkew
		if !expired {
			break
		}
		l.evict(element, oldest)
		element = next
	}
	return l.byTime.Len() < l.limits.MaxRecords
}

func (l *Ledger) evict(element *list.Element, oldest *record) {
	l.byTime.Remove(element)
	delete(l.records, oldest.key)
	l.newestEvicted = max(l.newestEvicted, oldest.recordedAt)
}

// Finish marks the call as no longer running and records its complete answer. The answer is nil if the call's outcome
// is unknown. An answer that is too large is not kept. Finish does nothing if the call is not on record.
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

// Abandon deletes the record of a call that provably did not run, so that a resend may run.
func (l *Ledger) Abandon(key Key) {
	if element := l.records[key]; element != nil {
		l.byTime.Remove(element)
		delete(l.records, key)
	}
}

// Len returns the number of calls on record.
func (l *Ledger) Len() int { return l.byTime.Len() }
