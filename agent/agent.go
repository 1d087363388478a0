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
	// admitLoop checks the queue at least this often, so that requests whose first token can no longer meet its
	// deadline are refused soon.
	admitInterval = 20 * time.Millisecond
	// Mean interval between polls of a target that is up.
	pollInterval = time.Second
	// Interval at which sweepLoop drops expired state.
	sweepInterval = 10 * time.Second
	// Interval at which Drain checks whether any request is left.
	drainPollInterval = 20 * time.Millisecond
	// Answers with a larger body are not stored in the ledger of calls with an idempotency key.
	maxStoredAnswerBytes = 64 << 10
	// Number of agents in each availability zone that read the configuration source continuously. The others
	// get changes from their peers, and read the source only while their configuration is not confirmed.
	sourceWatchersPerZone = 2
	// 1 hour: how long an entry's replay window is kept after its last message, and an element of
	// Agent.shareCountSettledAt after the time that it holds.
	retention = lovageshift.Millis(3_600_000)
)

// TargetClient sends requests to the target: a model engine or a replica of a plain service. The error of Open matches
// engine.ErrNotSent if the target received no byte of the request. Resume continues a broken stream after the given
// number of token events, and FetchCacheEvents returns the prefix-cache events from the given sequence number on.
// Resume, FetchCacheEvents and SendOrder are for engines only.
type TargetClient interface {
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
	Network link.Network // for connections to peers
	Source  peer.Source  // of the configuration
	Metrics *metrics.Metrics
	Random  *rand.Rand // for the choice of peers and the jitter of intervals
	// Seeds are the addresses of peers from which the first configuration can be fetched.
	Seeds []string
	// NewClient returns a client of the target at an IP:port address.
	NewClient func(address string) TargetClient
	// PassThrough admits every request at once, as a plain load balancer does. It is only a baseline for comparisons.
	PassThrough bool
}

// Agent is one incarnation of the process beside a target.
type Agent struct {
	options      Options
	node         *peer.Node
	watchStreams atomic.Int64 // open streams of Watch

	mutex        sync.Mutex // protects the fields below
	config       *lovageshift.Config
	client       TargetClient
	address      string // of the target, IP:port
	limiter      *admission.ConcurrencyLimiter
	queue        *admission.Queue
	replayWindow *admission.ReplayWindow
	issuer       *grant.Issuer
	ledger       *idempotency.Ledger
	// These tell since when this agent has owned a share of an account's token bucket, whose leases it then issues, and
	// an idempotency key, whose calls it then runs.
	shareOwnership       *membership.OwnershipHistory
	idempotencyOwnership *membership.OwnershipHistory
	// For accounts whose number of shares has changed: the time from which on no process uses the earlier number.
	shareCountSettledAt map[lovageshift.AccountID]lovageshift.Millis
	sequencer           order.Sequencer
	// When the latest output token of any stream arrived; 0 before the first.
	lastTokenAt lovageshift.Millis
	// The limiter admits fewer requests at once to keep the inter-token latency below this bound: the lowest
	// betweenTokensMillis of any tier, or 0 (no bound) without tiers.
	interTokenLatencyBound lovageshift.Millis
	jobs                   map[*admission.Request]*job // the queued and running jobs, by their request in the queue
	targetDown             bool                        // from a crash or a failed connection to the next successful poll
	consecutiveFailures    int                         // failures of the target since the last complete response
	draining               bool
	stopped                chan struct{}     // closed by endCalls
	engineLoad             engine.LoadReport // the latest one read; empty for a plain service and while the target is down
	cacheSequence          uint64            // sequence number of the next prefix-cache event to read
	cacheEpoch             int64             // sent to entries; rises when the prefix cache may have been lost
	loadChangeCount        uint64
	loadChanged            chan struct{} // closed and replaced when the load changes
	wake                   chan struct{} // wakes admitLoop
}

// New returns an agent that is not yet running.
func New(options Options) *Agent {
	limits := lovageshift.DefaultLimits()
	defaults := lovageshift.Target{ColdLimit: 1, MaxRunning: 1}
	limiter := admission.NewConcurrencyLimiter(defaults.ColdLimit, defaults.MaxRunning)
	queue := admission.NewQueue(limiter, 0)
	if options.PassThrough {
		queue = admission.NewPassThroughQueue(limiter)
	}
	a := &Agent{
		options:              options,
		limiter:              limiter,
		queue:                queue,
		replayWindow:         admission.NewReplayWindow(limits.TransitMillis),
		shareOwnership:       membership.NewOwnershipHistory(options.Target),
		idempotencyOwnership: membership.NewOwnershipHistory(options.Target),
		jobs:                 map[*admission.Request]*job{},
		shareCountSettledAt:  map[lovageshift.AccountID]lovageshift.Millis{},
		loadChanged:          make(chan struct{}),
		stopped:              make(chan struct{}),
		wake:                 make(chan struct{}, 1),
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

// Node returns the part that agents have in common with entries: the configuration, the peers and the suspects, which
// are requests that were running when their target crashed (see package quarantine).
func (a *Agent) Node() *peer.Node { return a.node }

// peerAddresses returns the addresses of this agent's peers: the limits.subsetTargets other agents with the highest
// rendezvous scores, or all others if there are no more than that.
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

// watchesSource reports whether this agent reads the configuration source continuously. That holds for
// sourceWatchersPerZone agents in each availability zone, and for an agent whose target the configuration does not
// name.
func (a *Agent) watchesSource(config *lovageshift.Config) bool {
	target := config.Targets[a.options.Target]
	if target == nil {
		return true
	}
	return membership.IsWatcher(config, target, sourceWatchersPerZone)
}

// Run serves entries and peers on the listener until the context ends. It then refuses queued requests, cancels running ones and
// waits until their refusals are sent, and for the end of an order that is being sent (see sendOrder). For a graceful stop, call
// Drain before ending the context.
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
	tasks.Go(func() error {
		<-ctx.Done()
		a.endCalls()
		return nil
	})
	tasks.Go(func() error { return a.node.Run(ctx) })
	tasks.Go(func() error { return a.followConfig(ctx) })
	tasks.Go(func() error { return a.admitLoop(ctx) })
	tasks.Go(func() error { return a.pollTarget(ctx) })
	tasks.Go(func() error { return a.sweepLoop(ctx) })
	return tasks.Wait()
}

// Drain refuses new and queued requests, reports to the entries that the agent is draining and waits until no request
// is left, queued or running. It returns the context's error if the context ends first.
func (a *Agent) Drain(ctx context.Context) error {
	a.mutex.Lock()
	a.draining = true
	a.refuseQueued(lovageshift.ReasonTargetLeaving)
	a.notifyLoadChanged()
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

// endCalls refuses new and queued requests, cancels running ones and ends the Watch streams.
func (a *Agent) endCalls() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.draining = true
	a.refuseQueued(lovageshift.ReasonTargetLeaving)
	for _, j := range a.jobs {
		j.abort(lovageshift.Unknown(lovageshift.ReasonConnectionLost, "the agent has stopped"))
	}
	close(a.stopped)
}

// notifyLoadChanged wakes the Watch streams, which then send the changed load to their entries; a.mutex must be held.
func (a *Agent) notifyLoadChanged() {
	a.loadChangeCount++
	close(a.loadChanged)
	a.loadChanged = make(chan struct{})
}

// wakeAdmission makes admitLoop check the queue without waiting for admitInterval.
func (a *Agent) wakeAdmission() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// admitLoop calls admitQueued every admitInterval and after each wakeAdmission.
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
		a.admitQueued()
		a.mutex.Unlock()
	}
}

// admitQueued admits the queued requests that can run now and refuses those whose first token can no longer meet its
// deadline; a.mutex must be held.
func (a *Agent) admitQueued() {
	admitted, dropped := a.queue.Admit(a.node.Now())
	for _, request := range admitted {
		a.jobs[request].decide(nil)
	}
	for _, request := range dropped {
		refusal := lovageshift.NotRun(lovageshift.ReasonDeadline, "the first token could no longer be in time")
		a.jobs[request].decide(refusal.WithRetryAfter(a.queue.EstimatedWait(request.Rank)))
	}
}

// sweepLoop regularly drops expired leases, full buckets without leases, and the replay windows of entries that have
// sent nothing during the retention.
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
