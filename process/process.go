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
	"lovageshift/metrics"
	"lovageshift/peer"
	"lovageshift/settings"
)

const operatorsHeaderTimeout = 5 * time.Second

// RunEntry runs an entry until the context ends and its last answer is out.
func RunEntry(ctx context.Context, from settings.Entry) error {
	network, err := networkOf(from.Security)
	if err != nil {
		return err
	}
	counts, err := metrics.New()
	if err != nil {
		return err
	}
	e := entry.New(entry.Options{
		ID: from.ID, Clock: lovageshift.NewClock(), Network: network, Source: sourceOf(from.Source),
		Metrics: counts, Random: newRandom(), Seeds: from.Source.Peers,
		MaxConnections: from.MaxConnections, DrainDelay: from.DrainDelayMillis.Duration(),
	})
	if err := e.RegisterGauges(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", from.Listen)
	if err != nil {
		return trace.Wrap(err, "listen for callers")
	}
	klog.Infof("entry %s: serving callers on %s, operators on %s", from.ID, from.Listen, from.Operators)
	return withOperators(ctx, from.Operators, e.Operators(), func() error { return e.Run(ctx, listener) })
}

// RunAgent runs an agent until the context ends and its last request is done.
func RunAgent(ctx context.Context, from settings.Agent) error {
	network, err := networkOf(from.Security)
	if err != nil {
		return err
	}
	counts, err := metrics.New()
	if err != nil {
		return err
	}
	a := agent.New(agent.Options{
		Target: from.Target, Clock: lovageshift.NewClock(), Network: network, Source: sourceOf(from.Source),
		Metrics: counts, Random: newRandom(), Seeds: from.Source.Peers, Connect: NewEngineClient,
	})
	if err := a.RegisterGauges(); err != nil {
		return err
	}
	listener, err := network.Listen(from.Listen)
	if err != nil {
		return trace.Wrap(err, "listen for processes")
	}
	klog.Infof("agent %s: serving processes on %s, operators on %s", from.Target, from.Listen, from.Operators)
	return withOperators(ctx, from.Operators, a.Operators(), func() error {
		return runAgent(ctx, a, listener, from.StopTimeoutMillis.Duration())
	})
}

// runAgent keeps the agent running while it drains.
func runAgent(ctx context.Context, a *agent.Agent, listener net.Listener, timeout time.Duration) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var tasks errgroup.Group
	tasks.Go(func() error { return a.Run(background, listener) })
	tasks.Go(func() error {
		<-ctx.Done()
		defer stop()
		limited, cancel := context.WithTimeout(background, timeout)
		defer cancel()
		return a.Drain(limited)
	})
	return tasks.Wait()
}

// NewEngineClient returns the HTTP client of the engine at the address.
func NewEngineClient(address string) agent.Engine { return engine.NewClient(address, nil) }

func networkOf(security settings.Security) (link.Network, error) {
	if security.Plaintext {
		return link.NewNetwork(link.Plaintext()), nil
	}
	identity, err := link.LoadIdentity(security.Certificate, security.Key, security.Authority)
	if err != nil {
		return nil, err
	}
	return link.NewNetwork(identity), nil
}

func sourceOf(source settings.Source) peer.Source {
	if source.Folder != "" {
		return folder.NewDirectory(source.Folder)
	}
	return folderservice.NewReader(source.Service, nil)
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// withOperators serves operators for as long as the process runs.
func withOperators(ctx context.Context, address string, handler http.Handler, run func() error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err, "listen for operators")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: operatorsHeaderTimeout}
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
