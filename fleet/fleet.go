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
	engineRestartDelay   = 2 * time.Second // from a crash of a stand-in engine until it serves again
	readyPollInterval    = 10 * time.Millisecond
	timerDrainTime       = 10 * time.Second // for goroutines that still wait for a timer when the fleet stops
	bucketRefillTime     = 15 * time.Second // fills the buckets of accounts whose burst is at most 15 s of their rate
)

// Fleet is a running system of entries, agents and stand-in back ends. The host names in its network are "platform" for
// the configuration service, the target's ID for an agent, "engine/" and the target's ID for a back end (engine or
// service), "entry-1" and so on for the entries, and "caller" for the entries' clients.
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

// EntryProcess is one running entry with its metrics, its URL and an HTTP client for calls to it.
type EntryProcess struct {
	*entry.Entry
	Metrics *metrics.Metrics
	Client  *http.Client
	URL     string
	process
}

// process is a running entry or agent.
type process struct {
	stop  context.CancelFunc // ends Run: an agent stops at once, an entry drains first
	tasks *errgroup.Group    // waits for Run to return
}

// Start starts all processes of the fleet and waits until every entry is ready and the accounts' buckets have had
// 15 s to fill. It panics on errors.
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
		engineStandIn := standin.NewEngine(string(e.ID), e.Profile)
		engineStandIn.AttachHost(f.startHost(engineHost(e.ID), spec.address("engine", i), engineStandIn.Handler()), engineRestartDelay)
		f.Engines[e.ID] = engineStandIn
	}
	for i, service := range spec.Services {
		serviceStandIn := standin.NewService()
		f.startHost(engineHost(service.ID), spec.address("engine", len(spec.Engines)+i), serviceStandIn)
		f.Services[service.ID] = serviceStandIn
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

// engineHost returns the host name of a target's engine or service.
func engineHost(id lovageshift.TargetID) string { return "engine/" + string(id) }

// startHost starts to serve a stand-in's handler at an address, from the host with the given name.
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

// Publish publishes a new revision with the fleet's own configuration file and one more, and returns its number. The
// additional file of an earlier Publish is gone, whatever its name.
func (f *Fleet) Publish(name, text string) lovageshift.Revision {
	return f.ConfigService.Publish(f.baseConfig, folder.NewFile(name, []byte(text)))
}

// configReader returns a client of the configuration service for the process on the given host.
func (f *Fleet) configReader(host string) *folderservice.Reader {
	reader := folderservice.NewReader(configServiceAddress, f.Network.Host(host).DialContext)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.closers = append(f.closers, reader.Close)
	return reader
}

// newRandom returns a random generator with a seed from the fleet's seed and the process's name.
func (f *Fleet) newRandom(name string) *rand.Rand {
	var sum uint64
	for _, b := range []byte(name) {
		sum = sum*31 + uint64(b)
	}
	return rand.New(rand.NewPCG(f.Spec.Seed, sum))
}

// StartAgent starts a new incarnation of a target's agent. An earlier one must have been stopped.
func (f *Fleet) StartAgent(id lovageshift.TargetID) *AgentProcess {
	registry, err := metrics.New()
	if err != nil {
		panic(err)
	}
	name := string(id)
	host := f.Network.Host(name)
	a := agent.New(agent.Options{
		Target: id, Clock: lovageshift.NewClock(), Network: host, Source: f.configReader(name),
		Metrics: registry, Random: f.newRandom(name), NewClient: f.engineConnector(host), PassThrough: f.Spec.PassThrough,
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

// engineConnector returns the function that an agent on the host uses to create the client of its engine.
func (f *Fleet) engineConnector(host *Host) func(string) agent.TargetClient {
	return func(address string) agent.TargetClient {
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

// Agent returns the newest incarnation of a target's agent, also after it was stopped.
func (f *Fleet) Agent(id lovageshift.TargetID) *AgentProcess {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.agents[id]
}

// KillAgent closes all connections of an agent, so that it can answer nothing more, and stops it.
func (f *Fleet) KillAgent(id lovageshift.TargetID) {
	proc := f.Agent(id)
	f.Network.CloseAll(string(id))
	proc.stop()
	// Closes the connections that were opened after the first call.
	f.Network.CloseAll(string(id))
	_ = proc.tasks.Wait()
}

// StopAgent drains an agent and then stops it. It does not return while a request runs.
func (f *Fleet) StopAgent(id lovageshift.TargetID) {
	proc := f.Agent(id)
	_ = proc.Drain(context.Background())
	proc.stop()
	_ = proc.tasks.Wait()
	f.Network.CloseAll(string(id))
}

// StartEntry starts a new incarnation of the entry with the given number, from 0. An earlier one must have been
// stopped.
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

// Entry returns the newest incarnation of the entry with the given number, from 0, also after it was stopped.
func (f *Fleet) Entry(number int) *EntryProcess {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.entries[number]
}

// KillEntry closes all connections of an entry, so that it has no response to finish, and stops it.
func (f *Fleet) KillEntry(number int) {
	proc := f.Entry(number)
	f.Network.CloseAll(entryName(number))
	proc.stop()
	// Closes the connections that were opened after the first call.
	f.Network.CloseAll(entryName(number))
	proc.Client.CloseIdleConnections()
	_ = proc.tasks.Wait()
}

// StopEntry stops an entry, which first finishes its responses.
func (f *Fleet) StopEntry(number int) {
	proc := f.Entry(number)
	proc.stop()
	_ = proc.tasks.Wait()
}

// waitReady waits until every entry is ready and connected to the agents of its subset of targets. It then waits for
// the takeover delay, during which the agents as new issuers grant no leases, and for the buckets to fill.
func (f *Fleet) waitReady() {
	for _, proc := range f.entries {
		for !proc.Ready() || !f.connectedToSubset(proc) {
			time.Sleep(readyPollInterval)
		}
	}
	limits := lovageshift.DefaultLimits()
	time.Sleep((limits.ConfirmMillis + limits.LeaseMillis + limits.TransitMillis).Duration() + bucketRefillTime)
}

// connectedToSubset reports whether every agent in the entry's subset accepts work from it.
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

// Stop kills all entries and agents, stops the stand-ins and waits until their goroutines have ended.
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
	// Goroutines that still wait for a timer end when the timer fires.
	time.Sleep(timerDrainTime)
}
