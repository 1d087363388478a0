package admission

import (
	"lovageshift"
)

const (
	// How many sequence numbers up to an entry's highest are remembered.
	replayWindowSize = 4096
	wordBits         = 64
	// The bound on an entry's clock offset grows by this many millionths of the elapsed time, so that clock drift does
	// not make the agent refuse a live entry's dispatches as stale.
	driftPerMillion = 500
)

// ReplayWindow remembers which dispatches of each entry have arrived, so that none is accepted twice.
type ReplayWindow struct {
	maxTransit lovageshift.Millis
	entries    map[lovageshift.EntryID]*entryWindow
}

// entryWindow is the window of one entry's incarnation.
type entryWindow struct {
	incarnation lovageshift.Incarnation
	highest     uint64                              // highest sequence number seen
	seen        [replayWindowSize / wordBits]uint64 // bitmap, by sequence number modulo its size
	offset      lovageshift.Millis                  // agent's clock minus entry's, plus the shortest transit
	offsetAt    lovageshift.Millis
	lastSeen    lovageshift.Millis
}

// NewReplayWindow returns a window that refuses dispatches that took more than maxTransit milliseconds to arrive.
func NewReplayWindow(maxTransit lovageshift.Millis) *ReplayWindow {
	return &ReplayWindow{maxTransit: maxTransit, entries: map[lovageshift.EntryID]*entryWindow{}}
}

// SetMaxTransit changes the longest transit time accepted, in milliseconds.
func (w *ReplayWindow) SetMaxTransit(maxTransit lovageshift.Millis) { w.maxTransit = maxTransit }

// ObserveEntry records an entry's incarnation and its clock: sentAt is when the entry sent a message, in milliseconds of
// its own clock. Called before the first dispatch, it lets that one be checked for its transit time too.
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

// Accept marks a dispatch as seen. It returns a refusal if the dispatch was seen before, was sent too long ago or comes
// from an older incarnation than the entry's newest, and nil otherwise.
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

// Forget drops entries from which no message has come since the time before.
func (w *ReplayWindow) Forget(before lovageshift.Millis) {
	for id, window := range w.entries {
		if window.lastSeen < before {
			delete(w.entries, id)
		}
	}
}

// updateOffset keeps the smallest difference between the two clocks, which is the one with the shortest transit time.
func (e *entryWindow) updateOffset(now, sentAt lovageshift.Millis) {
	e.lastSeen = now
	if offset := now - sentAt; offset <= e.offsetBound(now) {
		e.offset = offset
		e.offsetAt = now
	}
}

// offsetBound returns the offset loosened for clock drift since it was measured.
func (e *entryWindow) offsetBound(now lovageshift.Millis) lovageshift.Millis {
	return e.offset + (now-e.offsetAt)*driftPerMillion/1_000_000
}

// transitDelay returns how much longer than the fastest message this one took.
func (e *entryWindow) transitDelay(now, sentAt lovageshift.Millis) lovageshift.Millis {
	return now - sentAt - e.offsetBound(now)
}

// mark marks the sequence number as seen and reports whether it is new. One below the window counts as seen.
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
