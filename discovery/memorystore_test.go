package discovery_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"lovageshift"
	"lovageshift/platform"
)

// memoryStore is a store that keeps all its history and counts the calls. It can be away, and come back from an older copy.
type memoryStore struct {
	mutex    sync.Mutex
	era      int64
	revision int64
	history  []write
	items    map[string]platform.Item
	changed  chan struct{} // closed and replaced at each write
	away     bool
	dropped  int64 // revision up to which the history is no longer available
	calls    int
}

// write is one write of a record and its time.
type write struct {
	item platform.Item
	at   time.Time
}

func newMemoryStore() *memoryStore {
	return &memoryStore{era: 1, revision: 1, items: map[string]platform.Item{}, changed: make(chan struct{})}
}

func (m *memoryStore) write(item platform.Item) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.revision++
	item.Revision = m.revision
	m.history = append(m.history, write{item, time.Now()})
	m.set(item)
	m.wake()
}

func (m *memoryStore) set(item platform.Item) {
	m.items[item.Key] = item
	if item.Deleted {
		delete(m.items, item.Key)
	}
}

func (m *memoryStore) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// leave makes the store refuse all calls and cuts the watches that wait.
func (m *memoryStore) leave() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.away = true
	m.wake()
}

// comeBack ends an absence with all records.
func (m *memoryStore) comeBack() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.away = false
}

// dropHistory makes all changes so far available as a list only.
func (m *memoryStore) dropHistory() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.dropped = m.revision
}

// restore brings the store back from a copy as of the time, in a new era. It returns the last state of each record that was
// written since then.
func (m *memoryStore) restore(copiedAt time.Time) []platform.Item {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	kept := slices.IndexFunc(m.history, func(w write) bool { return w.at.After(copiedAt) })
	if kept < 0 {
		kept = len(m.history)
	}
	lost := map[string]platform.Item{}
	for _, w := range m.history[kept:] {
		lost[w.item.Key] = w.item
	}
	m.history = m.history[:kept]
	m.items = map[string]platform.Item{}
	m.revision = 1
	for _, w := range m.history {
		m.set(w.item)
		m.revision = w.item.Revision
	}
	m.era++
	m.away = false
	m.wake()
	var states []platform.Item
	for _, item := range lost {
		states = append(states, item)
	}
	return states
}

// writtenSince reports whether the record was written at the time or later.
func (m *memoryStore) writtenSince(at time.Time, key string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.ContainsFunc(m.history, func(w write) bool { return w.item.Key == key && !w.at.Before(at) })
}

func (m *memoryStore) Range(context.Context, string, string) (platform.Page, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.calls++
	if m.away {
		return platform.Page{}, platform.ErrStoreRefused
	}
	page := platform.Page{Position: lovageshift.StorePosition{Era: m.era, Revision: m.revision}}
	for _, item := range m.items {
		page.Items = append(page.Items, item)
	}
	return page, nil
}

func (m *memoryStore) Watch(ctx context.Context, _ string, after int64, wait lovageshift.Millis) (platform.Page, error) {
	m.mutex.Lock()
	m.calls++
	era := m.era
	m.mutex.Unlock()
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	for {
		page, changed, err := m.since(era, after)
		if len(page.Items) > 0 || err != nil {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		}
	}
}

// since returns the changes after the revision for a watch that began in the era.
func (m *memoryStore) since(era, after int64) (platform.Page, chan struct{}, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	switch {
	case m.away || era != m.era:
		return platform.Page{}, nil, platform.ErrStoreRefused
	case after > m.revision || after < m.dropped:
		return platform.Page{}, nil, platform.ErrHistoryGone
	}
	page := platform.Page{Position: lovageshift.StorePosition{Era: m.era, Revision: m.revision}}
	for _, w := range m.history {
		if w.item.Revision > after {
			page.Items = append(page.Items, w.item)
		}
	}
	return page, m.changed, nil
}

func (m *memoryStore) callCount() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.calls
}
