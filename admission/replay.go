package admission

import (
	"lovageshift"
)

const (
	// For each entry, the agent records which of this many sequence numbers have arrived: those up to the highest that has.
	// Lower ones are refused as duplicates.
	replayWindowSize = 4096
	wordBits         = 64 // bits in a word of the bitmap entryWindow.seen
	// The assumed clock drift between an entry and the agent, in millionths of the time passed. The clock offset is taken to
	// grow by it from each measurement on, so that drift does not make the agent refuse a live entry's dispatches as in
	// transit for too long.
	driftPerMillion = 500
)

// ReplayWindow records which dispatches of each entry have arrived, so that none is accepted twice. It also estimates how
// long each dispatch was in transit, so that those in transit for too long are refused.
type ReplayWindow struct {
	maxTransit lovageshift.Millis
	entries    map[lovageshift.EntryID]*entryWindow
}

// entryWindow is the record of one incarnation of an entry.
type entryWindow struct {
	incarnation   lovageshift.Incarnation
	highest       uint64                              // highest sequence number that has arrived
	seen          [replayWindowSize / wordBits]uint64 // whether a sequence number has arrived: bit number modulo replayWindowSize
	offset        lovageshift.Millis                  // arrival by the agent's clock minus sending by the entry's, for the fastest message
	offsetAt      lovageshift.Millis                  // when the message that gave the offset arrived
	lastMessageAt lovageshift.Millis                  // when the last message of the incarnation arrived
}

// NewReplayWindow returns a replay window in which no entry is recorded. It refuses dispatches that were in transit for more
// than maxTransit milliseconds longer than the entry's fastest message.
func NewReplayWindow(maxTransit lovageshift.Millis) *ReplayWindow {
	return &ReplayWindow{maxTransit: maxTransit, entries: map[lovageshift.EntryID]*entryWindow{}}
}

// SetMaxTransit changes how much longer than the entry's fastest message a dispatch may be in transit, in milliseconds.
func (w *ReplayWindow) SetMaxTransit(maxTransit lovageshift.Millis) { w.maxTransit = maxTransit }

// ObserveEntry records an entry's incarnation and measures the offset between its clock and the agent's. It is called for a
// message that arrives now and was sent at the time sentAt, in milliseconds of the entry's clock. A message of an older
// incarnation than the newest one known is ignored. The transit time of an entry's first dispatch can be checked only if
// ObserveEntry was called for an earlier message.
func (w *ReplayWindow) ObserveEntry(now lovageshift.Millis, entry lovageshift.EntryID, incarnation lovageshift.Incarnation, sentAt lovageshift.Millis) {
	window := w.entries[entry]
	if window == nil || incarnation > window.incarnation {
		window = &entryWindow{incarnation: incarnation, offset: now - sentAt, offsetAt: now}
		w.entries[entry] = window
	}
	if incarnation == window.incarnation {
		window.updateOffset(now, sentAt)
	}
}

// Accept records a dispatch that arrives now and was sent at the time sentAt, in milliseconds of the entry's clock. It
// returns a refusal if the dispatch was seen before, was in transit for too long or comes from an older incarnation than the
// entry's newest known, and nil otherwise. The refusal leaves the outcome unknown if the dispatch may have been accepted
// before.
func (w *ReplayWindow) Accept(now lovageshift.Millis, id lovageshift.DispatchID, sentAt lovageshift.Millis) *lovageshift.Refusal {
	w.ObserveEntry(now, id.Entry, id.Incarnation, sentAt)
	window := w.entries[id.Entry]
	if id.Incarnation < window.incarnation {
		// The record of the older incarnation was replaced, so this may be a duplicate of a dispatch that ran.
		return lovageshift.Unknown(lovageshift.ReasonOldIncarnation, "a newer run of the entry has dispatched")
	}
	if !window.mark(id.Sequence) {
		return lovageshift.Unknown(lovageshift.ReasonDuplicate, "the dispatch was seen before")
	}
	if delay := window.transitDelay(now, sentAt); delay > w.maxTransit {
		return lovageshift.NotRun(lovageshift.ReasonStaleDispatch, "the dispatch was too long under way")
	}
	return nil
}

// Forget drops the records of entries whose last message arrived before the cutoff, in milliseconds of the agent's clock.
func (w *ReplayWindow) Forget(cutoff lovageshift.Millis) {
	for id, window := range w.entries {
		if window.lastMessageAt < cutoff {
			delete(w.entries, id)
		}
	}
}

// updateOffset measures the offset with a message that arrives now and was sent at sentAt. It replaces the recorded offset
// unless the new one is higher than offsetBound, which means that the message was slower than the fastest one.
func (e *entryWindow) updateOffset(now, sentAt lovageshift.Millis) {
	e.lastMessageAt = now
	if offset := now - sentAt; offset <= e.offsetBound(now) {
		e.offset = offset
		e.offsetAt = now
	}
}

// offsetBound returns the highest offset that a message as fast as the fastest one can have now: the recorded offset plus
// the assumed clock drift since it was measured.
func (e *entryWindow) offsetBound(now lovageshift.Millis) lovageshift.Millis {
	return e.offset + (now-e.offsetAt)*driftPerMillion/1_000_000
}

// transitDelay returns how many milliseconds longer than the entry's fastest message this one was in transit, at least.
func (e *entryWindow) transitDelay(now, sentAt lovageshift.Millis) lovageshift.Millis {
	return now - sentAt - e.offsetBound(now)
}

// mark records that the sequence number has arrived, and reports whether that is the first time. A number lower than
// the highest by replayWindowSize or more counts as one that has arrived before.
func (e *entryWindow) mark(sequence uint64) bool {
	if sequence+replayWindowSize <= e.highest {
		return false
	}
	for e.highest < sequence {
		e.highest++
		e.clear(e.highest)
		if sequence-e.highest > replayWindowSize {
			e.highest = sequence - replayWindowSize
		}
	}
	index := sequence % replayWindowSize
	word, bit := index/wordBits, uint64(1)<<(index%wordBits)
	if e.seen[word]&bit != 0 {
		return false
	}
	e.seen[word] |= bit
	return true
}

func (e *entryWindow) clear(sequence uint64) {
	index := sequence % replayWindowSize
	e.seen[index/wordBits] &^= uint64(1) << (index % wordBits)
}
