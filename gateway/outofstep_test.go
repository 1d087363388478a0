package gateway_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
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

// heldStore is a store whose answers one entry gets late, or not at all.
type heldStore struct {
	mutex     sync.Mutex
	history   []platform.Item
	changed   chan struct{} // closed and replaced at each write
	heldUntil time.Time
	cutOff    bool
}

func newHeldStore() *heldStore { return &heldStore{changed: make(chan struct{})} }

// put writes a record, or removes it if there is no value.
func (s *heldStore) put(key string, value any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item := platform.Item{Key: key, Deleted: value == nil, Revision: int64(len(s.history)) + 1}
	if value != nil {
		item.Value, _ = json.Marshal(value)
	}
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

// hold holds the answers back for so long, also those to calls that have been sent.
func (s *heldStore) hold(wait time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heldUntil = time.Now().Add(wait)
}

// cut cuts the entry off from the store, or connects it again.
func (s *heldStore) cut(cutOff bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cutOff = cutOff
}

func (s *heldStore) Range(ctx context.Context, address, after string) (platform.Page, error) {
	page, err := promptStore{s}.Range(ctx, address, after)
	return page, errors.Join(err, s.answer(ctx))
}

func (s *heldStore) Watch(ctx context.Context, address string, after int64, wait lovageshift.Millis) (platform.Page, error) {
	page, err := promptStore{s}.Watch(ctx, address, after, wait)
	return page, errors.Join(err, s.answer(ctx))
}

// promptStore is the store as all other entries reach it.
type promptStore struct{ *heldStore }

func (s promptStore) Range(context.Context, string, string) (platform.Page, error) {
	page, _ := s.since(0)
	return page, nil
}

func (s promptStore) Watch(ctx context.Context, _ string, after int64, wait lovageshift.Millis) (platform.Page, error) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	page, changed := s.since(after)
	for len(page.Items) == 0 {
		select {
		case <-changed:
			page, changed = s.since(after)
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
	return page, nil
}

func (s *heldStore) since(after int64) (platform.Page, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	revision := int64(len(s.history))
	return platform.Page{
		Position: lovageshift.StorePosition{Era: 1, Revision: revision}, Items: slices.Clone(s.history[min(after, revision):]),
	}, s.changed
}

// answer waits until the answer reaches the entry. It fails if it does not.
func (s *heldStore) answer(ctx context.Context) error {
	lovageshift.Pause(ctx, s.delay())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.cutOff {
		return platform.ErrStoreRefused
	}
	return ctx.Err()
}

// delay returns how long it takes until what is sent to the entry now is handled there.
func (s *heldStore) delay() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return max(time.Until(s.heldUntil), time.Millisecond)
}

// strangers are other entries, which do not know where streams began: they have an earlier build, or lost the records. One of
// them reads the store and tells the entry of it.
type strangers struct {
	noPeers
	gateway *gateway.Gateway
	tracker *discovery.Tracker // of the entry
	store   *heldStore
	clock   lovageshift.Clock
	count   int
	mutex   sync.Mutex
	cutOff  bool
}

// runReader runs the tracker of the one that reads the store until the context ends.
func (s *strangers) runReader(ctx context.Context, m *metrics.Metrics) error {
	reader := discovery.NewTracker(discovery.Options{
		Store: promptStore{s.store}, Address: func() string { return "" }, Clock: s.clock, Metrics: m,
	})
	reader.SetReader(func() bool { return true }, func(changes discovery.Changes) {
		s.deliver(func() { s.tracker.Receive(changes) })
	})
	var tasks errgroup.Group
	tasks.Go(func() error { return reader.Run(ctx) })
	lovageshift.Every(ctx, 100*time.Millisecond, func() {
		report, sentAt := reader.Report(), s.clock.SinceBoot()
		s.deliver(func() { s.tracker.Confirm(sentAt-report.Age, report) })
	})
	return tasks.Wait()
}

// deliver calls the function when what is sent to the entry now is handled there, unless it is cut off.
func (s *strangers) deliver(arrive func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.cutOff {
		time.AfterFunc(s.store.delay(), arrive)
	}
}

func (s *strangers) Live() (addresses []netip.Addr) {
	for number := range s.count {
		addresses = append(addresses, netip.AddrFrom4([4]byte{10, 0, 0, byte(number + 1)}))
	}
	return addresses
}

func (s *strangers) Reported(netip.Addr) (uint64, *exchange.AccountUsage) { return 0, nil }

func (s *strangers) Send(to netip.Addr, packet *wire.EntryPacket) {
	ask := packet.GetStreamAsk()
	if ask == nil {
		return
	}
	reply := &wire.EntryPacket{Body: &wire.EntryPacket_StreamReply{StreamReply: &wire.StreamReply{Attempt: ask.Attempt}}}
	s.deliver(func() { s.gateway.HandlePacket(s.clock.Now(), to, reply) })
}

func (s *strangers) cut(cutOff bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cutOff = cutOff
}

// lateEntry is an entry in virtual time, with a store of which it may learn late.
type lateEntry struct {
	gateway *gateway.Gateway
	tracker *discovery.Tracker
	store   *heldStore
	others  *strangers
	group   errgroup.Group
	cancel  context.CancelFunc
	sent    int
}

// startLateEntry starts an entry beside others, with a target of version v1. It is in touch for longer than a stream lasts.
func startLateEntry(entries int) *lateEntry {
	clock := lovageshift.NewVirtualClock()
	m, err := metrics.New()
	if err != nil {
		panic(err)
	}
	e := &lateEntry{store: newHeldStore()}
	e.store.put(standin.ConfigKey, map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "resume", "host": "h", "prefix": "/resume/", "kind": "streaming", "timeout_ms": streamMillis,
			"target_latency_ms": 500, "service": "pool", "attempts": 2, "resume_streams": true,
		}},
		"services": []map[string]any{{"name": "pool", "connection_limit": 100}},
		"tenants":  []map[string]any{{"name": "acme", "api_keys": []string{key}}},
	})
	e.putTarget("v1")
	e.tracker = discovery.NewTracker(discovery.Options{
		Store: e.store, Address: func() string { return "" }, Clock: clock, Metrics: m,
	})
	e.gateway = gateway.New(gateway.Options{
		Clock: clock, Metrics: m, Tracker: e.tracker, Revocation: 5000, Retry: retry.Bounds{Ratio: 0.2, Slack: 50, Window: 10_000},
		Placement: placement.ColdBounds{ColdOvershoot: 1.5, ColdSlack: 5}, Quota: quota.Tolerance{},
	})
	e.others = &strangers{gateway: e.gateway, tracker: e.tracker, store: e.store, clock: clock, count: entries - 1}
	e.gateway.SetPeers(e.others)
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.group.Go(func() error { return e.tracker.Run(ctx) })
	e.group.Go(func() error { return e.others.runReader(ctx, m) })
	time.Sleep((streamMillis + 6000) * time.Millisecond)
	return e
}

const streamMillis = 12_000

func (e *lateEntry) stop() {
	e.cancel()
	_ = e.group.Wait()
}

// putTarget writes the record of a target of the version. Nothing listens at its address.
func (e *lateEntry) putTarget(version string) {
	target := &standin.Replica{ID: "i-" + version, Service: "pool", Slots: 4, Version: version}
	e.store.put(target.Key(), target.Record(standin.Registration{Address: "127.0.0.1:1", Zone: "zone-a", Born: 1, Sequence: 1}))
}

// removeTarget removes the record of the target of the version.
func (e *lateEntry) removeTarget(version string) {
	e.store.put((&standin.Replica{ID: "i-" + version}).Key(), nil)
}

// takesUp sends an attempt that takes up a stream of which nobody knows where it began. It reports whether the entry would go
// on with it.
func (e *lateEntry) takesUp() bool {
	e.sent++
	req := httptest.NewRequest(http.MethodPost, "/resume/x", strings.NewReader(""))
	req.Host = "h"
	req.Header.Set(standin.HeaderRequestID, fmt.Sprintf("next-%d", e.sent))
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Resumes", fmt.Sprintf("first-%d", e.sent))
	req.Header.Set("Last-Event-Id", "2")
	response := httptest.NewRecorder()
	e.gateway.ServeHTTP(response, req)
	reason := response.Body.String()
	return !strings.Contains(reason, string(lovageshift.ReasonStreamUnknown)) &&
		!strings.Contains(reason, string(lovageshift.ReasonUnconfirmed))
}

// outOfStep are ways in which an entry's view is behind the store by the time. They return with the entry about to handle what
// has arrived meanwhile.
var outOfStep = map[string]func(e *lateEntry, behind time.Duration, change func()){
	"cut off": func(e *lateEntry, behind time.Duration, change func()) {
		e.store.cut(true)
		e.others.cut(true)
		change()
		time.Sleep(behind)
	},
	"standing still": func(e *lateEntry, behind time.Duration, change func()) {
		e.store.hold(behind + time.Microsecond) // what was sent to the entry is handled after the attempt
		change()
		time.Sleep(behind)
	},
	"cut off from the store": func(e *lateEntry, behind time.Duration, change func()) {
		e.store.cut(true)
		change()
		time.Sleep(behind)
	},
	"told of the change later": func(e *lateEntry, behind time.Duration, change func()) {
		change()
		e.store.hold(behind + 300*time.Millisecond)
		time.Sleep(behind)
	},
}

// An entry whose view is behind went on with streams at the only version that it knew, while another version had joined and
// begun them.
func TestNoStreamGoesOnByAViewThatIsBehind(t *testing.T) {
	for _, entries := range []int{3, 30, 103} {
		for way, fallBehind := range outOfStep {
			t.Run(fmt.Sprintf("%d entries, one %s", entries, way), func(t *testing.T) {
				joined, ages := 0, 0
				for behind := time.Duration(0); behind <= 3*time.Second; behind += 100 * time.Millisecond {
					synctest.Test(t, func(*testing.T) {
						e := startLateEntry(entries)
						defer e.stop()
						time.Sleep(behind * 7 % (1200 * time.Millisecond)) // at any time since the last answer of the store
						fallBehind(e, behind, func() { e.putTarget("v2") })
						ages++
						if e.takesUp() {
							joined++
						}
					})
				}
				if joined > 0 {
					t.Errorf("goes on at the version that did not begin the stream at %d of %d ages of the view", joined, ages)
				}
			})
		}
	}
}

// Targets that came and went while an entry saw nothing must count as well.
func TestNoStreamGoesOnAfterAVersionThatWasNotSeen(t *testing.T) {
	for way, fallBehind := range outOfStep {
		t.Run(way, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := startLateEntry(3)
				defer e.stop()
				fallBehind(e, 5*time.Second, func() {
					e.putTarget("v2")
					e.removeTarget("v2")
				})
				e.store.cut(false)
				e.others.cut(false)
				time.Sleep(3 * time.Second)
				if e.takesUp() {
					t.Error("goes on at the version that did not begin the stream")
				}
				time.Sleep((streamMillis + 6000) * time.Millisecond)
				if !e.takesUp() {
					t.Error("a stream that began long after that does not go on")
				}
			})
		})
	}
}

// Where nothing has changed for long, streams go on although nobody knows where they began.
func TestStreamsGoOnAtTheOnlyVersion(t *testing.T) {
	for _, entries := range []int{3, 30, 103} {
		synctest.Test(t, func(t *testing.T) {
			e := startLateEntry(entries)
			defer e.stop()
			for range 20 {
				if !e.takesUp() {
					t.Error("a stream does not go on")
				}
				time.Sleep(170 * time.Millisecond)
			}
		})
	}
}
