package stream

import (
	"maps"
	"sync"

	"lovageshift"
)

const (
	// Origins are kept for this long at least, and at most twice as long. No stream lasts longer.
	retentionMillis lovageshift.Millis = 30_000
	// Of more origins than this within retentionMillis, older ones are dropped. They take about 10 MB.
	maxOrigins = 100_000
)

// Ledger keeps the origins of streams that began lately. It is safe for concurrent use.
type Ledger struct {
	mutex sync.Mutex
	// recent holds the origins added since rotatedAt, older those of before.
	recent, older map[AttemptHash]Origin
	rotatedAt     lovageshift.Millis
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{recent: map[AttemptHash]Origin{}} }

// Add records the origin of the stream that the attempt began. An undecided one does not replace another.
func (l *Ledger) Add(now lovageshift.Millis, attempt AttemptHash, origin Origin) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rotate(now)
	if _, known := l.find(attempt); known && origin.Undecided() {
		return
	}
	l.recent[attempt] = origin
}

// Find returns the origin of the stream that the attempt began, and false if it is not known.
func (l *Ledger) Find(now lovageshift.Millis, attempt AttemptHash) (Origin, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rotate(now)
	return l.find(attempt)
}

// find is Find without rotation. The caller holds the mutex.
func (l *Ledger) find(attempt AttemptHash) (Origin, bool) {
	if origin, found := l.recent[attempt]; found {
		return origin, true
	}
	origin, found := l.older[attempt]
	return origin, found
}

// All returns the origins that are kept.
func (l *Ledger) All(now lovageshift.Millis) map[AttemptHash]Origin {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rotate(now)
	all := maps.Clone(l.recent)
	maps.Copy(all, l.older)
	return all
}

// rotate drops the older origins once all of them are older than retentionMillis, or if there are too many recent ones.
func (l *Ledger) rotate(now lovageshift.Millis) {
	if now-l.rotatedAt < retentionMillis && len(l.recent) < maxOrigins {
		return
	}
	l.older, l.recent, l.rotatedAt = l.recent, map[AttemptHash]Origin{}, now
}
