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

// Store is a stand-in for the users' metadata store, a revisioned key-value store.
type Store struct {
	mutex        sync.Mutex
	revision     int64
	compactedTo  int64 // revision up to which history is dropped
	items        map[string]storeItem
	events       []storeItem
	changed      chan struct{} // closed and replaced at each write
	failure      int           // HTTP status of every answer, 0 for none
	unresponsive bool
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storePage struct {
	Items  []storeItem `json:"items,omitempty"`
	Events []storeItem `json:"events,omitempty"`
	More   bool        `json:"has_more"`
	AsOf   int64       `json:"as_of"`
}

// ConfigKey is the key of the operator's configuration, a Catalog.
const ConfigKey = "op/config"

// ZoneOutKey returns the key that takes an availability zone out of service.
func ZoneOutKey(zone string) string { return "op/evacuate/" + zone }

// storePageItems is how many items a page of a range holds.
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

// PutBytes sets a key to the bytes, which need not be JSON.
func (s *Store) PutBytes(key string, value []byte) { s.write(storeItem{Key: key, Value: value}) }

// Delete removes a key.
func (s *Store) Delete(key string) { s.write(storeItem{Key: key, Deleted: true}) }

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

// Compact drops all history: a watch from before the current revision is answered with status 410.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.events, s.compactedTo = nil, s.revision
}

// SetFailure makes the store answer every call with the status; 0 makes it work again.
func (s *Store) SetFailure(status int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failure = status
}

// SetUnresponsive makes calls that arrive while it is set wait without an answer until the client gives up.
func (s *Store) SetUnresponsive(unresponsive bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unresponsive = unresponsive
}

// ServeHTTP serves the store's HTTP interface: ranges and watches.
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

// page returns the first items with the prefix after the key, in order of their keys.
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

// watch answers with the events after a revision, as soon as there is one or after the wait time.
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

// eventsAfter returns the events after a revision, whether some of them are compacted, and a channel that the next
// write closes.
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
