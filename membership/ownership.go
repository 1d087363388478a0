package membership

import (
	"slices"

	"lovageshift"
)

const maxLists = 8

// OwnershipHistory records the last 8 lists of targets, to tell since when a process owns a key. It is not safe for
// concurrent use.
type OwnershipHistory struct {
	self  lovageshift.TargetID
	lists []memberList // oldest first
}

type memberList struct {
	members []lovageshift.TargetID
	since   lovageshift.Millis
}

// NewOwnershipHistory returns an empty history for the process beside the target.
func NewOwnershipHistory(self lovageshift.TargetID) *OwnershipHistory {
	return &OwnershipHistory{self: self}
}

// Activate records that the members have been in force since the given time. It does nothing if the newest list is the
// same.
func (h *OwnershipHistory) Activate(members []lovageshift.TargetID, since lovageshift.Millis) {
	if len(h.lists) > 0 && slices.Equal(h.lists[len(h.lists)-1].members, members) {
		return
	}
	h.lists = append(h.lists, memberList{members, since})
	if len(h.lists) > maxLists {
		h.lists = h.lists[1:]
	}
}

// Backdate moves the start of the newest list to the given time if that is earlier, as when a peer reports that it has
// had the list for longer.
func (h *OwnershipHistory) Backdate(since lovageshift.Millis) {
	if len(h.lists) > 0 {
		newest := &h.lists[len(h.lists)-1]
		newest.since = min(newest.since, since)
	}
}

// OwnedSince returns since when this process has been the owner of a key without interruption, and whether it is the
// owner under the newest list. The function owner returns the key's owner among the given members.
func (h *OwnershipHistory) OwnedSince(owner func([]lovageshift.TargetID) lovageshift.TargetID) (lovageshift.Millis, bool) {
	var since lovageshift.Millis
	owned := false
	for i := len(h.lists) - 1; i >= 0; i-- {
		if owner(h.lists[i].members) != h.self {
			break
		}
		since, owned = h.lists[i].since, true
	}
	return since, owned
}
