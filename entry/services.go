package entry

import (
	"bytes"
	"context"
	"net/http"
	"strings"

	"lovageshift"
	"lovageshift/idempotency"
)

// serveRoute answers a call of a plain service.
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
	job, refusal := e.routeWork(config, route, w, r)
	if refusal != nil {
		e.refuse(w, refusal)
		return
	}
	ctx := r.Context()
	if job.idempotencyKey != "" {
		// A call that must run at most once goes on without its caller, so that a resend finds its answer.
		ctx = context.WithoutCancel(ctx)
	}
	out := newResponse(w, &config.Limits, false)
	e.finish(out, e.perform(ctx, job, out))
}

func (e *Entry) routeWork(config *lovageshift.Config, route *lovageshift.Route, w http.ResponseWriter, r *http.Request) (*work, *lovageshift.Refusal) {
	if !route.Allows(r.Method) {
		return nil, lovageshift.NotRun(lovageshift.ReasonMethodNotAllowed, "the route does not take "+r.Method)
	}
	if refusal := checkHeaders(r); refusal != nil {
		return nil, refusal
	}
	who := &caller{}
	if !route.Open {
		known, refusal := e.authenticate(config, r)
		if refusal != nil {
			return nil, refusal
		}
		who = known
		if !who.account.MayUseRoute(route.ID) {
			return nil, lovageshift.NotRun(lovageshift.ReasonRouteForbidden, "the client account may not use this route")
		}
	}
	key, refusal := callKey(route, r)
	if refusal != nil {
		return nil, refusal
	}
	body, refusal := readBody(w, r, &config.Limits)
	if refusal != nil {
		return nil, refusal
	}
	if holdsSecret(r, body, who.secret) {
		return nil, lovageshift.NotRun(lovageshift.ReasonBodyInvalid, "the path or the body holds the caller's key")
	}
	return e.newCall(config, route, who, r, body, key), nil
}

// callKey returns the call's idempotency key; a route whose calls may not be repeated needs one.
func callKey(route *lovageshift.Route, r *http.Request) (string, *lovageshift.Refusal) {
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

func holdsSecret(r *http.Request, body []byte, secret string) bool {
	return secret != "" && (strings.Contains(r.URL.RequestURI(), secret) || bytes.Contains(body, []byte(secret)))
}

func (e *Entry) newCall(config *lovageshift.Config, route *lovageshift.Route, who *caller, r *http.Request, body []byte, key string) *work {
	due := e.node.Now() + route.TimeoutMillis
	job := &work{
		rank: lovageshift.LastRank, route: route, method: r.Method, path: r.URL.RequestURI(),
		headers: passedHeaders(r, who.secret), body: body, idempotencyKey: key,
		firstToken: due, deadline: due,
	}
	if who.account != nil {
		job.account, job.key = who.account, who.key.ID
		job.rank = config.RankOf(who.account.ID)
		job.tokens = route.CostTokens
	}
	job.request.Rank = job.rank
	job.fingerprint = fingerprintOf(job.accountID(), job.method+" "+job.path, body)
	return job
}
