package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/exchange"
	"lovageshift/gateway"
	"lovageshift/metrics"
	"lovageshift/standin"
)

// installation is several entries, which exchange datagrams over loopback, with one store and targets that restart.
type installation struct {
	store   *standin.Store
	server  *httptest.Server // serves the store
	entries []*testEntry
	hosts   []*host
	port    uint16 // the UDP port of all entries
	group   errgroup.Group
	cancel  context.CancelFunc
}

// host is the address at which incarnations of one target run, one after another.
type host struct {
	store   *standin.Store
	address string
	proxy   net.Listener // nil unless a proxy forwards to the address
	replica *standin.Replica
	silent  bool
	down    time.Duration // time between a crash and the next start
	crashed chan struct{}

	mutex   sync.Mutex
	born    int64
	crashes []time.Time
	conns   map[net.Conn]bool // that are open
}

// targetOptions describes the targets of an installation.
type targetOptions struct {
	// crashes reports whether a request crashes its target, nil if none does.
	crashes func(*http.Request) bool
	// proxied puts a proxy before each target, which accepts connections also while the target is down.
	proxied bool
	// silent makes targets that crash leave their connections open and send nothing.
	silent bool
	// version returns the version of the software of the target with the number, nil for one version of all.
	version func(number int) string
	// slots is how many requests a target runs at once, and events the number of events of a stream, each at least 4.
	slots, events int
	// endsWithConnection makes the answers end with their connections.
	endsWithConnection bool
	// lastEntry stops all entries but one before the requests.
	lastEntry bool
	// hedgeShare is the share of second attempts.
	hedgeShare float64
	// faultOf returns the fault of a target's answer to a request, nil for none.
	faultOf func(number int, request *http.Request) standin.ReplicaFault
	// engine makes the targets engines, which entries ask for their reports.
	engine bool
	// noReport makes targets answer no question for their report.
	noReport bool
}

// newInstallation starts the entries and the targets, each with 4 slots and streams of some events, and waits until the
// entries are ready and know of each other.
func newInstallation(entries, targets int, options targetOptions) *installation {
	i := &installation{store: standin.NewStore(), port: freeUDPPort()}
	i.server = httptest.NewServer(i.store)
	config := configuration(2, 1e6, key)
	if options.engine {
		config["services"] = []map[string]any{{"name": "pool", "connection_limit": 100, "engine": map[string]any{"slots": 4, "stride": 1}}}
	}
	i.store.Put(standin.ConfigKey, config)
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	for number := range targets {
		h := newHost(i.store, number, options)
		i.hosts = append(i.hosts, h)
		if options.proxied {
			i.group.Go(func() error { return h.runProxy(ctx) })
		}
		i.group.Go(func() error { return h.run(ctx) })
	}
	for number := range entries {
		i.entries = append(i.entries, i.startEntry(number, entries, options))
	}
	for range 1000 {
		if i.ready() {
			return i
		}
		time.Sleep(10 * time.Millisecond)
	}
	So("the entries are not ready", ShouldBeEmpty)
	return i
}

// freeUDPPort returns a port that no process uses at the first entry's address.
func freeUDPPort() uint16 {
	conn, err := net.ListenPacket("udp4", entryAddress(0)+":0")
	So(err, ShouldBeNil)
	defer func() { _ = conn.Close() }()
	return netip.MustParseAddrPort(conn.LocalAddr().String()).Port()
}

func entryAddress(number int) string { return fmt.Sprintf("127.0.1.%d", number+1) }

// startEntry starts an entry whose seeds are all entries.
func (i *installation) startEntry(number, entries int, options targetOptions) *testEntry {
	return startEntry(i.server.Listener.Addr().String(), func(g *gateway.Gateway) (gateway.Peers, func(context.Context) error) {
		conn, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", entryAddress(number), i.port))
		So(err, ShouldBeNil)
		m, err := metrics.New()
		So(err, ShouldBeNil)
		node := exchange.NewNode(exchange.Options{
			Self: netip.MustParseAddr(entryAddress(number)), Port: i.port, State: g, Clock: lovageshift.NewClock(), Metrics: m, Conn: conn,
		})
		var seeds []string
		for other := range entries {
			seeds = append(seeds, entryAddress(other))
		}
		node.SetSeeds(seeds)
		return node, node.Run
	}, func(o *gateway.Options) { o.HedgeShare = options.hedgeShare })
}

func (i *installation) ready() bool {
	for _, entry := range i.entries {
		if !entry.gateway.Ready() || entry.gateway.LiveEntries() != len(i.entries) {
			return false
		}
	}
	return true
}

func (i *installation) stop() {
	for _, entry := range i.entries {
		entry.stop()
	}
	i.cancel()
	_ = i.group.Wait()
	i.server.CloseClientConnections()
	i.server.Close()
}

// send sends a request for a stream of the route through the entry.
func (i *installation) send(entry int, request standin.CallerRequest) standin.Reply {
	request.Host, request.Method, request.Key = "h", "POST", key
	address := strings.TrimPrefix(i.entries[entry%len(i.entries)].url, "http://")
	return standin.Send(context.Background(), http.DefaultTransport, address, request)
}

// repeat starts callers in the group, each of which sends one request after the other until the end, with pauses.
func repeat(group *errgroup.Group, callers int, end time.Time, pause time.Duration, send func()) {
	for range callers {
		group.Go(func() error {
			for time.Now().Before(end) {
				send()
				time.Sleep(pause)
			}
			return nil
		})
	}
}

// received returns the requests that reached the targets.
func (i *installation) received() (all []standin.ReceivedRequest) {
	for _, h := range i.hosts {
		all = append(all, h.replica.Received()...)
	}
	return all
}

// crashes returns when targets crashed, in no order.
func (i *installation) crashes() (all []time.Time) {
	for _, h := range i.hosts {
		h.mutex.Lock()
		all = append(all, h.crashes...)
		h.mutex.Unlock()
	}
	return all
}

func newHost(store *standin.Store, number int, options targetOptions) *host {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	h := &host{store: store, address: listener.Addr().String(), silent: options.silent, down: 300 * time.Millisecond, crashed: make(chan struct{}, 1), conns: map[net.Conn]bool{}}
	So(listener.Close(), ShouldBeNil)
	if options.proxied {
		h.proxy, err = net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
	}
	h.replica = &standin.Replica{
		ID: fmt.Sprintf("i-%d", number), Service: "pool", Slots: max(options.slots, 4), EventCount: max(options.events, 4), EventInterval: 10 * time.Millisecond,
		CrashesOn: options.crashes, EndsWithConnection: options.endsWithConnection, NoReport: options.noReport,
		OnCrash: func() {
			if options.silent {
				h.replica.Silence()
			}
			select {
			case h.crashed <- struct{}{}:
			default: // it is crashing already
			}
		},
	}
	if options.faultOf != nil {
		h.replica.FaultOf = func(request *http.Request) standin.ReplicaFault { return options.faultOf(number, request) }
	}
	if options.version != nil {
		h.replica.Version = options.version(number)
	}
	return h
}

// run runs one incarnation after another until the context ends.
func (h *host) run(ctx context.Context) error {
	for ctx.Err() == nil {
		listener, err := net.Listen("tcp", h.address)
		if err != nil {
			return err
		}
		h.register()
		server := &http.Server{Handler: h.replica, ReadHeaderTimeout: time.Second, ConnState: h.trackConn}
		var group errgroup.Group
		group.Go(func() error { return server.Serve(listener) })
		select {
		case <-h.crashed:
			h.mutex.Lock()
			h.crashes = append(h.crashes, time.Now())
			h.mutex.Unlock()
		case <-ctx.Done():
		}
		if h.silent && ctx.Err() == nil {
			_ = listener.Close()
			defer func() { _ = server.Close() }()
		} else {
			_ = server.Close()
		}
		_ = group.Wait()
		lovageshift.Pause(ctx, h.down)
	}
	return nil
}

// trackConn keeps which connections are open.
func (h *host) trackConn(conn net.Conn, state http.ConnState) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(h.conns, conn)
	} else {
		h.conns[conn] = true
	}
}

// resetConns closes all connections to the target, which runs on.
func (h *host) resetConns() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for conn := range h.conns {
		_ = conn.Close()
	}
}

// setVersion sets the version of the software of the next incarnations.
func (h *host) setVersion(version string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.replica.Version = version
}

// register writes the record of the next incarnation to the store.
func (h *host) register() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.born++
	address := h.address
	if h.proxy != nil {
		address = h.proxy.Addr().String()
	}
	h.store.Put(h.replica.Key(), h.replica.Record(standin.Registration{Address: address, Zone: "zone-a", Born: h.born, Sequence: 1}))
}

// runProxy forwards connections to the host's address until the context ends. It accepts one before it knows whether a
// target listens there.
func (h *host) runProxy(ctx context.Context) error {
	var group errgroup.Group
	stop := context.AfterFunc(ctx, func() { _ = h.proxy.Close() })
	defer stop()
	for {
		from, err := h.proxy.Accept()
		if err != nil {
			return group.Wait()
		}
		group.Go(func() error {
			defer func() { _ = from.Close() }()
			to, err := net.Dial("tcp", h.address)
			if err != nil {
				return nil
			}
			stop := context.AfterFunc(ctx, func() { _ = from.Close() })
			defer stop()
			forward(from, to)
			return nil
		})
	}
}

// forward copies in both directions until one of the connections ends, and then closes both.
func forward(from, to net.Conn) {
	var group errgroup.Group
	for _, pair := range [][2]net.Conn{{from, to}, {to, from}} {
		group.Go(func() error {
			_, _ = io.Copy(pair[1], pair[0])
			return errors.Join(from.Close(), to.Close())
		})
	}
	_ = group.Wait()
}
