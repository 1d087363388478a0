package admission

import (
	"lovageshift"
)

const (
	// For how many sequence numbers, up to an entry's highest, the window records whether they were seen.
	replayWindowSize = 4096
	wordBits         = 64 // of the bitmap
	// The bound on an entry's clock offset grows by this many millionths of the time since the offset was measured, so that
	// clock drift does not make the agent refuse a live entry's dispatches as sent too long ago.
	driftPerMillion = 500
)

// ReplayWindow records which dispatches of each entry have arrived, so that none is accepted twice. It also estimates how
// long each was in transit, so that those sent too long ago are refused.
type ReplayWindow struct {
	maxTransit lovageshift.Millis
	entries    map[lovageshift.EntryID]*entryWindow
}

// entryWindow is the window of one incarnation of an entry.
type entryWindow struct {
	incarnation lovageshift.Incarnation
	highest     uint64                              // highest sequence number seen
	seen        [replayWindowSize / wordBits]uint64 // bitmap, by sequence number modulo its size
	offset      lovageshift.Millis                  // agent's clock minus entry's, plus the shortest transit time
	offsetAt    lovageshift.Millis                  // when the offset was measured
	lastSeen    lovageshift.Millis                  // when the last message of the incarnation arrived
}

// NewReplayWindow returns a window without entries. It refuses dispatches that were in transit for more than maxTransit
// milliseconds longer than the entry's fastest message.
func NewReplayWindow(maxTransit lovageshift.Millis) *ReplayWindow {
	return &ReplayWindow{maxTransit: maxTransit, entries: map[lovageshift.EntryID]*entryWindow{}}
}

// SetMaxTransit changes how much longer than the entry's fastest message a dispatch may be in transit, in milliseconds.
func (w *ReplayWindow) SetMaxTransit(maxTransit lovageshift.Millis) { w.maxTransit = maxTransit }

// ObserveEntry records an entry's incarnation, and its clock's offset from a message that arrives now and was sent at the
// time sentAt of that clock, in milliseconds. The transit time of an entry's first dispatch can be checked only if
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

// Accept records a dispatch that arrives now and was sent at the time sentAt of the entry's clock. It returns a refusal if
// the dispatch was seen before, was in transit for too long or comes from an older incarnation than the entry's newest, and
// nil otherwise. The refusal leaves the outcome unknown if the dispatch may have been accepted before.
func (w *ReplayWindow) Accept(now lovageshift.Millis, id lovageshift.DispatchID, sentAt lovageshift.Millis) *lovageshift.Refusal {
	w.ObserveEntry(now, id.Entry, id.Incarnation, sentAt)
	window := w.entries[id.Entry]
	if id.Incarnation < window.incarnation {
		// The window of the older incarnation is gone, so this may be a duplicate of a dispatch that ran.
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

// Forget drops the windows of entries whose last message arrived before the cutoff.
func (w *ReplayWindow) Forget(cutoff lovageshift.Millis) {
	for id, window := range w.entries {
		if window.lastSeen < cutoff {
			delete(w.entries, id)
		}
	}
}

// updateOffset replaces the offset by that of a message that arrives now if the message was as fast as the fastest one
// before, or slower by no more than the clock drift since.
func (e *entryWindow) updateOffset(now, sentAt lovageshift.Millis) {
	e.lastSeen = now
	if offset := now - sentAt; offset <= e.offsetBound(now) {
		e.offset = offset
		e.offsetAt = now
	}
}

// offsetBound returns the measured offset plus the largest clock drift since.
func (e *entryWindow) offsetBound(now lovageshift.Millis) lovageshift.Millis {
	return e.offset + (now-e.offsetAt)*driftPerMillion/1_000_000
}

// transitDelay returns how many milliseconds longer than the fastest message this one was in transit.
func (e *entryWindow) transitDelay(now, sentAt lovageshift.Millis) lovageshift.Millis {
	return now - sentAt - e.offsetBound(now)
}

// mark marks the sequence number as seen and reports whether it was not seen before. A number below the window counts as
// seen before.
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
