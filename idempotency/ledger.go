package idempotency

import (
	"container/list"

	"lovageshift"
)

// Call is one attempt of a call that must run at most once.
type Call struct {
	Key         Key
	Fingerprint lovageshift.Fingerprint
}

// Answer is the whole answer of a call that ran.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Limits bound what a ledger remembers and believes.
type Limits struct {
	MaxRecords     int
	MaxAnswerBytes int
	KeyTTL         lovageshift.Millis // how long after minting a key may be sent again
	ClockSkew      lovageshift.Millis // how far callers' and agents' wall clocks may differ
}

// Ledger is the record of one run of an agent. All times are wall time in milliseconds.
type Ledger struct {
	limits  Limits
	started lovageshift.Millis
	evicted lovageshift.Millis // every record evicted was made before this time
	records map[Key]*list.Element
	order   *list.List
}

type record struct {
	key         Key
	fingerprint lovageshift.Fingerprint
	made        lovageshift.Millis
	done        bool
	answer      *Answer
}

// NewLedger returns an empty ledger of an agent that started at the wall time given.
func NewLedger(started lovageshift.Millis, limits Limits) *Ledger {
	return &Ledger{limits: limits, started: started, records: map[Key]*list.Element{}, order: list.New()}
}

// SetLimits changes the limits for calls from now on.
func (l *Ledger) SetLimits(limits Limits) { l.limits = limits }

// Begin returns the answer of an earlier run, or nil and no refusal when the call may run now and is recorded.
// The agent has been the key's home since the time given.
func (l *Ledger) Begin(now, homeSince lovageshift.Millis, call Call) (*Answer, *lovageshift.Refusal) {
	if element := l.records[call.Key]; element != nil {
		return l.again(element.Value.(*record), call)
	}
	if !l.proves(now, max(homeSince, l.started), call.Key) {
		return nil, lovageshift.Unknown(lovageshift.ReasonIdempotencyUnproven,
			"this key may have run before a restart or a move; check before sending it under a new key")
	}
	if !l.makeRoom(now) {
		return nil, lovageshift.NotRun(lovageshift.ReasonIdempotencyFull, "too many calls are remembered").WithRetryAfter(l.limits.ClockSkew)
	}
	l.records[call.Key] = l.order.PushBack(&record{key: call.Key, fingerprint: call.Fingerprint, made: now})
	return nil, nil
}

func (l *Ledger) again(known *record, call Call) (*Answer, *lovageshift.Refusal) {
	switch {
	case known.fingerprint != call.Fingerprint:
		return nil, lovageshift.NotRun(lovageshift.ReasonIdempotencyMismatch, "the key was used for another body")
	case !known.done:
		return nil, lovageshift.Unknown(lovageshift.ReasonIdempotencyInProgress, "the call is running").WithRetryAfter(1000)
	case known.answer == nil:
		return nil, lovageshift.Unknown(lovageshift.ReasonIdempotencyUnproven, "the call ran and its answer was lost or too large to keep")
	default:
		return known.answer, nil
	}
}

// proves reports whether an earlier run of the key would still be on record.
func (l *Ledger) proves(now, since lovageshift.Millis, key Key) bool {
	minted, timed := key.CreatedAt()
	// A key minted after now within the skew would look new again after a restart, so the skew counts twice:
	// once against the future and once against the start of the record.
	if !timed || minted > now+l.limits.ClockSkew || minted < now-l.limits.KeyTTL {
		return !timed && now-since >= l.limits.KeyTTL && l.evicted <= now-l.limits.KeyTTL
	}
	return minted > since+l.limits.ClockSkew && minted > l.evicted+l.limits.ClockSkew
}

// makeRoom evicts finished records that are past the keys' lifetime.
func (l *Ledger) makeRoom(now lovageshift.Millis) bool {
	for element := l.order.Front(); element != nil; {
		oldest := element.Value.(*record)
		next := element.Next()
		expired := oldest.done && now-oldest.made > l.limits.KeyTTL+l.limits.ClockSkew
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
	l.evicted = max(l.evicted, oldest.made)
}

// Finish records the whole answer of a call that ran, or nil when its outcome is unknown.
func (l *Ledger) Finish(key Key, answer *Answer) {
	element := l.records[key]
	if element == nil {
		return
	}
	known := element.Value.(*record)
	known.done = true
	if answer != nil && len(answer.Body) <= l.limits.MaxAnswerBytes {
		known.answer = answer
	}
}

// Abandon forgets a call that provably did not run.
func (l *Ledger) Abandon(key Key) {
	if element := l.records[key]; element != nil {
		l.order.Remove(element)
		delete(l.records, key)
	}
}

// Len returns how many calls are on record.
func (l *Ledger) Len() int { return l.order.Len() }
