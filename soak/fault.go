package soak

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/standin"
)

const (
	// With TargetLapses, a target stops writing its record for this long. The record expires recordTTL after its last
	// write, and is then missing from the store for about 500 ms or more.
	recordPauseMillis = recordTTL + 500
	// Time between the response to a fatal request and the next repeat.
	fatalInterval = 400 * time.Millisecond
	// How long a target names a limit beyond the length of the fault: the time after which bounds apply and a window.
	limitedMillis = settleMillis + limitWindow
	// With StoreRestored, the store is away for a time below maxAwayMillis.
	maxAwayMillis = 2000
	// Time between the leaving of one target and the next in a release.
	releaseInterval = 300 * time.Millisecond
	// Interval of checks whether a process has exited or an entry is in rotation.
	pollInterval = 20 * time.Millisecond
)

// replicaFaults are the variants of TargetMisbehaves.
var replicaFaults = []standin.ReplicaFault{
	standin.ReplicaFaultRefuse, standin.ReplicaFaultServerError, standin.ReplicaFaultReset, standin.ReplicaFaultTruncate,
	standin.ReplicaFaultNoResponse, standin.ReplicaFaultWrongRequestID, standin.ReplicaFaultUnsigned,
}

// storeErrorStatuses are the variants of StoreFails.
var storeErrorStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusInternalServerError}

// inject injects one fault and returns when it is over.
func (r *run) inject(ctx context.Context, fault Fault) {
	e := r.entries[fault.Subject%len(r.entries)]
	host := r.testbed.hosts[fault.Subject%len(r.testbed.hosts)]
	wait := func() { lovageshift.Pause(ctx, fault.Length.Duration()) }
	defer r.recordFault(fault.Kind, r.affectedEntry(fault))()
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
		r.stopEntry(ctx, e)
	case EntryPaused:
		e.pause(wait)
	case EntryReloaded:
		r.reloadEntry(e, fault.Variant%2 == 0)
	case StoreLinkRefused:
		r.withLinkState(e.storeProxy, LinkResetsNew, wait, true)
	case StoreLinkHeld:
		r.withLinkState(e.storeProxy, LinkHeld, wait, false)
	case StoreLinkOneWay:
		r.withLinkState(e.storeProxy, oneWayState(fault.Variant), wait, false)
	case StoreLinkSlow:
		r.withLinkState(e.storeProxy, LinkSlow, wait, false)
	case StoreLinkSilent:
		e.storeProxy.StallConnections()
		wait()
	case CallersReset:
		e.callerProxy.Reset()
	case CallersSlow:
		r.withLinkState(e.callerProxy, LinkSlow, wait, false)
	case StoreFails:
		r.testbed.store.SetFailure(storeErrorStatuses[fault.Variant%len(storeErrorStatuses)])
		wait()
		r.testbed.store.SetFailure(0)
	case StoreSilent:
		r.testbed.store.SetUnresponsive(true)
		wait()
		r.testbed.store.SetUnresponsive(false)
	case StoreForgets:
		r.testbed.store.Compact()
	case StoreRestored:
		r.restoreStore(ctx, fault)
	case KeyWithdrawn:
		r.testbed.replaceKey()
	case QuotaLowered:
		r.testbed.setQuota(smallRate/quotaDivisor, smallBurst/quotaDivisor)
		wait()
		r.testbed.setQuota(smallRate, smallBurst)
	case ZoneOut:
		zone := zones[fault.Variant%len(zones)]
		r.testbed.setZoneOut(zone, true)
		lovageshift.Pause(ctx, (evacuationMillis + fault.Length).Duration())
		r.testbed.setZoneOut(zone, false)
	case FatalRequest:
		r.sendFatalRequests(ctx, fault)
	case FatalPart:
		r.sendFatalPart(ctx, fault)
	case StoreRecordOdd:
		r.testbed.putOddRecord(host, fault.Variant)
		wait()
		r.testbed.store.Delete(oddRecordKey)
	case TargetsReleased:
		r.releaseTargets(ctx, fault, e, wait)
	case BodiesStall:
		stallBodies(e.vm.CallerAddress(), wait)
	default:
		r.injectTargetFault(ctx, fault, host, wait)
	}
}

// injectTargetFault injects a fault of a target or of its link.
func (r *run) injectTargetFault(ctx context.Context, fault Fault, host *targetHost, wait func()) {
	switch fault.Kind {
	case TargetKilled:
		host.kill(fault.Variant%2 == 0)
		lovageshift.Pause(ctx, downMillis.Duration())
	case TargetReset:
		host.proxy.Reset()
	case TargetHeld:
		r.withLinkState(host.proxy, LinkHeld, wait, false)
	case TargetOneWay:
		r.withLinkState(host.proxy, oneWayState(fault.Variant), wait, false)
	case TargetSilent:
		host.proxy.StallConnections()
		wait()
	case TargetSlow:
		r.withLinkState(host.proxy, LinkSlow, wait, false)
	case TargetMisbehaves:
		host.misbehave(replicaFaults[fault.Variant%len(replicaFaults)], wait)
	case TargetLeaves:
		r.testbed.drainTarget(ctx, host, r.testbed.reportDraining)
	case TargetSaysLeaving:
		notices := [][]notice{{sayLeaving, r.testbed.reportDraining}, {r.testbed.reportDraining, sayLeaving}, {sayLeaving}}
		r.testbed.drainTarget(ctx, host, notices[fault.Variant%len(notices)]...)
	case TargetRefuses:
		host.update(func(i *instance) { i.replica.RefuseUntil(time.Now().Add(fault.Length.Duration())) })
		wait()
	case TargetRepeatsRefusal:
		host.misbehave(standin.ReplicaFaultRepeatRefusal, wait)
	case TargetLapses:
		host.setRecordPaused(true)
		lovageshift.Pause(ctx, recordPauseMillis.Duration())
		host.setRecordPaused(false)
	case TargetLimited:
		host.update(func(i *instance) { i.name(r.clock.Now()) })
		lovageshift.Pause(ctx, (limitedMillis + fault.Length).Duration())
		host.update(func(i *instance) { i.replica.SetLimit("") })
	case TargetCold:
		host.update(func(i *instance) { i.resetToCold(r.clock.Now()) })
		r.testbed.writeRecord(host)
	default:
		panic("unknown kind of fault " + string(fault.Kind))
	}
}

// releaseTargets makes every second target leave, one after the other, while the entry is out of step.
func (r *run) releaseTargets(ctx context.Context, fault Fault, e *entry, wait func()) {
	var tasks errgroup.Group
	for number := fault.Subject % softwareVersions; number < len(r.testbed.hosts); number += softwareVersions {
		tasks.Go(func() error {
			lovageshift.Pause(ctx, time.Duration(number)*releaseInterval)
			r.testbed.drainTarget(ctx, r.testbed.hosts[number], r.testbed.reportDraining, sayLeaving, breakConnections)
			return nil
		})
	}
	if fault.Variant%2 == 0 {
		defer r.recordFault(EntryPaused, e.number)()
		e.pause(wait)
	} else {
		r.withLinkState(e.storeProxy, LinkHeld, wait, true)
	}
	_ = tasks.Wait()
}

// restoreStore publishes a catalog after the copy was made, just before the store is away. The variant selects for how long.
func (r *run) restoreStore(ctx context.Context, fault Fault) {
	from := r.testbed.store.Copy()
	lovageshift.Pause(ctx, fault.Length.Duration())
	r.testbed.replaceKey()
	r.testbed.store.SetFailure(http.StatusServiceUnavailable)
	lovageshift.Pause(ctx, (lovageshift.Millis(fault.Variant) % maxAwayMillis).Duration())
	r.testbed.restore(from)
	r.testbed.store.SetFailure(0)
}

// affectedEntry returns the number of the entry that a fault affects, or AllEntries or NoEntry. Faults of targets,
// of the links to them, and actions of the operator affect no entry.
func (r *run) affectedEntry(fault Fault) int {
	switch fault.Kind {
	case EntryKilled, EntryStopped, EntryPaused, EntryReloaded, StoreLinkRefused, StoreLinkHeld, StoreLinkOneWay,
		StoreLinkSlow, StoreLinkSilent, CallersReset, CallersSlow, TargetsReleased,
		BodiesStall:
		return fault.Subject % len(r.entries)
	case AllKilled, StoreFails, StoreSilent, StoreForgets, StoreRestored:
		return AllEntries
	default:
		return NoEntry
	}
}

// oneWayState returns the link state that holds back the direction which the variant selects.
func oneWayState(variant int) LinkState {
	if variant%2 == 0 {
		return LinkHeldToServer
	}
	return LinkHeldToClient
}

// withLinkState keeps a link in a state until wait returns, and then opens it. With reset, it also resets the
// connections that are open when the state begins.
func (r *run) withLinkState(proxy *Proxy, state LinkState, wait func(), reset bool) {
	proxy.SetState(state)
	if reset {
		proxy.Reset()
	}
	wait()
	proxy.SetState(LinkOpen)
}

// stopEntry sends SIGTERM, and SIGKILL if the process still runs after stopGraceMillis, and then waits for the entry
// as awaitReady does.
func (r *run) stopEntry(ctx context.Context, e *entry) {
	process := e.currentProcess()
	e.signal(syscall.SIGTERM)
	killAt := r.clock.Now() + stopGraceMillis
	for ctx.Err() == nil && e.isRunning(process) && r.clock.Now() < killAt {
		lovageshift.Pause(ctx, pollInterval)
	}
	if e.isRunning(process) {
		e.kill()
	}
	r.awaitReady(ctx, e)
}

// reloadEntry changes the settings file and, if sendSIGHUP is set, sends SIGHUP.
func (r *run) reloadEntry(e *entry, sendSIGHUP bool) {
	if err := e.changeSettings(); err != nil {
		panic(err) // the folder belongs to the run
	}
	if sendSIGHUP {
		e.signal(syscall.SIGHUP)
	}
}

// awaitReady waits until the entries are in rotation again. It first gives the load balancer the time that it needs to
// notice that a process exited, and then waits for at most recoveryMillis for all entries together.
func (r *run) awaitReady(ctx context.Context, entries ...*entry) {
	lovageshift.Pause(ctx, (unreadyThreshold+1)*readinessInterval)
	until := r.clock.Now() + recoveryMillis
	for _, e := range entries {
		for ctx.Err() == nil && !e.isInRotation() && r.clock.Now() < until {
			lovageshift.Pause(ctx, pollInterval)
		}
	}
}

// sendFatalRequests repeats a request that crashes every target that runs it, for the length of the fault plus
// settleMillis. Each repeat goes to the next entry in rotation.
func (r *run) sendFatalRequests(ctx context.Context, fault Fault) {
	c := r.newCaller(len(r.entries)+r.options.Callers+fault.Variant, r.options.Seed)
	// Only the id changes between repeats: entries recognize a repeated request by its path, key and body.
	request := standin.CallerRequest{
		Host: routeHost, Method: http.MethodPost, Path: fmt.Sprintf("%s%d", fatalPrefix, fault.Variant), Body: "fatal",
		Key: "stable-key", TimeoutMillis: routeMillis, PromptTokens: promptTokens, OutputTokens: outputTokens,
	}
	end := r.clock.Now() + fault.Length + settleMillis
	r.repeat(ctx, c, end, func() standin.CallerRequest { return request })
}

// repeat sends one request after the other until the end, each with a new id and to the next entry in rotation.
func (r *run) repeat(ctx context.Context, c *caller, end lovageshift.Millis, next func() standin.CallerRequest) {
	for ctx.Err() == nil && r.clock.Now() < end {
		request := next()
		request.ID = c.nextID()
		c.send(ctx, request, stableAccount)
		c.switchEntry()
		lovageshift.Pause(ctx, fatalInterval)
	}
}

// sendFatalPart sends requests that share a part of their prompts, which crashes every target that runs them, and differ
// otherwise, for the length of the fault plus twice settleMillis.
func (r *run) sendFatalPart(ctx context.Context, fault Fault) {
	c := r.newCaller(len(r.entries)+r.options.Callers+fault.Variant, ^r.options.Seed)
	count := 0
	r.repeat(ctx, c, r.clock.Now()+fault.Length+2*settleMillis, func() standin.CallerRequest {
		count++
		return standin.CallerRequest{
			Host: routeHost, Method: http.MethodPost, Path: fmt.Sprintf("/chat/%d", count), Body: fmt.Sprint(count),
			Key: "stable-key", TimeoutMillis: routeMillis, PromptTokens: promptTokens, OutputTokens: outputTokens,
			PromptParts: fmt.Sprintf("%s,%s%d:5,%d:5", sharedPart, fatalPart, fault.Variant, count),
		}
	})
}
