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

// Options say what a run is made of.
type Options struct {
	// Program is the path of the lovageshift program, and Folder where logs and settings go.
	Program string
	Folder  string
	Seed    uint64
	Entries int
	Targets int
	Callers int
	// FaultWindow is for how long faults begin, and Calm how long requests go on once recovery is due.
	FaultWindow          lovageshift.Millis
	TrafficAfterRecovery lovageshift.Millis
}

// DefaultOptions returns the usual size of a run.
func DefaultOptions() Options {
	return Options{Entries: 4, Targets: 8, Callers: 24, FaultWindow: 14_000, TrafficAfterRecovery: 2500}
}

const (
	entryPort   = 8221
	guardPort   = 7999
	seedEntries = 3
	// Time between the start of the processes and the start of traffic.
	startMillis lovageshift.Millis = 3000
	raceReport                     = "WARNING: DATA RACE"
	// Loopback networks from 127.firstNetwork on are used, one a run.
	firstNetwork = 32
	lastNetwork  = 250
	// Two connections through a proxy have four ends here, or three with the other end in an entry; some are closing.
	descriptorsPerLink = 6
)

// run is one run with all that belongs to it.
type run struct {
	options Options
	clock   lovageshift.Clock
	site    *site
	entries []*entry
	book    book

	mutex    sync.Mutex
	troubles []FaultPeriod
}

// Run plays the faults of a seed and returns the history, or trace.LimitExceeded if the run is too large for the
// descriptors that this process may open.
func Run(ctx context.Context, options Options) (*History, error) {
	if err := checkSize(options); err != nil {
		return nil, err
	}
	network, guard, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	defer func() { _ = guard.Close() }()
	r := &run{options: options, clock: lovageshift.NewClock()}
	if r.site, err = newSite(r.clock, network, options.Targets); err != nil {
		return nil, trace.Wrap(err, "targets")
	}
	if err := r.makeEntries(network); err != nil {
		return nil, trace.Wrap(err, "entries")
	}
	return r.play(ctx)
}

// checkSize compares the connections that a run may open, all of which pass this process, with its descriptors.
func checkSize(options Options) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return trace.Wrap(err)
	}
	needed := options.Entries * (options.Targets + options.Callers/2) * descriptorsPerLink
	if uint64(needed) > limit.Cur {
		return trace.LimitExceeded("%d entries, %d targets and %d callers may need %d descriptors of %d",
			options.Entries, options.Targets, options.Callers, needed, limit.Cur)
	}
	return nil
}

// freeNetwork finds a loopback network that no other run uses; the listener returned keeps it.
func freeNetwork() (string, net.Listener, error) {
	for number := firstNetwork; number <= lastNetwork; number++ {
		network := fmt.Sprintf("127.%d", number)
		guard, err := net.Listen("tcp", fmt.Sprintf("%s.0.1:%d", network, guardPort))
		if err == nil {
			return network, guard, nil
		}
	}
	return "", nil, trace.LimitExceeded("no loopback network is free")
}

func (r *run) makeEntries(network string) error {
	var seeds []string
	for number := range r.options.Entries {
		address := fmt.Sprintf("%s.4.%d", network, number+1)
		if number < seedEntries {
			seeds = append(seeds, address)
		}
	}
	for number := range r.options.Entries {
		made := &entry{number: number, settings: filepath.Join(r.options.Folder, fmt.Sprintf("settings-%d.json", number))}
		var err error
		if made.store, err = NewProxy(fmt.Sprintf("%s.5.%d:8225", network, number+1), r.site.address); err != nil {
			return err
		}
		made.machine = standin.VM{
			Name: fmt.Sprintf("entry-%d", number), Zone: zones[number%len(zones)], Seeds: seeds, FirstPort: entryPort,
			Host: fmt.Sprintf("%s.4.%d", network, number+1), Store: made.store.Address(), Bounds: bounds(),
		}
		if made.callers, err = NewProxy(fmt.Sprintf("%s.6.%d:8221", network, number+1), made.machine.CallerAddress()); err != nil {
			return err
		}
		if err := made.machine.WriteSettings(made.settings); err != nil {
			return err
		}
		r.entries = append(r.entries, made)
	}
	return nil
}

// changeSettings names the seeds in another order than before.
func (e *entry) changeSettings() error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.changes++
	changed := e.machine
	first := e.changes % len(changed.Seeds)
	changed.Seeds = slices.Concat(changed.Seeds[first:], changed.Seeds[:first])
	return changed.WriteSettings(e.settings)
}

func bounds() map[string]any {
	return map[string]any{
		"grace_s": graceMillis.Seconds(), "revoke_everywhere": true, "revoke_ms": revokeMillis,
		"retry_budget_ratio": budgetRatio, "budget_window_s": budgetWindow.Seconds(), "retry_budget_slack": budgetSlack,
		"cold_overshoot": coldOvershoot, "cold_slack": coldSlack,
		"quota_overshoot": quotaOvershoot, "quota_slack": quotaSlack,
	}
}

// play runs everything until the calm after the last fault has passed.
func (r *run) play(ctx context.Context) (*History, error) {
	background, stop := context.WithCancel(ctx)
	defer stop()
	tasks, background := errgroup.WithContext(background)
	tasks.Go(func() error { return r.site.run(background) })
	for _, e := range r.entries {
		tasks.Go(func() error { return e.store.Run(background) })
		tasks.Go(func() error { return e.callers.Run(background) })
		tasks.Go(func() error { return e.run(background, r.options.Program, r.options.Folder) })
		tasks.Go(func() error { return e.balance(background) })
	}
	lovageshift.Pause(background, startMillis.Duration())
	asking, stopAsking := context.WithCancel(background)
	defer stopAsking()
	var callers errgroup.Group
	for number := range r.options.Callers {
		c := newCaller(number, r.options.Seed, r.site, r.entries, &r.book)
		callers.Go(func() error { return c.run(asking) })
	}
	r.faults(background)
	lovageshift.Pause(background, recoveryMillis.Duration())
	calm := r.clock.Now()
	lovageshift.Pause(background, r.options.TrafficAfterRecovery.Duration())
	stopAsking()
	_ = callers.Wait()
	stop()
	if err := tasks.Wait(); err != nil {
		return nil, err
	}
	return r.history(calm)
}

func (r *run) history(calm lovageshift.Millis) (*History, error) {
	h := &History{
		Attempts: r.book.attempts, Arrivals: r.site.collect(), FaultPeriods: r.troubles, RecoveryDue: calm,
		KeysRevokedAt: r.site.withdrawn, Quotas: r.site.limits, ZoneOutages: r.site.zonesOut,
	}
	for _, e := range r.entries {
		h.UnexpectedExits = append(h.UnexpectedExits, e.ends...)
		content, err := os.ReadFile(e.logPath(r.options.Folder))
		if err != nil {
			return nil, err
		}
		if bytes.Contains(content, []byte(raceReport)) {
			h.DataRaces = append(h.DataRaces, e.machine.Name)
		}
	}
	return h, nil
}

// faults plays the plan; it returns when the last fault is over.
func (r *run) faults(ctx context.Context) {
	start := r.clock.Now()
	var running errgroup.Group
	for _, fault := range NewPlan(r.options.Seed, r.options.FaultWindow) {
		lovageshift.Pause(ctx, (start + fault.Start - r.clock.Now()).Duration())
		running.Go(func() error {
			r.inflict(ctx, fault)
			return nil
		})
	}
	_ = running.Wait()
}

// trouble notes that something is wrong from now on until the function returned is called.
func (r *run) trouble(kind Kind, entry int) func() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	number := len(r.troubles)
	r.troubles = append(r.troubles, FaultPeriod{Kind: kind, Entry: entry, From: r.clock.Now(), To: lovageshift.Millis(1) << 40})
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.troubles[number].To = r.clock.Now()
	}
}
