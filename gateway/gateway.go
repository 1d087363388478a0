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
	"lovageshift/quota"
	"lovageshift/reservation"
	"lovageshift/retry"
	"lovageshift/upstream"
	"lovageshift/wire"
)

// MaxHeaderBytes is the most that an operator can allow for a request's head.
const MaxHeaderBytes = 128 << 10

const (
	defaultHeaderBytes = 16 << 10
	// Requests with a key end this long before the view is too old to tell that the key still holds.
	trustMargin lovageshift.Millis = 400
	tickMillis  lovageshift.Millis = 10
	// An entry that never had a view shows this age.
	maxShownAge lovageshift.Millis = 3_600_000
	// Entries that ask the store often enough to confirm the view for all.
	confirmers  = 2
	confirmTask = "confirm"
	// Idle connections are looked through at this interval.
	expireMillis lovageshift.Millis = 200
)

// Gateway serves clients.
type Gateway struct {
	zone     lovageshift.ZoneID
	clock    lovageshift.Clock
	log      *eventlog.Log
	counts   *metrics.Metrics
	tracker  *discovery.Tracker
	pool     *upstream.Pool
	desk     *placement.Scheduler
	places   *reservation.Client
	meter    *quota.Meter
	retries  *retry.WindowBudget
	refused  *refusedRequests
	suspects *suspects
	// revocation is after how long a withdrawn key must not work, 0 for no bound.
	revocation lovageshift.Millis
	draining   atomic.Bool
	closed     atomic.Bool
	entries    atomic.Int64
	heard      atomic.Int64
	wasReady   atomic.Bool
}

// Options are what a gateway needs.
type Options struct {
	Zone       lovageshift.ZoneID
	Clock      lovageshift.Clock
	Log        *eventlog.Log
	Metrics    *metrics.Metrics
	Tracker    *discovery.Tracker
	Revocation lovageshift.Millis
	Retry      retry.Bounds
	Placement  placement.ColdBounds
	Quota      quota.Tolerance
}

// New returns a gateway that serves what the tracker sees.
func New(options Options) *Gateway {
	g := &Gateway{
		zone:       options.Zone,
		clock:      options.Clock,
		log:        options.Log,
		counts:     options.Metrics,
		tracker:    options.Tracker,
		pool:       upstream.NewPool(options.Clock, options.Metrics),
		desk:       placement.NewScheduler(options.Placement),
		meter:      quota.NewMeter(options.Quota),
		retries:    retry.NewWindowBudget(options.Retry),
		refused:    newRefusedRequests(),
		suspects:   newSuspects(options.Log),
		revocation: options.Revocation,
	}
	g.places = reservation.NewClient(g.desk, options.Clock, options.Log)
	options.Tracker.OnChange(g.changed)
	return g
}

func (g *Gateway) changed(view *catalog.View) {
	now := g.clock.Now()
	g.meter.SetAccounts(now, view.Catalog.Accounts())
	g.desk.SetView(now, view)
}

// Run keeps queues and connections in order until the context ends.
func (g *Gateway) Run(ctx context.Context) error {
	expire := time.NewTicker(expireMillis.Duration())
	defer expire.Stop()
	tick := time.NewTicker(tickMillis.Duration())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			g.desk.Tick(g.clock.Now())
		case <-expire.C:
			if view := g.tracker.View(); view != nil {
				g.pool.Expire(view.MaySend)
			}
		}
	}
}

// HeaderLimit returns how many bytes a request's head may have.
func (g *Gateway) HeaderLimit() int {
	if view := g.tracker.View(); view != nil && view.Catalog.Limits.HeaderBytes > 0 {
		return min(view.Catalog.Limits.HeaderBytes, MaxHeaderBytes)
	}
	return defaultHeaderBytes
}

// Drain makes the gateway say that it is not ready and that connections end with their answer.
func (g *Gateway) Drain() { g.draining.Store(true) }

// RefuseNew makes the gateway refuse new requests as not run, while those it has go on.
func (g *Gateway) RefuseNew() { g.closed.Store(true) }

// ViewFresh reports whether the view is new enough to rely on its keys.
func (g *Gateway) ViewFresh() bool {
	return g.revocation == 0 || g.tracker.ViewAge() < g.revocation-trustMargin
}

// Ready reports whether clients should be sent here.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.tracker.View() != nil && g.ViewFresh()
}

// ReadyHandler answers the balancer's question whether clients should be sent here.
func (g *Gateway) ReadyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ready := g.Ready()
		if g.wasReady.Swap(ready) != ready {
			g.log.Info("readiness", "ready", ready, "draining", g.draining.Load(), "viewAgeMillis", g.tracker.ViewAge())
		}
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// RegisterGauges makes metrics of what the entry believes.
func (g *Gateway) RegisterGauges() error {
	gauges := map[string]func() float64{
		"lovageshift_view_age_seconds":  func() float64 { return min(g.tracker.ViewAge(), maxShownAge).Seconds() },
		"lovageshift_entries_known":     func() float64 { return float64(g.entries.Load()) },
		"lovageshift_entries_heard":     func() float64 { return float64(g.heard.Load()) },
		"lovageshift_log_lines_dropped": func() float64 { return float64(g.log.LeftOut()) },
	}
	for name, read := range gauges {
		if err := g.counts.Gauge(name, read); err != nil {
			return err
		}
	}
	return nil
}

// News returns what this entry tells the others.
func (g *Gateway) News(now lovageshift.Millis) *wire.EntryNews {
	news := &wire.EntryNews{Refused: g.refused.told(), Suspects: g.suspects.tell(now)}
	revision, age := g.tracker.RevisionAge()
	news.StoreRevision, news.ViewAgeMillis = revision, int64(age)
	for hash, running := range g.desk.Running() {
		news.Targets = append(news.Targets, uint32(hash))
		news.Running = append(news.Running, uint32(running))
	}
	for hash, left := range g.desk.ColdRemaining(now) {
		news.Cold = append(news.Cold, uint32(hash))
		news.ColdMillis = append(news.ColdMillis, uint32(left))
	}
	for _, use := range g.meter.Usages(now) {
		news.Accounts = append(news.Accounts, &wire.AccountUse{
			Account: uint32(use.Account), Used: int64(use.Used), Declared: int64(use.Declared),
			UsedLeft: int64(use.UsedLeft), DeclaredLeft: int64(use.DeclaredLeft),
		})
	}
	return news
}

// Heard takes in another entry's news.
func (g *Gateway) Heard(now lovageshift.Millis, from netip.Addr, before *exchange.Report, echoed lovageshift.Millis, news *wire.EntryNews) {
	if echoed > 0 {
		// The sender's view was the newest no earlier than this, as its message is newer than the time it echoes.
		g.tracker.Confirm(news.StoreRevision, echoed-lovageshift.Millis(news.ViewAgeMillis))
	}
	g.refused.learn(now, news.Refused)
	g.suspects.learn(now, news.Suspects)
	for _, use := range news.Accounts {
		account := quota.AccountHash(use.Account)
		g.meter.AdoptLevels(now, quota.Usage{
			Account: account, UsedLeft: lovageshift.Tokens(use.UsedLeft), DeclaredLeft: lovageshift.Tokens(use.DeclaredLeft),
		})
		if before == nil {
			continue
		}
		last := before.Accounts[use.Account]
		g.meter.ApplyRemoteUsage(now, account,
			lovageshift.Tokens(use.Used-last.GetUsed()), lovageshift.Tokens(use.Declared-last.GetDeclared()))
	}
	running := make(map[placement.TargetHash]int, len(news.Targets))
	for i, hash := range news.Targets {
		if i < len(news.Running) {
			running[placement.TargetHash(hash)] = int(news.Running[i])
		}
	}
	if news.Leaving {
		running = nil
	}
	if len(news.Cold) > 0 {
		g.desk.MergeCold(now, coldOf(news))
	}
	g.desk.UpdatePeer(now, from, running)
}

// coldOf returns for how long the sender believes targets to stay cold.
func coldOf(news *wire.EntryNews) map[placement.TargetHash]lovageshift.Millis {
	cold := make(map[placement.TargetHash]lovageshift.Millis, len(news.Cold))
	for i, hash := range news.Cold {
		if i < len(news.ColdMillis) {
			cold[placement.TargetHash(hash)] = lovageshift.Millis(news.ColdMillis[i])
		}
	}
	return cold
}

// Counted takes in how many entries may be at work.
func (g *Gateway) Counted(now lovageshift.Millis, census exchange.Census) {
	g.heard.Store(int64(census.Heard))
	if before := g.entries.Swap(int64(census.Known)); before != int64(census.Known) {
		g.log.Info("entriesCounted", "known", census.Known, "heard", census.Heard, "before", before)
	}
	g.desk.SetEntries(census.Known, census.Heard)
	g.retries.SetEntries(census.Known)
	g.meter.SetFraction(now, float64(census.Heard)/float64(census.Known))
}

// Packet takes in another entry's ask for a place, or its answer to one.
func (g *Gateway) Packet(now lovageshift.Millis, from netip.Addr, packet *wire.EntryPacket) {
	g.places.HandlePacket(now, from, packet)
}

// SetPeers takes over how the other entries are reached; it must be called before clients are served.
func (g *Gateway) SetPeers(peers reservation.Peers) {
	g.places.SetPeers(peers)
	g.tracker.SetConfirmer(func() bool { return g.places.AmongFirst(confirmTask, confirmers) })
}

// point spreads requests over a route's services by their id.
func point(id string) float64 {
	var seed [32]byte
	copy(seed[:], id)
	low := binary.LittleEndian.Uint64(seed[:8])
	high := binary.LittleEndian.Uint64(seed[8:16])
	return rand.New(rand.NewPCG(low, high)).Float64()
}
