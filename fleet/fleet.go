package fleet

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"lovageshift"
	"lovageshift/agent"
	"lovageshift/engine"
	"lovageshift/entry"
	"lovageshift/folder"
	"lovageshift/folderservice"
	"lovageshift/metrics"
	"lovageshift/standin"
)

const (
	platformAddress = "127.0.0.1:900"
	crashRestart    = 2 * time.Second
	readyPoll       = 10 * time.Millisecond
	lingering       = 10 * time.Second
	refill          = 15 * time.Second
)

// Fleet is a running system with its stand-ins.
type Fleet struct {
	Spec     Spec
	Network  *Network
	Platform *standin.ConfigService
	Engines  map[lovageshift.TargetID]*standin.Engine
	Services map[lovageshift.TargetID]*standin.Service

	hosts  []*standin.Host
	base   folder.File
	mutex  sync.Mutex
	agents map[lovageshift.TargetID]*AgentProcess
	entry  []*EntryProcess
	closes []func()
}

// AgentProcess is one running agent.
type AgentProcess struct {
	*agent.Agent
	Metrics *metrics.Metrics
	process
}

// EntryProcess is one running entry with a caller's client.
type EntryProcess struct {
	*entry.Entry
	Metrics *metrics.Metrics
	Client  *http.Client
	URL     string
	process
}

type process struct {
	stop context.CancelFunc
	done *errgroup.Group
}

// Start brings the fleet up and waits until every entry is ready.
func Start(spec Spec) *Fleet {
	quiet()
	f := &Fleet{
		Spec: spec, Network: NewNetwork(), Platform: standin.NewConfigService(),
		Engines:  map[lovageshift.TargetID]*standin.Engine{},
		Services: map[lovageshift.TargetID]*standin.Service{},
		agents:   map[lovageshift.TargetID]*AgentProcess{},
		base:     spec.base(),
	}
	f.Platform.Publish(f.base)
	f.host("platform", platformAddress, f.Platform.Handler())
	for i, e := range spec.Engines {
		stand := standin.NewEngine(string(e.ID), e.Profile)
		stand.AttachHost(f.host(engineHost(e.ID), spec.address("engine", i), stand.Handler()), crashRestart)
		f.Engines[e.ID] = stand
	}
	for i, service := range spec.Services {
		stand := standin.NewService()
		f.host(engineHost(service.ID), spec.address("engine", len(spec.Engines)+i), stand)
		f.Services[service.ID] = stand
	}
	for _, id := range f.Targets() {
		f.StartAgent(id)
	}
	for number := range spec.Entries {
		f.entry = append(f.entry, f.StartEntry(number))
	}
	f.waitReady()
	return f
}

// quiet keeps the processes' logs out of what tests and measurements print.
func quiet() {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	for _, name := range []string{"logtostderr", "alsologtostderr"} {
		_ = flags.Set(name, "false")
	}
	_ = flags.Set("stderrthreshold", "FATAL")
	klog.SetOutput(io.Discard)
}

func engineHost(id lovageshift.TargetID) string { return "engine/" + string(id) }

func (f *Fleet) host(name, address string, handler http.Handler) *standin.Host {
	host := standin.NewHost(f.Network.Host(name), address, handler)
	if err := host.Start(); err != nil {
		panic(err)
	}
	f.hosts = append(f.hosts, host)
	return host
}

// Targets returns the ids of all targets, engines first.
func (f *Fleet) Targets() []lovageshift.TargetID {
	var ids []lovageshift.TargetID
	for _, e := range f.Spec.Engines {
		ids = append(ids, e.ID)
	}
	for _, service := range f.Spec.Services {
		ids = append(ids, service.ID)
	}
	return ids
}

// Publish adds or replaces a file beside the fleet's own and returns the revision.
func (f *Fleet) Publish(name, text string) lovageshift.Revision {
	return f.Platform.Publish(f.base, folder.NewFile(name, []byte(text)))
}

func (f *Fleet) source(host string) *folderservice.Reader {
	service := folderservice.NewReader(platformAddress, f.Network.Host(host).DialContext)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closes = append(f.closes, service.Close)
	return service
}

func (f *Fleet) random(name string) *rand.Rand {
	var sum uint64
	for _, b := range []byte(name) {
		sum = sum*31 + uint64(b)
	}
	return rand.New(rand.NewPCG(f.Spec.Seed, sum))
}

// StartAgent starts a new run of a target's agent.
func (f *Fleet) StartAgent(id lovageshift.TargetID) *AgentProcess {
	counts, err := metrics.New()
	if err != nil {
		panic(err)
	}
	name := string(id)
	host := f.Network.Host(name)
	a := agent.New(agent.Options{
		Target: id, Clock: lovageshift.NewClock(), Network: host, Source: f.source(name),
		Metrics: counts, Random: f.random(name), Connect: f.connect(host), PassThrough: f.Spec.PassThrough,
	})
	listener, err := host.Listen(f.agentAddress(id))
	if err != nil {
		panic(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	running := &AgentProcess{a, counts, process{stop, &errgroup.Group{}}}
	running.done.Go(func() error { return a.Run(ctx, listener) })
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.agents[id] = running
	return running
}

func (f *Fleet) connect(host *Host) func(string) agent.Engine {
	return func(address string) agent.Engine {
		client := engine.NewClient(address, host.DialContext)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.closes = append(f.closes, client.Close)
		return client
	}
}

func (f *Fleet) agentAddress(id lovageshift.TargetID) string {
	for i, known := range f.Targets() {
		if known == id {
			return f.Spec.address("agent", i)
		}
	}
	panic("no target " + id)
}

// Agent returns the running agent of a target.
func (f *Fleet) Agent(id lovageshift.TargetID) *AgentProcess {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.agents[id]
}

// KillAgent ends an agent at once, with all its connections.
func (f *Fleet) KillAgent(id lovageshift.TargetID) {
	running := f.Agent(id)
	running.stop()
	f.Network.Disconnect(string(id))
	_ = running.done.Wait()
}

// StopAgent stops an agent gracefully.
func (f *Fleet) StopAgent(id lovageshift.TargetID) {
	running := f.Agent(id)
	_ = running.Drain(context.Background())
	f.KillAgent(id)
}

// StartEntry starts a new run of an entry, numbered from 0.
func (f *Fleet) StartEntry(number int) *EntryProcess {
	counts, err := metrics.New()
	if err != nil {
		panic(err)
	}
	name := entryName(number)
	host := f.Network.Host(name)
	options := entry.Options{
		ID: lovageshift.EntryID(name), Clock: lovageshift.NewClock(), Network: host, Source: f.source(name),
		Metrics: counts, Random: f.random(name),
	}
	if f.Spec.NewPolicy != nil {
		options.Policy = f.Spec.NewPolicy()
	}
	e := entry.New(options)
	address := f.Spec.address("entry", number)
	listener, err := host.Listen(address)
	if err != nil {
		panic(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	transport := &http.Transport{DialContext: f.Network.Host("caller").DialContext, MaxIdleConnsPerHost: 256}
	running := &EntryProcess{e, counts, &http.Client{Transport: transport}, "http://" + address, process{stop, &errgroup.Group{}}}
	running.done.Go(func() error { return e.Run(ctx, listener) })
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closes = append(f.closes, transport.CloseIdleConnections)
	if number < len(f.entry) {
		f.entry[number] = running
	}
	return running
}

func entryName(number int) string { return fmt.Sprintf("entry-%d", number+1) }

// Entry returns a running entry, numbered from 0.
func (f *Fleet) Entry(number int) *EntryProcess {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.entry[number]
}

// KillEntry ends an entry at once, with all its connections.
func (f *Fleet) KillEntry(number int) {
	running := f.Entry(number)
	f.Network.Disconnect(entryName(number))
	running.stop()
	f.Network.Disconnect(entryName(number))
	running.Client.CloseIdleConnections()
	_ = running.done.Wait()
}

// StopEntry stops an entry gracefully.
func (f *Fleet) StopEntry(number int) {
	running := f.Entry(number)
	running.stop()
	_ = running.done.Wait()
}

// waitReady waits until every entry is linked with the agents of its subset, the keepers' rest is over and buckets have filled.
func (f *Fleet) waitReady() {
	for _, running := range f.entry {
		for !running.Ready() || !f.linked(running) {
			time.Sleep(readyPoll)
		}
	}
	limits := lovageshift.DefaultLimits()
	time.Sleep((limits.ConfirmMillis + limits.LeaseMillis + limits.TransitMillis).Duration() + refill)
}

func (f *Fleet) linked(running *EntryProcess) bool {
	targets := running.Status().Targets
	count := 0
	for _, target := range targets {
		if target.TakesWork {
			count++
		}
	}
	return count == min(len(targets), len(f.Targets()))
}

// Stop ends everything and waits.
func (f *Fleet) Stop() {
	for number := range f.entry {
		f.KillEntry(number)
	}
	for _, id := range f.Targets() {
		f.KillAgent(id)
	}
	for _, host := range f.hosts {
		host.Close(context.Background())
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, closing := range f.closes {
		closing()
	}
	// What still waits for a timer ends by itself.
	time.Sleep(lingering)
}
