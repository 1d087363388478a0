package soak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/standin"
)

// Options configures a run.
type Options struct {
	// Program is the path of the lovageshift program. Folder receives the settings and logs of the entries.
	Program string
	Folder  string
	// Seed determines the plan of faults and the random choices of the callers.
	Seed uint64
	// Entries, Targets and Callers are how many of them run.
	Entries int
	Targets int
	Callers int
	// FaultWindow is the time, in milliseconds from the start of traffic, in which faults start.
	FaultWindow lovageshift.Millis
	// Notices adds faults in which targets say that they leave, or for how long they refuse requests.
	Notices bool
	// Ends makes half of the targets end their answers with the connection, and a third of the callers send HTTP/1.0. Streams
	// take longer, and the grace period of entries is so short that it ends within some of them. It adds faults that end
	// processes and connections.
	Ends bool
	// Stalls gives entries limits for memory and descriptors, and adds callers that hold back the ends of their bodies.
	Stalls bool
	// Stops adds series of stops and reloads of entries, which overlap.
	Stops bool
	// TrafficAfterRecovery is for how many milliseconds callers continue after the recovery time that follows the last
	// fault.
	TrafficAfterRecovery lovageshift.Millis
}

// DefaultOptions returns the default size of a run.
func DefaultOptions() Options {
	return Options{Entries: 4, Targets: 8, Callers: 24, FaultWindow: 14_000, TrafficAfterRecovery: 2500}
}

const (
	// First of the ports that an entry listens on.
	entryPort = 8221
	// Port of the listener that reserves a loopback network.
	lockPort = 7999
	// The settings of all entries list the addresses of the first seedEntries entries as seeds: members to contact first.
	seedEntries = 3
	// Traffic starts this long after the processes.
	startupMillis lovageshift.Millis = 3000
	// Text that begins a report of the race detector.
	raceReport = "WARNING: DATA RACE"
	// Each run uses one of the loopback networks 127.firstNetwork to 127.lastNetwork. The third number of an address
	// tells what listens there: 0 the reservation of the network, 1 the store, 2 targets, 3 the proxies of targets, 4
	// entries, 5 the proxies between entries and the store, 6 the proxies between callers and entries.
	firstNetwork = 32
	lastNetwork  = 250
	// A connection through a proxy is two connections with four ends, of which one is in an entry and three are in this
	// process. The descriptors beyond these are for connections that are still closing.
	descriptorsPerConnection = 6
)

// run is the state of one run.
type run struct {
	options  Options
	clock    lovageshift.Clock
	testbed  *testbed
	entries  []*entry
	attempts attemptLog

	mutex        sync.Mutex
	faultPeriods []FaultPeriod
}

// Run runs entries under the faults of a seed and returns the history. It returns trace.LimitExceeded if the run may need
// more file descriptors than the limit of this process, or if no loopback network is free.
func Run(ctx context.Context, options Options) (*History, error) {
	if err := checkSize(options); err != nil {
		return nil, err
	}
	network, lock, err := reserveNetwork()
	if err != nil {
		return nil, err
	}
	defer func() { _ = lock.Close() }()
	r := &run{options: options, clock: lovageshift.NewClock()}
	if r.testbed, err = newTestbed(r.clock, network, options); err != nil {
		return nil, trace.Wrap(err, "open the proxies of the targets")
	}
	if err := r.newEntries(network); err != nil {
		return nil, trace.Wrap(err, "set up the entries")
	}
	return r.execute(ctx)
}

// checkSize returns trace.LimitExceeded if the connections of a run may need more file descriptors than the limit of this
// process, through whose proxies they pass. It counts, for each entry, a connection to each target and to half of the
// callers, and beside them one of each caller that sends requests in parts.
func checkSize(options Options) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return trace.Wrap(err)
	}
	needed := options.Entries*(options.Targets+options.Callers/2)*descriptorsPerConnection + options.Callers
	if uint64(needed) > limit.Cur {
		return trace.LimitExceeded("%d entries, %d targets and %d callers may need %d file descriptors; the limit is %d",
			options.Entries, options.Targets, options.Callers, needed, limit.Cur)
	}
	return nil
}

// reserveNetwork returns a loopback network that no other run uses, in the form "127.N", and the listener that reserves
// the network until the listener is closed.
func reserveNetwork() (string, net.Listener, error) {
	for number := firstNetwork; number <= lastNetwork; number++ {
		network := fmt.Sprintf("127.%d", number)
		lock, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", network, lockPort))
		if err == nil {
			return network, lock, nil
		}
	}
	return "", nil, trace.LimitExceeded("no loopback network is free")
}

// newEntries writes the settings of the entries. For each entry it opens a proxy that callers reach the entry through,
// and one that the entry reaches the store through.
func (r *run) newEntries(network string) error {
	var seeds []string
	for number := range r.options.Entries {
		address := fmt.Sprintf("%s.4.%d", network, number+1)
		if number < seedEntries {
			seeds = append(seeds, address)
		}
	}
	for number := range r.options.Entries {
		e := &entry{number: number, settingsPath: filepath.Join(r.options.Folder, fmt.Sprintf("settings-%d.json", number))}
		var err error
		if e.storeProxy, err = NewProxy(fmt.Sprintf("%s.5.%d:8225", network, number+1), r.testbed.storeAddress); err != nil {
			return err
		}
		e.vm = standin.VM{
			Name: fmt.Sprintf("entry-%d", number), Zone: zones[number%len(zones)], Seeds: seeds, FirstPort: entryPort,
			Host: fmt.Sprintf("%s.4.%d", network, number+1), Store: e.storeProxy.Address(), Bounds: boundSettings(r.options.grace()),
		}
		if r.options.Stalls {
			e.vm.MemoryMegabytes, e.vm.FileDescriptors = stallsMemoryMB, stallsDescriptors
		}
		if e.callerProxy, err = NewProxy(fmt.Sprintf("%s.6.%d:8221", network, number+1), e.vm.CallerAddress()); err != nil {
			return err
		}
		if err := e.vm.WriteSettings(e.settingsPath); err != nil {
			return err
		}
		r.entries = append(r.entries, e)
	}
	return nil
}

// changeSettings writes the settings file with the seeds rotated by one more place than the last time.
func (e *entry) changeSettings() error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.settingsChanges++
	return e.writeSettings()
}

// markRestarted makes the settings say that the installation no longer starts for the first time, as the platform's do when
// it starts a process again.
func (e *entry) markRestarted() error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.restarted = true
	return e.writeSettings()
}

// writeSettings writes the settings file. The caller holds the mutex.
func (e *entry) writeSettings() error {
	changed := e.vm
	changed.Restarted = e.restarted
	first := e.settingsChanges % len(changed.Seeds)
	changed.Seeds = slices.Concat(changed.Seeds[first:], changed.Seeds[:first])
	return changed.WriteSettings(e.settingsPath)
}

// boundSettings returns the settings of the entries for the bounds that the checks enforce.
func boundSettings(grace lovageshift.Millis) map[string]any {
	return map[string]any{
		"grace_s": grace.Seconds(), "revoke_everywhere": true, "revoke_ms": revokeMillis,
		"retry_budget_ratio": budgetRatio, "budget_window_s": budgetWindow.Seconds(), "retry_budget_slack": budgetSlack,
		"cold_overshoot": coldOvershoot, "cold_slack": coldSlack,
		"quota_overshoot": quotaOvershoot, "quota_slack": quotaSlack,
	}
}

// grace returns the grace period of the entries.
func (o Options) grace() lovageshift.Millis {
	if o.Ends {
		return shortGraceMillis
	}
	return stopGraceMillis
}

// execute runs all processes and injects the faults. After the last fault, traffic continues for the recovery time and
// TrafficAfterRecovery.
func (r *run) execute(ctx context.Context) (*History, error) {
	background, stop := context.WithCancel(ctx)
	defer stop()
	tasks, background := errgroup.WithContext(background)
	tasks.Go(func() error { return r.testbed.run(background) })
	for _, e := range r.entries {
		tasks.Go(func() error { return e.storeProxy.Run(background) })
		tasks.Go(func() error { return e.callerProxy.Run(background) })
		tasks.Go(func() error { return e.run(background, r.options.Program, r.options.Folder) })
		tasks.Go(func() error { return e.pollReadiness(background) })
	}
	lovageshift.Pause(background, startupMillis.Duration())
	traffic, stopTraffic := context.WithCancel(background)
	defer stopTraffic()
	var callers errgroup.Group
	for number := range r.options.Callers {
		c := r.newCaller(number, r.options.Seed)
		callers.Go(func() error { return c.run(traffic) })
		inParts := r.newPartCaller(number)
		callers.Go(func() error { return inParts.run(traffic) })
	}
	r.injectFaults(background)
	lovageshift.Pause(background, recoveryMillis.Duration())
	recoveryDue := r.clock.Now()
	lovageshift.Pause(background, r.options.TrafficAfterRecovery.Duration())
	stopTraffic()
	_ = callers.Wait()
	stop()
	if err := tasks.Wait(); err != nil {
		return nil, err
	}
	return r.newHistory(recoveryDue)
}

// newHistory collects what callers, targets and the operator recorded, and the exits and data races of the entries.
func (r *run) newHistory(recoveryDue lovageshift.Millis) (*History, error) {
	h := &History{
		Attempts: r.attempts.attempts, Arrivals: r.testbed.arrivals(), FaultPeriods: r.faultPeriods,
		RecoveryDue: recoveryDue, KeysRevokedAt: r.testbed.keysRevokedAt, Quotas: r.testbed.quotas,
		ZoneOutages: r.testbed.zoneOutages, ShortGrace: r.options.Ends,
	}
	for _, e := range r.entries {
		h.UnexpectedExits = append(h.UnexpectedExits, e.unexpectedExits...)
		content, err := os.ReadFile(e.logPath(r.options.Folder))
		if err != nil {
			return nil, err
		}
		if bytes.Contains(content, []byte(raceReport)) {
			h.DataRaces = append(h.DataRaces, e.vm.Name)
		}
	}
	return h, nil
}

// injectFaults injects the faults of the plan and returns when the last one is over.
func (r *run) injectFaults(ctx context.Context) {
	start := r.clock.Now()
	var running errgroup.Group
	for _, fault := range r.options.plan() {
		lovageshift.Pause(ctx, (start + fault.Start - r.clock.Now()).Duration())
		running.Go(func() error {
			r.inject(ctx, fault)
			return nil
		})
	}
	_ = running.Wait()
}

// recordFault records a fault period that starts now and ends when the returned function is called. Until then, its To
// lies after the end of any run.
func (r *run) recordFault(kind Kind, entry int) func() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	index := len(r.faultPeriods)
	r.faultPeriods = append(r.faultPeriods,
		FaultPeriod{Kind: kind, Entry: entry, From: r.clock.Now(), To: lovageshift.Millis(1) << 40})
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.faultPeriods[index].To = r.clock.Now()
	}
}
