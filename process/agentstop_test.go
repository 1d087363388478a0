package process_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcconn"

	"lovageshift"
	"lovageshift/link"
	"lovageshift/process"
	"lovageshift/settings"
	"lovageshift/standin"
	"lovageshift/wire"
)

// cutConn holds back what is written after the first bytes until a moment.
type cutConn struct {
	net.Conn
	cut    int
	goesOn time.Time
}

func (c *cutConn) Write(part []byte) (int, error) {
	first := min(c.cut, len(part))
	c.cut -= first
	count, err := c.Conn.Write(part[:first])
	if err != nil || first == len(part) {
		return count, err
	}
	sleepUntil(c.goesOn)
	rest, err := c.Conn.Write(part[first:])
	return count + rest, err
}

// dispatchState is what has passed on an entry's connection to an agent before the moment at which the entry goes on.
type dispatchState struct {
	name     string
	answered bool
	sent     int // bytes of a further dispatch
}

var dispatchStates = []dispatchState{
	{"opened", false, 0},
	{"half a call", false, 20},
	{"half a start", false, 5000},
	{"answered", true, 0},
	{"answered and half a call", true, 20},
	{"answered and half a start", true, 5000},
}

// dispatchEnd dispatches on the connection and returns the end of the dispatch.
func dispatchEnd(connection *drpcconn.Conn, start *wire.Start) (*wire.End, error) {
	stream, err := wire.NewDRPCAgentClient(connection).Dispatch(context.Background())
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	if err := stream.Send(&wire.DispatchMessage{Body: &wire.DispatchMessage_Start{Start: start}}); err != nil {
		return nil, err
	}
	for {
		event, err := stream.Recv()
		if err != nil || event.GetEnd() != nil {
			return event.GetEnd(), err
		}
	}
}

// problem returns what an entry must not see: that a dispatch of which a part was sent before the connection ended gets no end, or one
// that does not say that it was not run.
func (s dispatchState) problem(address string, opens, goesOn time.Time) string {
	sleepUntil(opens)
	transport, err := net.Dial("tcp", address)
	if err != nil {
		return "" // not accepted
	}
	cut := &cutConn{transport, 1 << 30, goesOn}
	connection := drpcconn.New(cut)
	defer func() { _ = connection.Close() }()
	start := &wire.Start{Target: "t", Entry: "entry-1", Body: make([]byte, 10_000)}
	if s.answered {
		if _, err := dispatchEnd(connection, start); err != nil {
			return "no first answer: " + err.Error()
		}
		time.Sleep(20 * time.Millisecond) // until the end of the first dispatch was sent
	}
	if s.sent == 0 {
		sleepUntil(goesOn)
		select {
		case <-connection.Closed():
			return ""
		default:
		}
	}
	cut.cut = s.sent
	end, err := dispatchEnd(connection, start)
	switch {
	case err != nil:
		return "no answer: " + err.Error()
	case lovageshift.Outcome(end.Outcome) != lovageshift.OutcomeNotRun:
		return fmt.Sprint("another answer: ", end)
	}
	return ""
}

// agentSettings returns the settings of an agent of the service t.
func agentSettings(t *testing.T) settings.Agent {
	vm, _ := newVM(t, "")
	folder := t.TempDir()
	content := fmt.Sprintf(serveFolder, vm.Host, crowdBodyLimit)
	So(os.WriteFile(filepath.Join(folder, "fleet.toml"), []byte(content), 0o600), ShouldBeNil)
	s := settings.DefaultAgent()
	s.Target, s.Listen, s.Operators = "t", vm.Host+":9002", vm.Host+":9003"
	s.Security.Plaintext, s.Source.Folder = true, folder
	return s
}

// Guards against dispatches whose outcome is unknown to entries because the agent stopped while they arrived.
func TestDispatchesThatArriveDuringAStopOfAnAgentAreRefused(t *testing.T) {
	Convey("Connections in each state at each moment of an agent's stop", t, func() {
		s := agentSettings(t)
		ctx, stop := context.WithCancel(context.Background())
		var tasks errgroup.Group
		tasks.Go(func() error { return process.RunAgent(ctx, s) })
		waitForStatus("http://"+s.Operators+"/status", http.StatusOK)

		var entries sync.WaitGroup
		var mutex sync.Mutex
		var problems []string
		stopped := time.Now().Add(300 * time.Millisecond)
		for _, state := range dispatchStates {
			for _, goesOn := range []time.Duration{-2, 0, 1, 5, 20, 100, 300} {
				goesOn := stopped.Add(goesOn * time.Millisecond)
				for _, opens := range []time.Time{stopped.Add(-200 * time.Millisecond), goesOn.Add(-100 * time.Millisecond)} {
					entries.Go(func() {
						if problem := state.problem(s.Listen, opens, goesOn); problem != "" {
							mutex.Lock()
							defer mutex.Unlock()
							problems = append(problems, fmt.Sprintf("%s, %v: %s", state.name, goesOn.Sub(stopped), problem))
						}
					})
				}
			}
		}
		sleepUntil(stopped)
		stop()
		entries.Wait()
		slices.Sort(problems)
		So(problems, ShouldBeEmpty)
		So(tasks.Wait(), ShouldBeNil)
	})
}

// Guards against an agent that cuts a running dispatch at the end of its stop timeout and does not say so.
func TestDispatchesThatRunAtTheEndOfAnAgentsStopGetTheirEnd(t *testing.T) {
	Convey("A dispatch that takes longer than the stop timeout", t, func() {
		s := agentSettings(t)
		s.StopTimeoutMillis = 100
		service := standin.NewService()
		service.SetDelay(5 * time.Second)
		host := standin.NewHost(link.NewNetwork(link.Plaintext()), strings.Replace(s.Listen, "9002", "9001", 1), service)
		So(host.Start(), ShouldBeNil)
		defer host.Close(context.Background())
		ctx, stop := context.WithCancel(context.Background())
		var tasks, entries errgroup.Group
		tasks.Go(func() error { return process.RunAgent(ctx, s) })
		for status := ""; !strings.Contains(status, `"inService":true`); time.Sleep(10 * time.Millisecond) {
			status = strings.ReplaceAll(waitForStatus("http://"+s.Operators+"/status", http.StatusOK), " ", "")
		}
		transport, err := net.Dial("tcp", s.Listen)
		So(err, ShouldBeNil)
		connection := drpcconn.New(transport)
		defer func() { _ = connection.Close() }()
		lease, err := wire.NewDRPCAgentClient(connection).Lease(context.Background(), &wire.LeaseRequest{Entry: "entry-1"})
		So(err, ShouldBeNil)
		var end *wire.End
		entries.Go(func() error {
			end, err = dispatchEnd(connection, &wire.Start{
				Target: "t", TargetIncarnation: lease.KeeperIncarnation, Entry: "entry-1", Sequence: 1,
				Route: "read", Repeatable: true, Method: http.MethodPost, Path: "/read/x", FirstTokenBudget: 10_000, TotalBudget: 10_000,
			})
			return err
		})
		time.Sleep(300 * time.Millisecond)
		stop()
		So(entries.Wait(), ShouldBeNil)
		So(end.Reason, ShouldEqual, string(lovageshift.ReasonConnectionLost))
		So(lovageshift.Outcome(end.Outcome), ShouldEqual, lovageshift.OutcomeUnknown)
		So(tasks.Wait(), ShouldEqual, context.DeadlineExceeded)
	})
}
