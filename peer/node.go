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
	suspectsPerExchange = 8
	maxQueuedFetches    = 16
)

// Source reads the configurations that the platform publishes.
type Source interface {
	// Watch returns a published set that differs from the known one, or nil if there is none within the wait. After and
	// known are the revision and digest in force, zero if there is none.
	Watch(ctx context.Context, after lovageshift.Revision, known folder.Digest, wait time.Duration) (*folder.Set, error)
}

// Options configure a Node.
type Options struct {
	ID      string
	Clock   lovageshift.Clock
	Network link.Network
	Source  Source
	Metrics *metrics.Metrics
	Random  *rand.Rand
	// Peers returns the peers to exchange with under a configuration.
	Peers func(config *lovageshift.Config) []Address
	// IsWatcher reports whether this process watches the source continuously under a configuration.
	IsWatcher func(config *lovageshift.Config) bool
	// Seeds are the addresses of the peers to exchange with until there is a configuration.
	Seeds []string
}

// Address is a peer's process id and the IP:port at which it serves peers, which is empty if it serves none.
type Address struct {
	ID      string
	Address string
}

// Node is the part that entries and agents have in common: the configuration, the peers and the suspects. It is safe
// for concurrent use.
type Node struct {
	Options
	Incarnation lovageshift.Incarnation
	Revisions   *revision.State
	Pool        *link.Pool

	suspectMutex    sync.Mutex
	suspects        *quarantine.Register
	suspectsChanged chan struct{}

	randomMutex  sync.Mutex
	fetchQueue   chan Address
	fetchPending sync.Map
	listMutex    sync.Mutex
	listSince    lovageshift.Millis
	listConfig   *lovageshift.Config
	cachedPeers  atomic.Pointer[peerSet]
	ready        atomic.Bool
	sourceReads  atomic.Int64
}

// NewNode returns a node without a configuration.
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

// Now returns the milliseconds since the process started.
func (n *Node) Now() lovageshift.Millis { return n.Clock.Now() }

// Limits returns the limits in force.
func (n *Node) Limits() *lovageshift.Limits {
	if config := n.Revisions.Config(); config != nil {
		return &config.Limits
	}
	limits := lovageshift.DefaultLimits()
	return &limits
}

// Ready reports whether a configuration is in force and some peers have been asked for a newer one.
func (n *Node) Ready() bool { return n.ready.Load() }

// SourceReads returns how often the source was read.
func (n *Node) SourceReads() int64 { return n.sourceReads.Load() }

// Stamp describes the configuration in force, for every message to another process: its revision and hash, how long ago
// it was confirmed and for how long its list of targets has been published.
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

// TargetListSince returns since when, on this process's clock, the list of targets in force is known to be published.
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

// backdateTargetList applies a peer's report of how long it has had the list of targets of the same revision.
func (n *Node) backdateTargetList(ago lovageshift.Millis) {
	known := n.TargetListSince()
	n.listMutex.Lock()
	defer n.listMutex.Unlock()
	n.listSince = min(known, n.Now()-ago)
}

// ObserveStamp applies the stamp of another process. If that has a newer revision, it requests a fetch, otherwise it
// records that the peer had nothing newer. From a peer with the same revision it also takes over how long ago this was
// confirmed and for how long the list of targets has been published. RequestedAt is when this process requested the
// message, or when it received one that it had not requested.
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

// Trust returns how well the configuration in force is confirmed as the newest.
func (n *Node) Trust() revision.Trust {
	limits := n.Limits()
	return n.Revisions.Trust(n.Now(), limits.ConfirmMillis, n.peerIDs())
}

// AllowsNewWork reports whether new work may start under the policy for unconfirmed configurations.
func (n *Node) AllowsNewWork() bool {
	return n.Trust().Permits(n.Limits().UnconfirmedPolicy)
}

// peerSet holds the peers under one configuration. It is cached because deriving them is expensive.
type peerSet struct {
	config    *lovageshift.Config
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

// activate puts a set in force, and logs and counts the result. Origin is where the set came from.
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
		klog.Errorf("config: refused revision %d, the last valid one stays in force:\n%v", set.Revision, err)
	}
	return err
}

// RandomInt returns a random number in [0, limit).
func (n *Node) RandomInt(limit int) int {
	n.randomMutex.Lock()
	defer n.randomMutex.Unlock()
	return n.Random.IntN(limit)
}

// Jitter returns a random duration between 0.5 and 1.5 times the mean.
func (n *Node) Jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(n.RandomInt(int(mean)))
}

// RegisterGauges adds the revision in force, the trust in it, the open connections and the source reads to the metrics.
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
