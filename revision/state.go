package revision

import (
	"errors"
	"sync"
	"sync/atomic"

	"lovageshift"
	"lovageshift/folder"
)

// ErrOlder is returned for a set whose revision is below the revision in force.
var ErrOlder = errors.New("revision is older than the one in force")

// ErrConflict is returned for a set that has the revision in force but another digest.
var ErrConflict = errors.New("revision in force has different content")

// ErrSame is returned for a set that has the revision and the digest in force.
var ErrSame = errors.New("revision is already in force")

// ErrRefused is returned, without validation, for a set with the digest of the last invalid set, whatever its revision.
var ErrRefused = errors.New("configuration was already refused")

// Active is the configuration in force, with the set of files that it was merged from and the set's digest.
type Active struct {
	Config *lovageshift.Config
	Set    *folder.Set
	Digest folder.Digest
}

// State holds the configuration in force and when its revision was last confirmed as the newest. It is safe for
// concurrent use.
type State struct {
	active atomic.Pointer[Active]

	mutex  sync.Mutex
	merger *folder.Merger
	// lastRefused is the digest of the last invalid set.
	lastRefused folder.Digest
	// confirmedAt is when the revision in force was last confirmed as the newest, 0 if never.
	confirmedAt lovageshift.Millis
	// peerReports holds, by peer id, when the peer last reported a revision that is not above the one in force.
	peerReports map[string]lovageshift.Millis
	// changed is closed when the next configuration comes into force.
	changed chan struct{}
}

// NewState returns a state in which no configuration is in force.
func NewState() *State {
	return &State{merger: folder.NewMerger(), peerReports: map[string]lovageshift.Millis{}, changed: make(chan struct{})}
}

// Active returns the configuration in force with its set and digest, or nil before the first.
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

// Activate merges and validates the set and puts the resulting configuration in force. On an error the configuration in
// force stays; the error is ErrOlder, ErrSame, ErrConflict, ErrRefused or, for an invalid set, folder.Faults.
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

// check returns nil if a set with the revision and digest may replace the one in force, else the error for Activate.
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

// Confirm records that the revision was the newest at the time at, in milliseconds on this process's clock. It does
// nothing if another revision is in force.
func (s *State) Confirm(revision lovageshift.Revision, at lovageshift.Millis) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	active := s.active.Load()
	if active != nil && revision == active.Config.Revision {
		s.confirmedAt = max(s.confirmedAt, at)
	}
}

// PeerReported records that the peer with the id had the revision at the time at, in milliseconds on this process's
// clock. It does nothing if that revision is above the one in force.
func (s *State) PeerReported(peer string, revision lovageshift.Revision, at lovageshift.Millis) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	active := s.active.Load()
	if active != nil && revision <= active.Config.Revision {
		s.peerReports[peer] = max(s.peerReports[peer], at)
	}
}

// ConfirmedAgo returns the milliseconds from the last confirmation of the revision in force as the newest until now, or
// -1 if there was none.
func (s *State) ConfirmedAgo(now lovageshift.Millis) lovageshift.Millis {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.confirmedAt == 0 {
		return -1
	}
	return now - s.confirmedAt
}

// Trust is how far a process can rely on the revision in force being the newest.
type Trust int

// Levels of trust, in rising order.
const (
	// TrustNone means that the conditions of neither other level hold.
	TrustNone Trust = iota
	// TrustQuorum means that more than half of the peers recently reported a revision that is not newer.
	TrustQuorum
	// TrustConfirmed means that the revision was recently read as the newest from the configuration's source, by this
	// process or by a peer that reported so.
	TrustConfirmed
)

// String returns the level's name as shown in logs and metrics.
func (t Trust) String() string {
	return [...]string{"none", "quorum", "confirmed"}[t]
}

// Trust returns the trust in the revision in force at the time now, with peers being the ids of all peers. It is
// TrustConfirmed if the revision was confirmed within the last maxAge milliseconds, else TrustQuorum if more than half
// of the peers reported a revision that is not newer within that time, else TrustNone.
func (s *State) Trust(now, maxAge lovageshift.Millis, peers []string) Trust {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.confirmedAt > 0 && now-s.confirmedAt <= maxAge {
		return TrustConfirmed
	}
	recentReports := 0
	for _, peer := range peers {
		if at, known := s.peerReports[peer]; known && now-at <= maxAge {
			recentReports++
		}
	}
	if 2*recentReports > len(peers) && len(peers) > 0 {
		return TrustQuorum
	}
	return TrustNone
}

// Permits reports whether new requests may start at this level of trust. The policy for unconfirmed configurations is
// lovageshift.UnconfirmedOpen, UnconfirmedClosed or UnconfirmedQuorum; any other counts as UnconfirmedQuorum.
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
