package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"lovageshift"
	"lovageshift/grant"
	"lovageshift/link"
	"lovageshift/membership"
	"lovageshift/metrics"
	"lovageshift/peer"
	"lovageshift/retry"
	"lovageshift/routing"
)

const (
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 16 << 10
	idleTimeout    = 2 * time.Minute
	chargeStripes  = 64
)

// Options are the parts of an entry.
type Options struct {
	ID      lovageshift.EntryID
	Clock   lovageshift.Clock
	Network link.Network
	Source  peer.Source
	Metrics *metrics.Metrics
	Random  *rand.Rand
	Seeds   []string
	// Policy picks targets; nil is the estimate.
	Policy routing.Policy
	// Connections is the most callers' connections at once.
	Connections int
	// DrainDelay is how long a stopping entry still serves while the balancer notices.
	DrainDelay time.Duration
}

// Entry is one run of the process on an entry VM.
type Entry struct {
	options  Options
	node     *peer.Node
	sequence atomic.Uint64
	draining atomic.Bool

	mutex  sync.Mutex // guards what follows
	board  *routing.LoadTable
	budget *retry.Budget
	random *rand.Rand
	links  map[lovageshift.TargetID]*agentLink
	// leaving names the targets whose VMs the platform says are leaving.
	leaving map[lovageshift.TargetID]bool

	walletMutex sync.Mutex
	wallet      *grant.LeaseCache
	// charging holds a place for each group of accounts of which one request at a time may ask keepers.
	charging [chargeStripes]chan struct{}
}

// New returns an entry that is not running.
func New(options Options) *Entry {
	if options.Policy == nil {
		options.Policy = routing.LeastCost{}
	}
	e := &Entry{
		options: options,
		board:   routing.NewLoadTable(),
		budget:  retry.NewBudget(lovageshift.DefaultLimits().RetryShare),
		random:  options.Random,
		links:   map[lovageshift.TargetID]*agentLink{},
	}
	e.node = peer.NewNode(peer.Options{
		ID: string(options.ID), Clock: options.Clock, Network: options.Network, Source: options.Source,
		Metrics: options.Metrics, Random: rand.New(rand.NewPCG(options.Random.Uint64(), 1)), Seeds: options.Seeds,
		Peers:     e.peers,
		IsWatcher: func(*lovageshift.Config) bool { return false },
	})
	for i := range e.charging {
		e.charging[i] = make(chan struct{}, 1)
	}
	e.wallet = grant.NewLeaseCache(grant.Holder{Entry: options.ID, Incarnation: e.node.Incarnation})
	return e
}

// Node returns the entry's configuration and peers.
func (e *Entry) Node() *peer.Node { return e.node }

func (e *Entry) peers(config *lovageshift.Config) []peer.Address {
	var peers []peer.Address
	for _, id := range e.subset(config) {
		peers = append(peers, peer.Address{ID: string(id), Address: config.Targets[id].Agent})
	}
	return peers
}

func (e *Entry) subset(config *lovageshift.Config) []lovageshift.TargetID {
	return membership.Subset(config, e.options.ID, config.Limits.SubsetTargets)
}

// Run serves callers on the listener until the context ends, then stops gracefully.
func (e *Entry) Run(ctx context.Context, listener net.Listener) error {
	// What callers' streams need lives on until they have ended.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := &http.Server{
		Handler:           e.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	if e.options.Connections > 0 {
		listener = netutil.LimitListener(listener, e.options.Connections)
	}
	var tasks errgroup.Group
	tasks.Go(func() error { return e.node.Run(background) })
	tasks.Go(func() error { return e.keepLinks(background) })
	tasks.Go(func() error { return e.reportLeases(background) })
	tasks.Go(func() error { return e.followMachines(background) })
	tasks.Go(func() error {
		<-ctx.Done()
		e.drain(server)
		stop()
		return nil
	})
	tasks.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	return tasks.Wait()
}

// drain tells the balancer, goes on serving while it notices, and waits for every answer.
func (e *Entry) drain(server *http.Server) {
	e.draining.Store(true)
	klog.Infof("entry %s: draining", e.options.ID)
	time.Sleep(e.options.DrainDelay)
	_ = server.Shutdown(context.Background())
}

// Ready reports whether callers can be served: a configuration is in force, agents are linked and no stop is under way.
func (e *Entry) Ready() bool {
	if e.draining.Load() || !e.node.Ready() {
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for id := range e.links {
		if _, takes := e.board.Accepts(id); takes {
			return true
		}
	}
	return false
}
