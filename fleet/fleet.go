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
	configServiceAddress = "127.0.0.1:900"
	engineRestartDelay   = 2 * time.Second
	readyPollInterval    = 10 * time.Millisecond
	timerDrainTime       = 10 * time.Second
	bucketRefillTime     = 15 * time.Second
)

// Fleet is a running system of entries, agents and stand-in back ends.
type Fleet struct {
	Spec          Spec
	Network       *Network
	ConfigService *standin.ConfigService
	Engines       map[lovageshift.TargetID]*standin.Engine
	Services      map[lovageshift.TargetID]*standin.Service

	standInHosts []*standin.Host
	baseConfig   folder.File
	mutex        sync.Mutex
	agents       map[lovageshift.TargetID]*AgentProcess
	entries      []*EntryProcess
	closers      []func()
}

// AgentProcess is one running agent with its metrics.
type AgentProcess struct {
	*agent.Agent
	Metrics *metrics.Metrics
	process
}

// EntryProcess is one running entry with its metrics and an HTTP client that calls it.
type EntryProcess struct {
	*entry.Entry
	Metrics *metrics.Metrics
	Client  *http.Client
	URL     string
	process
}

type process struct {
	stop  context.CancelFunc
	tasks *errgroup.Group
}

// Start starts all processes of the fleet and waits until every entry is ready. It panics on errors.
func Start(spec Spec) *Fleet {
	discardLogs()
	f := &Fleet{
		Spec: spec, Network: NewNetwork(), ConfigService: standin.NewConfigService(),
		Engines:    map[lovageshift.TargetID]*standin.Engine{},
		Services:   map[lovageshift.TargetID]*standin.Service{},
		agents:     map[lovageshift.TargetID]*AgentProcess{},
		baseConfig: spec.configFile(),
	}
	f.ConfigService.Publish(f.baseConfig)
	f.startHost("platform", configServiceAddress, f.ConfigService.Handler())
	for i, e := range spec.Engines {
		standIn := standin.NewEngine(string(e.ID), e.Profile)
		standIn.AttachHost(f.startHost(engineHost(e.ID), spec.address("engine", i), standIn.Handler()), engineRestartDelay)
		f.Engines[e.ID] = standIn
	}
	for i, service := range spec.Services {
		standIn := standin.NewService()
		f.startHost(engineHost(service.ID), spec.address("engine", len(spec.Engines)+i), standIn)
		f.Services[service.ID] = standIn
	}
	for _, id := range f.Targets() {
		f.StartAgent(id)
	}
	for number := range spec.Entries {
		f.entries = append(f.entries, f.StartEntry(number))
	}
	f.waitReady()
	return f
}

// discardLogs keeps the processes' logs out of the output of tests and measurements.
func discardLogs() {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	for _, name := range []string{"logtostderr", "alsologtostderr"} {
		_ = flags.Set(name, "false")
	}
	_ = flags.Set("stderrthreshold", "FATAL")
	klog.SetOutput(io.Discard)
}

func engineHost(id lovageshift.TargetID) string { return "engine/" + string(id) }

func (f *Fleet) startHost(name, address string, handler http.Handler) *standin.Host {
	host := standin.NewHost(f.Network.Host(name), address, handler)
	if err := host.Start(); err != nil {
		panic(err)
	}
	f.standInHosts = append(f.standInHosts, host)
	return host
}

// Targets returns the IDs of all targets, engines first.
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

// Publish adds or replaces a configuration file next to the fleet's own and returns the new revision.
func (f *Fleet) Publish(name, text string) lovageshift.Revision {
	return f.ConfigService.Publish(f.baseConfig, folder.NewFile(name, []byte(text)))
}

func (f *Fleet) configReader(host string) *folderservice.Reader {
	reader := folderservice.NewReader(configServiceAddress, f.Network.Host(host).DialContext)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closers = append(f.closers, reader.Close)
	return reader
}

func (f *Fleet) newRandom(name string) *rand.Rand {
	var sum uint64
	for _, b := range []byte(name) {
		sum = sum*31 + uint64(b)
	}
	return rand.New(rand.NewPCG(f.Spec.Seed, sum))
}

// StartAgent starts a new incarnation of a target's agent.
func (f *Fleet) StartAgent(id lovageshift.TargetID) *AgentProcess {
	registry, err := metrics.New()
	if err != nil {
		panic(err)
	}
	name := string(id)
	host := f.Network.Host(name)
	a := agent.New(agent.Options{
		Target: id, Clock: lovageshift.NewClock(), Network: host, Source: f.configReader(name),
		Metrics: registry, Random: f.newRandom(name), Connect: f.engineConnector(host), PassThrough: f.Spec.PassThrough,
	})
	listener, err := host.Listen(f.agentAddress(id))
	if err != nil {
		panic(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	proc := &AgentProcess{a, registry, process{stop, &errgroup.Group{}}}
	proc.tasks.Go(func() error { return a.Run(ctx, listener) })
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.agents[id] = proc
	return proc
}

func (f *Fleet) engineConnector(host *Host) func(string) agent.Engine {
	return func(address string) agent.Engine {
		client := engine.NewClient(address, host.DialContext)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.closers = append(f.closers, client.Close)
		return client
	}
}

func (f *Fleet) agentAddress(id lovageshift.TargetID) string {
	for i, target := range f.Targets() {
		if target == id {
			return f.Spec.address("agent", i)
		}
	}
	panic("fleet has no target " + id)
}

// Agent returns the current agent of a target.
func (f *Fleet) Agent(id lovageshift.TargetID) *AgentProcess {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.agents[id]
}

// KillAgent stops an agent without draining and closes all its connections.
func (f *Fleet) KillAgent(id lovageshift.TargetID) {
	proc := f.Agent(id)
	proc.stop()
	f.Network.CloseAll(string(id))
	_ = proc.tasks.Wait()
}

// StopAgent drains an agent and stops it.
func (f *Fleet) StopAgent(id lovageshift.TargetID) {
	proc := f.Agent(id)
	_ = proc.Drain(context.Background())
	f.KillAgent(id)
}

// StartEntry starts a new incarnation of the entry with the given number, from 0.
func (f *Fleet) StartEntry(number int) *EntryProcess {
	registry, err := metrics.New()
	if err != nil {
		panic(err)
	}
	name := entryName(number)
	host := f.Network.Host(name)
	options := entry.Options{
		ID: lovageshift.EntryID(name), Clock: lovageshift.NewClock(), Network: host, Source: f.configReader(name),
		Metrics: registry, Random: f.newRandom(name),
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
	proc := &EntryProcess{e, registry, &http.Client{Transport: transport}, "http://" + address, process{stop, &errgroup.Group{}}}
	proc.tasks.Go(func() error { return e.Run(ctx, listener) })
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closers = append(f.closers, transport.CloseIdleConnections)
	if number < len(f.entries) {
		f.entries[number] = proc
	}
	return proc
}

func entryName(number int) string { return fmt.Sprintf("entry-%d", number+1) }

// Entry returns the current entry with the given number, from 0.
func (f *Fleet) Entry(number int) *EntryProcess {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.entries[number]
}

// KillEntry stops an entry without draining and closes all its connections.
func (f *Fleet) KillEntry(number int) {
	proc := f.Entry(number)
	f.Network.CloseAll(entryName(number))
	proc.stop()
	f.Network.CloseAll(entryName(number))
	proc.Client.CloseIdleConnections()
	_ = proc.tasks.Wait()
}

// StopEntry drains an entry and stops it.
func (f *Fleet) StopEntry(number int) {
	proc := f.Entry(number)
	proc.stop()
	_ = proc.tasks.Wait()
}

// waitReady waits until every entry is connected to the agents of its subset. It then waits until the issuers' takeover
// delay is over, before which they grant no leases, and until the buckets are full.
func (f *Fleet) waitReady() {
	for _, proc := range f.entries {
		for !proc.Ready() || !f.connectedToSubset(proc) {
			time.Sleep(readyPollInterval)
		}
	}
	limits := lovageshift.DefaultLimits()
	time.Sleep((limits.ConfirmMillis + limits.LeaseMillis + limits.TransitMillis).Duration() + bucketRefillTime)
}

func (f *Fleet) connectedToSubset(proc *EntryProcess) bool {
	targets := proc.Status().Targets
	count := 0
	for _, target := range targets {
		if target.TakesWork {
			count++
		}
	}
	return count == min(len(targets), len(f.Targets()))
}

// Stop kills all processes and waits until their goroutines have ended.
func (f *Fleet) Stop() {
	for number := range f.entries {
		f.KillEntry(number)
	}
	for _, id := range f.Targets() {
		f.KillAgent(id)
	}
	for _, host := range f.standInHosts {
		host.Close(context.Background())
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, closer := range f.closers {
		closer()
	}
	// Goroutines that still wait for a timer end when it fires.
	time.Sleep(timerDrainTime)
}
