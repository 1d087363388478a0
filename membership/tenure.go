package membership

import (
	"slices"

	"lovageshift"
)

const maxTenures = 8

// OwnershipHistory remembers since when this process owns a key, over changes of the list of targets.
type OwnershipHistory struct {
	self  lovageshift.TargetID
	lists []list // oldest first
}

type list struct {
	members []lovageshift.TargetID
	since   lovageshift.Millis
}

// NewOwnershipHistory returns the memory of the process beside the target.
func NewOwnershipHistory(self lovageshift.TargetID) *OwnershipHistory {
	return &OwnershipHistory{self: self}
}

// Activate records that the members are in force since the time given; an unchanged list changes nothing.
func (t *OwnershipHistory) Activate(members []lovageshift.TargetID, since lovageshift.Millis) {
	if len(t.lists) > 0 && slices.Equal(t.lists[len(t.lists)-1].members, members) {
		return
	}
	t.lists = append(t.lists, list{members, since})
	if len(t.lists) > maxTenures {
		t.lists = t.lists[1:]
	}
}

// Backdate moves the newest list's beginning to an earlier time, when that has become known.
func (t *OwnershipHistory) Backdate(since lovageshift.Millis) {
	if len(t.lists) > 0 {
		newest := &t.lists[len(t.lists)-1]
		newest.since = min(newest.since, since)
	}
}

// OwnedSince returns since when this process has owned what owner gives it, and whether it does now.
func (t *OwnershipHistory) OwnedSince(owner func([]lovageshift.TargetID) lovageshift.TargetID) (lovageshift.Millis, bool) {
	var since lovageshift.Millis
	owned := false
	for i := len(t.lists) - 1; i >= 0; i-- {
		if owner(t.lists[i].members) != t.self {
			break
		}
		since, owned = t.lists[i].since, true
	}
	return since, owned
}
