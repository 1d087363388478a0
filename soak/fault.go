package soak

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"lovageshift"
	"lovageshift/standin"
)

const (
	// Entries of a lapsed target are gone from the store for this long at least.
	lapsedMillis = lapseMillis + 500
	fatalPause   = 400 * time.Millisecond
	killPoll     = 20 * time.Millisecond
)

// misbehaviours are the ways in which a target answers wrongly.
var misbehaviours = []standin.ReplicaFault{
	standin.ReplicaShed, standin.ReplicaError, standin.ReplicaReset, standin.ReplicaTruncate, standin.ReplicaUnresponsive,
	standin.ReplicaWrongRequestID, standin.ReplicaUnsigned,
}

var storeFailures = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusInternalServerError}

// inflict plays one fault and returns when it is over.
func (r *run) inflict(ctx context.Context, fault Fault) {
	e := r.entries[fault.Subject%len(r.entries)]
	p := r.site.places[fault.Subject%len(r.site.places)]
	last := func() { lovageshift.Pause(ctx, fault.Duration.Duration()) }
	defer r.trouble(fault.Kind, r.harms(fault))()
	switch fault.Kind {
	case EntryKilled:
		e.kill()
		r.awaitReady(ctx, e)
	case AllKilled:
		for _, e := range r.entries {
			e.kill()
		}
		r.awaitReady(ctx, r.entries...)
	case EntryStopped:
		r.stop(ctx, e)
	case EntryPaused:
		e.signal(syscall.SIGSTOP)
		last()
		e.signal(syscall.SIGCONT)
	case EntryReloaded:
		r.reload(e, fault.Variant%2 == 0)
	case StoreLinkRefused:
		r.harmLink(e.store, LinkRefused, last, true)
	case StoreLinkHeld:
		r.harmLink(e.store, LinkHeld, last, false)
	case StoreLinkOneWay:
		r.harmLink(e.store, oneWay(fault.Variant), last, false)
	case StoreLinkSlow:
		r.harmLink(e.store, LinkSlow, last, false)
	case StoreLinkSilent:
		e.store.StallConnections()
		last()
	case CallersReset:
		e.callers.Reset()
	case CallersSlow:
		r.harmLink(e.callers, LinkSlow, last, false)
	case StoreFails:
		r.site.store.SetFailure(storeFailures[fault.Variant%len(storeFailures)])
		last()
		r.site.store.SetFailure(0)
	case StoreSilent:
		r.site.store.SetUnresponsive(true)
		last()
		r.site.store.SetUnresponsive(false)
	case StoreForgets:
		r.site.store.Compact()
	case KeyWithdrawn:
		r.site.withdraw()
	case QuotaLowered:
		r.site.setQuota(smallRate/lowered, smallBurst/lowered)
		last()
		r.site.setQuota(smallRate, smallBurst)
	case ZoneOut:
		zone := zones[fault.Variant%len(zones)]
		r.site.takeOut(zone, true)
		lovageshift.Pause(ctx, (evacuationMillis + fault.Duration).Duration())
		r.site.takeOut(zone, false)
	case FatalRequest:
		r.sendFatal(ctx, fault)
	default:
		r.harmTarget(ctx, fault, p, last)
	}
}

func (r *run) harmTarget(ctx context.Context, fault Fault, p *place, last func()) {
	switch fault.Kind {
	case TargetKilled:
		p.end(fault.Variant%2 == 0)
		lovageshift.Pause(ctx, downMillis.Duration())
	case TargetReset:
		p.proxy.Reset()
	case TargetHeld:
		r.harmLink(p.proxy, LinkHeld, last, false)
	case TargetOneWay:
		r.harmLink(p.proxy, oneWay(fault.Variant), last, false)
	case TargetSilent:
		p.proxy.StallConnections()
		last()
	case TargetSlow:
		r.harmLink(p.proxy, LinkSlow, last, false)
	case TargetMisbehaves:
		p.update(func(l *life) { l.replica.SetFault(misbehaviours[fault.Variant%len(misbehaviours)]) })
		last()
		p.update(func(l *life) { l.replica.SetFault(standin.ReplicaNoFault) })
	case TargetLeaves:
		r.site.leave(ctx, p)
	case TargetLapses:
		p.setLapsed(true)
		lovageshift.Pause(ctx, lapsedMillis.Duration())
		p.setLapsed(false)
	case TargetCold:
		p.update(func(l *life) { l.coldAgain(r.clock.Now()) })
		r.site.write(p)
	default:
		panic("unknown kind of fault " + string(fault.Kind))
	}
}

// harms returns the number of the entry that a fault harms, AllEntries or NoEntry.
func (r *run) harms(fault Fault) int {
	switch fault.Kind {
	case EntryKilled, EntryStopped, EntryPaused, EntryReloaded, StoreLinkRefused, StoreLinkHeld, StoreLinkOneWay,
		StoreLinkSlow, StoreLinkSilent, CallersReset, CallersSlow:
		return fault.Subject % len(r.entries)
	case AllKilled, StoreFails, StoreSilent, StoreForgets:
		return AllEntries
	default:
		return NoEntry
	}
}

func oneWay(variant int) LinkState {
	if variant%2 == 0 {
		return LinkHeldToServer
	}
	return LinkHeldToClient
}

// harmLink changes a link for a time; with reset its connections are broken off first.
func (r *run) harmLink(proxy *Proxy, state LinkState, last func(), reset bool) {
	proxy.SetState(state)
	if reset {
		proxy.Reset()
	}
	last()
	proxy.SetState(LinkOpen)
}

// stop sends SIGTERM, and SIGKILL to a process that is still there after the grace period.
func (r *run) stop(ctx context.Context, e *entry) {
	process := e.current()
	e.signal(syscall.SIGTERM)
	killAt := r.clock.Now() + graceMillis
	for ctx.Err() == nil && e.running(process) && r.clock.Now() < killAt {
		lovageshift.Pause(ctx, killPoll)
	}
	if e.running(process) {
		e.kill()
	}
	r.awaitReady(ctx, e)
}

// reload changes the settings file, with a signal or without.
func (r *run) reload(e *entry, signal bool) {
	if err := e.changeSettings(); err != nil {
		panic(err) // the folder is our own
	}
	if signal {
		e.signal(syscall.SIGHUP)
	}
}

// awaitReady waits until the balancer sends connections to the entries again.
func (r *run) awaitReady(ctx context.Context, entries ...*entry) {
	lovageshift.Pause(ctx, (readyMisses+1)*readyPoll)
	until := r.clock.Now() + recoveryMillis
	for _, e := range entries {
		for ctx.Err() == nil && !e.takesConnections() && r.clock.Now() < until {
			lovageshift.Pause(ctx, killPoll)
		}
	}
}

// sendFatal sends the same request, which no target survives, again and again to changing entries.
func (r *run) sendFatal(ctx context.Context, fault Fault) {
	c := newCaller(len(r.entries)+r.options.Callers+fault.Variant, r.options.Seed, r.site, r.entries, &r.book)
	// Only the id differs from one time to the next: what comes again is known by its path, key and body.
	ask := standin.ClientRequest{
		Host: host, Method: http.MethodPost, Path: fmt.Sprintf("%s%d", fatalPrefix, fault.Variant), Body: "fatal",
		Key: "stable-key", TimeoutMillis: routeMillis, PromptTokens: askTokens, OutputTokens: answerTokens,
	}
	end := r.clock.Now() + fault.Duration + contactMillis
	for ctx.Err() == nil && r.clock.Now() < end {
		ask.ID = c.nextID()
		c.send(ctx, ask, stableAccount)
		c.move()
		lovageshift.Pause(ctx, fatalPause)
	}
}
