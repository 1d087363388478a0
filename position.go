package lovageshift

import "cmp"

// StorePosition is a state of the platform's metadata store. The store may come back from an older copy of its records and
// then gives revisions out again, so that a revision says nothing without its era.
type StorePosition struct {
	// Era rises each time the store comes back from an older copy. It is 0 if the store, or an entry of an earlier build,
	// names none.
	Era int64
	// Revision rises with each change of the store within an era.
	Revision int64
}

// Compare returns -1 if p is older than q, 1 if it is newer, and 0 if they are the same.
func (p StorePosition) Compare(q StorePosition) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Older reports whether p is older than q.
func (p StorePosition) Older(q StorePosition) bool { return p.Compare(q) < 0 }
