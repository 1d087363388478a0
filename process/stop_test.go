package process_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
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

	"lovageshift/connection"
	"lovageshift/process"
	"lovageshift/settings"
	"lovageshift/standin"
)

// connectionState is what has passed on a caller's connection before the moment at which the caller goes on.
type connectionState struct {
	name string
	// answered is set if a request has been answered on the connection.
	answered bool
	// sent is the share of a further request that has been sent, as a cut within it.
	sent func(request string) int
}

var connectionStates = []connectionState{
	{"opened", false, func(string) int { return 0 }},
	{"half a header", false, func(request string) int { return headerEnd(request) / 2 }},
	{"header without body", false, headerEnd},
	{"half a body", false, func(request string) int { return (headerEnd(request) + len(request)) / 2 }},
	{"answered", true, func(string) int { return 0 }},
	{"answered and half a header", true, func(request string) int { return headerEnd(request) / 2 }},
	{"answered and half a body", true, func(request string) int { return (headerEnd(request) + len(request)) / 2 }},
}

func headerEnd(request string) int { return strings.Index(request, "\r\n\r\n") + 4 }

// never is the moment of a caller that does not go on.
const never = time.Hour

// stoppingCaller is a caller whose connection comes into a state and that goes on at a moment, each after the stop began.
type stoppingCaller struct {
	connectionState
	opens, goesOn time.Duration
}

// problem sends the requests with the id, and returns what the caller must not see: that a request of which a part was sent before
// the connection ended gets no whole answer.
func (c stoppingCaller) problem(address, id string, request func(id string) string, stopped time.Time) string {
	sleepUntil(stopped.Add(c.opens))
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return "" // not accepted
	}
	defer func() { _ = connection.Close() }()
	answers := bufio.NewReader(connection)
	if c.answered {
		_, _ = io.WriteString(connection, request(id+"-first"))
		closes, problem := readAnswer(connection, answers)
		if closes || problem != "" {
			return problem
		}
	}
	next := request(id)
	cut := c.sent(next)
	_, _ = io.WriteString(connection, next[:cut])
	if c.goesOn != never {
		sleepUntil(stopped.Add(c.goesOn))
		if cut == 0 && ended(connection, answers) {
			return ""
		}
		_, _ = io.WriteString(connection, next[cut:])
	} else if cut == 0 {
		return ""
	}
	_, problem := readAnswer(connection, answers)
	return problem
}

func sleepUntil(moment time.Time) { time.Sleep(time.Until(moment)) }

// ended reports whether the other side has closed the connection.
func ended(caller net.Conn, answers *bufio.Reader) bool {
	_ = caller.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
	_, err := answers.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded) || connection.HasUnread(caller)
}

// readAnswer reads an answer. It reports whether the answer asks to close the connection, and what is wrong with it, "" for nothing.
func readAnswer(connection net.Conn, answers *bufio.Reader) (closes bool, problem string) {
	_ = connection.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(answers, nil)
	if err != nil {
		return true, "no answer: " + err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return true, "no whole answer: " + err.Error()
	}
	return response.Close, ""
}

// problemsOfAStop stops a process and returns the problems of callers in each state at each moment.
func problemsOfAStop(address string, request func(id string) string, stop func(), moments []time.Duration) []string {
	var group sync.WaitGroup
	var mutex sync.Mutex
	var problems []string
	stopped := time.Now().Add(300 * time.Millisecond)
	for _, state := range connectionStates {
		for _, goesOn := range moments {
			for _, opens := range []time.Duration{-200 * time.Millisecond, goesOn - 100*time.Millisecond} {
				if goesOn == never && opens > 0 {
					continue
				}
				c := stoppingCaller{state, opens, goesOn}
				group.Go(func() {
					id := strings.ReplaceAll(fmt.Sprintf("%s-%v-%v", c.name, opens, goesOn), " ", "-")
					if problem := c.problem(address, id, request, stopped); problem != "" {
						mutex.Lock()
						defer mutex.Unlock()
						problems = append(problems, id+": "+problem)
					}
				})
			}
		}
	}
	sleepUntil(stopped)
	stop()
	group.Wait()
	slices.Sort(problems)
	return problems
}

// bookRequest returns the request with the id.
func bookRequest(id string) string {
	return fmt.Sprintf("POST /book/%s HTTP/1.1\r\nHost: h\r\nLovageshift-Request-Id: %s\r\nContent-Length: 20\r\n\r\n%20s", id, id, "body")
}

// Guards against callers that get no answer although a stopping entry had received a part of their request.
func TestRequestsThatArriveDuringAStopGetAnAnswer(t *testing.T) {
	Convey("Connections in each state at each moment of a stop", t, func() {
		replica := &standin.Replica{ID: "t-1", Service: "app", Slots: 100}
		e := startPlatformEntry(t, replica)
		defer e.end()
		// The entry refuses from 333 ms on, stops accepting at 458 ms, and ends what is left from 700 ms on.
		moments := []time.Duration{150, 390, 440, 480, 520, 560, 600, 650}
		for i := range moments {
			moments[i] *= time.Millisecond
		}
		So(problemsOfAStop(e.vm.CallerAddress(), bookRequest, e.stop, append(moments, never)), ShouldBeEmpty)
	})
}

// Guards against a grace period so short that requests that still run or wait at its end are cut without an answer.
func TestRequestsAreAnsweredWithinAShortGracePeriod(t *testing.T) {
	Convey("Connections in each state", t, func() {
		e := startPlatformEntryWithGrace(t, &standin.Replica{ID: "t-1", Service: "app", Slots: 100}, 0.2)
		defer e.end()
		So(problemsOfAStop(e.vm.CallerAddress(), bookRequest, e.stop, []time.Duration{30 * time.Millisecond, never}), ShouldBeEmpty)
	})
}

// Guards against the same at an entry that reaches its targets through agents.
func TestRequestsThatArriveDuringAStopOfServeGetAnAnswer(t *testing.T) {
	Convey("Connections in each state at each moment of a stop", t, func() {
		vm, _ := newVM(t, "")
		folder := t.TempDir()
		content := fmt.Sprintf(serveFolder, vm.Host, crowdBodyLimit)
		So(os.WriteFile(filepath.Join(folder, "fleet.toml"), []byte(content), 0o600), ShouldBeNil)
		s := settings.DefaultEntry()
		s.ID, s.Listen, s.Operators, s.DrainDelayMillis = "entry-1", vm.Host+":9004", vm.Host+":9005", 300
		s.Security.Plaintext, s.Source.Folder = true, folder
		ctx, stop := context.WithCancel(context.Background())
		var tasks errgroup.Group
		tasks.Go(func() error { return process.RunEntry(ctx, s) })
		waitForStatus("http://"+s.Listen+"/healthz", http.StatusOK)
		request := func(id string) string {
			return fmt.Sprintf("POST /read/%s HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n%20s", id, "body")
		}
		// The entry refuses and accepts no more connections from 300 ms on.
		moments := []time.Duration{150, 290, 330, 380, 430, 500, 600}
		for i := range moments {
			moments[i] *= time.Millisecond
		}
		So(problemsOfAStop(s.Listen, request, stop, moments), ShouldBeEmpty)
		So(tasks.Wait(), ShouldBeNil)
	})
}

// Guards against callers that use a connection again although the entry has begun to stop before its answer.
func TestAnswersThatBeginDuringAStopAskToCloseTheConnection(t *testing.T) {
	Convey("A request that arrived before the stop is answered during it", t, func() {
		replica := &standin.Replica{ID: "t-1", Service: "app", Slots: 1, ServiceTime: 300 * time.Millisecond}
		e := startPlatformEntry(t, replica)
		defer e.end()
		connection, err := net.Dial("tcp", e.vm.CallerAddress())
		So(err, ShouldBeNil)
		defer func() { _ = connection.Close() }()
		_, _ = io.WriteString(connection, bookRequest("r1"))
		time.Sleep(100 * time.Millisecond)
		e.stop()
		closes, problem := readAnswer(connection, bufio.NewReader(connection))
		So(problem, ShouldBeEmpty)
		So(closes, ShouldBeTrue)
	})
}
