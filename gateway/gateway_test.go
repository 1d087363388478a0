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
	"lovageshift/discovery"
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

// alone is an entry that has no others to ask.
type alone struct{}

func (alone) Self() netip.Addr                   { return netip.MustParseAddr("127.0.0.1") }
func (alone) Live() []netip.Addr                 { return nil }
func (alone) Send(netip.Addr, *wire.EntryPacket) {}

// site is one entry with its store and replicas, over loopback.
type site struct {
	store    *standin.Store
	gateway  *gateway.Gateway
	url      string
	replicas []*standin.Replica
	version  int
	rate     float64
	stop     func()
}

func newSite(replicas ...*standin.Replica) *site {
	s := &site{store: standin.NewStore(), replicas: replicas, rate: 1e6}
	var closers []func()
	for _, replica := range replicas {
		server := httptest.NewServer(replica)
		closers = append(closers, server.CloseClientConnections, server.Close)
		s.store.Put(replica.Key(), replica.Record(standin.Registration{Address: server.Listener.Addr().String(), Zone: "zone-a", Born: 1, Sequence: 1}))
	}
	s.store.PutBytes((&standin.Replica{ID: "foreign"}).Key(), []byte("{"))
	s.publish(key)
	storeServer := httptest.NewServer(s.store)
	counts, err := metrics.New()
	So(err, ShouldBeNil)
	clock := lovageshift.NewClock()
	transport := &http.Transport{}
	tracker := discovery.NewTracker(discovery.Options{
		Store: platform.NewStore(transport), Clock: clock, Metrics: counts,
		Address: func() string { return storeServer.Listener.Addr().String() },
	})
	s.gateway = gateway.New(gateway.Options{
		Clock: clock, Metrics: counts, Tracker: tracker, Revocation: 5000,
		Retry:     retry.Bounds{Ratio: 0.2, Slack: 50, Window: 10_000},
		Placement: placement.ColdBounds{ColdOvershoot: 1.5, ColdSlack: 5},
		Quota:     quota.Tolerance{},
	})
	s.gateway.SetPeers(alone{})
	ctx, cancel := context.WithCancel(context.Background())
	var tasks errgroup.Group
	tasks.Go(func() error { return tracker.Run(ctx) })
	tasks.Go(func() error { return s.gateway.Run(ctx) })
	front := httptest.NewServer(s.gateway)
	s.url = front.URL
	s.stop = func() {
		cancel()
		transport.CloseIdleConnections()
		front.CloseClientConnections()
		front.Close()
		storeServer.CloseClientConnections()
		storeServer.Close()
		for _, closer := range closers {
			closer()
		}
		_ = tasks.Wait()
	}
	s.await(s.gateway.Ready)
	return s
}

// publish writes the next configuration, in which the key given is the only one.
func (s *site) publish(apiKey string) {
	s.version += 2
	s.store.Put(standin.ConfigKey, map[string]any{
		"version": s.version,
		"routes": []map[string]any{
			{"name": "chat", "host": "h", "prefix": "/chat/", "kind": "streaming", "timeout_ms": 2000, "target_latency_ms": 500, "service": "pool", "attempts": 1},
			{"name": "resume", "host": "h", "prefix": "/resume/", "kind": "streaming", "timeout_ms": 2000, "target_latency_ms": 500, "service": "pool", "attempts": 2, "resume_streams": true},
			{"name": "book", "host": "h", "prefix": "/book/", "kind": "unsafe", "timeout_ms": 1000, "target_latency_ms": 500, "service": "pool", "attempts": 1},
			{"name": "read", "host": "h", "prefix": "/read/", "kind": "safe", "timeout_ms": 1000, "target_latency_ms": 500, "service": "pool", "attempts": 2},
			{"name": "quick", "host": "h", "prefix": "/quick/", "kind": "safe", "timeout_ms": 1000, "target_latency_ms": 10, "service": "pool", "attempts": 2},
			{"name": "open", "host": "h", "prefix": "/open/", "kind": "safe", "timeout_ms": 1000, "service": "pool", "attempts": 1, "allow_anonymous": true},
		},
		"services": []map[string]any{{"name": "pool", "connection_limit": 100}},
		"limits":   map[string]any{"max_body_bytes": 64, "max_header_bytes": 16384},
		"tenants":  []map[string]any{{"name": "acme", "api_keys": []string{apiKey}, "unit": "tokens", "plain_tokens": 10, "rate_per_s": s.rate, "burst": s.rate}},
	})
}

// await waits until the condition holds; tests fail by their own assertions if it never does.
func (s *site) await(holds func() bool) {
	for range 3000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	So("the condition did not come to hold", ShouldBeEmpty)
}

// answer is what a client got; whole tells that the body ended as it should.
type answer struct {
	status int
	body   string
	header http.Header
	whole  bool
}

func (s *site) send(id, method, path, body string, change ...func(*http.Request)) answer {
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
		return answer{}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, string(content), response.Header, err == nil}
}

func (s *site) ran() (seen []standin.Seen) {
	for _, replica := range s.replicas {
		seen = append(seen, replica.Seen()...)
	}
	return seen
}

func plain(id string) *standin.Replica { return &standin.Replica{ID: id, Service: "pool", Slots: 4} }

func streaming(id string) *standin.Replica {
	return &standin.Replica{ID: id, Service: "pool", Slots: 4, Events: 6, EventTime: time.Millisecond}
}

func TestAnswersPassUnchanged(t *testing.T) {
	Convey("A plain request reaches its target as the client sent it, but for what is the system's own", t, func() {
		s := newSite(plain("i-1"))
		defer s.stop()
		got := s.send("r1", "POST", "/book/a%2Fb//c?q=%20x", "hello", func(r *http.Request) {
			r.Header.Set("Lovageshift-Deadline-Milliseconds", "700")
		})
		So(got.status, ShouldEqual, 200)
		So(got.body, ShouldEqual, "done by i-1")
		So(got.header.Get(standin.HeaderSignature), ShouldEqual, "seal-i-1")
		So(s.ran(), ShouldHaveLength, 1)
		seen := s.ran()[0]
		So(seen.URI, ShouldEqual, "/book/a%2Fb//c?q=%20x")
		So(seen.Body, ShouldEqual, "hello")
		So(seen.Tenant, ShouldEqual, "acme")
		So(seen.Key, ShouldBeEmpty)
		var left int
		_, err := fmt.Sscan(seen.Left, &left)
		So(err, ShouldBeNil)
		So(left, ShouldBeBetween, 0, 701)
	})
	Convey("A stream arrives whole", t, func() {
		s := newSite(streaming("i-1"))
		defer s.stop()
		got := s.send("r1", "POST", "/chat/x", "")
		So(got.whole, ShouldBeTrue)
		So(strings.Count(got.body, "data: piece"), ShouldEqual, 6)
	})
}

func TestOwnAnswers(t *testing.T) {
	Convey("What is not allowed is refused by name", t, func() {
		s := newSite(plain("i-1"))
		defer s.stop()
		So(s.send("r1", "GET", "/none/", "").status, ShouldEqual, 404)
		unknown := func(r *http.Request) { r.Header.Set("Authorization", "Token other") }
		So(s.send("r2", "GET", "/read/x", "", unknown).status, ShouldEqual, 401)
		So(s.send("r3", "GET", "/open/x", "", unknown).status, ShouldEqual, 200)
		So(s.send("r4", "POST", "/book/x", strings.Repeat("x", 65)).status, ShouldEqual, 413)
		nameless := func(r *http.Request) { r.Header.Del(standin.HeaderRequestID) }
		So(s.send("", "GET", "/read/x", "", nameless).status, ShouldEqual, 400)
		So(s.ran(), ShouldHaveLength, 1)
	})
	Convey("An account beyond its rate and burst is told when to come back", t, func() {
		s := newSite(plain("i-1"))
		defer s.stop()
		s.rate = 1
		s.publish(key)
		s.await(func() bool { return s.send("r", "GET", "/read/x", "").status == http.StatusTooManyRequests })
		got := s.send("r2", "GET", "/read/x", "")
		So(got.status, ShouldEqual, 429)
		So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
	})
	Convey("A withdrawn key stops working", t, func() {
		s := newSite(plain("i-1"))
		defer s.stop()
		So(s.send("r1", "GET", "/read/x", "").status, ShouldEqual, 200)
		s.publish("new-key")
		s.await(func() bool { return s.send("r2", "GET", "/read/x", "").status == http.StatusUnauthorized })
	})
	Convey("An older configuration changes nothing", t, func() {
		s := newSite(plain("i-1"))
		defer s.stop()
		s.version = -1
		s.publish("old-key")
		time.Sleep(400 * time.Millisecond)
		So(s.send("r1", "GET", "/read/x", "").status, ShouldEqual, 200)
	})
	Convey("Without a confirmed configuration keys are not trusted", t, func() {
		s := newSite(plain("i-1"))
		defer s.stop()
		s.store.Fail(http.StatusServiceUnavailable)
		s.await(func() bool { return s.send("r", "GET", "/read/x", "").status == http.StatusServiceUnavailable })
		So(s.gateway.Ready(), ShouldBeFalse)
		So(s.send("r2", "GET", "/open/x", "").status, ShouldEqual, 200)
		s.store.Fail(0)
		s.await(s.gateway.Ready)
		So(s.send("r3", "GET", "/read/x", "").status, ShouldEqual, 200)
	})
}

func TestOutcomesAreTrue(t *testing.T) {
	faults := map[string]struct {
		fault  standin.ReplicaFault
		unsafe int
	}{
		"shed":     {standin.ReplicaShed, 503},
		"reset":    {standin.ReplicaReset, 502},
		"error":    {standin.ReplicaError, 500},
		"foreign":  {standin.ReplicaForeign, 504},
		"unsigned": {standin.ReplicaUnsigned, 502},
		"silent":   {standin.ReplicaSilent, 504},
	}
	for name, expected := range faults {
		Convey("A target that misbehaves, "+name, t, func() {
			s := newSite(plain("i-1"))
			defer s.stop()
			s.replicas[0].SetFault(expected.fault)
			got := s.send("r1", "POST", "/book/x", "")
			So(got.status, ShouldEqual, expected.unsafe)
			ran := len(s.ran())
			So(ran, ShouldBeLessThanOrEqualTo, 1)
			if got.status == http.StatusServiceUnavailable {
				So(ran, ShouldEqual, 0)
			}
		})
	}
	Convey("A safe request is asked of another target, an unsafe one is not", t, func() {
		s := newSite(plain("i-1"), plain("i-2"))
		defer s.stop()
		s.replicas[0].SetFault(standin.ReplicaReset)
		for i := range 6 {
			So(s.send(fmt.Sprintf("s%d", i), "GET", "/read/x", "").status, ShouldEqual, 200)
		}
		runs := map[string]int{}
		for i := range 12 {
			s.send(fmt.Sprintf("u%d", i), "POST", "/book/x", "")
		}
		for _, seen := range s.ran() {
			runs[seen.ID]++
		}
		for id, count := range runs {
			if strings.HasPrefix(id, "u") {
				So(count, ShouldEqual, 1)
			}
		}
	})
	Convey("An unsafe request whose target broke off runs nowhere else, even if all targets do so", t, func() {
		s := newSite(plain("i-1"), plain("i-2"))
		defer s.stop()
		for _, replica := range s.replicas {
			replica.SetFault(standin.ReplicaReset)
		}
		for i := range 4 {
			id := fmt.Sprintf("u%d", i)
			got := s.send(id, "POST", "/book/x", "")
			runs := 0
			for _, seen := range s.ran() {
				if seen.ID == id {
					runs++
				}
			}
			// The targets may rest after they broke off; then the request runs nowhere.
			So(runs, ShouldEqual, map[int]int{502: 1, 503: 0}[got.status])
		}
		So(s.ran(), ShouldNotBeEmpty)
	})
	Convey("What may have run at one target is not called not run because another had no room", t, func() {
		s := newSite(plain("i-1"), plain("i-2"))
		defer s.stop()
		s.replicas[0].SetFault(standin.ReplicaReset)
		s.replicas[1].SetFault(standin.ReplicaShed)
		for i := range 8 {
			id := fmt.Sprintf("r%d", i)
			got := s.send(id, "GET", "/read/x", "")
			for _, seen := range s.ran() {
				if seen.ID == id {
					So(got.status, ShouldEqual, 502)
				}
			}
		}
		So(s.ran(), ShouldNotBeEmpty)
	})
	Convey("A safe request does not wait to its end for a target that is silent", t, func() {
		s := newSite(plain("i-1"), plain("i-2"))
		defer s.stop()
		s.replicas[0].SetFault(standin.ReplicaSilent)
		for i := range 4 {
			So(s.send(fmt.Sprintf("s%d", i), "GET", "/read/x", "").status, ShouldEqual, 200)
		}
	})
	Convey("A target that nobody listens at has not run the request", t, func() {
		s := newSite(plain("i-1"))
		defer s.stop()
		gone, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := gone.Addr().String()
		So(gone.Close(), ShouldBeNil)
		s.store.Put(s.replicas[0].Key(), s.replicas[0].Record(standin.Registration{Address: address, Zone: "zone-a", Born: 2, Sequence: 1}))
		s.await(func() bool { return s.send("r", "POST", "/book/x", "").status == http.StatusServiceUnavailable })
	})
}

func TestBrokenStreams(t *testing.T) {
	Convey("A stream that breaks off never looks whole", t, func() {
		s := newSite(streaming("i-1"))
		defer s.stop()
		s.replicas[0].SetFault(standin.ReplicaCut)
		got := s.send("r1", "POST", "/chat/x", "")
		So(got.status, ShouldEqual, 200)
		So(got.whole, ShouldBeFalse)
		So(got.body, ShouldNotEndWith, "da")
	})
	Convey("One that may be resumed goes on at another target without a gap", t, func() {
		s := newSite(streaming("i-1"), streaming("i-2"))
		defer s.stop()
		s.replicas[0].SetFault(standin.ReplicaCut)
		for i := range 4 {
			got := s.send(fmt.Sprintf("r%d", i), "POST", "/resume/x", "")
			So(got.whole, ShouldBeTrue)
			for piece := 1; piece <= 6; piece++ {
				So(strings.Count(got.body, fmt.Sprintf("piece %d\n", piece)), ShouldEqual, 1)
			}
		}
	})
}

func TestLeavingTargets(t *testing.T) {
	Convey("A target that leaves, and one in a zone taken out, get nothing new", t, func() {
		s := newSite(plain("i-1"), plain("i-2"))
		defer s.stop()
		s.store.Put(standin.ZoneOutKey("zone-a"), struct{}{})
		s.await(func() bool { return s.send("r", "GET", "/read/x", "").status == http.StatusServiceUnavailable })
		before := len(s.ran())
		So(s.send("r1", "GET", "/read/x", "").status, ShouldEqual, 503)
		So(s.ran(), ShouldHaveLength, before)
		s.store.Delete(standin.ZoneOutKey("zone-a"))
		s.await(func() bool { return s.send("r", "GET", "/read/x", "").status == http.StatusOK })
	})
}

func TestDrain(t *testing.T) {
	Convey("A draining entry is not ready, closes connections with their answers, and later refuses as not run", t, func() {
		s := newSite(plain("i-1"))
		defer s.stop()
		s.gateway.Drain()
		So(s.gateway.Ready(), ShouldBeFalse)
		So(s.send("r1", "GET", "/read/x", "").status, ShouldEqual, 200)
		s.gateway.RefuseNew()
		So(s.send("r2", "GET", "/read/x", "").status, ShouldEqual, 503)
		So(s.ran(), ShouldHaveLength, 1)
	})
}

func TestAnswersAtTheMomentOfPatience(t *testing.T) {
	Convey("An answer that comes just as its target counts as late is whole, or the request goes elsewhere", t, func() {
		slow := []*standin.Replica{plain("i-1"), plain("i-2"), plain("i-3")}
		for i, replica := range slow {
			replica.Slots, replica.Work = 64, time.Duration(29+i)*time.Millisecond
		}
		s := newSite(slow...)
		defer s.stop()
		var callers errgroup.Group
		replies := make([][]standin.Reply, 12)
		for number := range replies {
			callers.Go(func() error {
				for i := range 12 {
					ask := standin.Ask{ID: fmt.Sprintf("r%d-%d", number, i), Host: "h", Method: "GET", Path: "/quick/x", Key: key}
					address := strings.TrimPrefix(s.url, "http://")
					replies[number] = append(replies[number], standin.Send(context.Background(), http.DefaultTransport, address, ask))
				}
				return nil
			})
		}
		_ = callers.Wait()
		for _, list := range replies {
			for _, got := range list {
				So(got.Whole, ShouldBeTrue)
				So(got.Status, ShouldBeIn, http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusServiceUnavailable)
			}
		}
	})
}
