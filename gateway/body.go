package gateway

import (
	"errors"
	"fmt"
	"net/http"

	"lovageshift"
	"lovageshift/delivery"
	"lovageshift/memory"
)

// readBody reads the whole body, up to the configured limit and within the memory budget.
func (r *request) readBody() *lovageshift.Refusal {
	if r.req.ContentLength == 0 {
		return nil
	}
	g := r.gateway
	limit := g.tracker.View().Catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = lovageshift.DefaultLimits().BodyBytes
	}
	source := memory.Source{
		Body: r.req.Body, Length: memory.Bytes(r.req.ContentLength), Limit: memory.Bytes(limit), Owner: r.owner(), Clock: g.clock,
		Context: r.req.Context(), SetReadDeadline: http.NewResponseController(r.w).SetReadDeadline,
	}
	if g.budget != nil {
		source.Deadline = r.deadline
	}
	var err error
	r.body, r.held, err = g.budget.ReadBody(source)
	if err == nil {
		return nil
	}
	r.unread = true
	delivery.CloseUnread(r.w)
	return r.bodyRefusal(err, source.Owner)
}

// bodyRefusal returns the refusal of a request whose body could not be read.
func (r *request) bodyRefusal(err error, owner memory.Owner) *lovageshift.Refusal {
	switch {
	case errors.Is(err, memory.ErrOverLimit), errors.Is(err, memory.ErrTooLarge):
		return lovageshift.NotRun(lovageshift.ReasonBodyTooLarge, err.Error())
	case errors.Is(err, memory.ErrExhausted):
		detail := fmt.Sprintf("%s; length %d, account and address hold %d bytes of %d; from %s",
			err, r.req.ContentLength, r.gateway.budget.HeldBy(owner), r.gateway.budget.Usage().Held, r.address())
		return lovageshift.NotRun(lovageshift.ReasonMemoryExhausted, detail).WithRetryAfter(memory.RetryAfter)
	case errors.Is(err, ErrStopping):
		return stoppingRefusal()
	case errors.Is(err, memory.ErrTooSlow), errors.Is(err, memory.ErrEvicted):
		return lovageshift.NotRun(lovageshift.ReasonBodyTooSlow, err.Error()+"; from "+r.address())
	default:
		return lovageshift.NotRun(lovageshift.ReasonBodyUnreadable, err.Error())
	}
}

// stoppingRefusal returns the refusal of a request that arrives while the entry stops.
func stoppingRefusal() *lovageshift.Refusal {
	return lovageshift.NotRun(lovageshift.ReasonStopping, "the entry is stopping").WithRetryAfter(shortRetryAfter)
}

// owner returns on whose behalf the body is held.
func (r *request) owner() memory.Owner {
	account := lovageshift.AccountID("")
	if r.account != nil {
		account = r.account.ID
	}
	return memory.OwnerOf(account, r.req.RemoteAddr)
}

// address returns the IP address of the caller.
func (r *request) address() string { return memory.HostOf(r.req.RemoteAddr) }

// limitUnread limits how long the server waits for the body of a request that is refused before its body was read.
func (r *request) limitUnread() {
	if r.held == nil && !r.unread {
		r.gateway.budget.LimitUnread(memory.Bytes(r.req.ContentLength), http.NewResponseController(r.w).SetReadDeadline)
	}
}
