package admission

import (
	"lovageshift"
)

const (
	windowSlots = 4096
	wordBits    = 64
	// The estimate of an entry's clock offset loosens by this share of elapsed
	// time, so that clock drift does not refuse live entries.
	driftPerMillion = 500
)

// ReplayWindow remembers which dispatches of each entry have arrived.
type ReplayWindow struct {
	transit lovageshift.Millis
	entries map[lovageshift.EntryID]*entryWindow
}

type entryWindow struct {
	incarnation lovageshift.Incarnation
	highest     uint64
	seen        [windowSlots / wordBits]uint64
	offset      lovageshift.Millis
	offsetAt    lovageshift.Millis
	heard       lovageshift.Millis
}

// NewReplayWindow returns a window that refuses dispatches more than transit milliseconds under way.
func NewReplayWindow(transit lovageshift.Millis) *ReplayWindow {
	return &ReplayWindow{transit: transit, entries: map[lovageshift.EntryID]*entryWindow{}}
}

// SetMaxTransit changes the longest time under way, in milliseconds.
func (w *ReplayWindow) SetMaxTransit(transit lovageshift.Millis) { w.transit = transit }

// ObserveEntry records an entry's clock and incarnation, in the entry's milliseconds, before its first dispatch.
func (w *ReplayWindow) ObserveEntry(now lovageshift.Millis, entry lovageshift.EntryID, incarnation lovageshift.Incarnation, sentAt lovageshift.Millis) {
	window := w.entries[entry]
	if window == nil || incarnation > window.incarnation {
		window = &entryWindow{incarnation: incarnation, offset: now - sentAt, offsetAt: now}
		w.entries[entry] = window
	}
	if incarnation == window.incarnation {
		window.learn(now, sentAt)
	}
}

// Accept takes a dispatch that was never seen, is not too old and comes from the newest incarnation, or returns the refusal.
func (w *ReplayWindow) Accept(now lovageshift.Millis, id lovageshift.DispatchID, sentAt lovageshift.Millis) *lovageshift.Refusal {
	w.ObserveEntry(now, id.Entry, id.Incarnation, sentAt)
	window := w.entries[id.Entry]
	if id.Incarnation < window.incarnation {
		// The window of the older run is gone, so this may be a copy of one that ran.
		return lovageshift.Unknown(lovageshift.ReasonOldIncarnation, "a newer run of the entry has dispatched")
	}
	if !window.mark(id.Sequence) {
		return lovageshift.Unknown(lovageshift.ReasonDuplicate, "the dispatch was seen before")
	}
	if late := window.late(now, sentAt); late > w.transit {
		return lovageshift.NotRun(lovageshift.ReasonStaleDispatch, "the dispatch was too long under way")
	}
	return nil
}

// Forget drops entries not heard of since the time given.
func (w *ReplayWindow) Forget(before lovageshift.Millis) {
	for id, window := range w.entries {
		if window.heard < before {
			delete(w.entries, id)
		}
	}
}

// learn keeps the smallest difference of the two clocks, which is the one with the least transit time.
func (e *entryWindow) learn(now, sentAt lovageshift.Millis) {
	e.heard = now
	if offset := now - sentAt; offset <= e.allowed(now) {
		e.offset = offset
		e.offsetAt = now
	}
}

func (e *entryWindow) allowed(now lovageshift.Millis) lovageshift.Millis {
	return e.offset + (now-e.offsetAt)*driftPerMillion/1_000_000
}

func (e *entryWindow) late(now, sentAt lovageshift.Millis) lovageshift.Millis {
	return now - sentAt - e.allowed(now)
}

// mark reports whether the sequence is new; one below the window counts as seen.
func (e *entryWindow) mark(sequence uint64) bool {
	if sequence+windowSlots <= e.highest {
		return false
	}
	for e.highest < sequence {
		e.highest++
		e.clear(e.highest)
		if sequence-e.highest > windowSlots {
			e.highest = sequence - windowSlots
		}
	}
	slot := sequence % windowSlots
	word, bit := slot/wordBits, uint64(1)<<(slot%wordBits)
	if e.seen[word]&bit != 0 {
		return false
	}
	e.seen[word] |= bit
	return true
}

func (e *entryWindow) clear(sequence uint64) {
	slot := sequence % windowSlots
	e.seen[slot/wordBits] &^= uint64(1) << (slot % wordBits)
}
