package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/standin"
)

const (
	// The first half of the targets belong to streamService and answer with streams, the others to plainService.
	streamService = "pool"
	plainService  = "app"
	routeHost     = "soak.example"
	// Interval of checks whether a record is due or has expired and whether a target must start.
	tickInterval = 50 * time.Millisecond

	// The stable account has no quota. The small account has a quota of smallRate and smallBurst.
	stableAccount = "stable"
	smallAccount  = "small"
	// Deadline of every route, in milliseconds after the request was sent.
	routeMillis = 2500
	bodyLimit   = 4096     // bytes
	headerLimit = 16 << 10 // bytes
	// Connection limit of each service.
	connectionLimit = 200

	smallRate  = 400.0 // tokens per second
	smallBurst = 800.0 // tokens
	// Time between two steps by which a target makes known that it leaves.
	noticeInterval = 500 * time.Millisecond
	// How deep an odd record is nested.
	oddNesting = 20_000
	// QuotaLowered divides the rate and the burst by this.
	quotaDivisor = 4
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// testbed is what surrounds the entries of a run: targets, a store, and an operator who changes the catalog.
type testbed struct {
	clock        lovageshift.Clock
	store        *standin.Store
	storeAddress string
	hosts        []*targetHost
	tasks        errgroup.Group

	mutex          sync.Mutex
	catalog        standin.Catalog
	recordExpiries map[string]lovageshift.Millis // when the store drops a record, by its key
	// Actions of the operator, as in History.
	keysRevokedAt map[string]lovageshift.Millis
	quotas        []Quota
	zoneOutages   map[string][]Span
}

// newTestbed returns a testbed that listens on addresses of the given loopback network, which has the form "127.N".
func newTestbed(clock lovageshift.Clock, network string, options Options) (*testbed, error) {
	t := &testbed{
		clock: clock, store: standin.NewStore(), storeAddress: network + ".1.1:8225",
		recordExpiries: map[string]lovageshift.Millis{}, keysRevokedAt: map[string]lovageshift.Millis{},
		zoneOutages: map[string][]Span{},
	}
	for number := range options.Targets {
		h := &targetHost{
			number: number, clock: clock, zone: zones[number%len(zones)], service: streamService,
			address: fmt.Sprintf("%s.2.%d:9000", network, number+1), eventInterval: workTime,
		}
		if number >= options.Targets/2 {
			h.service = plainService
		}
		proxy, err := NewProxy(fmt.Sprintf("%s.3.%d:9000", network, number+1), h.address)
		if err != nil {
			return nil, err
		}
		h.proxy = proxy
		if options.Ends {
			h.eventInterval, h.endsWithConnection = longWorkTime, number%2 == 0
		}
		t.hosts = append(t.hosts, h)
	}
	t.catalog = standin.Catalog{
		Routes: []standin.CatalogRoute{
			newRoute("chat", "streaming", streamService, 1, false),
			newRoute("resume", "streaming", streamService, 2, true),
			newRoute("book", "unsafe", plainService, 1, false),
			newRoute("read", "safe", plainService, 2, false),
			newRoute("fatal", "safe", plainService, 2, false),
		},
		Services: []standin.CatalogService{
			{
				Name: streamService, ConnectionLimit: connectionLimit, ColdStartSeconds: coldMillis.Seconds(),
				ColdRequestsPerSecond: coldPerSecond,
			},
			{
				Name: plainService, ConnectionLimit: connectionLimit, ColdStartSeconds: coldMillis.Seconds(),
				ColdRequestsPerSecond: coldPerSecond,
			},
		},
		Accounts: []standin.CatalogAccount{
			{Name: stableAccount, Keys: []string{"stable-key", "key-0"}, Unit: "tokens"},
			{Name: smallAccount, Keys: []string{"small-key"}, Unit: "tokens", Rate: smallRate, Burst: smallBurst},
		},
		Limits: standin.CatalogLimits{BodyBytes: bodyLimit, HeaderBytes: headerLimit},
	}
	t.quotas = []Quota{{0, smallRate, smallBurst}}
	return t, nil
}

func newRoute(name, kind, service string, attempts int, resumable bool) standin.CatalogRoute {
	return standin.CatalogRoute{
		Name: name, Host: routeHost, Prefix: "/" + name + "/", Kind: kind, Service: service, Attempts: attempts,
		Resumable: resumable, TimeoutMillis: routeMillis, TargetLatencyMillis: routeMillis / 5,
	}
}

// run serves the store and the targets until the context ends. It also writes the records of the targets, deletes expired
// ones, and starts a new target downMillis after one exited. The first targets start warm, later ones cold.
func (t *testbed) run(ctx context.Context) error {
	listener, err := net.Listen("tcp", t.storeAddress)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: t.store, ReadHeaderTimeout: headerTimeout}
	t.tasks.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	t.publishCatalog(func(*standin.Catalog) {})
	for _, h := range t.hosts {
		t.tasks.Go(func() error { return h.proxy.Run(ctx) })
		if err := t.startTarget(h, false); err != nil {
			return err
		}
	}
	writeAt := t.clock.Now()
	lovageshift.Every(ctx, tickInterval, func() {
		if t.clock.Now() >= writeAt {
			writeAt += recordInterval
			t.writeRecords()
		}
		t.expireRecords()
		for _, h := range t.hosts {
			if h.startDue() {
				err = errors.Join(err, t.startTarget(h, true))
			}
		}
	})
	for _, h := range t.hosts {
		h.kill(false)
	}
	_ = server.Close()
	return errors.Join(err, t.tasks.Wait())
}

// ignoreClosed returns nil for the error of a server that was closed, and any other error as it is.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// startTarget starts the next target of a host, cold or warm, and writes its record.
func (t *testbed) startTarget(h *targetHost, cold bool) error {
	serve, err := h.start(cold)
	if err != nil {
		return err
	}
	t.tasks.Go(func() error { return ignoreClosed(serve()) })
	t.writeRecord(h)
	return nil
}

// writeRecord writes the target's record to the store and postpones the record's expiry. It writes nothing while no
// target runs or records are paused.
func (t *testbed) writeRecord(h *targetHost) {
	key, record, ok := h.record()
	if !ok {
		return
	}
	t.store.Put(key, record)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.recordExpiries[key] = t.clock.Now() + recordTTL
}

func (t *testbed) writeRecords() {
	for _, h := range t.hosts {
		t.writeRecord(h)
	}
}

// expireRecords deletes records that were not renewed in time.
func (t *testbed) expireRecords() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for key, expiry := range t.recordExpiries {
		if t.clock.Now() >= expiry {
			t.store.Delete(key)
			delete(t.recordExpiries, key)
		}
	}
}

// restore takes the store back to the copy. The operator then writes the catalog and the zones again, and the targets write
// their records when they are due.
func (t *testbed) restore(from standin.StoreCopy) {
	keys := t.store.Restore(from)
	t.mutex.Lock()
	for _, key := range keys {
		if _, isRecord := t.recordExpiries[key]; !isRecord && strings.HasPrefix(key, standin.TargetKeyPrefix) {
			t.recordExpiries[key] = t.clock.Now() + recordTTL
		}
	}
	t.mutex.Unlock()
	t.publishCatalog(func(*standin.Catalog) {})
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, zone := range zones {
		if t.isZoneOut(zone) {
			t.store.Put(standin.ZoneOutKey(zone), map[string]any{})
		} else {
			t.store.Delete(standin.ZoneOutKey(zone))
		}
	}
}

// isZoneOut reports whether the zone is out of service. The caller holds the mutex.
func (t *testbed) isZoneOut(zone string) bool {
	spans := t.zoneOutages[zone]
	return len(spans) > 0 && spans[len(spans)-1].To == 0
}

// publishCatalog changes the catalog and writes it to the store with a higher version.
func (t *testbed) publishCatalog(change func(*standin.Catalog)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	change(&t.catalog)
	t.catalog.Version += 3
	t.store.Put(standin.ConfigKey, t.catalog)
}

// replaceKey revokes the replaceable key of the stable account and publishes a new one.
func (t *testbed) replaceKey() {
	var old string
	t.publishCatalog(func(c *standin.Catalog) {
		keys := slices.Clone(c.Accounts[0].Keys)
		old = keys[1]
		keys[1] = fmt.Sprintf("key-%d", c.Version)
		c.Accounts = slices.Clone(c.Accounts)
		c.Accounts[0].Keys = keys
	})
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.keysRevokedAt[old] = t.clock.Now()
}

// replaceableKey returns the current value of the key that KeyWithdrawn replaces.
func (t *testbed) replaceableKey() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.catalog.Accounts[0].Keys[1]
}

// setQuota changes the quota of the small account: rate in tokens per second, burst in tokens.
func (t *testbed) setQuota(rate, burst float64) {
	t.publishCatalog(func(c *standin.Catalog) {
		c.Accounts = slices.Clone(c.Accounts)
		c.Accounts[1].Rate, c.Accounts[1].Burst = rate, burst
	})
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.quotas = append(t.quotas, Quota{t.clock.Now(), rate, burst})
}

// setZoneOut takes an availability zone out of service or returns it to service.
func (t *testbed) setZoneOut(zone string, out bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.clock.Now()
	spans := t.zoneOutages[zone]
	if out {
		t.store.Put(standin.ZoneOutKey(zone), map[string]any{})
		t.zoneOutages[zone] = append(spans, Span{From: now})
		return
	}
	t.store.Delete(standin.ZoneOutKey(zone))
	for i := range spans {
		if spans[i].To == 0 {
			spans[i].To = now
		}
	}
}

// notice is a step by which a target makes known that it leaves.
type notice func(h *targetHost)

// reportDraining makes the target report to the store that it drains.
func (t *testbed) reportDraining(h *targetHost) {
	h.update(func(i *instance) { i.drainingSince = t.clock.Now() })
	t.writeRecord(h)
}

// sayLeaving makes the target say in its answers that it leaves.
func sayLeaving(h *targetHost) { h.update(func(i *instance) { i.replica.SetLeaving() }) }

// breakConnections resets the connections to the target.
func breakConnections(h *targetHost) { h.proxy.Reset() }

// drainTarget makes the target take the steps, noticeInterval apart, serve for targetDrainMillis, and exit. If by then
// another target with another id runs on the host, drainTarget leaves that one running.
func (t *testbed) drainTarget(ctx context.Context, h *targetHost, notices ...notice) {
	key := h.recordKey()
	for i, step := range notices {
		if i > 0 {
			lovageshift.Pause(ctx, noticeInterval)
		}
		step(h)
	}
	lovageshift.Pause(ctx, targetDrainMillis.Duration())
	if key == h.recordKey() {
		t.store.Delete(key)
		h.kill(false)
	}
}

// oddRecordKey is the store key of a record that no target writes.
const oddRecordKey = standin.TargetKeyPrefix + "odd"

// oddFields are fields of records with values that no target writes.
var oddFields = []struct{ name, value string }{
	{"zone", strings.Repeat("[", oddNesting) + strings.Repeat("]", oddNesting)},
	{"born", "1e400"},
	{"address", `"127.0.0.1:0"`},
	{"address", `"127.0.0.1:70000"`},
	{"slots", `"eight"`},
	{"state", "{}"},
}

// putOddRecord writes a copy of the host's record with one of the oddFields.
func (t *testbed) putOddRecord(h *targetHost, variant int) {
	_, record, ok := h.record()
	if !ok {
		return
	}
	odd := oddFields[variant%len(oddFields)]
	delete(record, odd.name)
	content, err := json.Marshal(record)
	if err != nil {
		panic(err) // the record holds only values that JSON can encode
	}
	t.store.PutBytes(oddRecordKey, fmt.Appendf(content[:len(content)-1], `,%q:%s}`, odd.name, odd.value))
}
