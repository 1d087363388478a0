package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
	"lovageshift/platform"
	"lovageshift/quota"
)

const (
	// The final answer leaves this long before the caller stops waiting.
	answerMargin lovageshift.Millis = 20
	// A client that reads its answer too slowly gets this long beyond its deadline.
	slowReaderMargin lovageshift.Millis = 400
	// Waiting for a place may use up this share of the objective.
	patience = 0.5
	// Waiting for the account's tokens may use up this share of the objective.
	throttlePatience = 0.25
	// A request that came back is late already; it waits this long, before which no client gives up on its first event.
	returnedPatience lovageshift.Millis = 1200
	// Ranks of routes are told apart up to this number within one rank of accounts.
	routeRanks lovageshift.Rank = 16
	// Accounts without a rank, and requests without an account.
	defaultAccountRank lovageshift.Rank = 1
	// Used for routes without an objective.
	defaultObjective lovageshift.Millis = 1000
	// When to come back while the entry knows no configuration or cannot confirm it.
	unconfirmedRetry lovageshift.Millis = 500
)

// request is one client's request on its way through the gateway.
type request struct {
	gateway *Gateway
	w       http.ResponseWriter
	http    *http.Request
	ask     platform.Ask
	path    string
	arrived lovageshift.Millis
	// deadline is when the final answer must be out, 0 for no bound.
	deadline lovageshift.Millis

	route   *catalog.Route
	service catalog.ServiceID
	account *catalog.Account
	version lovageshift.Revision
	cost    lovageshift.Tokens
	charged bool
	// print is the fingerprint, 0 until it is asked for.
	print lovageshift.Fingerprint
	// eventTokens is how many tokens an event of a stream holds, 1 if the service does not say.
	eventTokens int
	body        []byte
	job         *placement.Job

	// runs counts the targets that may have run the request.
	runs int
	// began tells that a part of the answer is out.
	began     bool
	lastEvent string
	story     story
}

// ServeHTTP serves one request of a client.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, incoming *http.Request) {
	r := &request{gateway: g, w: w, http: incoming, path: incoming.URL.EscapedPath(), arrived: g.clock.Now()}
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	ask, found := platform.ReadAsk(incoming.Header)
	r.ask = ask
	if !found {
		r.refuse(lovageshift.NotRun(lovageshift.ReasonBodyInvalid, "no request id"))
		return
	}
	if g.closed.Load() {
		r.refuse(lovageshift.NotRun(lovageshift.ReasonStopping, "the entry is stopping").WithRetryAfter(retrySoon))
		return
	}
	if refusal := r.admit(); refusal != nil {
		r.refuse(refusal)
		return
	}
	ctx := incoming.Context()
	if r.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, (r.deadline - g.clock.Now()).Duration())
		defer cancel()
		r.limitWrites()
		defer r.unlimitWrites()
	}
	defer r.settle()
	lovageshift.Pause(ctx, r.story.throttled.Duration())
	r.run(ctx)
}

// limitWrites ends the connection of a client that does not read its answer by the time it is due, so that it holds no
// target for longer.
func (r *request) limitWrites() {
	left := r.deadline - r.gateway.clock.Now() + slowReaderMargin
	if err := http.NewResponseController(r.w).SetWriteDeadline(time.Now().Add(left.Duration())); err != nil {
		r.gateway.log.Info("writesNotLimited", "request", r.ask.ID, "error", err.Error())
	}
}

func (r *request) unlimitWrites() {
	if err := http.NewResponseController(r.w).SetWriteDeadline(time.Time{}); err != nil {
		r.gateway.log.Info("writesNotLimited", "request", r.ask.ID, "error", err.Error())
	}
}

// admit finds the route and the client account, reads the body and charges the account.
func (r *request) admit() *lovageshift.Refusal {
	if refusal := r.authorize(); refusal != nil {
		return refusal
	}
	if refusal := r.readBody(); refusal != nil {
		return refusal
	}
	if r.gateway.suspects.refuses(r.gateway.clock.Now(), r.fingerprint()) {
		return lovageshift.NotRun(lovageshift.ReasonQuarantined, "targets crashed while it ran").WithRetryAfter(quarantineRetry)
	}
	return r.charge()
}

func (r *request) authorize() *lovageshift.Refusal {
	g := r.gateway
	view := g.tracker.View()
	if view == nil {
		return lovageshift.NotRun(lovageshift.ReasonUnconfirmed, "no configuration yet").WithRetryAfter(unconfirmedRetry)
	}
	r.version = view.Catalog.Version
	r.route = view.Catalog.RouteFor(r.http.Host, r.path)
	if r.route == nil {
		if !g.ViewFresh() {
			return tooOld()
		}
		return lovageshift.NotRun(lovageshift.ReasonNotFound, "no route")
	}
	r.service = r.route.ServiceFor(point(r.ask.ID))
	r.eventTokens = 1
	if service := view.Catalog.Service(r.service); service != nil {
		r.eventTokens = max(service.EventTokens, 1)
	}
	r.deadline = r.route.Timeout
	if r.ask.Deadline > 0 && (r.deadline == 0 || r.ask.Deadline < r.deadline) {
		r.deadline = r.ask.Deadline
	}
	if r.deadline > 0 {
		r.deadline += r.arrived - answerMargin
	}
	return r.identify(view)
}

// tooOld refuses what only a confirmed configuration can allow.
func tooOld() *lovageshift.Refusal {
	return lovageshift.NotRun(lovageshift.ReasonUnconfirmed, "configuration too old").WithRetryAfter(unconfirmedRetry)
}

// needsKey reports whether the request may run only for the client account that holds its key.
func (r *request) needsKey(view *catalog.View) bool {
	return !r.route.Anonymous && view.Catalog.NeedsKeys()
}

// identify finds the client account by its key.
func (r *request) identify(view *catalog.View) *lovageshift.Refusal {
	r.account = view.Catalog.AccountFor(r.ask.Key)
	if !r.needsKey(view) {
		return nil
	}
	if !r.gateway.ViewFresh() {
		return tooOld()
	}
	if r.account == nil {
		return lovageshift.NotRun(lovageshift.ReasonKeyUnknown, "no client account holds the key")
	}
	return nil
}

func (r *request) readBody() *lovageshift.Refusal {
	limit := r.gateway.tracker.View().Catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = lovageshift.DefaultLimits().BodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(r.w, r.http.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return lovageshift.NotRun(lovageshift.ReasonBodyTooLarge, "body above the limit")
	case err != nil:
		return lovageshift.NotRun(lovageshift.ReasonBodyUnreadable, err.Error())
	}
	r.body = body
	return nil
}

func (r *request) charge() *lovageshift.Refusal {
	if r.account == nil {
		return nil
	}
	r.cost = quota.Cost(r.account, r.ask.Counted, r.ask.Prompt+r.ask.Output)
	wait, ok := r.gateway.meter.Charge(r.gateway.clock.Now(), r.account, r.cost, r.quotaPatience())
	if !ok {
		return lovageshift.NotRun(lovageshift.ReasonRateExceeded, "beyond the account's rate and burst").WithRetryAfter(wait)
	}
	r.charged = true
	r.story.throttled = wait
	return nil
}

// quotaPatience is how long a request may wait for its account's tokens.
func (r *request) quotaPatience() lovageshift.Millis {
	return lovageshift.Millis(float64(r.route.Objective) * throttlePatience)
}

// settle gives back what the request was charged and did not use: all of it when no target ran it.
func (r *request) settle() {
	if !r.charged {
		return
	}
	r.charged = false
	if r.runs == 0 {
		r.gateway.meter.Refund(r.account, r.cost)
		return
	}
	made := lovageshift.Tokens(r.story.events * r.eventTokens)
	if r.ask.Counted && made < r.ask.Output {
		r.gateway.meter.Settle(r.account, r.ask.Output-made)
	}
}

// stillAllowed looks once more, at the moment of sending, whether what was true at arrival still is.
func (r *request) stillAllowed(place *placement.Slot) *lovageshift.Refusal {
	g := r.gateway
	view := g.tracker.View()
	if r.needsKey(view) {
		if !g.ViewFresh() {
			return tooOld()
		}
		if view.Catalog.AccountFor(r.ask.Key) == nil {
			return lovageshift.NotRun(lovageshift.ReasonKeyUnknown, "the key was withdrawn")
		}
	}
	if !view.MaySend(place.Target.ID, place.Target.Born) {
		return lovageshift.NotRun(lovageshift.ReasonTargetLeaving, "the target is leaving")
	}
	return nil
}

// left is how long the target may work, from now.
func (r *request) left() lovageshift.Millis {
	if r.deadline == 0 {
		return 0
	}
	return max(r.deadline+answerMargin-r.gateway.clock.Now(), 1)
}

// rank orders requests by their account first, and within it by their route.
func (r *request) rank() lovageshift.Rank {
	account := defaultAccountRank
	if r.account != nil && r.account.HasRank {
		account = r.account.Rank
	}
	return account*routeRanks + min(r.route.Rank, routeRanks-1)
}

func (r *request) newJob() *placement.Job {
	objective := r.route.Objective
	if objective == 0 {
		objective = defaultObjective
	}
	job := &placement.Job{
		Service:       r.service,
		Zone:          r.gateway.zone,
		Rank:          r.rank(),
		Arrived:       r.arrived,
		Objective:     objective,
		QueueDeadline: r.arrived + lovageshift.Millis(float64(objective)*patience),
		PromptTokens:  r.ask.Prompt,
		OutputTokens:  r.ask.Output,
	}
	job.RefusedBefore = r.gateway.refused.take(r.gateway.clock.Now(), r.returnMark())
	if job.RefusedBefore {
		job.QueueDeadline = r.arrived + returnedPatience
		if r.deadline > 0 {
			job.QueueDeadline = min(job.QueueDeadline, r.arrived+(r.deadline-r.arrived)/2)
		}
	}
	return job
}
