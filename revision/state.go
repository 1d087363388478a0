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

// ErrRefused is returned for a set with the same digest as the last invalid set, whatever its revision. Such a set is
// not validated again.
var ErrRefused = errors.New("configuration was already refused")

// Active is the configuration in force, with the set of files that it was merged from and the set's digest.
type Active struct {
	Config *lovageshift.Config
	Set    *folder.Set
	Digest folder.Digest
}

// State holds the configuration in force and when its revision was last confirmed as the newest. All times are in
// milliseconds of the Clock.Now of this process. It is safe for concurrent use.
type State struct {
	active atomic.Pointer[Active]

	mutex  sync.Mutex
	merger *folder.Merger
	// lastRefused is the digest of the last invalid set, for ErrRefused.
	lastRefused folder.Digest
	// confirmedAt is the last time at which the revision in force is known to have been the newest, 0 if there is none.
	confirmedAt lovageshift.Millis
	// peerReports holds, by peer id, the last time at which the peer is known to have had no revision above the one in
	// force here.
	peerReports map[string]lovageshift.Millis
	// changed is closed when the next configuration comes into force.
	changed chan struct{}
}

// NewState returns a state in which no configuration is in force.
func NewState() *State {
	return &State{merger: folder.NewMerger(), peerReports: map[string]lovageshift.Millis{}, changed: make(chan struct{})}
}

// Active returns the configuration in force with its set and digest, or nil if none is in force yet.
func (s *State) Active() *Active { return s.active.Load() }

// Config returns the configuration in force, or nil if none is in force yet.
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

// Activate merges and validates the set and puts the resulting configuration in force, initially unconfirmed. On an
// error the previous configuration stays in force. The error is ErrOlder, ErrSame, ErrConflict, ErrRefused or, for an
// invalid set, folder.Faults.
func (s *State) Activate(set *folder.Set) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	digest := set.Digest()
	if err := s.checkReplacement(set.Revision, digest); err != nil {
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

// checkReplacement returns nil if a set with the revision and the digest may replace the one in force, provided that
// the set is valid. Otherwise it returns the error that Activate returns.
func (s *State) checkReplacement(revision lovageshift.Revision, digest folder.Digest) error {
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

// Confirm records that the revision was the newest at the given time. It does nothing if another revision is in force
// in this process.
func (s *State) Confirm(revision lovageshift.Revision, at lovageshift.Millis) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	active := s.active.Load()
	if active != nil && revision == active.Config.Revision {
		s.confirmedAt = max(s.confirmedAt, at)
	}
}

// PeerReported records that the peer with the given id had the revision at the given time. It does nothing if that
// revision is above the one in force in this process.
func (s *State) PeerReported(peer string, revision lovageshift.Revision, at lovageshift.Millis) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	active := s.active.Load()
	if active != nil && revision <= active.Config.Revision {
		s.peerReports[peer] = max(s.peerReports[peer], at)
	}
}

// ConfirmedAgo returns the milliseconds from the last time at which the revision in force is known to have been the
// newest until now, or -1 if there is no such time.
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

// Levels of trust, lowest first. "Recently" means within the maxAge given to State.Trust.
const (
	// TrustNone means that neither TrustQuorum nor TrustConfirmed applies.
	TrustNone Trust = iota
	// TrustQuorum means that more than half of the peers recently reported a revision that is not newer than the one in
	// force here.
	TrustQuorum
	// TrustConfirmed means that the revision in force was recently read as the newest from the configuration's source, by
	// this process or by a peer that reported it.
	TrustConfirmed
)

// String returns the level's name as shown in logs and metrics.
func (t Trust) String() string {
	return [...]string{"none", "quorum", "confirmed"}[t]
}

// Trust returns the level of trust in the revision in force. Peers are the ids of all peers. The level is
// TrustConfirmed if the revision was confirmed at most maxAge before now, else TrustQuorum if more than half of the
// peers reported within that time that they had no newer revision, else TrustNone.
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
