package entry

import (
	"errors"
	"fmt"
	"net/http"

	"k8s.io/klog/v2"

	"lovageshift"
	"lovageshift/delivery"
	"lovageshift/memory"
)

const (
	// A request holds its body, parts of it while it is parsed, the copy with an output limit and the message to the agent.
	bodyCopies = 4
	// Interval of log lines about refused bodies.
	bodyLogMillis lovageshift.Millis = 1000
)

// limitUnread limits how long the server waits for the bodies of requests that the handler answers without reading them.
func (e *Entry) limitUnread(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.options.Budget.LimitUnread(memory.Bytes(r.ContentLength), http.NewResponseController(w).SetReadDeadline)
		handler.ServeHTTP(w, r)
	})
}

// readBody reads a request's body and returns it with the reservation of its memory, nil if it has no body. It refuses the
// request if the body is longer than limits.BodyBytes, is cut short, has not arrived completely within limits.CallerIdleMillis
// or, with a memory budget, makes too little progress or finds no room.
func (e *Entry) readBody(
	w http.ResponseWriter, r *http.Request, limits *lovageshift.Limits, c *caller,
) ([]byte, *memory.Reservation, *lovageshift.Refusal) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	clock := e.options.Clock
	body, held, err := e.options.Budget.ReadBody(memory.Source{
		Body: r.Body, Length: memory.Bytes(r.ContentLength), Limit: memory.Bytes(limits.BodyBytes), Copies: bodyCopies,
		Owner: memory.OwnerOf(c.accountID(), r.RemoteAddr), Clock: clock, Deadline: clock.Now() + limits.CallerIdleMillis,
		SetReadDeadline: http.NewResponseController(w).SetReadDeadline,
	})
	if err == nil {
		return body, held, nil
	}
	delivery.CloseUnread(w)
	refusal := e.bodyRefusal(err, limits)
	e.logBodyRefusal(refusal, r, c)
	return nil, nil, refusal
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func (e *Entry) bodyRefusal(err error, limits *lovageshift.Limits) *lovageshift.Refusal {
	switch {
	case errors.Is(err, memory.ErrOverLimit), errors.Is(err, memory.ErrTooLarge):
		return lovageshift.NotRun(lovageshift.ReasonBodyTooLarge, fmt.Sprintf("the body exceeds %d bytes", limits.BodyBytes))
	case errors.Is(err, memory.ErrExhausted):
		return lovageshift.NotRun(lovageshift.ReasonMemoryExhausted, "no memory for the body now").WithRetryAfter(memory.RetryAfter)
	case e.options.Budget != nil && (errors.Is(err, memory.ErrTooSlow) || errors.Is(err, memory.ErrEvicted)):
		return lovageshift.NotRun(lovageshift.ReasonBodyTooSlow, "the body came too slowly")
	default:
		return lovageshift.NotRun(lovageshift.ReasonBodyUnreadable, "the body was cut short or came too slowly")
	}
}

// logBodyRefusal logs from whom the body came, at most once in bodyLogMillis.
func (e *Entry) logBodyRefusal(refusal *lovageshift.Refusal, r *http.Request, c *caller) {
	now := int64(e.options.Clock.Now())
	last := e.bodyLoggedAt.Load()
	if now-last < int64(bodyLogMillis) || !e.bodyLoggedAt.CompareAndSwap(last, now) {
		return
	}
	klog.Infof("entry %s: refused a body: %v; account %q, from %s, length %d, %+v in use",
		e.options.ID, refusal, c.accountID(), r.RemoteAddr, r.ContentLength, e.options.Budget.Usage())
}

// accountID returns the ID of the caller's account, "" on an open route.
func (c *caller) accountID() lovageshift.AccountID {
	if c.account == nil {
		return ""
	}
	return c.account.ID
}
