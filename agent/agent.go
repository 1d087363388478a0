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
	pumpInterval   = 20 * time.Millisecond
	reportInterval = time.Second
	sweepInterval  = 10 * time.Second
	answerKept     = 64 << 10
	forgetEntries  = lovageshift.Millis(3_600_000)
	watchersAZone  = 2
	startPoll      = 20 * time.Millisecond
)

// Engine is what an agent needs of its target.
type Engine interface {
	Open(ctx context.Context, request engine.Request) (*engine.Answer, error)
	Resume(ctx context.Context, stream string, after int) (*engine.Answer, error)
	Load(ctx context.Context) (engine.Load, error)
	Cache(ctx context.Context, from uint64) (engine.CacheEvents, error)
	Order(ctx context.Context, order engine.Order) error
}

// Options are the parts of an agent.
type Options struct {
	Target  lovageshift.TargetID
	Clock   lovageshift.Clock
	Network link.Network
	Source  peer.Source
	Metrics *metrics.Metrics
	Random  *rand.Rand
	Seeds   []string
	// Connect returns the engine at an address.
	Connect func(address string) Engine
	// Plain admits everything at once, as a plain balancer would; for comparison only.
	Plain bool
}

// Agent is one run of the process beside a target.
type Agent struct {
	options  Options
	node     *peer.Node
	watchers atomic.Int64

	mutex    sync.Mutex
	config   *lovageshift.Config
	engine   Engine
	address  string
	warmth   *admission.ConcurrencyLimiter
	room     *admission.Queue
	window   *admission.ReplayWindow
	keeper   *grant.Issuer
	ledger   *idempotency.Ledger
	keepers  *membership.OwnershipHistory
	homes    *membership.OwnershipHistory
	moved    map[lovageshift.AccountID]lovageshift.Millis
	desk     order.Sequencer
	progress lovageshift.Millis // when a token last came
	bound    lovageshift.Millis // tightest limit between tokens
	jobs     map[*admission.Waiter]*job
	down     bool
	failures int
	stopping bool
	report   engine.Load
	cacheAt  uint64
	doubts   int64
	version  uint64
	changed  chan struct{}
	wake     chan struct{}
}

// New returns an agent that is not running.
func New(options Options) *Agent {
	limits := lovageshift.DefaultLimits()
	defaults := lovageshift.Target{ColdLimit: 1, MaxRunning: 1}
	warmth := admission.NewConcurrencyLimiter(defaults.ColdLimit, defaults.MaxRunning)
	room := admission.NewQueue(warmth, 0)
	if options.Plain {
		room = admission.NewPassThroughQueue(warmth)
	}
	a := &Agent{
		options: options,
		warmth:  warmth,
		room:    room,
		window:  admission.NewReplayWindow(limits.TransitMillis),
		keepers: membership.NewOwnershipHistory(options.Target),
		homes:   membership.NewOwnershipHistory(options.Target),
		jobs:    map[*admission.Waiter]*job{},
		moved:   map[lovageshift.AccountID]lovageshift.Millis{},
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
	}
	a.ledger = idempotency.NewLedger(options.Clock.Wall(), ledgerLimits(&limits))
	a.node = peer.NewNode(peer.Options{
		ID: string(options.Target), Clock: options.Clock, Network: options.Network, Source: options.Source,
		Metrics: options.Metrics, Random: options.Random, Seeds: options.Seeds,
		Peers: a.peers, IsWatcher: a.watches,
	})
	a.keeper = grant.NewIssuer(a.node.Incarnation, limits.LeaseMillis, limits.TransitMillis)
	return a
}

// Node returns the agent's configuration and peers.
func (a *Agent) Node() *peer.Node { return a.node }

// peers are other agents, chosen so that today's few all know each other.
func (a *Agent) peers(config *lovageshift.Config) []peer.Address {
	ranked := membership.Ranked("peers/"+string(a.options.Target), membership.AllTargets(config))
	var peers []peer.Address
	for _, id := range ranked {
		if id == a.options.Target || len(peers) >= config.Limits.SubsetTargets {
			continue
		}
		peers = append(peers, peer.Address{ID: string(id), Address: config.Targets[id].Agent})
	}
	return peers
}

// watches reports whether this agent is one of the few in its zone that watch what the platform publishes.
func (a *Agent) watches(config *lovageshift.Config) bool {
	self := config.Targets[a.options.Target]
	if self == nil {
		return true
	}
	return membership.IsWatcher(config, self, watchersAZone)
}

// Run serves on the listener until the context ends, at once; Drain comes before for a graceful stop.
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
	tasks.Go(func() error { return a.pumpLoop(ctx) })
	tasks.Go(func() error { return a.reportLoop(ctx) })
	tasks.Go(func() error { return a.sweepLoop(ctx) })
	return tasks.Wait()
}

// Drain refuses new work, tells the entries and returns when nothing runs any more or the context ends.
func (a *Agent) Drain(ctx context.Context) error {
	a.mutex.Lock()
	a.stopping = true
	a.refuseWaiting(lovageshift.ReasonTargetLeaving)
	a.notify()
	a.mutex.Unlock()
	klog.Infof("agent %s: leaving", a.options.Target)
	ticker := time.NewTicker(startPoll)
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

// notify wakes the watchers; it needs the lock.
func (a *Agent) notify() {
	a.version++
	close(a.changed)
	a.changed = make(chan struct{})
}

// poke wakes the pump.
func (a *Agent) poke() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// pumpLoop starts waiting work as places get free and drops what can no longer be in time.
func (a *Agent) pumpLoop(ctx context.Context) error {
	ticker := time.NewTicker(pumpInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		case <-ticker.C:
		}
		a.mutex.Lock()
		a.pump()
		a.mutex.Unlock()
	}
}

// pump needs the lock.
func (a *Agent) pump() {
	started, dropped := a.room.Admit(a.node.Now())
	for _, ticket := range started {
		a.jobs[ticket].decide(nil)
	}
	for _, ticket := range dropped {
		refusal := lovageshift.NotRun(lovageshift.ReasonDeadline, "the first token could no longer be in time")
		a.jobs[ticket].decide(refusal.WithRetryAfter(a.room.EstimatedWait(ticket.Rank)))
	}
}

func (a *Agent) sweepLoop(ctx context.Context) error {
	lovageshift.Every(ctx, sweepInterval, func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		now := a.node.Now()
		a.keeper.Sweep(now)
		a.window.Forget(now - forgetEntries)
	})
	return nil
}
