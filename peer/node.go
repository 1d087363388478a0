package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"lovageshift"
	"lovageshift/folder"
	"lovageshift/link"
	"lovageshift/membership"
	"lovageshift/metrics"
	"lovageshift/quarantine"
	"lovageshift/revision"
	"lovageshift/wire"
)

const (
	maxReportedSuspects = 8  // most suspects that ForemostSuspects returns for one message
	maxQueuedFetches    = 16 // most peers in the queue of fetches
)

// Source reads the configurations that the platform publishes.
type Source interface {
	// Watch waits for a published set of configuration files that differs from the set in force. The parameters after and
	// known are the revision and the digest of the set in force; both are zero if there is none. Watch returns nil without
	// an error if no other set is published within the wait.
	Watch(ctx context.Context, after lovageshift.Revision, known folder.Digest, wait time.Duration) (*folder.Set, error)
}

// Options configure a Node.
type Options struct {
	ID      string // process id; an agent's is the id of its target
	Clock   lovageshift.Clock
	Network link.Network
	Source  Source
	Metrics *metrics.Metrics
	Random  *rand.Rand
	// Peers returns the peers of this process under a configuration.
	Peers func(config *lovageshift.Config) []Address
	// IsWatcher reports whether this process is a watcher under a configuration, which means that it reads the source
	// continuously.
	IsWatcher func(config *lovageshift.Config) bool
	// Seeds are addresses of processes, as IP:port. They are the peers until the first configuration is in force.
	Seeds []string
}

// Address identifies a peer and tells where it can be reached.
type Address struct {
	ID      string // process id
	Address string // IP:port at which it serves peers; empty if not known or if it serves none
}

// Node is the part that entries and agents have in common: the configuration, the peers and the suspects. It is safe
// for concurrent use.
type Node struct {
	Options
	Incarnation lovageshift.Incarnation
	Revisions   *revision.State
	Pool        *link.Pool

	// suspectMutex guards suspects and suspectsChanged.
	suspectMutex    sync.Mutex
	suspects        *quarantine.Register
	suspectsChanged chan struct{}

	randomMutex sync.Mutex // guards Random
	fetchQueue  chan Address
	// fetchPending has as its keys the addresses, as IP:port, of the peers from which a fetch is queued or running.
	fetchPending sync.Map
	// listMutex guards listSince, the time that TargetListSince returns, and listConfig, the configuration for which
	// listSince was determined.
	listMutex   sync.Mutex
	listSince   lovageshift.Millis
	listConfig  *lovageshift.Config
	cachedPeers atomic.Pointer[peerSet]
	ready       atomic.Bool
	sourceReads atomic.Int64
}

// NewNode returns a node without a configuration, whose incarnation is the present wall time in milliseconds since the
// Unix epoch.
func NewNode(options Options) *Node {
	return &Node{
		Options:         options,
		Incarnation:     lovageshift.Incarnation(options.Clock.Wall()),
		Revisions:       revision.NewState(),
		Pool:            link.NewPool(options.Network),
		suspects:        quarantine.NewRegister(lovageshift.DefaultLimits().QuarantineMillis, crashesToRefuse),
		suspectsChanged: make(chan struct{}),
		fetchQueue:      make(chan Address, maxQueuedFetches),
	}
}

// Now returns the time on this process's clock, in milliseconds: Clock.Now, which starts at 1.
func (n *Node) Now() lovageshift.Millis { return n.Clock.Now() }

// Limits returns the limits of the configuration in force, or the defaults before the first.
func (n *Node) Limits() *lovageshift.Limits {
	if config := n.Revisions.Config(); config != nil {
		return &config.Limits
	}
	limits := lovageshift.DefaultLimits()
	return &limits
}

// Ready reports whether this process has its first configuration in force and has since sent requests to compare revisions
// to up to 3 peers (peersAtStart), whether or not these answered.
func (n *Node) Ready() bool { return n.ready.Load() }

// SourceReads returns how often this process has read the source, including failed reads.
func (n *Node) SourceReads() int64 { return n.sourceReads.Load() }

// Stamp returns the stamp to put into messages to other processes. It describes the configuration that this process has in
// force: its revision and hash, the milliseconds since the revision was last confirmed as the newest (-1 if never) and the
// milliseconds since the time that TargetListSince returns. Before the first configuration, only the -1 is set.
func (n *Node) Stamp() *wire.Stamp {
	active := n.Revisions.Active()
	if active == nil {
		return &wire.Stamp{ConfirmedAgo: -1}
	}
	return &wire.Stamp{
		Revision:     int64(active.Config.Revision),
		Hash:         active.Digest[:],
		ConfirmedAgo: int64(n.Revisions.ConfirmedAgo(n.Now())),
		ListAgo:      int64(n.Now() - n.TargetListSince()),
	}
}

// TargetListSince returns the earliest time, on this process's clock, at which this process or one of its peers is known
// to have had the present list of targets in force. For this process itself, that is the first call of TargetListSince
// after the list changed. For a peer, it may be before this process's clock started, so 0 or negative. The result is 0
// before the first configuration.
func (n *Node) TargetListSince() lovageshift.Millis {
	n.listMutex.Lock()
	defer n.listMutex.Unlock()
	config := n.Revisions.Config()
	if config != n.listConfig {
		if n.listConfig == nil || config == nil || !slices.Equal(membership.AllTargets(n.listConfig), membership.AllTargets(config)) {
			n.listSince = n.Now()
		}
		n.listConfig = config
	}
	return n.listSince
}

// backdateTargetList applies what a peer with the same revision reported: that it has had the present list of targets in
// force for ago milliseconds.
func (n *Node) backdateTargetList(ago lovageshift.Millis) {
	known := n.TargetListSince()
	n.listMutex.Lock()
	defer n.listMutex.Unlock()
	n.listSince = min(known, n.Now()-ago)
}

// ObserveStamp applies a stamp received from a peer (see Stamp). It ignores a stamp without a revision. If the peer's
// revision is newer than the one in force here, the node queues a fetch from the peer. Otherwise it records that the peer
// reported no newer revision. If the two revisions are equal, the node also adopts two times from the stamp: the time of
// the last confirmation, if it is later than this node's own, and the time since which the present list of targets has been
// in force, if it is earlier than this node's own. The parameter requestedAt is when this process requested the message with the stamp or, for
// a message that it did not request, when it received the message.
func (n *Node) ObserveStamp(from Address, stamp *wire.Stamp, requestedAt lovageshift.Millis) {
	if stamp == nil || stamp.Revision == 0 {
		return
	}
	theirs := lovageshift.Revision(stamp.Revision)
	var ours lovageshift.Revision
	if config := n.Revisions.Config(); config != nil {
		ours = config.Revision
	}
	if theirs > ours {
		n.requestFetch(from)
		return
	}
	n.Revisions.PeerReported(from.ID, theirs, requestedAt)
	if theirs == ours {
		n.backdateTargetList(lovageshift.Millis(stamp.ListAgo))
	}
	if theirs == ours && stamp.ConfirmedAgo >= 0 {
		n.Revisions.Confirm(theirs, requestedAt-lovageshift.Millis(stamp.ConfirmedAgo))
	}
}

// requestFetch queues a fetch from a peer, unless the peer has no address, a fetch from it is already queued or running,
// or the queue is full. A later stamp of the peer requests the fetch again if it is still needed.
func (n *Node) requestFetch(from Address) {
	if from.Address == "" {
		return
	}
	if _, pending := n.fetchPending.LoadOrStore(from.Address, true); pending {
		return
	}
	select {
	case n.fetchQueue <- from:
	default:
		n.fetchPending.Delete(from.Address)
	}
}

// Trust returns how far this process can rely on the configuration in force being the newest. The levels are explained at
// revision.Trust.
func (n *Node) Trust() revision.Trust {
	limits := n.Limits()
	return n.Revisions.Trust(n.Now(), limits.ConfirmMillis, n.peerIDs())
}

// AllowsNewWork reports whether new requests may start, which depends on the trust in the configuration and the setting
// limits.unconfirmedPolicy.
func (n *Node) AllowsNewWork() bool {
	return n.Trust().Permits(n.Limits().UnconfirmedPolicy)
}

// peerSet holds the peers under one configuration. It is cached because the function Options.Peers is expensive.
type peerSet struct {
	config    *lovageshift.Config // nil before the first configuration, when the seeds are the peers
	addresses []Address
	ids       []string
}

func (n *Node) peerIDs() []string { return n.currentPeers().ids }

func (n *Node) peerAddresses() []Address { return n.currentPeers().addresses }

func (n *Node) currentPeers() *peerSet {
	config := n.Revisions.Config()
	if cached := n.cachedPeers.Load(); cached != nil && cached.config == config {
		return cached
	}
	peers := &peerSet{config: config}
	if config != nil {
		peers.addresses = n.Peers(config)
	}
	for _, seed := range n.Seeds {
		if config == nil {
			peers.addresses = append(peers.addresses, Address{seed, seed})
		}
	}
	for _, peer := range peers.addresses {
		peers.ids = append(peers.ids, peer.ID)
	}
	n.cachedPeers.Store(peers)
	return peers
}

// activate puts a set in force if it is valid and newer than the one in force, and returns the error of
// revision.State.Activate otherwise. It counts every result except revision.ErrSame in metrics.Configurations, and logs an
// activation and the first refusal of an invalid set. The parameter origin names the set's sender in the log.
func (n *Node) activate(set *folder.Set, origin string) error {
	err := n.Revisions.Activate(set)
	switch {
	case err == nil:
		n.Metrics.Add(metrics.Configurations, "activated", 1)
		klog.Infof("config: activated revision %d from %s", set.Revision, origin)
	case err == revision.ErrSame:
	case err == revision.ErrOlder:
		n.Metrics.Add(metrics.Configurations, "older", 1)
	case err == revision.ErrConflict:
		n.Metrics.Add(metrics.Configurations, "conflict", 1)
	case err == revision.ErrRefused:
		n.Metrics.Add(metrics.Configurations, "refusedAgain", 1)
	default:
		n.Metrics.Add(metrics.Configurations, "refused", 1)
		klog.Errorf("config: refused revision %d, the configuration in force does not change:\n%v", set.Revision, err)
	}
	return err
}

// RandomInt returns a random integer in [0, limit). The limit must be positive.
func (n *Node) RandomInt(limit int) int {
	n.randomMutex.Lock()
	defer n.randomMutex.Unlock()
	return n.Random.IntN(limit)
}

// Jitter returns a random duration between 0.5 and 1.5 times the mean.
func (n *Node) Jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(n.RandomInt(int(mean)))
}

// RegisterGauges adds gauges to the metrics: the revision in force, the level of trust in it as its number, the number of
// connections of the pool, idle or in use, and the number of source reads.
func (n *Node) RegisterGauges() error {
	gauges := []struct {
		name string
		read func() float64
	}{
		{"lovageshift_revision", func() float64 { return float64(n.Stamp().Revision) }},
		{"lovageshift_trust", func() float64 { return float64(n.Trust()) }},
		{"lovageshift_connections", func() float64 { return float64(n.Pool.OpenConnections()) }},
		{"lovageshift_source_reads", func() float64 { return float64(n.SourceReads()) }},
	}
	for _, gauge := range gauges {
		if err := n.Metrics.RegisterGauge(gauge.name, gauge.read); err != nil {
			return err
		}
	}
	return nil
}
