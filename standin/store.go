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

// Store stands in for the users' metadata store.
type Store struct {
	mutex    sync.Mutex
	revision int64
	oldest   int64
	items    map[string]storeItem
	events   []storeItem
	changed  chan struct{}
	status   int
	silent   bool
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

// ConfigKey is the key of the operator's configuration.
const ConfigKey = "op/config"

// ZoneOutKey returns the key that takes an availability zone out of service.
func ZoneOutKey(zone string) string { return "op/evacuate/" + zone }

// Items that one page of a range holds.
const storePageItems = 4

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, items: map[string]storeItem{}, changed: make(chan struct{})}
}

// Put writes a key; the value is written as JSON.
func (s *Store) Put(key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err) // only values of this project's own tests come here
	}
	s.write(storeItem{Key: key, Value: content})
}

// PutBytes writes a key with bytes as they are.
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

// Compact forgets all history.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.events, s.oldest = nil, s.revision
}

// SetFailure makes every call answer the status, or with 0 makes the store work again.
func (s *Store) SetFailure(status int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.status = status
}

// SetUnresponsive makes calls wait without an answer for as long as it is on.
func (s *Store) SetUnresponsive(on bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = on
}

// ServeHTTP serves the store's protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	status, silent := s.status, s.silent
	s.mutex.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	query := r.URL.Query()
	switch r.URL.Path {
	case "/-/kv-range":
		s.answer(w, s.page(query.Get("prefix"), query.Get("after")))
	case "/-/kv-watch":
		s.watch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) answer(w http.ResponseWriter, page storePage) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}

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

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		page, gone, changed := s.since(after)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(page.Events) > 0 {
			s.answer(w, page)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end.C:
			s.answer(w, page)
			return
		}
	}
}

func (s *Store) since(after int64) (storePage, bool, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	page := storePage{AsOf: s.revision}
	for _, event := range s.events {
		if event.Revision > after {
			page.Events = append(page.Events, event)
		}
	}
	return page, after < s.oldest, s.changed
}
