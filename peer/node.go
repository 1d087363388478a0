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
	fetchBacklog        = 16
)

// Source is what the platform publishes.
type Source interface {
	// Watch returns a set that differs from the one in force, or nil when there was none within the wait.
	Watch(ctx context.Context, after lovageshift.Revision, known folder.Digest, wait time.Duration) (*folder.Set, error)
}

// Options are the parts of a node.
type Options struct {
	ID      string
	Clock   lovageshift.Clock
	Network link.Network
	Source  Source
	Metrics *metrics.Metrics
	Random  *rand.Rand
	// Peers returns the addresses of the peers to exchange with, by process id.
	Peers func(config *lovageshift.Config) []Address
	// IsWatcher reports whether this process watches the source all the time.
	IsWatcher func(config *lovageshift.Config) bool
	// Seeds are addresses of peers to ask before there is a configuration.
	Seeds []string
}

// Address is where a peer is reached.
type Address struct {
	ID      string
	Address string
}

// Node is the part that every process has: its configuration, its peers and its suspects.
type Node struct {
	Options
	Incarnation lovageshift.Incarnation
	Revisions   *revision.State
	Pool        *link.Pool

	suspectMutex sync.Mutex
	suspects     *quarantine.Register
	news         chan struct{}

	randomMutex sync.Mutex
	fetches     chan Address
	fetching    sync.Map
	listMutex   sync.Mutex
	listSince   lovageshift.Millis
	listOf      *lovageshift.Config
	near        atomic.Pointer[neighbours]
	ready       atomic.Bool
	reads       atomic.Int64
}

// NewNode returns a node without a configuration.
func NewNode(options Options) *Node {
	return &Node{
		Options:     options,
		Incarnation: lovageshift.Incarnation(options.Clock.Wall()),
		Revisions:   revision.NewState(),
		Pool:        link.NewPool(options.Network),
		suspects:    quarantine.NewRegister(lovageshift.DefaultLimits().QuarantineMillis, crashesToRefuse),
		news:        make(chan struct{}),
		fetches:     make(chan Address, fetchBacklog),
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

// Ready reports whether a configuration is in force and peers were asked for a newer one.
func (n *Node) Ready() bool { return n.ready.Load() }

// SourceReads returns how often the source was read.
func (n *Node) SourceReads() int64 { return n.reads.Load() }

// Stamp names the configuration in force, for every message to another process.
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

// TargetListSince returns since when, on this process's clock, the present list of targets has surely been published.
func (n *Node) TargetListSince() lovageshift.Millis {
	n.listMutex.Lock()
	defer n.listMutex.Unlock()
	config := n.Revisions.Config()
	if config != n.listOf {
		if n.listOf == nil || config == nil || !slices.Equal(membership.AllTargets(n.listOf), membership.AllTargets(config)) {
			n.listSince = n.Now()
		}
		n.listOf = config
	}
	return n.listSince
}

// learnListAge takes in that a peer has had the same revision's list for longer.
func (n *Node) learnListAge(ago lovageshift.Millis) {
	known := n.TargetListSince()
	n.listMutex.Lock()
	defer n.listMutex.Unlock()
	n.listSince = min(known, n.Now()-ago)
}

// ObserveStamp takes in another process's stamp, for a message that this process asked for at the time given.
func (n *Node) ObserveStamp(from Address, stamp *wire.Stamp, askedAt lovageshift.Millis) {
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
	n.Revisions.PeerReported(from.ID, theirs, askedAt)
	if theirs == ours {
		n.learnListAge(lovageshift.Millis(stamp.ListAgo))
	}
	if theirs == ours && stamp.ConfirmedAgo >= 0 {
		n.Revisions.Confirm(theirs, askedAt-lovageshift.Millis(stamp.ConfirmedAgo))
	}
}

func (n *Node) requestFetch(from Address) {
	if from.Address == "" {
		return
	}
	if _, busy := n.fetching.LoadOrStore(from.Address, true); busy {
		return
	}
	select {
	case n.fetches <- from:
	default:
		n.fetching.Delete(from.Address)
	}
}

// Trust returns how well the configuration is confirmed.
func (n *Node) Trust() revision.Trust {
	limits := n.Limits()
	return n.Revisions.Trust(n.Now(), limits.ConfirmMillis, n.listed())
}

// AllowsNewWork reports whether the policy for unconfirmed configurations lets new work start.
func (n *Node) AllowsNewWork() bool {
	return n.Trust().Permits(n.Limits().UnconfirmedPolicy)
}

// neighbours are the peers of one configuration; who they are is dear to work out.
type neighbours struct {
	config    *lovageshift.Config
	addresses []Address
	ids       []string
}

func (n *Node) listed() []string { return n.neighbours().ids }

func (n *Node) peers() []Address { return n.neighbours().addresses }

func (n *Node) neighbours() *neighbours {
	config := n.Revisions.Config()
	if known := n.near.Load(); known != nil && known.config == config {
		return known
	}
	near := &neighbours{config: config}
	if config != nil {
		near.addresses = n.Peers(config)
	}
	for _, seed := range n.Seeds {
		if config == nil {
			near.addresses = append(near.addresses, Address{seed, seed})
		}
	}
	for _, peer := range near.addresses {
		near.ids = append(near.ids, peer.ID)
	}
	n.near.Store(near)
	return near
}

// offer puts a set in force and logs and counts what became of it.
func (n *Node) offer(set *folder.Set, from string) error {
	err := n.Revisions.Activate(set)
	switch {
	case err == nil:
		n.Metrics.Add(metrics.Configurations, "activated", 1)
		klog.Infof("config: revision %d is in force, from %s", set.Revision, from)
	case err == revision.ErrSame:
	case err == revision.ErrOlder:
		n.Metrics.Add(metrics.Configurations, "older", 1)
	case err == revision.ErrConflict:
		n.Metrics.Add(metrics.Configurations, "conflict", 1)
	case err == revision.ErrRefused:
		n.Metrics.Add(metrics.Configurations, "refusedAgain", 1)
	default:
		n.Metrics.Add(metrics.Configurations, "refused", 1)
		klog.Errorf("config: revision %d is refused, the last good one goes on:\n%v", set.Revision, err)
	}
	return err
}

// RandomInt returns a random number below most.
func (n *Node) RandomInt(most int) int {
	n.randomMutex.Lock()
	defer n.randomMutex.Unlock()
	return n.Random.IntN(most)
}

// Jitter returns a duration between half and one and a half of the mean.
func (n *Node) Jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(n.RandomInt(int(mean)))
}

// RegisterGauges shows the revision in force, the trust in it and the open connections among the metrics.
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
		if err := n.Metrics.Gauge(gauge.name, gauge.read); err != nil {
			return err
		}
	}
	return nil
}
