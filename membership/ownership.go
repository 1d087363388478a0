package membership

import (
	"slices"

	"lovageshift"
)

// Most lists of targets that an OwnershipHistory keeps.
const maxLists = 8

// OwnershipHistory records the last 8 lists of targets (maxLists), to tell since when one target has owned a key. Its times
// are milliseconds on the clock of the process that keeps it. It is not safe for
// concurrent use.
type OwnershipHistory struct {
	self  lovageshift.TargetID
	lists []targetList // oldest first
}

type targetList struct {
	targets []lovageshift.TargetID
	since   lovageshift.Millis // from when on this list decides the owners of keys
}

// NewOwnershipHistory returns an empty history of the keys that the target self owns.
func NewOwnershipHistory(self lovageshift.TargetID) *OwnershipHistory {
	return &OwnershipHistory{self: self}
}

// Activate records a new list of targets, which decides the owners of keys from the given time on. It does nothing if the
// newest list has the same targets in the same order.
func (h *OwnershipHistory) Activate(targets []lovageshift.TargetID, since lovageshift.Millis) {
	if len(h.lists) > 0 && slices.Equal(h.lists[len(h.lists)-1].targets, targets) {
		return
	}
	h.lists = append(h.lists, targetList{targets, since})
	if len(h.lists) > maxLists {
		h.lists = h.lists[1:]
	}
}

// Backdate changes the time from when on the newest list decides the owners of keys to the given time, if that is earlier.
// This is for a process that learns from a peer that the list has been in force for longer than it knew.
func (h *OwnershipHistory) Backdate(since lovageshift.Millis) {
	if len(h.lists) > 0 {
		newest := &h.lists[len(h.lists)-1]
		newest.since = min(newest.since, since)
	}
}

// OwnedSince returns the time since which the history's target has owned a key without interruption, as far as the last 8
// lists show, and whether it owns the key under the newest list. If it does not, the time is 0. The function owner must
// return the target that owns the key under the list of targets that it is given.
func (h *OwnershipHistory) OwnedSince(owner func([]lovageshift.TargetID) lovageshift.TargetID) (lovageshift.Millis, bool) {
	var since lovageshift.Millis
	owned := false
	for i := len(h.lists) - 1; i >= 0; i-- {
		if owner(h.lists[i].targets) != h.self {
			break
		}
		since, owned = h.lists[i].since, true
	}
	return since, owned
}
