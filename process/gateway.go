package process

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/discovery"
	"lovageshift/eventlog"
	"lovageshift/exchange"
	"lovageshift/framing"
	"lovageshift/gateway"
	"lovageshift/metrics"
	"lovageshift/placement"
	"lovageshift/platform"
	"lovageshift/quota"
	"lovageshift/retry"
	"lovageshift/upstream"
)

const (
	// The balancer asks once a second and stops after two misses; requests that come until then are served, later
	// ones are sent elsewhere, as a long one would be cut at the end.
	serveMillis lovageshift.Millis = 2800
	// Connections are accepted this much longer, to tell late requests that they did not run.
	refuseMillis lovageshift.Millis = 700
	// What still runs is cut this long before the platform kills the process.
	killMargin lovageshift.Millis = 300
	// Used where the settings name no time between SIGTERM and SIGKILL.
	defaultGrace lovageshift.Millis = 8000
	// The settings file is looked at in this interval, as it also changes without a signal.
	settingsMillis lovageshift.Millis = 1000
	// Above what operators set for clients, so that no proper client is cut.
	clientHeaderTimeout = 10 * time.Second
	clientIdleTimeout   = 2 * time.Minute
	// Operators' metrics are served this many ports above the entries' own.
	metricsPortOffset = 1
)

// RunGateway runs an entry that reaches targets directly, with the settings file of the users' platform, until the
// context ends and its last answer is out; hangups delivers signals to read the settings again.
func RunGateway(ctx context.Context, path string, hangups <-chan os.Signal) error {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	log := eventlog.New(os.Stdout, settings.Name)
	log.CaptureKlog()
	counts, err := metrics.New()
	if err != nil {
		return err
	}
	e, err := newDirectEntry(path, settings, log, counts)
	if err != nil {
		return err
	}
	return e.run(ctx, hangups)
}

// directEntry is one running entry of the users' platform.
type directEntry struct {
	settings platform.Settings
	clock    lovageshift.Clock
	log      *eventlog.Log
	counts   *metrics.Metrics
	source   *settingsSource
	tracker  *discovery.Tracker
	gateway  *gateway.Gateway
	node     *exchange.Node
}

func newDirectEntry(path string, settings platform.Settings, log *eventlog.Log, counts *metrics.Metrics) (*directEntry, error) {
	clock := lovageshift.NewClock()
	source := newSettingsSource(path, settings, log)
	dialer := net.Dialer{Timeout: time.Second, KeepAliveConfig: upstream.KeepAlive, Control: upstream.SetUserTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}
	tracker := discovery.NewTracker(discovery.Options{
		Store: platform.NewStore(transport), Address: source.store, Clock: clock, Log: log, Metrics: counts,
	})
	bounds := settings.Bounds
	g := gateway.New(gateway.Options{
		Zone: settings.Zone, Clock: clock, Log: log, Metrics: counts, Tracker: tracker, Revocation: bounds.Revocation,
		Retry:     retry.Bounds{Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow},
		Placement: placement.ColdBounds{ColdOvershoot: bounds.ColdOvershoot, ColdSlack: bounds.ColdSlack},
		Quota:     quota.Tolerance{Overshoot: bounds.QuotaOvershoot, Slack: bounds.QuotaSlack},
	})
	self, err := netip.ParseAddr(settings.Host)
	if err != nil {
		return nil, trace.Wrap(err, "this machine's address")
	}
	packets, err := net.ListenPacket("udp4", peerAddress(settings, 0))
	if err != nil {
		return nil, trace.Wrap(err, "listen for other entries")
	}
	node := exchange.NewNode(exchange.Options{
		Self: self, Port: settings.PeerPort, State: g, Clock: clock, Log: log, Metrics: counts, Conn: packets,
	})
	g.SetPeers(node)
	if err := g.RegisterGauges(); err != nil {
		return nil, err
	}
	node.SetSeeds(settings.Seeds)
	source.onChange = func(changed platform.Settings) { node.SetSeeds(changed.Seeds) }
	return &directEntry{
		settings: settings, clock: clock, log: log, counts: counts,
		source: source, tracker: tracker, gateway: g, node: node,
	}, nil
}

func (e *directEntry) run(ctx context.Context, hangups <-chan os.Signal) error {
	callers, err := net.Listen("tcp", e.settings.CallerAddress)
	if err != nil {
		return trace.Wrap(err, "listen for clients")
	}
	ready, err := net.Listen("tcp", e.settings.ReadyAddress)
	if err != nil {
		return trace.Wrap(err, "listen for the balancer")
	}
	operators, err := net.Listen("tcp", peerAddress(e.settings, metricsPortOffset))
	if err != nil {
		return trace.Wrap(err, "listen for operators")
	}
	e.log.Info("start", "version", lovageshift.Version, "callers", e.settings.CallerAddress, "zone", e.settings.Zone,
		"store", e.settings.StoreAddress, "seeds", len(e.settings.Seeds), "firstStart", e.settings.FirstStart)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks, background := errgroup.WithContext(background)
	tasks.Go(func() error { return e.log.Run(background) })
	tasks.Go(func() error { return e.tracker.Run(background) })
	tasks.Go(func() error { return e.gateway.Run(background) })
	tasks.Go(func() error { return e.node.Run(background) })
	tasks.Go(func() error { return e.source.run(background, hangups) })
	readiness := &http.Server{Handler: e.gateway.ReadyHandler(), ReadHeaderTimeout: operatorsHeaderTimeout}
	tasks.Go(func() error { return serve(readiness, ready) })
	metricsServer := &http.Server{Handler: e.operators(), ReadHeaderTimeout: operatorsHeaderTimeout}
	tasks.Go(func() error { return serve(metricsServer, operators) })
	clients := &http.Server{
		Handler: e.gateway, ReadHeaderTimeout: clientHeaderTimeout, IdleTimeout: clientIdleTimeout,
		MaxHeaderBytes: 2 * gateway.MaxHeaderBytes,
	}
	checked := &framing.Listener{Listener: callers, HeaderLimit: e.gateway.HeaderLimit}
	tasks.Go(func() error { return serve(clients, checked) })
	tasks.Go(func() error {
		defer stop()
		defer func() { _ = metricsServer.Close() }()
		defer func() { _ = readiness.Close() }()
		select {
		case <-ctx.Done():
			e.drain(clients)
		case <-background.Done():
			_ = clients.Close()
		}
		return nil
	})
	return tasks.Wait()
}

// drain says that the entry is not ready, serves what the balancer still sends, and ends with the last answer.
func (e *directEntry) drain(clients *http.Server) {
	grace := e.source.current().Bounds.Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	started := e.clock.Now()
	e.log.Info("stopping", "graceMillis", grace)
	e.gateway.Drain()
	lovageshift.Pause(context.Background(), min(serveMillis, grace/3).Duration())
	e.gateway.RefuseNew()
	lovageshift.Pause(context.Background(), min(refuseMillis, grace/8).Duration())
	left := started + grace - killMargin - e.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), max(left, 0).Duration())
	defer cancel()
	err := clients.Shutdown(ctx)
	if err != nil {
		_ = clients.Close()
	}
	e.log.Info("stop", "afterMillis", e.clock.Now()-started, "cut", err != nil)
}

func peerAddress(settings platform.Settings, offset uint16) string {
	return net.JoinHostPort(settings.Host, strconv.Itoa(int(settings.PeerPort+offset)))
}

// operators serves metrics, status, and what became of a request lately.
func (e *directEntry) operators() http.Handler {
	router := e.counts.OperatorRouter(e.status)
	router.HandleFunc("/requests/{request}", func(w http.ResponseWriter, r *http.Request) {
		if err := e.log.WriteRecent(mux.Vars(r)["request"], w); err != nil {
			http.Error(w, err.Error(), trace.ErrorToCode(err))
		}
	})
	return router
}

// directStatus is what operators see of a direct entry.
type directStatus struct {
	Name          lovageshift.EntryID  `json:"name"`
	Version       lovageshift.Revision `json:"version"`
	ViewAgeMillis lovageshift.Millis   `json:"viewAgeMillis"`
	Ready         bool                 `json:"ready"`
	LogLeftOut    int64                `json:"logLinesLeftOut"`
	Routes        int                  `json:"routes"`
	Accounts      int                  `json:"accounts"`
	ZonesOut      []lovageshift.ZoneID `json:"zonesOut"`
	Targets       []targetStatus       `json:"targets"`
}

// targetStatus is what operators see of a target.
type targetStatus struct {
	ID            lovageshift.TargetID `json:"id"`
	Service       catalog.ServiceID    `json:"service"`
	Zone          lovageshift.ZoneID   `json:"zone"`
	Address       string               `json:"address"`
	Leaving       bool                 `json:"leaving"`
	ColdForMillis lovageshift.Millis   `json:"coldForMillis"`
}

func (e *directEntry) status() any {
	status := directStatus{
		Name: e.settings.Name, ViewAgeMillis: e.tracker.ViewAge(), Ready: e.gateway.Ready(), LogLeftOut: e.log.Dropped(),
	}
	if view := e.tracker.View(); view != nil {
		status.describe(view, e.clock.Now())
	}
	return status
}

func (s *directStatus) describe(view *catalog.View, now lovageshift.Millis) {
	s.Version = view.Catalog.Version
	s.Routes, s.Accounts = len(view.Catalog.Routes()), len(view.Catalog.Accounts())
	s.ZonesOut = append([]lovageshift.ZoneID{}, slices.Sorted(maps.Keys(view.ZonesOut))...)
	for _, id := range slices.Sorted(maps.Keys(view.Targets)) {
		target := view.Targets[id]
		s.Targets = append(s.Targets, targetStatus{
			ID: id, Service: target.Service, Zone: target.Zone, Address: target.Address,
			Leaving: target.Draining, ColdForMillis: max(target.ColdUntil-now, 0),
		})
	}
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
