package process

import (
	"context"
	"net/http"
	"sync"
	"time"

	"lovageshift"
	"lovageshift/connection"
	"lovageshift/gateway"
)

const (
	// A draining entry still serves new requests for this long, because the load balancer checks readiness once a second
	// and stops sending only after two failed checks. Requests that arrive later are refused, so that the caller sends
	// them to another entry. If this entry ran a long one, it would have to abort it at the end of the grace period.
	drainServeMillis lovageshift.Millis = 2800
	// How long the entry then refuses new requests, with an answer that says that they were not run, before it stops
	// accepting connections. On open connections it refuses requests until each connection is closed.
	drainRefuseMillis lovageshift.Millis = 700
	// Requests that still run, wait or arrive this long before the end of the grace period are ended then, and their
	// connections closeMargin before it.
	killMargin  lovageshift.Millis = 300
	closeMargin lovageshift.Millis = 150
	// Interval at which requests are refused then of which a part has arrived since.
	refuseInterval = 20 * time.Millisecond
	// Grace period, which is the time between SIGTERM and SIGKILL, used if the settings give none.
	defaultGrace lovageshift.Millis = 8000
)

// drain makes the readiness check fail, serves new requests for drainServeMillis, and refuses them from then on. It closes
// connections as soon as no caller uses them, accepts no more after drainRefuseMillis, and waits for the open ones. It ends the
// requests that are left killMargin before the end of the grace period, so that callers without an answer get one, and closes the
// connections closeMargin before it.
// If the grace period is short, the entry serves for at most a third of it, accepts connections for at most an eighth more, and ends
// the requests that are left at most a third, and closes the connections at most a sixth of it before its end.
func (p *gatewayProcess) drain(server *http.Server, callers *connection.Listener, endRequests context.CancelCauseFunc) {
	grace := p.watcher.current().Bounds.Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	started := p.clock.Now()
	p.log.Info("stopping", "graceMillis", grace)
	p.gateway.Drain()
	lovageshift.Pause(context.Background(), min(drainServeMillis, grace/3).Duration())
	p.gateway.RefuseNew()
	var tasks sync.WaitGroup
	closing, stopClosing := context.WithCancel(context.Background())
	tasks.Go(func() { callers.CloseUnused(closing) })
	lovageshift.Pause(context.Background(), min(drainRefuseMillis, grace/8).Duration())
	callers.StopAccepting()
	cut := !p.waitForCallers(callers, started+grace-min(killMargin, grace/3))
	if cut {
		endRequests(gateway.ErrStopping)
		callers.RefuseBegun()
		tasks.Go(func() { lovageshift.Every(closing, refuseInterval, callers.RefuseBegun) })
		p.waitForCallers(callers, started+grace-min(closeMargin, grace/6))
	}
	stopClosing()
	tasks.Wait()
	callers.Abort()
	_ = server.Close()
	p.log.Info("stop", "afterMillis", p.clock.Now()-started, "cut", cut)
}

// waitForCallers waits until the callers have no open connections, or until the time. It reports whether none is open.
func (p *gatewayProcess) waitForCallers(callers *connection.Listener, until lovageshift.Millis) bool {
	ctx, cancel := context.WithTimeout(context.Background(), max(until-p.clock.Now(), 0).Duration())
	defer cancel()
	return callers.Wait(ctx)
}
