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
	"lovageshift/connection"
	"lovageshift/delivery"
	"lovageshift/discovery"
	"lovageshift/eventlog"
	"lovageshift/exchange"
	"lovageshift/framing"
	"lovageshift/gateway"
	"lovageshift/memory"
	"lovageshift/metrics"
	"lovageshift/placement"
	"lovageshift/platform"
	"lovageshift/quota"
	"lovageshift/retry"
	"lovageshift/upstream"
)

const (
	// Interval at which the settings file is checked for changes, as the operator may change it without sending SIGHUP.
	settingsPollMillis lovageshift.Millis = 1000
	// How long a caller may take to send a request's header, and how long its connection may stay idle between requests.
	// Both are longer than the timeouts that operators configure for callers, so that no caller that keeps to those
	// timeouts is disconnected.
	callerHeaderTimeout = 10 * time.Second
	callerIdleTimeout   = 2 * time.Minute
	// The number of the TCP port for operators is this much above that of the UDP port for messages between entries.
	operatorPortOffset = 1
)

// GatewayOptions are the options of an entry on the users' platform that its settings file does not hold.
type GatewayOptions struct {
	// Policy holds the operator's choices for requests that wait for a slot.
	Policy placement.Policy
	// HedgeShare is the largest share of second attempts, sent while the first one runs, in a service's safe requests, from 0 for none
	// to hedge.MaxShare.
	HedgeShare float64
	// Entries is how many entries run in this process and share what it may use of the machine, 0 stands for 1.
	Entries int
}

// RunGateway runs an entry that reaches targets without agents, with the settings file of the users' platform at the
// path. It returns after the context has ended and the entry is drained. The settings are read again on each signal from
// hangups and when the file changes. Only changes of the store's address, the seeds and the grace period take effect
// without a restart.
func RunGateway(ctx context.Context, path string, hangups <-chan os.Signal, options GatewayOptions) error {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	log := eventlog.New(os.Stdout, settings.Name)
	log.CaptureKlog()
	m, err := metrics.New()
	if err != nil {
		return err
	}
	p, err := newGatewayProcess(path, settings, options, log, m)
	if err != nil {
		return err
	}
	return p.run(ctx, hangups)
}

// gatewayProcess holds the parts of an entry on the users' platform.
type gatewayProcess struct {
	settings platform.Settings
	clock    lovageshift.Clock
	log      *eventlog.Log
	metrics  *metrics.Metrics
	watcher  *settingsWatcher
	tracker  *discovery.Tracker
	gateway  *gateway.Gateway
	node     *exchange.Node
	limits   memory.Limits
	budget   *memory.Budget // nil for no limit
	options  GatewayOptions
}

// newGatewayProcess assembles the parts and opens the port for messages between entries.
func newGatewayProcess(
	path string, settings platform.Settings, options GatewayOptions, log *eventlog.Log, m *metrics.Metrics,
) (*gatewayProcess, error) {
	clock := lovageshift.NewClock()
	watcher := newSettingsWatcher(path, settings, log)
	dialer := net.Dialer{Timeout: time.Second, KeepAliveConfig: upstream.KeepAlive, Control: upstream.SetUserTimeout}
	tracker := discovery.NewTracker(discovery.Options{
		Store: platform.NewStore(platform.NewStoreTransport(dialer.DialContext)), Address: watcher.storeAddress, Clock: clock, Log: log, Metrics: m,
		ApplyWithin: settings.Bounds.ApplyWithin,
	})
	bounds := settings.Bounds
	limits := limitsOf(settings.VM, options.Entries, func(unknown []string) { log.Info("machineUnknown", "unlimited", unknown) })
	budget := limits.Apply()
	g := gateway.New(gateway.Options{
		Zone: settings.Zone, Clock: clock, Log: log, Metrics: m, Tracker: tracker, Revocation: bounds.Revocation,
		Retry:     retry.Bounds{Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow},
		Placement: placement.ColdBounds{ColdOvershoot: bounds.ColdOvershoot, ColdSlack: bounds.ColdSlack},
		Quota:     quota.Tolerance{Overshoot: bounds.QuotaOvershoot, Slack: bounds.QuotaSlack},

		FirstStart: settings.FirstStart,
		Budget:     budget, AnswerBudget: limits.AnswerBudget(), HedgeShare: options.HedgeShare, Policy: options.Policy,
	})
	self, err := netip.ParseAddr(settings.Host)
	if err != nil {
		return nil, trace.Wrap(err, "parse the address of this VM")
	}
	packetConn, err := net.ListenPacket("udp4", internalAddress(settings.Host, settings.PeerPort, 0))
	if err != nil {
		return nil, trace.Wrap(err, "listen for other entries")
	}
	node := exchange.NewNode(exchange.Options{
		Self: self, Port: settings.PeerPort, State: g, Clock: clock, Log: log, Metrics: m, Conn: packetConn,
		Processor: settings.Processor,
	})
	g.SetPeers(node)
	if err := g.RegisterGauges(); err != nil {
		return nil, err
	}
	node.SetSeeds(settings.Seeds)
	watcher.onChange = func(changed platform.Settings) { node.SetSeeds(changed.Seeds) }
	return &gatewayProcess{
		settings: settings, clock: clock, log: log, metrics: m,
		watcher: watcher, tracker: tracker, gateway: g, node: node,
		limits: limits, budget: budget, options: options,
	}, nil
}

// run opens the remaining ports and runs the servers and background tasks until the entry is drained or one of them fails.
func (p *gatewayProcess) run(ctx context.Context, hangups <-chan os.Signal) error {
	callerListener, err := net.Listen("tcp", p.settings.CallerAddress)
	if err != nil {
		return trace.Wrap(err, "listen for callers")
	}
	readyListener, err := net.Listen("tcp", p.settings.ReadyAddress)
	if err != nil {
		return trace.Wrap(err, "listen for the load balancer")
	}
	operatorListener, err := net.Listen("tcp", internalAddress(p.settings.Host, p.settings.PeerPort, operatorPortOffset))
	if err != nil {
		return trace.Wrap(err, "listen for operators")
	}
	p.logStart()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tasks, background := errgroup.WithContext(background)
	tasks.Go(func() error { return p.log.Run(background) })
	tasks.Go(func() error { return p.tracker.Run(background) })
	tasks.Go(func() error { return p.gateway.Run(background) })
	tasks.Go(func() error { return p.node.Run(background) })
	tasks.Go(func() error { return p.watcher.run(background, hangups) })
	readyServer := &http.Server{Handler: p.gateway.ReadyHandler(), ReadHeaderTimeout: operatorHeaderTimeout}
	tasks.Go(func() error { return serve(readyServer, readyListener) })
	operatorServer := &http.Server{Handler: p.operatorHandler(), ReadHeaderTimeout: operatorHeaderTimeout}
	tasks.Go(func() error { return serve(operatorServer, operatorListener) })
	requests, endRequests := context.WithCancelCause(context.Background())
	defer endRequests(nil)
	callers := p.newCallerListener(callerListener)
	if err := callers.RegisterGauges(p.metrics); err != nil {
		return err
	}
	framedListener := &framing.Listener{Listener: callers, HeaderLimit: p.gateway.HeaderLimit}
	callerServer := p.newCallerServer(requests, callers)
	tasks.Go(func() error { return serve(callerServer, framedListener) })
	tasks.Go(func() error {
		defer stop()
		defer func() { _ = operatorServer.Close() }()
		defer func() { _ = readyServer.Close() }()
		select {
		case <-ctx.Done():
			p.drain(callerServer, callers, endRequests)
		case <-background.Done():
			_ = callerServer.Close()
		}
		return nil
	})
	return tasks.Wait()
}

// logStart logs the settings with which the entry starts.
func (p *gatewayProcess) logStart() {
	p.log.Info("start", "version", lovageshift.Version, "callers", p.settings.CallerAddress, "zone", p.settings.Zone,
		"store", p.settings.StoreAddress, "seeds", len(p.settings.Seeds), "firstStart", p.settings.FirstStart,
		"bodyBytes", p.limits.Bodies, "runtimeBytes", p.limits.Runtime, "connections", p.limits.Connections,
		"hedgeShare", p.options.HedgeShare,
		"fairShares", p.options.Policy.FairShares, "earlyRefusals", p.options.Policy.EarlyRefusals)
}

// logUnanswered logs and counts a connection that was closed although a request on it had no answer.
func (p *gatewayProcess) logUnanswered(c connection.Unanswered) {
	p.metrics.Add(metrics.ClosedUnanswered, c.State.String(), 1)
	p.log.Info("closedUnanswered", "caller", c.Caller, "state", c.State.String(), "bytes", c.Received, "ageMillis", c.Age,
		"openMillis", c.Open, "ready", p.gateway.Ready())
}

// newCallerListener returns the listener that decides when the connections of callers are closed.
func (p *gatewayProcess) newCallerListener(listener net.Listener) *connection.Listener {
	return connection.NewListener(listener, connection.Options{
		Clock: p.clock, Limit: p.limits.Connections, HeaderTimeout: callerHeaderTimeout,
		OnFull: p.callersFull, OnUnanswered: p.logUnanswered,
		TooSlow:  gateway.Refusal(lovageshift.NotRun(lovageshift.ReasonHeaderTooSlow, "")),
		Stopping: gateway.Refusal(lovageshift.NotRun(lovageshift.ReasonStopping, "")),
	})
}

// newCallerServer returns the server for callers that the listener accepts. The context is the parent of those of their requests.
func (p *gatewayProcess) newCallerServer(requests context.Context, callers *connection.Listener) *http.Server {
	return &http.Server{
		Handler: p.gateway, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: 2 * gateway.MaxHeaderBytes, ConnContext: delivery.ConnContext, ConnState: callers.ConnState,
		BaseContext: func(net.Listener) context.Context { return requests },
	}
}

// callersFull makes room for another connection of a caller, by evicting bodies that have stalled.
func (p *gatewayProcess) callersFull() {
	p.log.Info("callersFull", "connections", p.limits.Connections, "bodiesReading", p.budget.Usage().Bodies)
	p.budget.EvictStalled(p.clock.Now())
}

// internalAddress returns the IP:port on the VM of the host whose port is the one for messages between entries plus the
// offset.
func internalAddress(host string, peerPort, offset uint16) string {
	return net.JoinHostPort(host, strconv.Itoa(int(peerPort+offset)))
}

// operatorHandler serves the metrics, the status of the entry and, by request id, the recent log lines about one request.
func (p *gatewayProcess) operatorHandler() http.Handler {
	router := p.metrics.OperatorRouter(p.status)
	router.HandleFunc("/requests/{request}", func(w http.ResponseWriter, r *http.Request) {
		if err := p.log.WriteRecent(mux.Vars(r)["request"], w); err != nil {
			http.Error(w, err.Error(), trace.ErrorToCode(err))
		}
	})
	router.HandleFunc("/where", p.serveWhere).Methods(http.MethodPost)
	return router
}

// gatewayStatus is the status of an entry as operators see it. Version, Routes (their number), Accounts (their number),
// ZonesOut and Targets describe the entry's view of the store and are empty before the entry has a view. ViewAgeMillis is
// the time since the view was last confirmed to be the newest.
type gatewayStatus struct {
	Name            lovageshift.EntryID  `json:"name"`
	Version         lovageshift.Revision `json:"version"` // of the catalog
	ViewAgeMillis   lovageshift.Millis   `json:"viewAgeMillis"`
	Ready           bool                 `json:"ready"`
	DroppedLogLines int64                `json:"logLinesLeftOut"`
	Routes          int                  `json:"routes"`
	Accounts        int                  `json:"accounts"`
	ZonesOut        []lovageshift.ZoneID `json:"zonesOut"`
	Targets         []targetStatus       `json:"targets"`
}

// targetStatus is the status of a target as operators see it.
type targetStatus struct {
	ID            lovageshift.TargetID `json:"id"`
	Service       catalog.ServiceID    `json:"service"`
	Zone          lovageshift.ZoneID   `json:"zone"`
	Address       string               `json:"address"`
	Draining      bool                 `json:"leaving"`
	ColdForMillis lovageshift.Millis   `json:"coldForMillis"`
}

func (p *gatewayProcess) status() any {
	status := gatewayStatus{
		Name: p.settings.Name, ViewAgeMillis: p.tracker.ViewAge(), Ready: p.gateway.Ready(), DroppedLogLines: p.log.Dropped(),
	}
	if view := p.tracker.View(); view != nil {
		status.describe(view, p.clock.Now())
	}
	return status
}

// describe sets the fields that describe the view.
func (s *gatewayStatus) describe(view *catalog.View, now lovageshift.Millis) {
	s.Version = view.Catalog.Version
	s.Routes, s.Accounts = len(view.Catalog.Routes()), len(view.Catalog.Accounts())
	s.ZonesOut = append([]lovageshift.ZoneID{}, slices.Sorted(maps.Keys(view.ZonesOut))...)
	for _, id := range slices.Sorted(maps.Keys(view.Targets)) {
		target := view.Targets[id]
		s.Targets = append(s.Targets, targetStatus{
			ID: id, Service: target.Service, Zone: target.Zone, Address: target.Address,
			Draining: target.Draining, ColdForMillis: max(target.ColdUntil-now, 0),
		})
	}
}

// serve accepts connections from the listener until the server is closed or fails. It returns nil if it was closed.
func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
