package discovery

import (
	"cmp"
	"slices"

	"lovageshift"
	"lovageshift/platform"
)

// Most bytes of keys and values in one Changes, so that they fit into a datagram.
const maxChangesBytes = 4 << 10

// Changes are changes of the store's records between two revisions, as a reader sends them to the other entries (see
// SetReader). They bring an entry whose local copy has at least the revision From of the era to the revision To.
type Changes struct {
	// Era is 0 if the store, or a reader of an earlier build, names none.
	Era      int64
	From, To int64
	// Items are the changed records of targets and zones in their last state, empty if ReadStore.
	Items []platform.Item
	// ReadStore is set if each entry has to read the changes from the store itself: a record is too large for a datagram,
	// the catalog has changed, whose API keys must not be sent from entry to entry, or the reader had to read all records.
	ReadStore bool
	// StoreBack is for how long the store has been reachable again for the reader, 0 if it had no outage.
	StoreBack lovageshift.Millis
}

// splitChanges returns the changes that a watch from a revision to a position has returned, in parts that fit into a
// datagram each.
func splitChanges(from int64, to lovageshift.StorePosition, items []platform.Item) []Changes {
	items = lastStates(items)
	var parts []Changes
	part, size := Changes{Era: to.Era, From: from, To: from}, 0
	for _, item := range items {
		itemSize := len(item.Key) + len(item.Value)
		if itemSize > maxChangesBytes || !maySend(item) {
			return []Changes{{Era: to.Era, From: from, To: to.Revision, ReadStore: true}}
		}
		if size+itemSize > maxChangesBytes {
			parts = append(parts, part)
			part, size = Changes{Era: to.Era, From: part.To, To: part.To}, 0
		}
		part.Items, part.To = append(part.Items, item), max(part.To, item.Revision)
		size += itemSize
	}
	part.To = to.Revision
	return append(parts, part)
}

// maySend reports whether a record may be sent from entry to entry, and be accepted from one.
func maySend(item platform.Item) bool {
	kind, _ := platform.Classify(item.Key)
	return kind != platform.RecordCatalog
}

// lastStates returns the last state of each changed record, in the order of the revisions.
func lastStates(items []platform.Item) []platform.Item {
	last := map[string]platform.Item{}
	for _, item := range items {
		if known, found := last[item.Key]; !found || item.Revision >= known.Revision {
			last[item.Key] = item
		}
	}
	states := make([]platform.Item, 0, len(last))
	for _, item := range last {
		states = append(states, item)
	}
	slices.SortFunc(states, func(a, b platform.Item) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return states
}
