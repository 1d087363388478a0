package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store, a key-value store whose revision rises by 1 with each write.
// It is safe for concurrent use.
type Store struct {
	mutex        sync.Mutex
	era          int64 // rises with each Restore
	revision     int64
	compactedTo  int64                // revision up to which events are dropped
	items        map[string]storeItem // by key
	events       []storeItem          // the writes that are not compacted, oldest first
	changed      chan struct{}        // closed and replaced at each write
	failure      int                  // HTTP status that every call is answered with, 0 if calls are served
	unresponsive bool
}

// StoreCopy is a copy of the items of a store, at one revision.
type StoreCopy struct {
	revision int64
	items    map[string]storeItem
}

// Revision returns the revision of the store when the copy was made.
func (c StoreCopy) Revision() int64 { return c.revision }

// HeaderStoreEra is the header of all answers that holds the store's era.
const HeaderStoreEra = "Store-Era"

// storeItem is a key with its value, or an event: one write of a key. Revision is that of the write.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"` // part of the platform's format; never set here
	Deleted  bool   `json:"deleted,omitempty"`
}

// storePage is the answer to a range (Items) or to a watch (Events), as of the store's revision AsOf. More is set if
// further items of the range follow.
type storePage struct {
	Items  []storeItem `json:"items,omitempty"`
	Events []storeItem `json:"events,omitempty"`
	More   bool        `json:"has_more"`
	AsOf   int64       `json:"as_of"`
}

// ConfigKey is the key under which the operator publishes the configuration; its value is a Catalog in JSON.
const ConfigKey = "op/config"

// ZoneOutKey returns the key that marks an availability zone as out of service: the zone is out of service while the
// key exists, whatever its value.
func ZoneOutKey(zone string) string { return "op/evacuate/" + zone }

// storePageItems is the maximum number of items in one answer to a range.
const storePageItems = 4

// NewStore returns an empty store at revision 1 of era 1.
func NewStore() *Store {
	return &Store{era: 1, revision: 1, items: map[string]storeItem{}, changed: make(chan struct{})}
}

// Put sets a key to the value in JSON.
func (s *Store) Put(key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err) // callers in this module pass only values that JSON can encode
	}
	s.write(storeItem{Key: key, Value: content})
}

// PutBytes sets a key to the value, which need not be JSON.
func (s *Store) PutBytes(key string, value []byte) { s.write(storeItem{Key: key, Value: value}) }

// Delete removes a key.
func (s *Store) Delete(key string) { s.write(storeItem{Key: key, Deleted: true}) }

// write sets or deletes the item's key at the next revision and wakes the watches.
func (s *Store) write(item storeItem) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	item.Revision = s.revision
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.events = append(s.events, item)
	s.wake()
}

// wake wakes the watches.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Copy returns a copy of the store for Restore.
func (s *Store) Copy() StoreCopy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return StoreCopy{revision: s.revision, items: maps.Clone(s.items)}
}

// Restore takes the store back to the copy, in a new era: what was written since then is lost, and its revisions are given
// out again. Watches are answered with status 503. It returns the keys of the copy.
func (s *Store) Restore(from StoreCopy) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.revision, s.items = from.revision, maps.Clone(from.items)
	s.events = slices.DeleteFunc(s.events, func(event storeItem) bool { return event.Revision > from.revision })
	s.compactedTo = min(s.compactedTo, from.revision)
	s.wake()
	return slices.Collect(maps.Keys(from.items))
}

// Compact drops all events so far. A watch that asks for events after an earlier revision than the current one is then
// answered with status 410.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.events, s.compactedTo = nil, s.revision
}

// SetFailure makes the store answer every new call with the HTTP status; 0 makes it serve calls again.
func (s *Store) SetFailure(status int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failure = status
}

// SetUnresponsive makes the store leave every new call without an answer until the call is cancelled, or serve calls
// again. It takes precedence over SetFailure.
func (s *Store) SetUnresponsive(unresponsive bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unresponsive = unresponsive
}

// ServeHTTP serves the store's HTTP interface: ranges, which read the items with a key prefix, and watches, which wait
// for events.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	failure, unresponsive, era := s.failure, s.unresponsive, s.era
	s.mutex.Unlock()
	w.Header().Set(HeaderStoreEra, strconv.FormatInt(era, 10))
	if unresponsive {
		<-r.Context().Done()
		return
	}
	if failure != 0 {
		w.WriteHeader(failure)
		return
	}
	query := r.URL.Query()
	switch r.URL.Path {
	case "/-/kv-range":
		s.writePage(w, s.page(query.Get("prefix"), query.Get("after")))
	case "/-/kv-watch":
		s.watch(w, r, era)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) writePage(w http.ResponseWriter, page storePage) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

// page returns the first items, in order of their keys, whose keys start with prefix and sort after the argument after.
func (s *Store) page(prefix, after string) storePage {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := storePage{AsOf: s.revision, More: len(keys) > storePageItems}
	for _, key := range keys[:min(len(keys), storePageItems)] {
		page.Items = append(page.Items, s.items[key])
	}
	return page
}

// watch answers with the events after the revision in the query parameter "after", as soon as there is one. If the time
// in "wait_ms" passes first, the answer has no events. If some of the events are compacted, or the store has not had the
// revision in the era in which the watch began, the status is 410. If the store is restored, the status is 503.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, era int64) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		page, status, changed := s.eventsAfter(era, after)
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		if len(page.Events) > 0 {
			s.writePage(w, page)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			s.writePage(w, page)
			return
		}
	}
}

// eventsAfter returns the events after a revision, the status of the answer to a watch that began in the era, and a channel
// that the next write closes.
func (s *Store) eventsAfter(era, after int64) (storePage, int, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case era != s.era:
		return storePage{}, http.StatusServiceUnavailable, nil
	case after < s.compactedTo || after > s.revision:
		return storePage{}, http.StatusGone, nil
	}
	page := storePage{AsOf: s.revision}
	for _, event := range s.events {
		if event.Revision > after {
			page.Events = append(page.Events, event)
		}
	}
	return page, http.StatusOK, s.changed
}
