package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/delivery"
	"lovageshift/framing"
	"lovageshift/grant"
	"lovageshift/link"
	"lovageshift/membership"
	"lovageshift/memory"
	"lovageshift/metrics"
	"lovageshift/peer"
	"lovageshift/retry"
	"lovageshift/routing"
)

const (
	readHeaderTimeout = 5 * time.Second // for a caller to send all headers of a request
	maxHeaderBytes    = 16 << 10        // most bytes of a request's headers
	idleTimeout       = 2 * time.Minute // after which a caller's connection without a request is closed
	leaseLockStripes  = 64              // length of Entry.leaseLocks
)

// Options configures an Entry.
type Options struct {
	ID      lovageshift.EntryID
	Clock   lovageshift.Clock
	Network link.Network
	Source  peer.Source // where the entry reads the published configurations
	Metrics *metrics.Metrics
	Random  *rand.Rand
	Seeds   []string // addresses of the peers from which to fetch a configuration until the first one is in force
	// Policy chooses among eligible targets; nil means routing.LeastCost.
	Policy routing.Policy
	// MaxConnections limits how many connections callers may have open at once; 0 means no limit.
	MaxConnections int
	// Budget limits the memory of callers' bodies, nil for no limit.
	Budget *memory.Budget
	// DrainDelay is how long a draining entry still accepts new requests. In this time the load balancer should notice from
	// the failing readiness check that it must send no more.
	DrainDelay time.Duration
}

// Entry is one incarnation of the process on an entry VM.
type Entry struct {
	options  Options
	node     *peer.Node
	sequence atomic.Uint64 // number of the last dispatch of this incarnation, sent as wire.Start.Sequence
	draining atomic.Bool
	// refusing is set once requests that arrive are refused, as the entry stops.
	refusing atomic.Bool
	// bodyLoggedAt is when the refusal of a body was last logged.
	bodyLoggedAt atomic.Int64

	mutex       sync.Mutex // guards the fields below, down to leaving
	loads       *routing.LoadTable
	retryBudget *retry.Budget
	random      *rand.Rand
	links       map[lovageshift.TargetID]*agentLink // one for each target of the subset (see subset)
	// leaving holds the targets whose VMs are leaving according to the platform's list of VMs (pollVMs).
	leaving map[lovageshift.TargetID]bool

	leaseMutex sync.Mutex // guards leases
	leases     *grant.LeaseCache
	// leaseLocks are locks striped by account: the account's hash selects the lock that a request holds while it acquires
	// leases from issuers. So the requests of one account, and of all accounts with the same lock, acquire leases one after
	// the other. A lock is a channel, so that waiting for the lock can be canceled.
	leaseLocks [leaseLockStripes]chan struct{}
}

// New returns an entry. It connects to no other process until Run is called.
func New(options Options) *Entry {
	if options.Policy == nil {
		options.Policy = routing.LeastCost{}
	}
	e := &Entry{
		options:     options,
		loads:       routing.NewLoadTable(),
		retryBudget: retry.NewBudget(lovageshift.DefaultLimits().RetryShare),
		random:      options.Random,
		links:       map[lovageshift.TargetID]*agentLink{},
	}
	e.node = peer.NewNode(peer.Options{
		ID: string(options.ID), Clock: options.Clock, Network: options.Network, Source: options.Source,
		Metrics: options.Metrics, Random: rand.New(rand.NewPCG(options.Random.Uint64(), 1)), Seeds: options.Seeds,
		Peers:     e.peers,
		IsWatcher: func(*lovageshift.Config) bool { return false },
	})
	for i := range e.leaseLocks {
		e.leaseLocks[i] = make(chan struct{}, 1)
	}
	e.leases = grant.NewLeaseCache(grant.Holder{Entry: options.ID, Incarnation: e.node.Incarnation})
	return e
}

// Node returns the part of the entry that holds its configuration and the suspects, and exchanges both with the agents of
// the subset.
func (e *Entry) Node() *peer.Node { return e.node }

// peers returns the addresses of the agents of the subset. Once a configuration is in force, these are the entry's only peers.
func (e *Entry) peers(config *lovageshift.Config) []peer.Address {
	var peers []peer.Address
	for _, id := range e.subset(config) {
		peers = append(peers, peer.Address{ID: string(id), Address: config.Targets[id].Agent})
	}
	return peers
}

// subset returns the subset, that is, the targets whose agents this entry watches and dispatches to: all targets, or a part of
// them if there are more than limits.subsetTargets.
func (e *Entry) subset(config *lovageshift.Config) []lovageshift.TargetID {
	return membership.Subset(config, e.options.ID, config.Limits.SubsetTargets)
}

// Run serves callers on the listener until the context ends, then drains the entry and returns. If serving fails earlier, Run
// also waits for the context to end before it returns the error.
func (e *Entry) Run(ctx context.Context, listener net.Listener) error {
	// The background tasks run on while the entry drains, since requests in progress need them.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers := e.newCallerListener(listener)
	if err := callers.RegisterGauges(e.options.Metrics); err != nil {
		return err
	}
	framed := &framing.Listener{Listener: callers, HeaderLimit: func() int { return maxHeaderBytes }}
	server := &http.Server{
		Handler:           e.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       delivery.ConnContext,
		ConnState:         callers.ConnState,
	}
	var tasks errgroup.Group
	tasks.Go(func() error { return e.node.Run(background) })
	tasks.Go(func() error { return e.maintainLinks(background) })
	tasks.Go(func() error { return e.reportUsage(background) })
	tasks.Go(func() error { return e.pollVMs(background) })
	tasks.Go(func() error {
		<-ctx.Done()
		e.drain(server, callers)
		stop()
		return nil
	})
	tasks.Go(func() error {
		if err := server.Serve(framed); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	return tasks.Wait()
}

// Ready reports whether callers can be served: a configuration is in force, the entry has tried to compare its revision with
// that of some peers, at least one target of the subset accepts work, and the entry is not draining.
func (e *Entry) Ready() bool {
	if e.draining.Load() || !e.node.Ready() {
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for id := range e.links {
		if _, acceptsWork := e.loads.Accepts(id); acceptsWork {
			return true
		}
	}
	return false
}
