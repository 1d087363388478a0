package entry

import (
	"bytes"
	"context"
	"net/http"
	"strings"

	"lovageshift"
	"lovageshift/idempotency"
	"lovageshift/memory"
)

// serveRoute handles a call, that is, a request to a plain service: it finds the route by the path, checks the call, has it run
// by a target of the service and writes the response.
func (e *Entry) serveRoute(w http.ResponseWriter, r *http.Request) {
	config := e.node.Revisions.Config()
	if config == nil || !e.node.AllowsNewWork() {
		e.refuse(w, lovageshift.NotRun(lovageshift.ReasonUnconfirmed, "the entry cannot confirm its configuration").WithRetryAfter(1000))
		return
	}
	route := config.RouteFor(r.URL.Path)
	if route == nil {
		e.refuse(w, lovageshift.NotRun(lovageshift.ReasonNotFound, "nothing is served here"))
		return
	}
	p, held, refusal := e.prepareRouteCall(config, route, w, r)
	defer held.Release()
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	ctx := r.Context()
	if p.idempotencyKey != "" {
		// A call with an idempotency key runs at most once. It is not canceled when its caller disconnects, so that a resend
		// with the same key can get the response.
		ctx = context.WithoutCancel(ctx)
	}
	out := e.newResponse(w, r, &config.Limits, p)
	defer out.release()
	e.finish(out, e.perform(ctx, p, out))
}

// prepareRouteCall checks a call on the route, reads its body and returns it ready for dispatch, with the
// reservation of the body's memory, which may be nil.
func (e *Entry) prepareRouteCall(
	config *lovageshift.Config, route *lovageshift.Route, w http.ResponseWriter, r *http.Request,
) (*pendingRequest, *memory.Reservation, *lovageshift.Refusal) {
	if !route.Allows(r.Method) {
		return nil, nil, lovageshift.NotRun(lovageshift.ReasonMethodNotAllowed, "the route does not take "+r.Method)
	}
	if refusal := checkReservedHeaders(r); refusal != nil {
		return nil, nil, refusal
	}
	c := &caller{}
	if !route.Open {
		authenticated, refusal := e.authenticate(config, r)
		if refusal != nil {
			return nil, nil, refusal
		}
		c = authenticated
		if !c.account.MayUseRoute(route.ID) {
			return nil, nil, lovageshift.NotRun(lovageshift.ReasonRouteForbidden, "the client account may not use this route")
		}
	}
	idempotencyKey, refusal := idempotencyKeyOf(route, r)
	if refusal != nil {
		return nil, nil, refusal
	}
	body, held, refusal := e.readBody(w, r, &config.Limits, c)
	if refusal != nil {
		return nil, nil, refusal
	}
	if containsSecret(r, body, c.secret) {
		return nil, held, lovageshift.NotRun(lovageshift.ReasonBodyInvalid, "the path or the body holds the caller's key")
	}
	return e.newRouteCall(config, route, c, r, body, idempotencyKey), held, nil
}

// idempotencyKeyOf returns the call's idempotency key, or "" if it has none. It refuses a call without a key if the route is not
// repeatable, that is, if its calls must not run more than once.
func idempotencyKeyOf(route *lovageshift.Route, r *http.Request) (string, *lovageshift.Refusal) {
	keys := r.Header.Values("Idempotency-Key")
	switch {
	case len(keys) == 0 && !route.Repeatable:
		return "", lovageshift.NotRun(lovageshift.ReasonIdempotencyKeyMissing, "calls of this route need an Idempotency-Key header")
	case len(keys) == 0:
		return "", nil
	case len(keys) > 1 || !idempotency.Valid(keys[0]):
		return "", lovageshift.NotRun(lovageshift.ReasonIdempotencyKeyInvalid, "one Idempotency-Key of printable ASCII, 128 bytes at most, is needed")
	default:
		return keys[0], nil
	}
}

// containsSecret reports whether the request's URI or body contains the caller's key.
func containsSecret(r *http.Request, body []byte, secret string) bool {
	return secret != "" && (strings.Contains(r.URL.RequestURI(), secret) || bytes.Contains(body, []byte(secret)))
}

// newRouteCall returns a checked call ready for dispatch. A call on an open route has no account, is not charged, and has the
// lowest priority (LastRank). The path of the returned request includes the query.
func (e *Entry) newRouteCall(config *lovageshift.Config, route *lovageshift.Route, c *caller, r *http.Request, body []byte, idempotencyKey string) *pendingRequest {
	deadline := e.node.Now() + route.TimeoutMillis
	p := &pendingRequest{
		rank: lovageshift.LastRank, route: route, method: r.Method, path: r.URL.RequestURI(),
		headers: forwardedHeaders(r, c.secret), body: body, idempotencyKey: idempotencyKey,
		firstTokenDeadline: deadline, deadline: deadline,
	}
	if c.account != nil {
		p.account, p.keyID = c.account, c.key.ID
		p.rank = config.RankOf(c.account.ID)
		p.maxTokens = route.CostTokens
	}
	p.routingRequest.Rank = p.rank
	p.fingerprint = requestFingerprint(p.accountID(), p.method+" "+p.path, body)
	return p
}
