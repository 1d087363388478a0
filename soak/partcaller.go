package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"lovageshift"
	"lovageshift/standin"
)

const (
	// A caller waits for minPartPause to maxShortPause before a request and between its parts, in one of pauseChoices cases for up
	// to maxLongPause, which spans most of a stop, and in another one for endlessPause, longer than an entry waits for the rest of
	// a header. All are longer than crossingMillis, so that no request that crosses the end of its connection is continued.
	minPartPause  = 2 * time.Duration(crossingMillis) * time.Millisecond
	maxShortPause = 100 * time.Millisecond
	maxLongPause  = 6 * time.Second
	endlessPause  = 12 * time.Second
	pauseChoices  = 8
	// Choices of pauseChoices that are endless or short; the others are long.
	endlessChoices = 1
	shortChoices   = 3
)

// partCaller sends requests in parts over connections of its own to entries, past their proxies, so that it sees the end of a
// connection as soon as the entry sends it.
type partCaller struct {
	number       int
	random       *rand.Rand
	entries      []*entry
	clock        lovageshift.Clock
	log          *attemptLog
	requestCount int
}

func (r *run) newPartCaller(number int) *partCaller {
	return &partCaller{
		number: number, random: rand.New(rand.NewPCG(r.options.Seed+partCallerSeed, uint64(number))), entries: r.entries,
		clock: r.clock, log: &r.attempts,
	}
}

// partCallerSeed keeps the random choices of a partCaller apart from those of a caller.
const partCallerSeed = 1 << 32

// run opens one connection after the other, each to an entry to which the load balancer sends new ones, until the context ends.
func (c *partCaller) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if e := c.entries[c.random.IntN(len(c.entries))]; e.isInRotation() {
			c.connect(ctx, e)
		}
		lovageshift.Pause(ctx, minThinkTime)
	}
	return nil
}

// connect opens a connection and sends requests over it until it ends, an answer asks to close it or the context ends.
func (c *partCaller) connect(ctx context.Context, e *entry) {
	connection, err := standin.DialCaller(e.vm.CallerAddress(), dialTimeout)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	defer func() { _ = connection.Close() }()
	usable := connection.IsSilent(c.pause())
	for usable {
		usable = c.send(ctx, connection, e) && connection.IsSilent(c.pause())
	}
}

// pause returns how long to wait before the next part.
func (c *partCaller) pause() time.Duration {
	longest := maxLongPause
	switch choice := c.random.IntN(pauseChoices); {
	case choice < endlessChoices:
		return endlessPause
	case choice < endlessChoices+shortChoices:
		longest = maxShortPause
	default:
	}
	return minPartPause + time.Duration(c.random.Int64N(int64(longest-minPartPause)))
}

// send sends one request in two parts, the second one unless an answer or the end of the connection comes before, and records the
// attempt. It reports whether the connection can be used after it.
func (c *partCaller) send(ctx context.Context, connection *standin.CallerConnection, e *entry) bool {
	request := c.newRequest()
	encoded, err := request.Encode(e.vm.CallerAddress())
	if err != nil {
		panic(err) // the request is valid
	}
	cut := c.cut(encoded)
	attempt := &Attempt{
		Request: request, Account: stableAccount, Entry: e.number, Sent: c.clock.Now(),
		Parts: &Parts{First: cut, Length: len(encoded), HasHeader: cut >= headerLength(encoded)},
	}
	_, _ = connection.Write(encoded[:cut])
	if connection.IsSilent(c.pause()) {
		attempt.Parts.Rest = c.clock.Now()
		_, _ = connection.Write(encoded[cut:])
	}
	usable := false
	attempt.Reply, usable = connection.ReadReply(routeMillis*time.Millisecond + timeoutMargin)
	attempt.Ended = c.clock.Now()
	attempt.Abandoned = ctx.Err() != nil
	c.log.add(attempt)
	return usable && attempt.Parts.Rest > 0
}

func (c *partCaller) newRequest() standin.CallerRequest {
	c.requestCount++
	id := fmt.Sprintf("parts-%d-%d", c.number, c.requestCount)
	prefixes := []string{"/chat/", "/book/", "/read/"}
	return standin.CallerRequest{
		ID: id, Host: routeHost, Method: http.MethodPost, Path: prefixes[c.random.IntN(len(prefixes))] + id, Body: "body of " + id,
		Key: "stable-key", TimeoutMillis: routeMillis, PromptTokens: promptTokens, OutputTokens: outputTokens,
	}
}

// cut returns the length of the first part of a request: half a header, a header, or a header and half a body.
func (c *partCaller) cut(encoded []byte) int {
	header := headerLength(encoded)
	cuts := []int{header / 2, header, (header + len(encoded)) / 2}
	return cuts[c.random.IntN(len(cuts))]
}

// headerLength returns the length of the header of a request, with the blank line that ends it.
func headerLength(encoded []byte) int {
	const end = "\r\n\r\n"
	return bytes.Index(encoded, []byte(end)) + len(end)
}
