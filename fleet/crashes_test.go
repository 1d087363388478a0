package fleet_test

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/agent"
	"lovageshift/engine"
	"lovageshift/fleet"
	"lovageshift/folder"
	"lovageshift/link"
	"lovageshift/metrics"
	"lovageshift/wire"
)

const (
	poisonFingerprint   = 1
	ordinaryFingerprint = 2
)

// heldTarget is a target that answers neither requests nor reads of its load report until the test says how.
type heldTarget struct {
	mutex     sync.Mutex
	requests  map[string]chan error // by body
	reportErr chan error            // nil while reports are served
}

func (h *heldTarget) request(body string) chan error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.requests[body] == nil {
		h.requests[body] = make(chan error, 1)
	}
	return h.requests[body]
}

// holdReports makes reads of the load report wait for the error that the test sends.
func (h *heldTarget) holdReports() chan error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.reportErr = make(chan error)
	return h.reportErr
}

func (h *heldTarget) Open(ctx context.Context, request engine.Request) (*engine.Response, error) {
	select {
	case err := <-h.request(string(request.Body)):
		return nil, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (h *heldTarget) FetchLoad(ctx context.Context) (engine.LoadReport, error) {
	h.mutex.Lock()
	held := h.reportErr
	h.mutex.Unlock()
	if held == nil {
		return engine.LoadReport{Incarnation: "1"}, nil
	}
	select {
	case <-held:
		return engine.LoadReport{}, io.ErrUnexpectedEOF
	case <-ctx.Done():
		return engine.LoadReport{}, ctx.Err()
	}
}

func (h *heldTarget) Resume(context.Context, string, int) (*engine.Response, error) {
	return nil, engine.ErrNoResume
}

func (h *heldTarget) FetchCacheEvents(context.Context, uint64) (engine.CacheEvents, error) {
	return engine.CacheEvents{}, nil
}

func (h *heldTarget) SendOrder(context.Context, engine.Order) error { return nil }

// fixedSource publishes one configuration.
type fixedSource struct{ files []folder.File }

func (s fixedSource) Watch(ctx context.Context, after lovageshift.Revision, _ folder.Digest, wait time.Duration) (*folder.Set, error) {
	if after == 0 {
		return &folder.Set{Revision: 1, Files: s.files}, nil
	}
	lovageshift.Pause(ctx, wait)
	return nil, ctx.Err()
}

const heldTargetConfig = `
[tiers.urgent]
rank = 1
[routes.public]
prefix = "/public/"
repeatable = true
open = true
[zones.a]
[targets.e1]
kind = "service"
route = "public"
zone = "a"
address = "127.0.0.1:1000"
agent = "127.0.0.1:2000"
coldLimit = 8
maxRunning = 8
maxWaiting = 8
`

// heldAgent is an agent beside a heldTarget.
type heldAgent struct {
	*agent.Agent
	target     *heldTarget
	send       func(body string, fingerprint uint64)
	dispatches errgroup.Group
}

// withHeldAgent runs an agent beside a target that the test controls, and then waits for the end of what was sent.
func withHeldAgent(t *testing.T, test func(t *testing.T, a *heldAgent)) {
	synctest.Test(t, func(t *testing.T) {
		network := fleet.NewNetwork()
		registry, err := metrics.New()
		if err != nil {
			t.Fatal(err)
		}
		target := &heldTarget{requests: map[string]chan error{}}
		a := &heldAgent{target: target, Agent: agent.New(agent.Options{
			Target: "e1", Clock: lovageshift.NewClock(), Network: network.Host("e1"), Metrics: registry,
			Source: fixedSource{[]folder.File{folder.NewFile("10.toml", []byte(heldTargetConfig))}},
			Random: rand.New(rand.NewPCG(1, 1)), NewClient: func(string) agent.TargetClient { return target },
		})}
		listener, err := network.Host("e1").Listen("127.0.0.1:2000")
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		var running errgroup.Group
		running.Go(func() error { return a.Run(ctx, listener) })
		pool := link.NewPool(network.Host("entry"))
		sequence := uint64(0)
		a.send = func(body string, fingerprint uint64) {
			sequence++
			start := &wire.Start{
				Entry: "entry", Incarnation: 1, Sequence: sequence, SentAt: time.Now().UnixMilli(), Target: "e1",
				TargetIncarnation: int64(a.Node().Incarnation), Rank: 1, Method: "GET", Path: "/public/" + body, Route: "public",
				Repeatable: true, Body: []byte(body), Fingerprint: fingerprint, FirstTokenBudget: 1000, TotalBudget: 5000,
			}
			a.dispatches.Go(func() error {
				dispatchDirectly(t, pool, start)
				return nil
			})
			synctest.Wait()
		}
		time.Sleep(3 * time.Second) // the configuration is in force
		test(t, a)
		_ = a.dispatches.Wait()
		pool.Close()
		stop()
		_ = running.Wait()
	})
}

// fail makes a request that the target holds end with the error.
func (a *heldAgent) fail(body string, err error) {
	a.target.request(body) <- err
	synctest.Wait()
}

// crashes returns the number of crashes that the agent counts for a request.
func (a *heldAgent) crashes(fingerprint uint64) int {
	for _, suspect := range a.Node().ForemostSuspects() {
		if suspect.Fingerprint == fingerprint {
			return int(suspect.Crashes)
		}
	}
	return 0
}

func TestCrashCountsRequestSentAfterCheckBegan(t *testing.T) {
	withHeldAgent(t, func(t *testing.T, a *heldAgent) {
		a.send("ordinary", ordinaryFingerprint)
		reports := a.target.holdReports()
		a.fail("ordinary", io.ErrUnexpectedEOF)
		a.send("poison", poisonFingerprint)
		close(reports)
		synctest.Wait()
		a.fail("poison", io.ErrUnexpectedEOF)
		if poison, ordinary := a.crashes(poisonFingerprint), a.crashes(ordinaryFingerprint); poison != 1 || ordinary != 1 {
			t.Errorf("%d crashes of the poison request and %d of the other one, 1 and 1 wanted", poison, ordinary)
		}
	})
}

func TestCrashCountsAfterRefusedConnection(t *testing.T) {
	withHeldAgent(t, func(t *testing.T, a *heldAgent) {
		a.send("poison", poisonFingerprint)
		a.send("ordinary", ordinaryFingerprint)
		a.target.holdReports()
		a.fail("ordinary", engine.ErrNotSent)
		a.fail("poison", io.ErrUnexpectedEOF)
		if poison, ordinary := a.crashes(poisonFingerprint), a.crashes(ordinaryFingerprint); poison != 1 || ordinary != 0 {
			t.Errorf("%d crashes of the poison request and %d of the other one, 1 and 0 wanted", poison, ordinary)
		}
	})
}

func TestCrashCountsWhenConnectionIsRefusedDuringCheck(t *testing.T) {
	withHeldAgent(t, func(t *testing.T, a *heldAgent) {
		a.send("poison", poisonFingerprint)
		a.send("ordinary", ordinaryFingerprint)
		reports := a.target.holdReports()
		a.fail("poison", io.ErrUnexpectedEOF)
		a.fail("ordinary", engine.ErrNotSent)
		close(reports)
		synctest.Wait()
		if poison, ordinary := a.crashes(poisonFingerprint), a.crashes(ordinaryFingerprint); poison != 1 || ordinary != 0 {
			t.Errorf("%d crashes of the poison request and %d of the other one, 1 and 0 wanted", poison, ordinary)
		}
	})
}

func TestCrashCountsEachRequestOnce(t *testing.T) {
	withHeldAgent(t, func(t *testing.T, a *heldAgent) {
		a.send("poison", poisonFingerprint)
		a.send("ordinary", ordinaryFingerprint)
		reports := a.target.holdReports()
		a.fail("poison", io.ErrUnexpectedEOF)
		a.fail("ordinary", io.ErrUnexpectedEOF)
		close(reports)
		synctest.Wait()
		if poison, ordinary := a.crashes(poisonFingerprint), a.crashes(ordinaryFingerprint); poison != 1 || ordinary != 1 {
			t.Errorf("%d crashes of the poison request and %d of the other one, 1 and 1 wanted", poison, ordinary)
		}
	})
}
