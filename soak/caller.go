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
	callerPause  = 60 * time.Millisecond
	dialTimeout  = time.Second
	askTokens    = 20
	answerTokens = 10
	// A client waits this much longer than it says before it gives up.
	patience = 2500 * time.Millisecond
	// One request in so many is one that its client leaves early.
	leavesOneIn = 25
	leavesAfter = 60 * time.Millisecond
	tries       = 3
)

// Attempt is one request of a client and what came back.
type Attempt struct {
	Request standin.ClientRequest
	Reply   standin.Reply
	// Account is who holds the key, and Entry the number of the entry that was asked.
	Account string
	Entry   int
	// Sent and Ended are the moments as the client saw them.
	Sent  lovageshift.Millis
	Ended lovageshift.Millis
	// Abandoned tells that the client gave the request up early.
	Abandoned bool
}

// ReportedNotRun tells that the answer says that the request did not run and never will.
func (a *Attempt) ReportedNotRun() bool {
	switch a.Reply.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return !a.Reply.Signed
	default:
		return false
	}
}

// Repeatable tells that the route allows a second run.
func (a *Attempt) Repeatable() bool {
	return !strings.HasPrefix(a.Request.Path, "/chat/") && !strings.HasPrefix(a.Request.Path, "/book/")
}

// book holds all attempts of all clients.
type book struct {
	mutex    sync.Mutex
	attempts []*Attempt
}

func (b *book) add(attempt *Attempt) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.attempts = append(b.attempts, attempt)
}

// caller sends requests one after another over connections that it keeps.
type caller struct {
	number  int
	random  *rand.Rand
	site    *site
	entries []*entry
	clock   lovageshift.Clock
	book    *book
	kept    []*http.Transport // one an entry
	current int
	sent    int
}

func newCaller(number int, seed uint64, s *site, entries []*entry, written *book) *caller {
	c := &caller{
		number: number, random: rand.New(rand.NewPCG(seed, uint64(number))), site: s, entries: entries,
		clock: s.clock, book: written, current: number % len(entries),
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	for range entries {
		c.kept = append(c.kept, &http.Transport{DialContext: dialer.DialContext, DisableCompression: true})
	}
	return c
}

func (c *caller) run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.ask(ctx)
		lovageshift.Pause(ctx, callerPause+time.Duration(c.random.Int64N(int64(callerPause))))
	}
	for _, transport := range c.kept {
		transport.CloseIdleConnections()
	}
	return nil
}

// ask sends one request, and again at other entries while its kind allows it.
func (c *caller) ask(ctx context.Context) {
	paths := []string{"/chat/", "/resume/", "/book/", "/read/"}
	path := paths[c.random.IntN(len(paths))]
	for range tries {
		attempt := c.attempt(ctx, path)
		if attempt.Reply.Status == http.StatusOK || ctx.Err() != nil || attempt.Abandoned {
			return
		}
		c.move()
		if !attempt.Repeatable() && !attempt.ReportedNotRun() {
			return
		}
	}
}

// move chooses another entry that the balancer offers, as a new connection would come to one.
func (c *caller) move() {
	for range c.entries {
		c.current = (c.current + 1) % len(c.entries)
		if c.entries[c.current].takesConnections() {
			return
		}
	}
}

// nextID returns the id of the caller's next request.
func (c *caller) nextID() string {
	c.sent++
	return fmt.Sprintf("%d-%d", c.number, c.sent)
}

func (c *caller) attempt(ctx context.Context, path string) *Attempt {
	id := c.nextID()
	ask := standin.ClientRequest{
		ID: id, Host: host, Method: http.MethodPost, Path: path + id + "?q=" + id, Body: "body of " + id,
		TimeoutMillis: routeMillis, PromptTokens: askTokens, OutputTokens: answerTokens,
	}
	if path == "/read/" {
		ask.Method, ask.Body = http.MethodGet, ""
	}
	account := c.choose(&ask)
	return c.send(ctx, ask, account)
}

// send sends the request of an account to the entry that the caller is at.
func (c *caller) send(ctx context.Context, ask standin.ClientRequest, account string) *Attempt {
	attempt := &Attempt{Request: ask, Account: account, Entry: c.current, Sent: c.clock.Now(), Abandoned: c.random.IntN(leavesOneIn) == 0}
	wait := (routeMillis * time.Millisecond) + patience
	if attempt.Abandoned {
		wait = leavesAfter
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait)
	defer cancel()
	attempt.Reply = standin.Send(limited, c.kept[c.current], c.entries[c.current].callers.Address(), ask)
	attempt.Ended = c.clock.Now()
	c.book.add(attempt)
	return attempt
}

// choose gives the request a key and returns whose it is.
func (c *caller) choose(ask *standin.ClientRequest) string {
	switch c.random.IntN(3) {
	case 0:
		ask.Key = "small-key"
		return smallAccount
	case 1:
		ask.Key = c.site.changingKey()
	default:
		ask.Key = "stable-key"
	}
	return stableAccount
}
