package membership

import (
	"slices"

	"lovageshift"
)

const maxLists = 8

// OwnershipHistory records the last 8 lists of targets, to tell since when one target has owned a key. It is not safe for
// concurrent use.
type OwnershipHistory struct {
	self  lovageshift.TargetID
	lists []targetList // oldest first
}

type targetList struct {
	targets []lovageshift.TargetID
	since   lovageshift.Millis
}

// NewOwnershipHistory returns an empty history of the keys that the target self owns.
func NewOwnershipHistory(self lovageshift.TargetID) *OwnershipHistory {
	return &OwnershipHistory{self: self}
}

// Activate records a new list of targets, which decides the owners of keys from the given time on. It does nothing if the
// newest list has the same targets.
func (h *OwnershipHistory) Activate(targets []lovageshift.TargetID, since lovageshift.Millis) {
	if len(h.lists) > 0 && slices.Equal(h.lists[len(h.lists)-1].targets, targets) {
		return
	}
	h.lists = append(h.lists, targetList{targets, since})
	if len(h.lists) > maxLists {
		h.lists = h.lists[1:]
	}
}

// Backdate moves the start of the newest list to the given time if that is earlier, for example when a peer reports that
// it has had the list for longer.
func (h *OwnershipHistory) Backdate(since lovageshift.Millis) {
	if len(h.lists) > 0 {
		newest := &h.lists[len(h.lists)-1]
		newest.since = min(newest.since, since)
	}
}

// OwnedSince returns since when self has been the owner of a key without interruption, as far as the last 8 lists show,
// and whether self is the owner under the newest list; if not, the time is 0. The function owner returns the owner of
// that key under a list of targets.
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
