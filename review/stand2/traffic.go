package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lovageshift/standin"
)

const (
	routeHost   = "review.example"
	callerKey   = "sound-key"
	fatalKey    = "fatal-key"
	dialTimeout = time.Second // for which a caller waits for a new channel
)

// sent numbers the requests, for their ids.
var sent atomic.Int64

func newID() string { return fmt.Sprintf("%016x", sent.Add(1)+time.Now().UnixNano()<<20>>20) }

// catalogOf returns the operator's configuration, with the routes.
func catalogOf(routes ...standin.CatalogRoute) standin.Catalog {
	return standin.Catalog{
		Version: 3, Routes: routes,
		Services: []standin.CatalogService{
			{Name: "pool", ConnectionLimit: 610, ColdStartSeconds: 3, ColdRequestsPerSecond: 22},
			{Name: "app", ConnectionLimit: 96},
		},
		Accounts: []standin.CatalogAccount{
			{Name: "sound", Keys: []string{callerKey}, Unit: "tokens", DefaultCharge: 200},
			{Name: "fatal", Keys: []string{fatalKey}, Unit: "tokens", DefaultCharge: 200},
		},
		Limits: standin.CatalogLimits{BodyBytes: 4 << 20, HeaderBytes: 16 << 10},
	}
}

func route(name, kind, service string, timeout, target time.Duration, attempts int) standin.CatalogRoute {
	return standin.CatalogRoute{
		Name: name, Host: routeHost, Prefix: "/" + name + "/", Kind: kind, Service: service, Attempts: attempts,
		TimeoutMillis: int(timeout.Milliseconds()), TargetLatencyMillis: int(target.Milliseconds()),
	}
}

// call sends a request from the local address over a channel of its own.
func call(ctx context.Context, from, to string, request standin.CallerRequest) standin.Reply {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if from != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.TimeoutMillis)*time.Millisecond)
	defer cancel()
	return standin.Send(ctx, transport, to, request)
}

// every calls the function at the interval, each time in the background, until the context ends, and waits for all calls.
func every(ctx context.Context, interval time.Duration, f func(number int)) {
	var calls sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			calls.Wait()
			return
		case <-ticker.C:
			calls.Go(func() { f(number) })
		}
	}
}
