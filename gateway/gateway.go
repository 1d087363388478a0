package gateway

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/discovery"
	"lovageshift/eventlog"
	"lovageshift/hedge"
	"lovageshift/memory"
	"lovageshift/metrics"
	"lovageshift/placement"
	"lovageshift/quota"
	"lovageshift/reservation"
	"lovageshift/retry"
	"lovageshift/stream"
	"lovageshift/upstream"
	"lovageshift/wire"

	"golang.org/x/sync/errgroup"
)

// MaxHeaderBytes is the largest size of a request header, in bytes, that the configuration can allow; a larger
// configured limit is reduced to it.
const MaxHeaderBytes = 128 << 10

const (
	// Limit on the size of a request header, in bytes, if the configuration sets none.
	defaultHeaderBytes = 16 << 10
	// Requests that need a key are refused from this long before the view's age reaches Options.Revocation, the age at
	// which a withdrawn key must no longer work anywhere. The view's age is the time since the view was last confirmed to
	// be the newest.
	freshnessMargin lovageshift.Millis = 400
	// Interval between calls of Scheduler.Tick, which assigns free slots and refuses requests that can no longer get a
	// slot in time.
	tickInterval lovageshift.Millis = 10
	// Upper bound of the view's age in the metrics, which also report it as long as no view has been confirmed.
	maxReportedAge lovageshift.Millis = 3_600_000
	// Number of entries that watch the store for all entries, which receive its changes from them, and in state updates the
	// confirmation that there are no others. readTask is the task name by which rendezvous hashing chooses these entries.
	readerCount = 2
	readTask    = "confirm"
	// Interval between calls of Pool.Expire, which closes idle connections.
	expireInterval lovageshift.Millis = 200
)

// ErrStopping is the cause of the end of a request's context if the entry stops before the request has its answer.
var ErrStopping = errors.New("the entry is stopping")

// Gateway serves callers' requests by sending them to targets.
type Gateway struct {
	zone         lovageshift.ZoneID
	clock        lovageshift.Clock
	log          *eventlog.Log
	metrics      *metrics.Metrics
	tracker      *discovery.Tracker
	pool         *upstream.Pool
	scheduler    *placement.Scheduler
	reservations *reservation.Client
	meter        *quota.Meter
	budget       *memory.Budget // nil for no limit
	answerBudget *memory.Budget
	retryBudget  *retry.WindowBudget
	hedges       *hedge.Policy // nil if no second attempts are sent
	refused      *refusedRequests
	suspects     *suspects
	crashes      *crashes
	loggedFaults *loggedFaults
	outputs      *outputAverages
	streams      *stream.Client
	versions     *stream.Versions
	shown        *stream.Shown
	undecided    undecidedStreams
	self         netip.Addr // this entry's address
	peers        Peers
	// roundIntervals is the last MemberCounts.RoundIntervals, levelsAt when levels of the first collector last arrived.
	roundIntervals atomic.Int64
	levelsAt       atomic.Int64
	// revocation is Options.Revocation.
	revocation lovageshift.Millis
	// startedAt is when (Clock.SinceBoot) the gateway was created.
	startedAt   lovageshift.Millis
	draining    atomic.Bool
	refusingNew atomic.Bool
	// knownEntries and liveEntries are the last counts from SetMemberCounts.
	knownEntries atomic.Int64
	liveEntries  atomic.Int64
	// lastReady is the result of the last readiness check.
	lastReady atomic.Bool
}

// Options configures a Gateway.
type Options struct {
	// Zone is the availability zone of this entry.
	Zone    lovageshift.ZoneID
	Clock   lovageshift.Clock
	Log     *eventlog.Log
	Metrics *metrics.Metrics
	Tracker *discovery.Tracker
	// Revocation is the time within which a withdrawn key must stop working, 0 for no bound.
	Revocation lovageshift.Millis
	// Retry limits the retries, Placement the requests to cold targets, and Quota by how much the tokens declared by an
	// account's requests may exceed its rate and burst. Each limit is for all entries together.
	Retry     retry.Bounds
	Placement placement.ColdBounds
	Quota     quota.Tolerance
	// Budget limits the memory of callers' bodies, nil for no limit.
	Budget *memory.Budget
	// AnswerBudget limits the memory of parts of targets' answers, nil for no limit.
	AnswerBudget *memory.Budget
	// Policy holds the operator's choices for requests that wait for a slot.
	Policy placement.Policy
	// HedgeShare is the largest share of second attempts, sent while the first one runs, in a service's safe requests; 0 for none.
	HedgeShare float64
	// FirstStart is set if the whole installation starts for the first time.
	FirstStart bool
}

// New returns a gateway that serves the routes and targets of the tracker's view. SetPeers must be called before the
// gateway serves requests and before the tracker runs.
func New(options Options) *Gateway {
	g := &Gateway{
		zone:        options.Zone,
		clock:       options.Clock,
		log:         options.Log,
		metrics:     options.Metrics,
		tracker:     options.Tracker,
		pool:        upstream.NewPool(options.Clock, options.Metrics),
		scheduler:   placement.NewScheduler(options.Placement),
		meter:       quota.NewMeter(options.Quota),
		budget:      options.Budget,
		retryBudget: retry.NewWindowBudget(options.Retry),
		refused:     newRefusedRequests(),
		suspects:    newSuspects(options.Log),

		loggedFaults: newLoggedFaults(),
		outputs:      newOutputAverages(),
		streams:      stream.NewClient(options.Clock),
		versions:     stream.NewVersions(options.FirstStart),
		shown:        stream.NewShown(options.Clock.Now()),
		revocation:   options.Revocation,
		startedAt:    options.Clock.SinceBoot(),
	}
	if options.HedgeShare > 0 {
		g.hedges = hedge.New(options.HedgeShare)
	}
	g.crashes = newCrashes(options.Clock, options.Log, func() bool { return 2*g.liveEntries.Load() < g.knownEntries.Load() })
	g.reservations = reservation.NewClient(g.scheduler, options.Clock, options.Log)
	g.scheduler.SetPolicy(options.Policy)
	options.Tracker.OnChange(g.viewChanged)
	g.answerBudget = options.AnswerBudget
	g.pool.LimitMemory(g.answerBudget)
	g.pool.OnResponse(g.observe)
	g.pool.OnPossibleRestart(g.recordPossibleRestart)
	return g
}

// viewChanged applies the accounts and targets of a new view.
func (g *Gateway) viewChanged(view *catalog.View) {
	now := g.clock.Now()
	g.meter.SetAccounts(now, view.Catalog.Accounts())
	g.scheduler.SetView(now, view)
	g.observeVersions(now, view)
}

// Run runs the gateway's background tasks until the context ends.
func (g *Gateway) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return g.crashes.run(ctx) })
	tasks.Go(func() error { return g.checkIncarnations(ctx) })
	tasks.Go(func() error { return g.runPeriodicTasks(ctx) })
	return tasks.Wait()
}

// runPeriodicTasks calls the scheduler's Tick, sends levels as a collector, records where streams began of which that has become
// known, and closes connections that have been idle for too long or whose target gets no new requests, all at regular intervals,
// until the context ends.
func (g *Gateway) runPeriodicTasks(ctx context.Context) error {
	expire := time.NewTicker(expireInterval.Duration())
	defer expire.Stop()
	tick := time.NewTicker(tickInterval.Duration())
	defer tick.Stop()
	levels := time.NewTicker(levelsInterval.Duration())
	defer levels.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			now := g.clock.Now()
			g.scheduler.SetViewLag(now - g.changesShownUntil())
			g.scheduler.Tick(now)
		case <-levels.C:
			g.sendLevels()
		case <-expire.C:
			g.recordDecided()
			if g.tracker.View() != nil {
				g.pool.Expire(g.maySend)
			}
		}
	}
}

// HeaderLimit returns the size of the largest request header that is accepted at present, in bytes.
func (g *Gateway) HeaderLimit() int {
	if view := g.tracker.View(); view != nil && view.Catalog.Limits.HeaderBytes > 0 {
		return min(view.Catalog.Limits.HeaderBytes, MaxHeaderBytes)
	}
	return defaultHeaderBytes
}

// Drain makes the gateway report that it is not ready, and close each caller's connection after the answer that begins next on it.
// Requests are still served.
func (g *Gateway) Drain() { g.draining.Store(true) }

// closeIfDraining adds to the header of an answer that the caller's connection is closed after it, if the gateway drains.
func (g *Gateway) closeIfDraining(header http.Header) {
	if g.draining.Load() {
		header.Set("Connection", "close")
	}
}

// RefuseNew makes the gateway refuse all requests that arrive from now on, reporting them as not run; requests in
// progress continue.
func (g *Gateway) RefuseNew() { g.refusingNew.Store(true) }

// ViewFresh reports whether the view was confirmed recently enough to decide by it which keys are valid; see
// freshnessMargin. Without a bound on the revocation of keys, every view is fresh.
func (g *Gateway) ViewFresh() bool {
	return g.revocation == 0 || g.tracker.ViewAge() < g.revocation-freshnessMargin
}

// Ready reports whether the load balancer should send requests to this entry.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.tracker.View() != nil && g.ViewFresh()
}

// ReadyHandler serves the load balancer's readiness check: 200 if the gateway is ready, 503 if not.
func (g *Gateway) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ready := g.Ready()
		if g.lastReady.Swap(ready) != ready {
			g.log.Info("readiness", "ready", ready, "draining", g.draining.Load(), "viewAgeMillis", g.tracker.ViewAge())
		}
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// LiveEntries returns the number of live entries, this one included; see exchange.MemberCounts.
func (g *Gateway) LiveEntries() int { return int(g.liveEntries.Load()) }

// RegisterGauges registers gauges for the age of the view, the number of entries and the dropped log lines.
func (g *Gateway) RegisterGauges() error {
	gauges := map[string]func() float64{
		"lovageshift_view_age_seconds":  func() float64 { return min(g.tracker.ViewAge(), maxReportedAge).Seconds() },
		"lovageshift_entries_known":     func() float64 { return float64(g.knownEntries.Load()) },
		"lovageshift_entries_heard":     func() float64 { return float64(g.liveEntries.Load()) },
		"lovageshift_log_lines_dropped": func() float64 { return float64(g.log.Dropped()) },
		"lovageshift_body_bytes":        func() float64 { return float64(g.budget.Usage().Held) },
		"lovageshift_bodies_reading":    func() float64 { return float64(g.budget.Usage().Bodies) },
		"lovageshift_answer_bytes":      func() float64 { return float64(g.answerBudget.Usage().Held) },
		"lovageshift_bodies_evicted":    func() float64 { return float64(g.budget.Usage().Evicted) },
	}
	for name, read := range gauges {
		if err := g.metrics.RegisterGauge(name, read); err != nil {
			return err
		}
	}
	return nil
}

// SetPeers sets how the other entries are reached. It must be called before the first request is served and before the
// tracker runs.
func (g *Gateway) SetPeers(peers Peers) {
	g.self, g.peers = peers.Self(), peers
	g.reservations.SetPeers(peers)
	g.streams.SetPeers(peers)
	isReader := func() bool { return g.reservations.AmongFirst(readTask, readerCount) }
	g.tracker.SetReader(isReader, func(changes discovery.Changes) {
		packet := &wire.EntryPacket{Body: &wire.EntryPacket_Changes{Changes: storeChangesMessage(changes)}}
		for _, address := range peers.Live() {
			peers.Send(address, packet)
		}
	})
}

// routingPoint derives a number in [0, 1) from the first 16 bytes of the request ID. The number selects one of the
// route's services in proportion to their weights.
func routingPoint(id string) float64 {
	var seed [32]byte
	copy(seed[:], id)
	low := binary.LittleEndian.Uint64(seed[:8])
	high := binary.LittleEndian.Uint64(seed[8:16])
	return rand.New(rand.NewPCG(low, high)).Float64()
}
