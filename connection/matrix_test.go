package connection_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"lovageshift/connection"
)

// progress says how far a caller's requests have come when a party wants the connection closed.
type progress struct {
	name string
	// answered is set if a request has been answered on the connection before, running if one is running.
	answered, running bool
	// cut returns how many bytes of a further request have been sent.
	cut   func(header, whole string) int
	phase callerPhase
}

// callerPhase is what the listener may decide by.
type callerPhase int

const (
	phaseUnused callerPhase = iota
	phaseBegun
	phaseRunning
)

func nothing(_, _ string) int           { return 0 }
func halfHeader(header, _ string) int   { return len(header) / 2 }
func wholeHeader(header, _ string) int  { return len(header) }
func halfBody(header, whole string) int { return (len(header) + len(whole)) / 2 }
func everything(_, whole string) int    { return len(whole) }

var progresses = []progress{
	{"opened", false, false, nothing, phaseUnused},
	{"half a header", false, false, halfHeader, phaseBegun},
	{"header without body", false, false, wholeHeader, phaseRunning},
	{"half a body", false, false, halfBody, phaseRunning},
	{"answered", true, false, nothing, phaseUnused},
	{"answered and half a header", true, false, halfHeader, phaseBegun},
	{"answered and half a body", true, false, halfBody, phaseRunning},
	{"running and half a header", false, true, halfHeader, phaseRunning},
	{"running and half a body", false, true, halfBody, phaseRunning},
	{"running and a whole request", false, true, everything, phaseRunning},
}

// outcome is what the caller must see.
type outcome int

const (
	goesOn     outcome = iota // the rest of the request is served
	ends                      // the connection ends in order, with no bytes
	refused                   // the answer Options.Stopping
	tooSlow                   // the answer Options.TooSlow
	unanswered                // no answer, and Options.OnUnanswered is called
)

// closer is a party that wants connections closed.
type closer struct {
	name      string
	options   connection.Options
	configure func(*http.Server)
	// acts makes the party act and waits until it has had the time to close what it may close.
	acts func(s *server)
	// outcomes are by callerPhase.
	outcomes [3]outcome
}

var closers = []closer{
	{
		"CloseUnused",
		connection.Options{},
		nil, func(s *server) {
			s.closes.Store(true)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			s.listener.CloseUnused(ctx)
		},
		[3]outcome{ends, goesOn, goesOn},
	},
	{
		"RefuseBegun",
		connection.Options{},
		nil, func(s *server) { s.listener.RefuseBegun(); time.Sleep(100 * time.Millisecond) },
		[3]outcome{ends, refused, goesOn},
	},
	{
		"StopAccepting",
		connection.Options{},
		nil, func(s *server) { s.listener.StopAccepting(); time.Sleep(100 * time.Millisecond) },
		[3]outcome{goesOn, goesOn, goesOn},
	},
	{
		"Abort",
		connection.Options{},
		nil, func(s *server) { s.listener.Abort() },
		[3]outcome{ends, unanswered, unanswered},
	},
	{
		"full listener",
		connection.Options{Limit: len(progresses)},
		nil, func(s *server) {
			// The listener must close those four that have no whole header, and no others.
			for range 4 {
				defer func(next *caller) { _ = next.Close() }(s.dial())
			}
			time.Sleep(2500 * time.Millisecond)
		},
		[3]outcome{ends, refused, goesOn},
	},
	{
		"idle timeout",
		connection.Options{HeaderTimeout: time.Minute},
		func(h *http.Server) { h.IdleTimeout, h.ReadHeaderTimeout = time.Second, time.Second },
		func(*server) { time.Sleep(1500 * time.Millisecond) },
		[3]outcome{ends, goesOn, goesOn},
	},
	{
		"header timeout",
		connection.Options{HeaderTimeout: 100 * time.Millisecond},
		nil,
		func(*server) { time.Sleep(200 * time.Millisecond) },
		[3]outcome{goesOn, tooSlow, goesOn},
	},
}

// Guards against a party that closes the connection of a caller whose request has begun to arrive, without an answer.
func TestConnectionsEndByWhatHasArrived(t *testing.T) {
	t.Parallel()
	for _, closer := range closers {
		t.Run(closer.name, func(t *testing.T) {
			t.Parallel()
			s := startServer(t, closer.options, closer.configure, nil)
			callers := make([]*caller, len(progresses))
			for i, p := range progresses {
				callers[i] = s.dialWith(p)
			}
			closer.acts(s)
			s.finish()
			for i, p := range progresses {
				t.Run(p.name, func(t *testing.T) { callers[i].check(t, p, closer) })
				_ = callers[i].Close()
			}
			s.checkNothingLeft()
		})
	}
}

// requestOf returns the request of which a part is sent, cut there.
func requestOf(p progress) (path, sent, rest string) {
	path = "/" + strings.ReplaceAll(p.name, " ", "-")
	header, whole := request(path, "body")
	cut := p.cut(header, whole)
	return path, whole[:cut], whole[cut:]
}

// dialWith returns a caller's connection on which the requests have come so far.
func (s *server) dialWith(p progress) *caller {
	s.t.Helper()
	open, _ := s.listener.Connections()
	c := s.dial()
	waitFor(s.t, func() bool { now, _ := s.listener.Connections(); return now > open })
	path, sent, _ := requestOf(p)
	if p.answered {
		_, first := request("/first", "1")
		c.send(first)
		c.expect(s.t, http.StatusOK, "/first 1")
	}
	if p.running {
		runs := s.runs(runPath)
		_, first := request(runPath, "")
		sent = first + sent
		defer waitFor(s.t, func() bool { return s.runs(runPath) > runs })
	}
	c.deliver(sent)
	if p.phase == phaseRunning && !p.running {
		waitFor(s.t, func() bool { return s.runs(path) == 1 })
	}
	return c
}

// check fails the test unless the caller, which goes on with its request, sees what it must after the party has acted.
func (c *caller) check(t *testing.T, p progress, closer closer) {
	path, _, rest := requestOf(p)
	want := closer.outcomes[p.phase]
	if p.running && want != unanswered {
		c.expect(t, http.StatusOK, runPath+" ")
		switch {
		case c.server.closes.Load():
			want = ends // as the answer has said
		case closer.options.HeaderTimeout > 0 && closer.options.HeaderTimeout < time.Second && strings.Contains(rest, "\r\n\r\n"):
			want = tooSlow
			time.Sleep(2 * closer.options.HeaderTimeout)
		}
	}
	runs, reports := c.server.runs(path), 0
	switch want {
	case goesOn:
		c.send(rest)
		c.expect(t, http.StatusOK, path+" body")
		runs = 1
	case ends:
		c.expectEnd(t)
	case refused:
		c.send(rest)
		c.expect(t, http.StatusServiceUnavailable, "stopping\n")
		c.expectEnd(t)
	case tooSlow:
		c.send(rest)
		c.expect(t, http.StatusRequestTimeout, "slow\n")
		c.expectEnd(t)
	default:
		if status, body, err := c.answer(); err == nil {
			t.Errorf("got %d %q", status, body)
		}
		reports = 1
	}
	if got := c.server.reports(c); got != reports {
		t.Errorf("%d reports of requests without an answer, want %d", got, reports)
	}
	if got := c.server.runs(path); got != runs {
		t.Errorf("the handler ran the request %d times, want %d", got, runs)
	}
}
