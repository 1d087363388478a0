package standin

import (
	"encoding/json"
	"net/http"
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
	revision     int64
	compactedTo  int64                // revision up to which events are dropped
	items        map[string]storeItem // by key
	events       []storeItem          // the writes that are not compacted, oldest first
	changed      chan struct{}        // closed and replaced at each write
	failure      int                  // HTTP status that every call is answered with, 0 if calls are served
	unresponsive bool
}

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

// NewStore returns an empty store at revision 1.
func NewStore() *Store {
	return &Store{revision: 1, items: map[string]storeItem{}, changed: make(chan struct{})}
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
	close(s.changed)
	s.changed = make(chan struct{})
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
	failure, unresponsive := s.failure, s.unresponsive
	s.mutex.Unlock()
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
		s.watch(w, r)
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
// in "wait_ms" passes first, the answer has no events. If some of the events are compacted, the status is 410.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		page, compacted, changed := s.eventsAfter(after)
		if compacted {
			w.WriteHeader(http.StatusGone)
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

// eventsAfter returns the events after a revision, whether events after it may have been compacted, and a channel that
// the next write closes.
func (s *Store) eventsAfter(after int64) (storePage, bool, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	page := storePage{AsOf: s.revision}
	for _, event := range s.events {
		if event.Revision > after {
			page.Events = append(page.Events, event)
		}
	}
	return page, after < s.compactedTo, s.changed
}
