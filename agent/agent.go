package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"
	"storj.io/drpc/drpcmux"

	"lovageshift"
	"lovageshift/admission"
	"lovageshift/engine"
	"lovageshift/grant"
	"lovageshift/idempotency"
	"lovageshift/link"
	"lovageshift/membership"
	"lovageshift/metrics"
	"lovageshift/order"
	"lovageshift/peer"
	"lovageshift/wire"
)

const (
	// The queue is looked through at least this often, so that requests that can no longer meet their deadline are
	// dropped.
	admitInterval         = 20 * time.Millisecond
	loadReportInterval    = time.Second
	sweepInterval         = 10 * time.Second
	drainPollInterval     = 20 * time.Millisecond
	maxStoredAnswerBytes  = 64 << 10
	sourceWatchersPerZone = 2
	// How long the replay window of an entry that sends nothing, and a change of an account's shares, are remembered.
	retention = lovageshift.Millis(3_600_000)
)

// Engine is the client of the back end behind a target, a model engine or a plain service.
type Engine interface {
	Open(ctx context.Context, request engine.Request) (*engine.Response, error)
	Resume(ctx context.Context, stream string, after int) (*engine.Response, error)
	FetchLoad(ctx context.Context) (engine.LoadReport, error)
	FetchCacheEvents(ctx context.Context, from uint64) (engine.CacheEvents, error)
	SendOrder(ctx context.Context, order engine.Order) error
}

// Options are the settings and dependencies of an agent.
type Options struct {
	Target  lovageshift.TargetID
	Clock   lovageshift.Clock
	Network link.Network
	Source  peer.Source
	Metrics *metrics.Metrics
	Random  *rand.Rand
	// Seeds are addresses of peers to ask before there is a configuration.
	Seeds []string
	// Connect returns the client of the engine at an address.
	Connect func(address string) Engine
	// PassThrough admits every request at once, as a plain load balancer does; for comparison only.
	PassThrough bool
}

// Agent is one incarnation of the process beside a target.
type Agent struct {
	options  Options
	node     *peer.Node
	watchers atomic.Int64

	mutex               sync.Mutex
	config              *lovageshift.Config
	engine              Engine
	address             string
	limiter             *admission.ConcurrencyLimiter
	queue               *admission.Queue
	replayWindow        *admission.ReplayWindow
	issuer              *grant.Issuer
	ledger              *idempotency.Ledger
	issuerTenure        *membership.OwnershipHistory                 // since when this agent issues leases of a share
	homeTenure          *membership.OwnershipHistory                 // since when this agent records an idempotency key
	resharedAt          map[lovageshift.AccountID]lovageshift.Millis // when a new number of shares has taken effect
	sequencer           order.Sequencer
	lastTokenAt         lovageshift.Millis // the latest output token of any stream
	interTokenBound     lovageshift.Millis // the lowest limit between tokens of any tier
	jobs                map[*admission.Request]*job
	engineDown          bool
	consecutiveFailures int
	draining            bool
	engineLoad          engine.LoadReport
	cacheSequence       uint64 // the next prefix-cache event to read
	cacheEpoch          int64  // rises when the contents of the prefix cache become uncertain
	version             uint64
	changed             chan struct{} // closed when the load changes
	wake                chan struct{} // wakes admitLoop
}

// New returns an agent that is not running.
func New(options Options) *Agent {
	limits := lovageshift.DefaultLimits()
	defaults := lovageshift.Target{ColdLimit: 1, MaxRunning: 1}
	limiter := admission.NewConcurrencyLimiter(defaults.ColdLimit, defaults.MaxRunning)
	queue := admission.NewQueue(limiter, 0)
	if options.PassThrough {
		queue = admission.NewPassThroughQueue(limiter)
	}
	a := &Agent{
		options:      options,
		limiter:      limiter,
		queue:        queue,
		replayWindow: admission.NewReplayWindow(limits.TransitMillis),
		issuerTenure: membership.NewOwnershipHistory(options.Target),
		homeTenure:   membership.NewOwnershipHistory(options.Target),
		jobs:         map[*admission.Request]*job{},
		resharedAt:   map[lovageshift.AccountID]lovageshift.Millis{},
		changed:      make(chan struct{}),
		wake:         make(chan struct{}, 1),
	}
	a.ledger = idempotency.NewLedger(options.Clock.Wall(), idempotencyLimits(&limits))
	a.node = peer.NewNode(peer.Options{
		ID: string(options.Target), Clock: options.Clock, Network: options.Network, Source: options.Source,
		Metrics: options.Metrics, Random: options.Random, Seeds: options.Seeds,
		Peers: a.peerAddresses, IsWatcher: a.watchesSource,
	})
	a.issuer = grant.NewIssuer(a.node.Incarnation, limits.LeaseMillis, limits.TransitMillis)
	return a
}

// Node returns the part that all processes share: the configuration, peers and suspects.
func (a *Agent) Node() *peer.Node { return a.node }

// peerAddresses returns up to limits.subsetTargets other agents, by rendezvous score. With no more agents than that,
// each has all others as peers.
func (a *Agent) peerAddresses(config *lovageshift.Config) []peer.Address {
	ranked := membership.Ranked("peers/"+string(a.options.Target), membership.AllTargets(config))
	var addresses []peer.Address
	for _, id := range ranked {
		if id == a.options.Target || len(addresses) >= config.Limits.SubsetTargets {
			continue
		}
		addresses = append(addresses, peer.Address{ID: string(id), Address: config.Targets[id].Agent})
	}
	return addresses
}

// watchesSource reports whether this agent watches the configuration source: as one of the sourceWatchersPerZone agents
// of its availability zone that do, or because the configuration does not name its target.
func (a *Agent) watchesSource(config *lovageshift.Config) bool {
	self := config.Targets[a.options.Target]
	if self == nil {
		return true
	}
	return membership.IsWatcher(config, self, sourceWatchersPerZone)
}

// Run serves on the listener until the context ends, and then stops at once; call Drain first for a graceful stop.
func (a *Agent) Run(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterAgent(mux, a); err != nil {
		return trace.Wrap(err, "register agent service")
	}
	if err := wire.DRPCRegisterPeer(mux, a.node); err != nil {
		return trace.Wrap(err, "register peer service")
	}
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return link.NewServer(mux).Serve(ctx, listener) })
	tasks.Go(func() error { return a.node.Run(ctx) })
	tasks.Go(func() error { return a.followConfig(ctx) })
	tasks.Go(func() error { return a.admitLoop(ctx) })
	tasks.Go(func() error { return a.pollEngine(ctx) })
	tasks.Go(func() error { return a.sweepLoop(ctx) })
	return tasks.Wait()
}

// Drain refuses new and queued requests, notifies the entries and returns when no request runs or the context ends.
func (a *Agent) Drain(ctx context.Context) error {
	a.mutex.Lock()
	a.draining = true
	a.refuseWaiting(lovageshift.ReasonTargetLeaving)
	a.notifyWatchers()
	a.mutex.Unlock()
	klog.Infof("agent %s: draining", a.options.Target)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		a.mutex.Lock()
		left := len(a.jobs)
		a.mutex.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// notifyWatchers has the load sent to every watching entry; a.mutex must be held.
func (a *Agent) notifyWatchers() {
	a.version++
	close(a.changed)
	a.changed = make(chan struct{})
}

// wakeAdmission has admitLoop look through the queue without waiting for its interval.
func (a *Agent) wakeAdmission() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// admitLoop admits queued requests as slots become free and drops those that can no longer meet their deadline.
func (a *Agent) admitLoop(ctx context.Context) error {
	ticker := time.NewTicker(admitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		case <-ticker.C:
		}
		a.mutex.Lock()
		a.admitWaiting()
		a.mutex.Unlock()
	}
}

// admitWaiting does one pass of admitLoop; a.mutex must be held.
func (a *Agent) admitWaiting() {
	admitted, dropped := a.queue.Admit(a.node.Now())
	for _, w := range admitted {
		a.jobs[w].decide(nil)
	}
	for _, w := range dropped {
		refusal := lovageshift.NotRun(lovageshift.ReasonDeadline, "the first token could no longer be in time")
		a.jobs[w].decide(refusal.WithRetryAfter(a.queue.EstimatedWait(w.Rank)))
	}
}

func (a *Agent) sweepLoop(ctx context.Context) error {
	lovageshift.Every(ctx, sweepInterval, func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		now := a.node.Now()
		a.issuer.Sweep(now)
		a.replayWindow.Forget(now - retention)
	})
	return nil
}
