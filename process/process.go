package process

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"lovageshift"
	"lovageshift/agent"
	"lovageshift/engine"
	"lovageshift/entry"
	"lovageshift/folder"
	"lovageshift/folderservice"
	"lovageshift/link"
	"lovageshift/memory"
	"lovageshift/metrics"
	"lovageshift/peer"
	"lovageshift/settings"
)

// operatorHeaderTimeout is how long operators and the load balancer's readiness check may take to send a request header.
const operatorHeaderTimeout = 5 * time.Second

// RunEntry runs an entry that sends requests through agents. After the context has ended it sends all outstanding
// responses, however long they take, and returns. It returns earlier with an error if the entry can't start.
func RunEntry(ctx context.Context, s settings.Entry) error {
	network, err := newNetwork(s.Security)
	if err != nil {
		return err
	}
	m, err := metrics.New()
	if err != nil {
		return err
	}
	vm := memory.VM{Memory: memory.Bytes(s.MemoryMegabytes) * memory.Megabyte, Descriptors: s.FileDescriptors}
	limits := limitsOf(vm, 1, func(unknown []string) {
		klog.Warningf("entry %s: no limit by %v, as the machine does not tell it", s.ID, unknown)
	})
	if limits.Connections > 0 {
		s.MaxConnections = min(s.MaxConnections, limits.Connections)
	}
	e := entry.New(entry.Options{
		ID: s.ID, Clock: lovageshift.NewClock(), Network: network, Source: newSource(s.Source),
		Metrics: m, Random: newRandom(), Seeds: s.Source.Peers,
		MaxConnections: s.MaxConnections, DrainDelay: s.DrainDelayMillis.Duration(), Budget: limits.Apply(),
	})
	if err := e.RegisterGauges(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return trace.Wrap(err, "listen for callers")
	}
	klog.Infof("entry %s: serving callers on %s, operators on %s; at most %d connections, %d bytes of bodies (0: any)",
		s.ID, s.Listen, s.Operators, s.MaxConnections, limits.Bodies)
	return runWithOperatorServer(ctx, s.Operators, e.OperatorHandler(), func() error { return e.Run(ctx, listener) })
}

// RunAgent runs an agent. After the context has ended it drains the agent and returns, with an error if the stop timeout
// of the settings passes before the agent is drained.
func RunAgent(ctx context.Context, s settings.Agent) error {
	network, err := newNetwork(s.Security)
	if err != nil {
		return err
	}
	m, err := metrics.New()
	if err != nil {
		return err
	}
	a := agent.New(agent.Options{
		Target: s.Target, Clock: lovageshift.NewClock(), Network: network, Source: newSource(s.Source),
		Metrics: m, Random: newRandom(), Seeds: s.Source.Peers, NewClient: NewEngineClient,
	})
	if err := a.RegisterGauges(); err != nil {
		return err
	}
	listener, err := network.Listen(s.Listen)
	if err != nil {
		return trace.Wrap(err, "listen for entries and agents")
	}
	klog.Infof("agent %s: serving entries and agents on %s, operators on %s", s.Target, s.Listen, s.Operators)
	return runWithOperatorServer(ctx, s.Operators, a.OperatorHandler(), func() error {
		return runUntilDrained(ctx, a, listener, s.StopTimeoutMillis.Duration())
	})
}

// runUntilDrained runs the agent until the context ends, and then drains it: it waits until no request runs any longer.
// If the draining takes longer than the timeout, it returns an error.
func runUntilDrained(ctx context.Context, a *agent.Agent, listener net.Listener, timeout time.Duration) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var tasks errgroup.Group
	tasks.Go(func() error { return a.Run(background, listener) })
	tasks.Go(func() error {
		<-ctx.Done()
		defer stop()
		drainCtx, cancel := context.WithTimeout(background, timeout)
		defer cancel()
		return a.Drain(drainCtx)
	})
	return tasks.Wait()
}

// NewEngineClient returns an HTTP client of the engine at the IP:port address.
func NewEngineClient(address string) agent.TargetClient { return engine.NewClient(address, nil) }

func newNetwork(security settings.Security) (link.Network, error) {
	if security.Plaintext {
		return link.NewNetwork(link.Plaintext()), nil
	}
	identity, err := link.LoadIdentity(security.Certificate, security.Key, security.Authority)
	if err != nil {
		return nil, err
	}
	return link.NewNetwork(identity), nil
}

func newSource(source settings.Source) peer.Source {
	if source.Folder != "" {
		return folder.NewDirectory(source.Folder)
	}
	return folderservice.NewReader(source.Service, nil)
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// runWithOperatorServer serves the handler for operators at the IP:port address until run returns, and returns the first
// error of the two.
func runWithOperatorServer(ctx context.Context, address string, handler http.Handler, run func() error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err, "listen for operators")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: operatorHeaderTimeout}
	tasks, _ := errgroup.WithContext(ctx)
	tasks.Go(func() error {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	tasks.Go(func() error {
		defer func() { _ = server.Close() }()
		return run()
	})
	return tasks.Wait()
}
