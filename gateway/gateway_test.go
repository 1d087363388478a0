package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/delivery"
	"lovageshift/discovery"
	"lovageshift/exchange"
	"lovageshift/gateway"
	"lovageshift/metrics"
	"lovageshift/placement"
	"lovageshift/platform"
	"lovageshift/quota"
	"lovageshift/retry"
	"lovageshift/standin"
	"lovageshift/wire"
)

const key = "secret-key"

// noPeers is the peer list of an entry that is the only one.
type noPeers struct{}

func (noPeers) Self() netip.Addr                   { return netip.MustParseAddr("127.0.0.1") }
func (noPeers) Live() []netip.Addr                 { return nil }
func (noPeers) Send(netip.Addr, *wire.EntryPacket) {}

func (noPeers) Processor(netip.Addr) lovageshift.Millicores { return 0 }

func (noPeers) Incarnation() uint64 { return 1 }

func (noPeers) Reported(netip.Addr) (uint64, *exchange.AccountUsage) { return 0, nil }

// setup is one entry with a stand-in for the store and stand-in targets, the replicas. They are connected over
// loopback.
type setup struct {
	store    *standin.Store
	gateway  *gateway.Gateway
	tracker  *discovery.Tracker
	metrics  *metrics.Metrics
	url      string
	replicas []*standin.Replica
	// version is the version of the configuration published last. rate is both the account's rate, in tokens a second,
	// and its burst, in tokens.
	version int
	rate    float64
	stop    func()
}

func newSetup(replicas ...*standin.Replica) *setup { return newSetupWithPeers(noPeers{}, replicas...) }

func newSetupWithPeers(peers gateway.Peers, replicas ...*standin.Replica) *setup {
	return newSetupWithOptions(peers, func(*gateway.Options) {}, replicas...)
}

// newSetupWithOptions starts an entry with changed options.
func newSetupWithOptions(peers gateway.Peers, change func(*gateway.Options), replicas ...*standin.Replica) *setup {
	s := &setup{store: standin.NewStore(), replicas: replicas, rate: 1e6}
	var closers []func()
	for _, replica := range replicas {
		server := httptest.NewServer(replica)
		closers = append(closers, server.CloseClientConnections, server.Close)
		s.store.Put(replica.Key(), replica.Record(standin.Registration{Address: server.Listener.Addr().String(), Zone: "zone-a", Born: 1, Sequence: 1}))
	}
	// A target record that is not valid JSON must not keep the entry from using the other targets.
	s.store.PutBytes((&standin.Replica{ID: "foreign"}).Key(), []byte("{"))
	s.publish(key)
	storeServer := httptest.NewServer(s.store)
	entry := startEntry(storeServer.Listener.Addr().String(), func(*gateway.Gateway) (gateway.Peers, func(context.Context) error) {
		return peers, func(context.Context) error { return nil }
	}, change)
	s.gateway, s.tracker, s.url, s.metrics = entry.gateway, entry.tracker, entry.url, entry.metrics
	s.stop = func() {
		entry.stop()
		storeServer.CloseClientConnections()
		storeServer.Close()
		for _, closer := range closers {
			closer()
		}
	}
	s.waitFor(s.gateway.Ready)
	return s
}

// testEntry is one entry that serves callers at a URL.
type testEntry struct {
	gateway *gateway.Gateway
	tracker *discovery.Tracker
	metrics *metrics.Metrics
	url     string
	stop    func()
}

// startEntry starts an entry that reads the store at the address. The function peersOf returns the entry's peers and what
// runs as long as the entry does, and change may change its options.
func startEntry(storeAddress string, peersOf func(*gateway.Gateway) (gateway.Peers, func(context.Context) error), change func(*gateway.Options)) *testEntry {
	m, err := metrics.New()
	So(err, ShouldBeNil)
	clock := lovageshift.NewClock()
	transport := &http.Transport{}
	tracker := discovery.NewTracker(discovery.Options{
		Store: platform.NewStore(transport), Clock: clock, Metrics: m,
		Address: func() string { return storeAddress },
	})
	tracker.Confirm(0, discovery.Report{}) // as if another entry had reported, so that the entry does not wait for one
	e := &testEntry{tracker: tracker, metrics: m}
	options := gateway.Options{
		Clock: clock, Metrics: m, Tracker: tracker, Revocation: 5000,
		Retry:     retry.Bounds{Ratio: 0.2, Slack: 50, Window: 10_000},
		Placement: placement.ColdBounds{ColdOvershoot: 1.5, ColdSlack: 5},
		Quota:     quota.Tolerance{},
	}
	change(&options)
	e.gateway = gateway.New(options)
	peers, runPeers := peersOf(e.gateway)
	e.gateway.SetPeers(peers)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks errgroup.Group
	tasks.Go(func() error { return tracker.Run(ctx) })
	tasks.Go(func() error { return e.gateway.Run(ctx) })
	tasks.Go(func() error { return runPeers(ctx) })
	server := httptest.NewUnstartedServer(e.gateway)
	server.Config.ConnContext = delivery.ConnContext
	server.Start()
	e.url = server.URL
	e.stop = func() {
		cancel()
		transport.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
		_ = tasks.Wait()
	}
	return e
}

// publish raises s.version by 2 and writes a configuration with that version to the store; apiKey is the only key in
// it.
func (s *setup) publish(apiKey string) {
	s.version += 2
	s.store.Put(standin.ConfigKey, configuration(s.version, s.rate, apiKey))
}

// configuration returns a configuration whose only account has the key, and the rate and burst in tokens.
func configuration(version int, rate float64, apiKey string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "chat", "host": "h", "prefix": "/chat/", "kind": "streaming", "timeout_ms": 2000, "target_latency_ms": 500, "service": "pool", "attempts": 1},
			{"name": "resume", "host": "h", "prefix": "/resume/", "kind": "streaming", "timeout_ms": 2000, "target_latency_ms": 500, "service": "pool", "attempts": 2, "resume_streams": true},
			{"name": "paced", "host": "h", "prefix": "/paced/", "kind": "streaming", "timeout_ms": 20000, "target_latency_ms": 500, "gap_target_ms": 100, "service": "pool", "attempts": 1},
			{"name": "book", "host": "h", "prefix": "/book/", "kind": "unsafe", "timeout_ms": 1000, "target_latency_ms": 500, "service": "pool", "attempts": 1},
			{"name": "read", "host": "h", "prefix": "/read/", "kind": "safe", "timeout_ms": 1000, "target_latency_ms": 500, "service": "pool", "attempts": 2},
			{"name": "quick", "host": "h", "prefix": "/quick/", "kind": "safe", "timeout_ms": 1000, "target_latency_ms": 10, "service": "pool", "attempts": 2},
			{"name": "hedged", "host": "h", "prefix": "/hedged/", "kind": "safe", "timeout_ms": 20000, "target_latency_ms": 1000, "service": "pool", "attempts": 2},
			{"name": "open", "host": "h", "prefix": "/open/", "kind": "safe", "timeout_ms": 1000, "service": "pool", "attempts": 1, "allow_anonymous": true},
		},
		"services": []map[string]any{{"name": "pool", "connection_limit": 100}},
		"limits":   map[string]any{"max_body_bytes": 64, "max_header_bytes": 16384},
		"tenants":  []map[string]any{{"name": "acme", "api_keys": []string{apiKey}, "unit": "tokens", "plain_tokens": 10, "rate_per_s": rate, "burst": rate}},
	}
}

// waitFor checks the condition until it holds, with pauses of 10 ms, and fails the test after 3000 checks.
func (s *setup) waitFor(holds func() bool) {
	for range 3000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	So("condition not met after 3000 checks", ShouldBeEmpty)
}

// result is the response that a caller got, with status 0 if there was none. complete is set if the whole body was
// received, chunked if it came in chunks, and closes if the connection ends after it.
type result struct {
	status   int
	body     string
	header   http.Header
	complete bool
	chunked  bool
	closes   bool
}

// send sends a request with the account's key. The request also carries headers that callers must not set, which the
// entry has to drop. The changes are applied to the request before it is sent.
func (s *setup) send(id, method, path, body string, change ...func(*http.Request)) result {
	request, err := http.NewRequest(method, s.url+path, strings.NewReader(body))
	So(err, ShouldBeNil)
	request.Host = "h"
	request.Header.Set(standin.HeaderRequestID, id)
	request.Header.Set("Authorization", "Token "+key)
	request.Header.Set("Lovageshift-Tenant", "forged")
	request.Header.Set("Lovageshift-Hold", "forged")
	for _, apply := range change {
		apply(request)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return result{}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return result{
		response.StatusCode, string(content), response.Header, err == nil,
		len(response.TransferEncoding) > 0, response.Close,
	}
}

// executed returns the requests that the replicas have run, by replica.
func (s *setup) executed() (seen []standin.ReceivedRequest) {
	for _, replica := range s.replicas {
		seen = append(seen, replica.Executed()...)
	}
	return seen
}

func plainReplica(id string) *standin.Replica {
	return &standin.Replica{ID: id, Service: "pool", Slots: 4}
}

// streamingReplica returns a replica whose response is a stream of 6 events.
func streamingReplica(id string) *standin.Replica {
	return &standin.Replica{ID: id, Service: "pool", Slots: 4, EventCount: 6, EventInterval: time.Millisecond}
}

func TestResponsesPassUnchanged(t *testing.T) {
	Convey("A plain request reaches its target unchanged except for the headers that the entry sets", t, func() {
		s := newSetup(plainReplica("i-1"))
		defer s.stop()
		got := s.send("r1", "POST", "/book/a%2Fb//c?q=%20x", "hello", func(r *http.Request) {
			r.Header.Set("Lovageshift-Deadline-Milliseconds", "700")
		})
		So(got.status, ShouldEqual, 200)
		So(got.body, ShouldEqual, "done by i-1")
		So(got.header.Get(standin.HeaderSignature), ShouldEqual, "seal-i-1")
		So(s.executed(), ShouldHaveLength, 1)
		seen := s.executed()[0]
		So(seen.URI, ShouldEqual, "/book/a%2Fb//c?q=%20x")
		So(seen.Body, ShouldEqual, "hello")
		So(seen.Account, ShouldEqual, "acme")
		So(seen.Authorization, ShouldBeEmpty)
		var left int
		_, err := fmt.Sscan(seen.DeadlineMillis, &left)
		So(err, ShouldBeNil)
		So(left, ShouldBeBetween, 0, 701)
	})
	Convey("A stream arrives complete", t, func() {
		s := newSetup(streamingReplica("i-1"))
		defer s.stop()
		got := s.send("r1", "POST", "/chat/x", "")
		So(got.complete, ShouldBeTrue)
		So(strings.Count(got.body, "data: piece"), ShouldEqual, 6)
	})
}

func TestRefusals(t *testing.T) {
	Convey("Requests that are not allowed are refused with the status of their reason", t, func() {
		s := newSetup(plainReplica("i-1"))
		defer s.stop()
		So(s.send("r1", "GET", "/none/", "").status, ShouldEqual, 404)
		unknownKey := func(r *http.Request) { r.Header.Set("Authorization", "Token other") }
		So(s.send("r2", "GET", "/read/x", "", unknownKey).status, ShouldEqual, 401)
		So(s.send("r3", "GET", "/open/x", "", unknownKey).status, ShouldEqual, 200)
		So(s.send("r4", "POST", "/book/x", strings.Repeat("x", 65)).status, ShouldEqual, 413)
		withoutID := func(r *http.Request) { r.Header.Del(standin.HeaderRequestID) }
		So(s.send("", "GET", "/read/x", "", withoutID).status, ShouldEqual, 400)
		So(s.executed(), ShouldHaveLength, 1)
	})
	Convey("A request beyond its account's rate and burst gets a Retry-After", t, func() {
		s := newSetup(plainReplica("i-1"))
		defer s.stop()
		s.rate = 1
		s.publish(key)
		s.waitFor(func() bool { return s.send("r", "GET", "/read/x", "").status == http.StatusTooManyRequests })
		got := s.send("r2", "GET", "/read/x", "")
		So(got.status, ShouldEqual, 429)
		So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
	})
	Convey("A withdrawn key stops working", t, func() {
		s := newSetup(plainReplica("i-1"))
		defer s.stop()
		So(s.send("r1", "GET", "/read/x", "").status, ShouldEqual, 200)
		s.publish("new-key")
		s.waitFor(func() bool { return s.send("r2", "GET", "/read/x", "").status == http.StatusUnauthorized })
	})
	Convey("An older configuration is ignored", t, func() {
		s := newSetup(plainReplica("i-1"))
		defer s.stop()
		s.version = -1
		s.publish("old-key")
		time.Sleep(400 * time.Millisecond)
		So(s.send("r1", "GET", "/read/x", "").status, ShouldEqual, 200)
	})
	Convey("Requests that need a key are refused while the configuration is not confirmed", t, func() {
		s := newSetup(plainReplica("i-1"))
		defer s.stop()
		s.store.SetFailure(http.StatusServiceUnavailable)
		s.waitFor(func() bool { return s.send("r", "GET", "/read/x", "").status == http.StatusServiceUnavailable })
		So(s.gateway.Ready(), ShouldBeFalse)
		So(s.send("r2", "GET", "/open/x", "").status, ShouldEqual, 200)
		s.store.SetFailure(0)
		s.waitFor(s.gateway.Ready)
		So(s.send("r3", "GET", "/read/x", "").status, ShouldEqual, 200)
	})
}

func TestOutcomesAreTrue(t *testing.T) {
	// For each fault of the target, the status that the caller of an unsafe request gets. A response with a wrong request
	// ID is skipped, so the entry waits for another response until the deadline.
	faults := map[string]struct {
		fault  standin.ReplicaFault
		status int
	}{
		"refuses the request":   {standin.ReplicaFaultRefuse, 503},
		"aborts the connection": {standin.ReplicaFaultReset, 502},
		"responds with 500":     {standin.ReplicaFaultServerError, 500},
		"wrong request ID":      {standin.ReplicaFaultWrongRequestID, 504},
		"no signature":          {standin.ReplicaFaultUnsigned, 502},
		"unresponsive":          {standin.ReplicaFaultNoResponse, 504},
	}
	for name, expected := range faults {
		Convey("A faulty target: "+name, t, func() {
			s := newSetup(plainReplica("i-1"))
			defer s.stop()
			s.replicas[0].SetFault(expected.fault)
			got := s.send("r1", "POST", "/book/x", "")
			So(got.status, ShouldEqual, expected.status)
			ran := len(s.executed())
			So(ran, ShouldBeLessThanOrEqualTo, 1)
			if got.status == http.StatusServiceUnavailable {
				So(ran, ShouldEqual, 0)
			}
		})
	}
	Convey("A safe request is retried at another target, an unsafe one is not", t, func() {
		s := newSetup(plainReplica("i-1"), plainReplica("i-2"))
		defer s.stop()
		s.replicas[0].SetFault(standin.ReplicaFaultReset)
		for i := range 6 {
			So(s.send(fmt.Sprintf("s%d", i), "GET", "/read/x", "").status, ShouldEqual, 200)
		}
		runs := map[string]int{}
		for i := range 12 {
			s.send(fmt.Sprintf("u%d", i), "POST", "/book/x", "")
		}
		for _, seen := range s.executed() {
			runs[seen.ID]++
		}
		for id, count := range runs {
			if strings.HasPrefix(id, "u") {
				So(count, ShouldEqual, 1)
			}
		}
	})
	Convey("An unsafe request is not retried after the connection to its target is lost, also if all targets lose connections", t, func() {
		s := newSetup(plainReplica("i-1"), plainReplica("i-2"))
		defer s.stop()
		for _, replica := range s.replicas {
			replica.SetFault(standin.ReplicaFaultReset)
		}
		for i := range 4 {
			id := fmt.Sprintf("u%d", i)
			got := s.send(id, "POST", "/book/x", "")
			runs := 0
			for _, seen := range s.executed() {
				if seen.ID == id {
					runs++
				}
			}
			// The scheduler may avoid targets that lost a connection for a while. The request is then refused as not run.
			So(runs, ShouldEqual, map[int]int{502: 1, 503: 0}[got.status])
		}
		So(s.executed(), ShouldNotBeEmpty)
	})
	Convey("A request that may have run at one target is not reported as not run when another refuses it", t, func() {
		s := newSetup(plainReplica("i-1"), plainReplica("i-2"))
		defer s.stop()
		s.replicas[0].SetFault(standin.ReplicaFaultReset)
		s.replicas[1].SetFault(standin.ReplicaFaultRefuse)
		for i := range 8 {
			id := fmt.Sprintf("r%d", i)
			got := s.send(id, "GET", "/read/x", "")
			for _, seen := range s.executed() {
				if seen.ID == id {
					So(got.status, ShouldEqual, 502)
				}
			}
		}
		So(s.executed(), ShouldNotBeEmpty)
	})
	Convey("A safe request does not wait until its deadline for an unresponsive target", t, func() {
		s := newSetup(plainReplica("i-1"), plainReplica("i-2"))
		defer s.stop()
		s.replicas[0].SetFault(standin.ReplicaFaultNoResponse)
		for i := range 4 {
			So(s.send(fmt.Sprintf("s%d", i), "GET", "/read/x", "").status, ShouldEqual, 200)
		}
	})
	Convey("A request to an address without a listener is reported as not run", t, func() {
		s := newSetup(plainReplica("i-1"))
		defer s.stop()
		gone, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := gone.Addr().String()
		So(gone.Close(), ShouldBeNil)
		s.store.Put(s.replicas[0].Key(), s.replicas[0].Record(standin.Registration{Address: address, Zone: "zone-a", Born: 2, Sequence: 1}))
		s.waitFor(func() bool { return s.send("r", "POST", "/book/x", "").status == http.StatusServiceUnavailable })
	})
}

func TestZoneTakenOut(t *testing.T) {
	Convey("Targets in an availability zone that is out of service get no new requests", t, func() {
		s := newSetup(plainReplica("i-1"), plainReplica("i-2"))
		defer s.stop()
		s.store.Put(standin.ZoneOutKey("zone-a"), struct{}{})
		s.waitFor(func() bool { return s.send("r", "GET", "/read/x", "").status == http.StatusServiceUnavailable })
		before := len(s.executed())
		So(s.send("r1", "GET", "/read/x", "").status, ShouldEqual, 503)
		So(s.executed(), ShouldHaveLength, before)
		s.store.Delete(standin.ZoneOutKey("zone-a"))
		s.waitFor(func() bool { return s.send("r", "GET", "/read/x", "").status == http.StatusOK })
	})
}

func TestDrain(t *testing.T) {
	Convey("A draining entry is not ready but still serves requests; after RefuseNew it refuses them as not run", t, func() {
		s := newSetup(plainReplica("i-1"))
		defer s.stop()
		s.gateway.Drain()
		So(s.gateway.Ready(), ShouldBeFalse)
		So(s.send("r1", "GET", "/read/x", "").status, ShouldEqual, 200)
		s.gateway.RefuseNew()
		So(s.send("r2", "GET", "/read/x", "").status, ShouldEqual, 503)
		So(s.executed(), ShouldHaveLength, 1)
	})
}

func TestResponseAtLateLimit(t *testing.T) {
	// The route's latency objective is 10 ms, so its first attempt is canceled after 30 ms. The replicas respond after 29,
	// 30 and 31 ms: a response that has just arrived must not be truncated by the cancellation.
	Convey("A response that arrives just as its attempt is canceled is forwarded completely, or the request is retried or refused", t, func() {
		slow := []*standin.Replica{plainReplica("i-1"), plainReplica("i-2"), plainReplica("i-3")}
		for i, replica := range slow {
			replica.Slots, replica.ServiceTime = 64, time.Duration(29+i)*time.Millisecond
		}
		s := newSetup(slow...)
		defer s.stop()
		var callers errgroup.Group
		replies := make([][]standin.Reply, 12)
		for number := range replies {
			callers.Go(func() error {
				for i := range 12 {
					request := standin.CallerRequest{ID: fmt.Sprintf("r%d-%d", number, i), Host: "h", Method: "GET", Path: "/quick/x", Key: key}
					address := strings.TrimPrefix(s.url, "http://")
					replies[number] = append(replies[number], standin.Send(context.Background(), http.DefaultTransport, address, request))
				}
				return nil
			})
		}
		_ = callers.Wait()
		for _, list := range replies {
			for _, got := range list {
				So(got.Complete, ShouldBeTrue)
				So(got.Status, ShouldBeIn, http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusServiceUnavailable)
			}
		}
	})
}
