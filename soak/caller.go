package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"lovageshift"
	"lovageshift/standin"
)

const (
	// After a request and its repeats, a caller waits for a random time from minThinkTime to twice minThinkTime before it
	// sends the next request. Repeats follow without a wait.
	minThinkTime = 60 * time.Millisecond
	dialTimeout  = time.Second
	// Tokens that each request declares.
	promptTokens = 20
	outputTokens = 10
	// The first part of all prompts, and the number of parts that follow it in those that crash no target. fatalPart begins
	// the ID of a part that crashes them.
	sharedPart   = "f:5"
	promptThemes = 40
	fatalPart    = "fatal"
	// A caller stops waiting for a response this long after the deadline that the request declares.
	timeoutMargin = 2500 * time.Millisecond
	// A caller abandons one request in abandonOneIn, abandonAfter it was sent.
	abandonOneIn = 25
	abandonAfter = 60 * time.Millisecond
	// A caller leaves one stream in leaveOneIn of those that it can take up again.
	leaveOneIn   = 3
	resumePrefix = "/resume/"
	// With Options.Ends, one caller in so many sends HTTP/1.0.
	http10OneIn = 3
	// Most requests that a caller sends in one series: the first one and its repeats.
	maxTries = 3
)

// Attempt is one request of a caller and the response to it.
type Attempt struct {
	Request standin.CallerRequest
	Reply   standin.Reply
	// Account is the name of the account that holds the key of the request. Entry is the number of the entry that the
	// request was sent to.
	Account string
	Entry   int
	// Sent and Ended are when the caller sent the request and when the response ended or failed, in milliseconds on the
	// clock of the run.
	Sent  lovageshift.Millis
	Ended lovageshift.Millis
	// Abandoned marks a request that the caller cancels abandonAfter it was sent, if the response has not ended by then.
	Abandoned bool
	// Parts is set if the request was sent in two parts (partCaller). Sent is then when the first one was.
	Parts *Parts
}

// Parts describes how a request was sent in two parts.
type Parts struct {
	// First and Length are the lengths of the first part and of the request, in bytes.
	First, Length int
	// Rest is when the second part was sent, 0 if it was not.
	Rest lovageshift.Millis
	// HasHeader is set if the first part has the whole header.
	HasHeader bool
}

// Entries end an answer this long before the deadline, which counts from the end of the request's header; 1 ms is for rounding.
const answerMarginMillis lovageshift.Millis = 20 + 1

// cutAllowedFrom returns from when on the answer may be cut because of the deadline.
func (a *Attempt) cutAllowedFrom() lovageshift.Millis {
	switch {
	case a.Parts == nil:
		return a.Sent + routeMillis
	case a.Parts.HasHeader:
		return a.Sent + routeMillis - answerMarginMillis
	case a.Parts.Rest == 0:
		return a.Ended // the deadline has not begun
	default:
		return a.Parts.Rest + routeMillis - answerMarginMillis
	}
}

// isNamed reports whether the entry must have known the request's id when it answered.
func (a *Attempt) isNamed() bool {
	return a.Parts == nil || a.Parts.HasHeader || a.Parts.Rest > 0 && a.Ended > a.Parts.Rest+crossingMillis
}

// ReportedNotRun reports whether an entry answered that the request did not run and never will: with one of the statuses
// of a refusal, and without the signature of a target.
func (a *Attempt) ReportedNotRun() bool {
	switch a.Reply.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return !a.Reply.Signed
	default:
		return false
	}
}

// leftStream reports whether the caller closed the connection after some events of a stream.
func (a *Attempt) leftStream() bool {
	return a.Request.LeaveAfter > 0 && len(a.Reply.EventIDs) >= a.Request.LeaveAfter
}

// Repeatable reports whether the route of the request allows it to run more than once.
func (a *Attempt) Repeatable() bool {
	return !strings.HasPrefix(a.Request.Path, "/chat/") && !strings.HasPrefix(a.Request.Path, "/book/")
}

// attemptLog holds the attempts of all callers.
type attemptLog struct {
	mutex    sync.Mutex
	attempts []*Attempt
}

func (l *attemptLog) add(attempt *Attempt) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.attempts = append(l.attempts, attempt)
}

// caller sends one request after another over connections that it keeps open.
type caller struct {
	number int
	random *rand.Rand
	// leaving decides which streams the caller leaves, apart from random, so that the other requests of a seed stay the same.
	leaving      *rand.Rand
	testbed      *testbed
	entries      []*entry
	clock        lovageshift.Clock
	log          *attemptLog
	transports   []http.RoundTripper // one per entry
	entryIndex   int                 // of the entry that receives the next request
	requestCount int
}

func (r *run) newCaller(number int, seed uint64) *caller {
	c := &caller{
		number: number, random: rand.New(rand.NewPCG(seed, uint64(number))), leaving: rand.New(rand.NewPCG(^seed, uint64(number))),
		testbed: r.testbed, entries: r.entries,
		clock: r.clock, log: &r.attempts, entryIndex: number % len(r.entries),
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	for range r.entries {
		if r.options.Ends && number%http10OneIn == 0 {
			c.transports = append(c.transports, standin.HTTP10Transport{DialContext: dialer.DialContext})
			continue
		}
		c.transports = append(c.transports, &http.Transport{DialContext: dialer.DialContext, DisableCompression: true})
	}
	return c
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.sendWithRetries(ctx)
		lovageshift.Pause(ctx, minThinkTime+time.Duration(c.random.Int64N(int64(minThinkTime))))
	}
	for _, transport := range c.transports {
		if kept, ok := transport.(*http.Transport); ok {
			kept.CloseIdleConnections()
		}
	}
	return nil
}

// sendWithRetries sends a request on a random route. If it gets no status 200, and its route allows repeats or an entry
// reported it as not run, sendWithRetries repeats it with a new id on the same route, after switchEntry, up to maxTries
// requests in all. An abandoned request is not repeated.
func (c *caller) sendWithRetries(ctx context.Context) {
	prefixes := []string{"/chat/", resumePrefix, "/book/", "/read/"}
	prefix := prefixes[c.random.IntN(len(prefixes))]
	for range maxTries {
		attempt := c.sendNew(ctx, prefix)
		if prefix == resumePrefix {
			c.takeUp(ctx, attempt)
		}
		if attempt.Reply.Status == http.StatusOK || ctx.Err() != nil || attempt.Abandoned {
			return
		}
		c.switchEntry()
		if !attempt.Repeatable() && !attempt.ReportedNotRun() {
			return
		}
	}
}

// takeUp takes up a stream that the caller left or that broke off, through other entries, up to maxTries times.
func (c *caller) takeUp(ctx context.Context, first *Attempt) {
	last := first
	for range maxTries {
		if last.Abandoned && !last.leftStream() || last.Reply.Complete || len(first.Reply.EventIDs) == 0 || ctx.Err() != nil {
			return
		}
		c.switchEntry()
		request := first.Request
		request.ID, request.Resumes, request.LeaveAfter = c.nextID(), first.Request.ID, 0
		request.LastEventID = last.Request.LastEventID + len(last.Reply.EventIDs)
		last = c.send(ctx, request, first.Account)
	}
}

// switchEntry selects the next entry to which the load balancer sends new connections (entry.inRotation). If there is
// none, it selects the same entry as before.
func (c *caller) switchEntry() {
	for range c.entries {
		c.entryIndex = (c.entryIndex + 1) % len(c.entries)
		if c.entries[c.entryIndex].isInRotation() {
			return
		}
	}
}

// nextID returns the id of the caller's next request.
func (c *caller) nextID() string {
	c.requestCount++
	return fmt.Sprintf("%d-%d", c.number, c.requestCount)
}

// sendNew sends a new request with the path prefix of a route and a random key.
func (c *caller) sendNew(ctx context.Context, prefix string) *Attempt {
	id := c.nextID()
	request := standin.CallerRequest{
		ID: id, Host: routeHost, Method: http.MethodPost, Path: prefix + id + "?q=" + id, Body: "body of " + id,
		TimeoutMillis: routeMillis, PromptTokens: promptTokens, OutputTokens: outputTokens,
	}
	if prefix == resumePrefix && c.leaving.IntN(leaveOneIn) == 0 {
		request.LeaveAfter = 1 + c.leaving.IntN(streamEvents-1)
	}
	if prefix == "/chat/" || prefix == resumePrefix {
		request.PromptParts = fmt.Sprintf("%s,%d:5,%s:5", sharedPart, c.random.IntN(promptThemes), id)
	}
	if prefix == "/read/" {
		request.Method, request.Body = http.MethodGet, ""
	}
	account := c.chooseKey(&request)
	return c.send(ctx, request, account)
}

// send sends a request of an account to the current entry and records the attempt.
func (c *caller) send(ctx context.Context, request standin.CallerRequest, account string) *Attempt {
	attempt := &Attempt{
		Request: request, Account: account, Entry: c.entryIndex, Sent: c.clock.Now(),
		Abandoned: c.random.IntN(abandonOneIn) == 0,
	}
	timeout := (routeMillis * time.Millisecond) + timeoutMargin
	if attempt.Abandoned {
		timeout = abandonAfter
	}
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	attempt.Reply = standin.Send(sendCtx, c.transports[c.entryIndex],
		c.entries[c.entryIndex].callerProxy.Address(), request)
	attempt.Ended = c.clock.Now()
	attempt.Abandoned = attempt.Abandoned || attempt.leftStream()
	c.log.add(attempt)
	return attempt
}

// chooseKey sets a random key on the request and returns the account that holds it.
func (c *caller) chooseKey(request *standin.CallerRequest) string {
	switch c.random.IntN(3) {
	case 0:
		request.Key = "small-key"
		return smallAccount
	case 1:
		request.Key = c.testbed.replaceableKey()
	default:
		request.Key = "stable-key"
	}
	return stableAccount
}
