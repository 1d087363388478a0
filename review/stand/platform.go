package main

import (
	"context"
	"net/http"
	"sync"
	"time"

	"lovageshift/standin"
)

// Services and routes of all cases. Routes of streamPrefix and draftPrefix are answered by streams.
const (
	pool         = "lovage-pool"
	app          = "booking-app"
	streamPrefix = "/faq/"
	draftPrefix  = "/draft/"
	plainPrefix  = "/calendar/"
)

// configuration returns the operator's configuration with one tenant that holds the keys.
func configuration(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "r-faq", "host": host, "prefix": streamPrefix, "kind": "streaming", "timeout_ms": 12000,
				"target_latency_ms": 300, "priority": 1, "service": pool, "attempts": 2, "allow_anonymous": false,
				"session_affinity": true, "resume_streams": true, "gap_target_ms": 300,
			},
			{
				"name": "r-draft", "host": host, "prefix": draftPrefix, "kind": "streaming", "timeout_ms": 15000,
				"target_latency_ms": 500, "priority": 0, "service": pool, "attempts": 1, "allow_anonymous": false,
				"session_affinity": true, "resume_streams": false, "gap_target_ms": 300,
			},
			{
				"name": "r-calendar", "host": host, "prefix": plainPrefix, "kind": "safe", "timeout_ms": 1200,
				"target_latency_ms": 150, "priority": 2, "service": app, "attempts": 2, "allow_anonymous": false,
			},
		},
		"services": []map[string]any{
			{
				"name": pool, "health_path": "/health", "connection_limit": 610, "protocol": "h1", "tls": false,
				"cold_start_s": 0.0, "cold_per_s": 0.0,
				"engine": map[string]any{"slots": slots, "kv_cache_tokens": 1028412, "stride": 6, "models": []any{map[string]any{"name": "m"}}},
			},
			{
				"name": app, "health_path": "/health", "connection_limit": 96, "protocol": "h1", "tls": false,
				"cold_start_s": 0.0, "cold_per_s": 0.0,
			},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []map[string]any{
			{"name": "hule930", "api_keys": keys, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 365305, "burst": 365305},
		},
	}
}

// gate lets calls pass to the store while it is not away. Calls that wait when it goes away are cut, later ones get no answer.
type gate struct {
	store *standin.Store

	mutex  sync.Mutex
	isAway bool
	// isBusy makes the store answer 503 while it is away.
	isBusy bool
	away   chan struct{} // closed when the store goes away
}

func newGate(store *standin.Store) *gate { return &gate{store: store, away: make(chan struct{})} }

// ServeHTTP passes a call to the store.
func (g *gate) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	g.mutex.Lock()
	isAway, isBusy, away := g.isAway, g.isBusy, g.away
	g.mutex.Unlock()
	if isAway && isBusy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if isAway {
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-away:
			cancel()
		case <-stop:
		}
	}()
	g.store.ServeHTTP(w, req.WithContext(ctx))
	if ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// set makes the store go away, with answers of status 503 if it is busy and without any otherwise, or come back.
func (g *gate) set(isAway, isBusy bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.isBusy = isBusy
	if isAway == g.isAway {
		return
	}
	g.isAway = isAway
	if isAway {
		close(g.away)
	} else {
		g.away = make(chan struct{})
	}
}

func (g *gate) open() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !g.isAway
}

// storeAway makes the store answer each call with status 503 if it is busy, and nothing otherwise.
func (b *bed) storeAway(isBusy bool) {
	b.gate.set(true, isBusy)
	b.note("the store is away, busy: %v", isBusy)
}

// storeBack makes the store answer again. Replicas then write their records.
func (b *bed) storeBack() {
	b.gate.set(false, false)
	b.note("the store is back")
	for _, r := range b.replicas {
		r.writeRecord()
	}
}

// putRecord writes a replica's record if the store can be reached.
func (b *bed) putRecord(id string, record map[string]any) {
	if b.gate.open() {
		b.store.Put(standin.TargetKeyPrefix+id, record)
	}
}

// operate writes a configuration. The store's acknowledgement is given when it returns.
func (b *bed) operate(config map[string]any) time.Time {
	b.store.Put(standin.ConfigKey, config)
	acked := time.Now()
	tenants := config["tenants"].([]map[string]any)
	b.note("the store accepted configuration version %d, %d tenants, keys of the first %v", config["version"], len(tenants), tenants[0]["api_keys"])
	return acked
}
