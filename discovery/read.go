package discovery

import (
	"context"
	"errors"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/platform"
)

const (
	// The longest time that a watch of the store waits for a change.
	watchMillis lovageshift.Millis = 1200
	// The pause after a watch that returned changes, so that the next watch fetches all changes of that time in one call.
	coalesceMillis lovageshift.Millis = 500
	// The most pages that are read of a complete list of the records. Records on later pages are ignored.
	maxPages = 64
	// The most bytes of records that are read of a list. Records on later pages are ignored.
	maxListBytes = 32 << 20
)

// errNewEra is the error of a call whose response shows that the store has come back from an older copy: all records have to
// be read. errOlderEra is the error of a call whose response is from before that.
var (
	errNewEra   = errors.New("the store has come back from an older copy")
	errOlderEra = errors.New("the store's response is from an era before")
)

// listing is a list of the store's records, read in pages.
type listing struct {
	items []platform.Item
	// position is the store position of the first page.
	position lovageshift.StorePosition
	// isPart is set if the list ends after the key through although the store said that it has more.
	isPart  bool
	through string
}

// covers reports whether a record with the key would be in the list.
func (l listing) covers(key string) bool { return !l.isPart || key <= l.through }

// readPages returns the records of the first maxPages pages in the store, of those with the first maxListBytes, or of those before
// a page that does not go on after the page before it.
func readPages(ctx context.Context, store Store, address string) (listing, error) {
	list := listing{isPart: true}
	listBytes := 0
	for pageNumber := range maxPages {
		page, err := store.Range(ctx, address, list.through)
		if err != nil {
			return list, err
		}
		if pageNumber == 0 {
			list.position = page.Position
		}
		if page.Position.Era != list.position.Era {
			return list, errNewEra
		}
		list.items = append(list.items, page.Items...)
		last := lastKey(page.Items)
		if !page.More || len(page.Items) == 0 {
			list.isPart = false
			return list, nil
		}
		if last <= list.through {
			return list, nil
		}
		list.through = last
		listBytes += sizeOf(page.Items)
		if listBytes >= maxListBytes {
			return list, nil
		}
	}
	return list, nil
}

func sizeOf(items []platform.Item) int {
	size := 0
	for _, item := range items {
		size += len(item.Key) + len(item.Value)
	}
	return size
}

// lastKey returns the last of the keys, "" if none could be read.
func lastKey(items []platform.Item) string {
	last := ""
	for _, item := range items {
		last = max(last, item.Key)
	}
	return last
}

// ReadView reads all records once. It returns the view that a newly started entry would publish and the changes that
// the entry would log. The view's Catalog is nil if the store holds no valid catalog.
func ReadView(ctx context.Context, store Store, address string) (*catalog.View, []Change, error) {
	list, err := readPages(ctx, store, address)
	if err != nil {
		return nil, nil, err
	}
	records := NewRecords()
	records.Replace(0, 0, list.items)
	return records.View(0), records.Changes(), nil
}

// readAll reads all records, publishes their view and returns the store position of the first page. The next watch starts
// from there, as the pages are not one consistent snapshot: a record may change while they are read. The parameter before
// is the position of the local copy.
func (t *Tracker) readAll(ctx context.Context, before lovageshift.StorePosition) (lovageshift.StorePosition, error) {
	sentAt := t.clock.SinceBoot()
	list, err := readPages(ctx, t.store, t.address())
	if err != nil {
		return before, err
	}
	position := list.position
	if isOlderEra(position, before) {
		return before, errOlderEra
	}
	t.recordSuccess()
	now := t.clock.Now()
	if before.Revision > 0 && position.Era != before.Era {
		t.storeBackAt = now
		t.noteRestored()
		t.records.restore(now, t.returnedAt(position.Era), list)
	} else {
		if position.Older(before) {
			t.records.forgetRevisions()
		}
		t.records.replace(now, t.storeBackAt, list)
	}
	if list.isPart {
		t.log.Info("storeListCut", "records", len(list.items), "through", list.through)
	}
	t.publish()
	t.setPosition(position, sentAt)
	t.passOnRead(before, position)
	return position, nil
}

// isOlderEra reports whether a response of the store is from an era before that of the position. It was delayed, or comes
// from a part of the store that has not been restored yet.
func isOlderEra(response, position lovageshift.StorePosition) bool {
	return response.Era > 0 && response.Era < position.Era
}

// watchOnce waits for changes after the position, publishes them and, as a reader, passes them on. It returns the position
// to watch from next, which stays the same if the watch failed.
func (t *Tracker) watchOnce(ctx context.Context, position lovageshift.StorePosition) (lovageshift.StorePosition, error) {
	sentAt := t.clock.SinceBoot()
	page, err := t.store.Watch(ctx, t.address(), position.Revision, t.nextWatchWait())
	if err != nil {
		return position, err
	}
	if isOlderEra(page.Position, position) {
		return position, errOlderEra
	}
	t.recordSuccess()
	if page.Position.Era != position.Era {
		t.log.Info("storeEraChanged", "before", position.Era, "era", page.Position.Era,
			"position", position.Revision, "revision", page.Position.Revision, "records", len(page.Items))
		return position, errNewEra
	}
	if page.Position.Revision > 0 && page.Position.Older(position) {
		// Another entry sent changes up to a revision that the store does not have.
		return position, platform.ErrHistoryGone
	}
	next := position
	next.Revision = max(next.Revision, page.Position.Revision)
	if len(page.Items) == 0 {
		t.setPosition(next, sentAt)
		return next, nil
	}
	now := t.clock.Now()
	for _, item := range page.Items {
		t.records.Apply(now, t.storeBackAt, item)
	}
	t.publish()
	t.setPosition(next, sentAt)
	isReader := t.isReader()
	if isReader || t.asksForOthers {
		t.passOn(position.Revision, next, page.Items)
	}
	if isReader {
		lovageshift.Pause(ctx, coalesceMillis.Duration())
	}
	return next, nil
}

// nextWatchWait returns how long the next watch waits for a change. While Expire will change the records soon, it is a
// quarter of that, as Expire runs only after each watch.
func (t *Tracker) nextWatchWait() lovageshift.Millis {
	switch {
	case !t.isReader() && !t.storeUnreachable:
		return probeWatchMillis
	case t.records.awaitsExpiry():
		return t.watchWait() / 4
	default:
		return t.watchWait()
	}
}
