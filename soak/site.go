package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/standin"
)

const (
	streamService = "pool"
	plainService  = "app"
	host          = "soak.example"
	siteTick      = 50 * time.Millisecond

	stableAccount = "stable"
	smallAccount  = "small"
	routeMillis   = 2500
	bodyLimit     = 4096
	headerLimit   = 16 << 10
	connections   = 200

	smallRate  = 400.0 // tokens a second
	smallBurst = 800.0 // tokens
	// What a lowered quota is divided by.
	lowered = 4
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// site is what the system serves and is told: targets, a store, and an operator.
type site struct {
	clock   lovageshift.Clock
	store   *standin.Store
	address string // of the store
	places  []*place
	tasks   errgroup.Group

	mutex   sync.Mutex
	catalog standin.Catalog
	lapses  map[string]lovageshift.Millis // key of a record to when the store drops it
	// What the operator did, for the checks.
	withdrawn map[string]lovageshift.Millis
	limits    []Quota
	zonesOut  map[string][]Span
}

// newSite returns a site whose parts listen on loopback addresses of the network given.
func newSite(clock lovageshift.Clock, network string, targets int) (*site, error) {
	s := &site{
		clock: clock, store: standin.NewStore(), address: network + ".1.1:8225",
		lapses: map[string]lovageshift.Millis{}, withdrawn: map[string]lovageshift.Millis{}, zonesOut: map[string][]Span{},
	}
	for number := range targets {
		made := &place{
			number: number, clock: clock, zone: zones[number%len(zones)], service: streamService,
			address: fmt.Sprintf("%s.2.%d:9000", network, number+1),
		}
		if number >= targets/2 {
			made.service = plainService
		}
		proxy, err := NewProxy(fmt.Sprintf("%s.3.%d:9000", network, number+1), made.address)
		if err != nil {
			return nil, err
		}
		made.proxy = proxy
		s.places = append(s.places, made)
	}
	s.catalog = standin.Catalog{
		Routes: []standin.CatalogRoute{
			route("chat", "streaming", streamService, 1, false),
			route("resume", "streaming", streamService, 2, true),
			route("book", "unsafe", plainService, 1, false),
			route("read", "safe", plainService, 2, false),
			route("fatal", "safe", plainService, 2, false),
		},
		Services: []standin.CatalogService{
			{Name: streamService, ConnectionLimit: connections, ColdStartSeconds: coldMillis.Seconds(), ColdPerSecond: coldPerSecond},
			{Name: plainService, ConnectionLimit: connections, ColdStartSeconds: coldMillis.Seconds(), ColdPerSecond: coldPerSecond},
		},
		Accounts: []standin.CatalogAccount{
			{Name: stableAccount, Keys: []string{"stable-key", "key-0"}, Unit: "tokens"},
			{Name: smallAccount, Keys: []string{"small-key"}, Unit: "tokens", Rate: smallRate, Burst: smallBurst},
		},
		Limits: standin.CatalogLimits{BodyBytes: bodyLimit, HeaderBytes: headerLimit},
	}
	s.limits = []Quota{{0, smallRate, smallBurst}}
	return s, nil
}

func route(name, kind, service string, attempts int, resumable bool) standin.CatalogRoute {
	return standin.CatalogRoute{
		Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Service: service, Attempts: attempts,
		Resumable: resumable, TimeoutMillis: routeMillis, TargetLatencyMillis: routeMillis / 5,
	}
}

// run serves the store and the targets until the context ends.
func (s *site) run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.store, ReadHeaderTimeout: targetHeader}
	s.tasks.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	s.publish(func(*standin.Catalog) {})
	for _, p := range s.places {
		s.tasks.Go(func() error { return p.proxy.Run(ctx) })
		if err := s.begin(p, false); err != nil {
			return err
		}
	}
	due := s.clock.Now()
	lovageshift.Every(ctx, siteTick, func() {
		if s.clock.Now() >= due {
			due += recordMillis
			s.register()
		}
		s.drop()
		for _, p := range s.places {
			if p.vacant() {
				err = errors.Join(err, s.begin(p, true))
			}
		}
	})
	for _, p := range s.places {
		p.end(false)
	}
	_ = server.Close()
	return errors.Join(err, s.tasks.Wait())
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *site) begin(p *place, cold bool) error {
	serve, err := p.begin(cold)
	if err != nil {
		return err
	}
	s.tasks.Go(func() error { return ignoreClosed(serve()) })
	s.write(p)
	return nil
}

// write puts the target's record into the store and puts its lapse off.
func (s *site) write(p *place) {
	key, record, writes := p.record()
	if !writes {
		return
	}
	s.store.Put(key, record)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lapses[key] = s.clock.Now() + lapseMillis
}

func (s *site) register() {
	for _, p := range s.places {
		s.write(p)
	}
}

// drop takes the records out that nobody renewed.
func (s *site) drop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, due := range s.lapses {
		if s.clock.Now() >= due {
			s.store.Delete(key)
			delete(s.lapses, key)
		}
	}
}

// publish writes the next version of the catalog.
func (s *site) publish(change func(*standin.Catalog)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(&s.catalog)
	s.catalog.Version += 3
	s.store.Put(standin.ConfigKey, s.catalog)
}

// withdraw replaces the key of the stable account that changes.
func (s *site) withdraw() {
	var gone string
	s.publish(func(c *standin.Catalog) {
		keys := slices.Clone(c.Accounts[0].Keys)
		gone = keys[1]
		keys[1] = fmt.Sprintf("key-%d", c.Version)
		c.Accounts = slices.Clone(c.Accounts)
		c.Accounts[0].Keys = keys
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.withdrawn[gone] = s.clock.Now()
}

// changingKey returns the key that the operator replaces at times.
func (s *site) changingKey() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.catalog.Accounts[0].Keys[1]
}

// setQuota changes the quota of the small account.
func (s *site) setQuota(rate, burst float64) {
	s.publish(func(c *standin.Catalog) {
		c.Accounts = slices.Clone(c.Accounts)
		c.Accounts[1].Rate, c.Accounts[1].Burst = rate, burst
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limits = append(s.limits, Quota{s.clock.Now(), rate, burst})
}

// takeOut takes an availability zone out of service, or back.
func (s *site) takeOut(zone string, out bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	spans := s.zonesOut[zone]
	if out {
		s.store.Put(standin.ZoneOutKey(zone), map[string]any{})
		s.zonesOut[zone] = append(spans, Span{From: now})
		return
	}
	s.store.Delete(standin.ZoneOutKey(zone))
	for i := range spans {
		if spans[i].To == 0 {
			spans[i].To = now
		}
	}
}

// leave lets the target say that it leaves, serve on for a while, and end.
func (s *site) leave(ctx context.Context, p *place) {
	p.update(func(l *life) { l.leaving = s.clock.Now() })
	key := p.key()
	s.write(p)
	lovageshift.Pause(ctx, leavingMillis.Duration())
	if key == p.key() {
		s.store.Delete(key)
		p.end(false)
	}
}
