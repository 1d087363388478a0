package revision

import (
	"errors"
	"sync"
	"sync/atomic"

	"lovageshift"
	"lovageshift/folder"
)

// ErrOlder is returned for a set whose revision is below the one in force.
var ErrOlder = errors.New("revision is older than the one in force")

// ErrConflict is returned for a set with the revision in force but different content.
var ErrConflict = errors.New("revision in force has different content")

// ErrSame is returned for the set that is in force.
var ErrSame = errors.New("revision is already in force")

// ErrRefused is returned for the set that was refused last, which is not validated again.
var ErrRefused = errors.New("configuration was already refused")

// Active is the configuration in force with the files it was read from.
type Active struct {
	Config *lovageshift.Config
	Set    *folder.Set
	Digest folder.Digest
}

// State holds the configuration in force and when its revision was last confirmed. It is safe for concurrent use.
type State struct {
	active atomic.Pointer[Active]

	mutex       sync.Mutex
	merger      *folder.Merger
	lastRefused folder.Digest
	// confirmedAt is when the revision in force was last known to be the newest, 0 if never.
	confirmedAt lovageshift.Millis
	// peerReports holds, by peer, when it last reported no newer revision than the one in force.
	peerReports map[string]lovageshift.Millis
	changed     chan struct{}
}

// NewState returns a state without a configuration.
func NewState() *State {
	return &State{merger: folder.NewMerger(), peerReports: map[string]lovageshift.Millis{}, changed: make(chan struct{})}
}

// Active returns the configuration in force, or nil before the first.
func (s *State) Active() *Active { return s.active.Load() }

// Config returns the configuration in force, or nil before the first.
func (s *State) Config() *lovageshift.Config {
	if active := s.active.Load(); active != nil {
		return active.Config
	}
	return nil
}

// Changed returns a channel that is closed when the next configuration comes into force.
func (s *State) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// Activate validates the set and puts it in force. Otherwise the set in force stays, and the error is ErrOlder,
// ErrSame, ErrConflict, ErrRefused or folder.Faults.
func (s *State) Activate(set *folder.Set) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	digest := set.Digest()
	if err := s.check(set.Revision, digest); err != nil {
		return err
	}
	config, err := s.merger.Merge(set.Revision, set.Files)
	if err != nil {
		s.lastRefused = digest
		return err
	}
	s.active.Store(&Active{Config: config, Set: set, Digest: digest})
	s.confirmedAt = 0
	clear(s.peerReports)
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// check compares a set with the one in force and with the last refused one.
func (s *State) check(revision lovageshift.Revision, digest folder.Digest) error {
	if digest == s.lastRefused {
		return ErrRefused
	}
	active := s.active.Load()
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

// Confirm records that the revision was the newest at the time given, in milliseconds on this process's clock.
func (s *State) Confirm(revision lovageshift.Revision, at lovageshift.Millis) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	active := s.active.Load()
	if active != nil && revision == active.Config.Revision {
		s.confirmedAt = max(s.confirmedAt, at)
	}
}

// PeerReported records the revision that a peer had at the time given; only one that is not newer counts.
func (s *State) PeerReported(peer string, revision lovageshift.Revision, at lovageshift.Millis) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	active := s.active.Load()
	if active != nil && revision <= active.Config.Revision {
		s.peerReports[peer] = max(s.peerReports[peer], at)
	}
}

// ConfirmedAgo returns the milliseconds since the revision in force was last confirmed as the newest, or -1 if never.
func (s *State) ConfirmedAgo(now lovageshift.Millis) lovageshift.Millis {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.confirmedAt == 0 {
		return -1
	}
	return now - s.confirmedAt
}

// Trust is how far a process can rely on its revision being the newest.
type Trust int

// The levels of trust, in rising order.
const (
	// TrustNone means that neither of the conditions below holds.
	TrustNone Trust = iota
	// TrustQuorum means that more than half of the peers recently reported no newer revision.
	TrustQuorum
	// TrustConfirmed means that the revision was recently read as the newest at the configuration's source, by this
	// process or by a peer that reported it.
	TrustConfirmed
)

// String returns the level's name as shown in logs and metrics.
func (t Trust) String() string {
	return [...]string{"none", "quorum", "confirmed"}[t]
}

// Trust returns the trust in the revision in force: TrustConfirmed if it was confirmed within the last maxAge
// milliseconds, else TrustQuorum if more than half of the peers reported no newer revision within that time.
func (s *State) Trust(now, maxAge lovageshift.Millis, peers []string) Trust {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.confirmedAt > 0 && now-s.confirmedAt <= maxAge {
		return TrustConfirmed
	}
	recent := 0
	for _, peer := range peers {
		if at, known := s.peerReports[peer]; known && now-at <= maxAge {
			recent++
		}
	}
	if 2*recent > len(peers) && len(peers) > 0 {
		return TrustQuorum
	}
	return TrustNone
}

// Permits reports whether new requests may start under the policy for unconfirmed configurations; an unknown policy
// counts as lovageshift.UnconfirmedQuorum.
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
