package gateway

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/discovery"
	"lovageshift/eventlog"
	"lovageshift/exchange"
	"lovageshift/metrics"
	"lovageshift/placement"
	"lovageshift/platform"
	"lovageshift/quota"
	"lovageshift/reservation"
	"lovageshift/retry"
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
	retryBudget  *retry.WindowBudget
	refused      *refusedRequests
	suspects     *suspects
	crashes      *crashes
	outputs      *outputAverages
	self         netip.Addr // this entry's address
	peers        Peers
	// roundIntervals is the last MemberCounts.RoundIntervals, levelsAt when levels of the first collector last arrived.
	roundIntervals atomic.Int64
	levelsAt       atomic.Int64
	// revocation is Options.Revocation.
	revocation  lovageshift.Millis
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
		retryBudget: retry.NewWindowBudget(options.Retry),
		refused:     newRefusedRequests(),
		suspects:    newSuspects(options.Log),
		outputs:     newOutputAverages(),
		revocation:  options.Revocation,
	}
	g.crashes = newCrashes(options.Clock, options.Log, func() bool { return 2*g.liveEntries.Load() < g.knownEntries.Load() })
	g.reservations = reservation.NewClient(g.scheduler, options.Clock, options.Log)
	options.Tracker.OnChange(g.viewChanged)
	return g
}

// viewChanged applies the accounts and targets of a new view to the meter and the scheduler.
func (g *Gateway) viewChanged(view *catalog.View) {
	now := g.clock.Now()
	g.meter.SetAccounts(now, view.Catalog.Accounts())
	g.scheduler.SetView(now, view)
}

// Run runs the gateway's background tasks until the context ends.
func (g *Gateway) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return g.crashes.run(ctx) })
	tasks.Go(func() error { return g.runPeriodicTasks(ctx) })
	return tasks.Wait()
}

// runPeriodicTasks calls the scheduler's Tick, sends levels as a collector, and closes connections that have been idle for
// too long or whose target gets no new requests, all at regular intervals, until the context ends.
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
			g.scheduler.Tick(g.clock.Now())
		case <-levels.C:
			g.sendLevels()
		case <-expire.C:
			if view := g.tracker.View(); view != nil {
				g.pool.Expire(view.MaySend)
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

// Drain makes the gateway report that it is not ready, and close each caller's connection after the response to the
// next request on it. Requests are still served.
func (g *Gateway) Drain() { g.draining.Store(true) }

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
	}
	for name, read := range gauges {
		if err := g.metrics.RegisterGauge(name, read); err != nil {
			return err
		}
	}
	return nil
}

// StateUpdate returns this entry's next state update for the other entries. A refused request is reported in a single
// update and not again, even if that update is lost.
func (g *Gateway) StateUpdate(now lovageshift.Millis) *wire.EntryNews {
	update := &wire.EntryNews{Refused: g.refused.takeUnreported(), Suspects: g.suspects.report(now)}
	g.crashes.report(now, update)
	revision, age := g.tracker.RevisionAge()
	update.StoreRevision, update.ViewAgeMillis = revision, int64(age)
	for hash, load := range g.scheduler.OwnRunning() {
		update.Targets = append(update.Targets, uint32(hash))
		update.Running = append(update.Running, uint32(load.Running))
		update.Granted = append(update.Granted, uint32(load.Granted))
		update.Granters = append(update.Granters, exchange.IPv4Number(load.Granter))
	}
	for hash, left := range g.scheduler.ColdRemaining(now) {
		update.Cold = append(update.Cold, uint32(hash))
		update.ColdMillis = append(update.ColdMillis, uint32(left))
	}
	update.Limits = limitMessages(g.scheduler.Limits(now))
	for _, use := range g.meter.Usages(now) {
		update.Accounts = append(update.Accounts, &wire.AccountUse{
			Account: uint32(use.Account), Used: int64(use.Used), Declared: int64(use.Declared),
			UsedLeft: int64(use.UsedLeft), DeclaredLeft: int64(use.DeclaredLeft),
		})
	}
	return update
}

// ApplyPeerUpdate applies another entry's state update. The parameter previous is the usage of accounts in the sender's
// last update before, nil if this is the first update of the sender's incarnation. The parameter echoedAt is the time,
// by this entry's Clock.SinceBoot, at which this entry sent the last state update that the sender had received when it
// sent its own, so the sender's update was sent after echoedAt. It is 0 if that time is not known.
func (g *Gateway) ApplyPeerUpdate(now lovageshift.Millis, from netip.Addr, previous *exchange.AccountUsage, echoedAt lovageshift.Millis, update *wire.EntryNews) {
	if echoedAt > 0 {
		// The sender's view was last confirmed ViewAgeMillis before the update was sent, and so no earlier than
		// ViewAgeMillis before echoedAt.
		g.tracker.Confirm(update.StoreRevision, echoedAt-lovageshift.Millis(update.ViewAgeMillis))
	}
	g.refused.merge(now, update.Refused)
	g.suspects.merge(now, update.Suspects)
	g.crashes.merge(now, update)
	for _, use := range update.Accounts {
		account := quota.AccountHash(use.Account)
		g.meter.AdoptLevels(now, quota.Usage{
			Account: account, UsedLeft: lovageshift.Tokens(use.UsedLeft), DeclaredLeft: lovageshift.Tokens(use.DeclaredLeft),
		})
		if previous == nil {
			continue // the usage since the sender's last update is not known
		}
		last, known := previous.Of(use.Account)
		if !known {
			continue
		}
		g.meter.ApplyRemoteUsage(now, account,
			lovageshift.Tokens(use.Used-last.GetUsed()), lovageshift.Tokens(use.Declared-last.GetDeclared()))
	}
	running := g.peerRunning(update)
	if update.Leaving {
		running = nil
	}
	if len(update.Cold) > 0 {
		g.scheduler.MergeCold(now, coldTargets(update))
	}
	g.scheduler.MergeLimits(now, limitReports(update.Limits))
	g.scheduler.UpdatePeer(now, from, running)
}

// peerRunning returns the requests that the sender of the update has at each target.
func (g *Gateway) peerRunning(update *wire.EntryNews) map[placement.TargetHash]placement.PeerRunning {
	self := exchange.IPv4Number(g.self)
	running := make(map[placement.TargetHash]placement.PeerRunning, len(update.Targets))
	for i, hash := range update.Targets {
		if i >= len(update.Running) {
			break
		}
		peer := placement.PeerRunning{Running: int(update.Running[i]), GrantedHere: placement.UnknownGrants}
		if i < len(update.Granted) && i < len(update.Granters) {
			peer.GrantedHere = 0
			if update.Granters[i] == self {
				peer.GrantedHere = int(update.Granted[i])
			}
		}
		running[placement.TargetHash(hash)] = peer
	}
	return running
}

// coldTargets returns for how many more milliseconds each target that is cold by the update stays cold; for cold
// targets see catalog.Target.ColdUntil and placement.ColdBounds.
func coldTargets(update *wire.EntryNews) map[placement.TargetHash]lovageshift.Millis {
	cold := make(map[placement.TargetHash]lovageshift.Millis, len(update.Cold))
	for i, hash := range update.Cold {
		if i < len(update.ColdMillis) {
			cold[placement.TargetHash(hash)] = lovageshift.Millis(update.ColdMillis[i])
		}
	}
	return cold
}

// SetMemberCounts applies the numbers of known and live entries, as defined by exchange.MemberCounts. It may be called
// without a change of the numbers.
func (g *Gateway) SetMemberCounts(now lovageshift.Millis, counts exchange.MemberCounts) {
	g.liveEntries.Store(int64(counts.Live))
	if previous := g.knownEntries.Swap(int64(counts.Known)); previous != int64(counts.Known) {
		g.log.Info("entriesCounted", "known", counts.Known, "heard", counts.Live, "before", previous)
	}
	g.roundIntervals.Store(int64(counts.RoundIntervals))
	g.crashes.setRound(counts.Round())
	g.scheduler.SetEntries(counts.Known, counts.Live, counts.ReportTimeout)
	g.retryBudget.SetEntries(counts.Known)
	g.meter.SetFraction(now, float64(counts.Reporting)/float64(counts.Known))
}

// HandlePacket handles changes of the store's records that another entry read, levels that a collector sent, another
// entry's reservation request, or its reply to one.
func (g *Gateway) HandlePacket(now lovageshift.Millis, from netip.Addr, packet *wire.EntryPacket) {
	switch body := packet.Body.(type) {
	case *wire.EntryPacket_Changes:
		g.tracker.Receive(storeChanges(body.Changes))
	case *wire.EntryPacket_Levels:
		g.applyLevels(now, from, body.Levels)
	default:
		g.reservations.HandlePacket(now, from, packet)
	}
}

func storeChanges(message *wire.StoreChanges) discovery.Changes {
	changes := discovery.Changes{
		From: message.FromRevision, To: message.ToRevision, ReadStore: message.ReadStore,
		StoreBack: lovageshift.Millis(message.StoreBackMillis),
	}
	for _, record := range message.Records {
		changes.Items = append(changes.Items, platform.Item{Key: record.Key, Value: record.Value, Deleted: record.Deleted})
	}
	return changes
}

func storeChangesMessage(changes discovery.Changes) *wire.StoreChanges {
	message := &wire.StoreChanges{
		FromRevision: changes.From, ToRevision: changes.To, ReadStore: changes.ReadStore,
		StoreBackMillis: int64(changes.StoreBack),
	}
	for _, item := range changes.Items {
		message.Records = append(message.Records, &wire.StoreRecord{Key: item.Key, Value: item.Value, Deleted: item.Deleted})
	}
	return message
}

// SetPeers sets how the other entries are reached. It must be called before the first request is served and before the
// tracker runs.
func (g *Gateway) SetPeers(peers Peers) {
	g.self, g.peers = peers.Self(), peers
	g.reservations.SetPeers(peers)
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
