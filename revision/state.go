package revision

import (
	"errors"
	"sync"
	"sync/atomic"

	"lovageshift"
	"lovageshift/folder"
)

// ErrOlder is returned for a set whose revision is below the one in force.
var ErrOlder = errors.New("older revision")

// ErrConflict is returned for other content under the revision in force.
var ErrConflict = errors.New("same revision with other content")

// ErrSame is returned for the set in force.
var ErrSame = errors.New("same revision")

// ErrRefused is returned for a set that was refused before.
var ErrRefused = errors.New("refused before")

// Active is a configuration in force with the files it was read from.
type Active struct {
	Config *lovageshift.Config
	Set    *folder.Set
	Digest folder.Digest
}

// State holds the configuration in force; it may be used by several goroutines.
type State struct {
	active atomic.Pointer[Active]

	mutex       sync.Mutex
	merger      *folder.Merger
	refused     folder.Digest
	confirmedAt lovageshift.Millis
	heard       map[string]lovageshift.Millis
	changed     chan struct{}
}

// NewState returns a book with nothing in force.
func NewState() *State {
	return &State{merger: folder.NewMerger(), heard: map[string]lovageshift.Millis{}, changed: make(chan struct{})}
}

// Active returns the configuration in force, or nil before the first.
func (b *State) Active() *Active { return b.active.Load() }

// Config returns the configuration in force, or nil before the first.
func (b *State) Config() *lovageshift.Config {
	if active := b.active.Load(); active != nil {
		return active.Config
	}
	return nil
}

// Changed returns a channel that is closed at the next activation.
func (b *State) Changed() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.changed
}

// Activate puts the set in force, or returns ErrOlder, ErrSame, ErrConflict, ErrRefused or folder.Faults.
func (b *State) Activate(set *folder.Set) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	digest := set.Digest()
	if err := b.compare(set.Revision, digest); err != nil {
		return err
	}
	config, err := b.merger.Merge(set.Revision, set.Files)
	if err != nil {
		b.refused = digest
		return err
	}
	b.active.Store(&Active{Config: config, Set: set, Digest: digest})
	b.confirmedAt = 0
	clear(b.heard)
	close(b.changed)
	b.changed = make(chan struct{})
	return nil
}

func (b *State) compare(revision lovageshift.Revision, digest folder.Digest) error {
	if digest == b.refused {
		return ErrRefused
	}
	active := b.active.Load()
	switch {
	case active == nil || revision > active.Config.Revision:
		return nil
	case revision < active.Config.Revision:
		return ErrOlder
	case digest == active.Digest:
		return ErrSame
	default:
		return ErrConflict
	}
}

// Confirm records that the revision was the newest at the time given, in milliseconds of this process.
func (b *State) Confirm(revision lovageshift.Revision, at lovageshift.Millis) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	active := b.active.Load()
	if active != nil && revision == active.Config.Revision {
		b.confirmedAt = max(b.confirmedAt, at)
	}
}

// PeerReported records that a peer had nothing newer at the time given.
func (b *State) PeerReported(peer string, revision lovageshift.Revision, at lovageshift.Millis) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	active := b.active.Load()
	if active != nil && revision <= active.Config.Revision {
		b.heard[peer] = max(b.heard[peer], at)
	}
}

// ConfirmedAgo returns the milliseconds since the revision in force was confirmed as the newest, or -1 if never.
func (b *State) ConfirmedAgo(now lovageshift.Millis) lovageshift.Millis {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.confirmedAt == 0 {
		return -1
	}
	return now - b.confirmedAt
}

// Trust is how well a process knows that its revision is the newest.
type Trust int

// The trusts, from least to most.
const (
	TrustNone Trust = iota
	TrustQuorum
	TrustConfirmed
)

// String returns the trust's name as shown in logs and metrics.
func (t Trust) String() string {
	return [...]string{"none", "quorum", "confirmed"}[t]
}

// Trust returns how well the revision in force is confirmed: by the service within the limit,
// or by more than half of the listed peers within it.
func (b *State) Trust(now, within lovageshift.Millis, listed []string) Trust {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.confirmedAt > 0 && now-b.confirmedAt <= within {
		return TrustConfirmed
	}
	answered := 0
	for _, peer := range listed {
		if at, known := b.heard[peer]; known && now-at <= within {
			answered++
		}
	}
	if 2*answered > len(listed) && len(listed) > 0 {
		return TrustQuorum
	}
	return TrustNone
}

// Permits reports whether new work may start under the policy of the limits.
func (t Trust) Permits(policy string) bool {
	switch policy {
	case lovageshift.UnconfirmedOpen:
		return true
	case lovageshift.UnconfirmedClosed:
		return t == TrustConfirmed
	default:
		return t >= TrustQuorum
	}
}
