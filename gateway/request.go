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
	// The response, or a refusal, is due this long before the caller's deadline.
	responseMargin lovageshift.Millis = 20
	// A caller that reads its response too slowly is disconnected this long after the deadline.
	slowReaderMargin lovageshift.Millis = 400
	// Waiting for a slot may take up to this share of the latency objective.
	maxWaitShare = 0.5
	// Waiting for the account's tokens may take up to this share of the latency objective.
	maxThrottleShare = 0.25
	// Maximum wait of a request that its caller repeats after a refusal. It has missed its objective already, and no
	// caller gives up on its first event before this time.
	returnedMaxWait lovageshift.Millis = 1200
	// Number of route ranks that are distinguished within one account rank.
	routeRanks lovageshift.Rank = 16
	// Rank of accounts without one and of requests without an account.
	defaultAccountRank lovageshift.Rank = 1
	// Latency objective of routes that set none.
	defaultObjective lovageshift.Millis = 1000
	// Retry-After while the entry has no configuration or cannot confirm it.
	unconfirmedRetryAfter lovageshift.Millis = 500
)

// request is the state of one caller's request in the gateway.
type request struct {
	gateway *Gateway
	w       http.ResponseWriter
	req     *http.Request
	headers platform.RequestHeader
	path    string
	arrived lovageshift.Millis
	// deadline is when the complete response must have been sent, 0 for no bound.
	deadline lovageshift.Millis

	route   *catalog.Route
	service catalog.ServiceID
	account *catalog.Account
	version lovageshift.Revision
	cost    lovageshift.Tokens
	charged bool
	// cachedFingerprint is the result of fingerprint, 0 before its first call.
	cachedFingerprint lovageshift.Fingerprint
	// tokensPerEvent is the number of tokens in one event of a stream, 1 if the service does not give it.
	tokensPerEvent int
	body           []byte
	job            *placement.Job

	// runs counts the targets that may have run the request.
	runs int
	// headerSent is set once a part of the target's response has been written to the caller.
	headerSent  bool
	lastEventID string
	summary     requestSummary
}

// ServeHTTP serves one request: it admits it, waits for a slot and forwards the target's response or refuses it.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r := &request{gateway: g, w: w, req: req, path: req.URL.EscapedPath(), arrived: g.clock.Now()}
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	headers, found := platform.ParseRequestHeader(req.Header)
	r.headers = headers
	if !found {
		r.refuse(lovageshift.NotRun(lovageshift.ReasonBodyInvalid, "no request id"))
		return
	}
	if g.refusingNew.Load() {
		r.refuse(lovageshift.NotRun(lovageshift.ReasonStopping, "the entry is stopping").WithRetryAfter(shortRetryAfter))
		return
	}
	if refusal := r.admit(); refusal != nil {
		r.refuse(refusal)
		return
	}
	ctx := req.Context()
	if r.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, (r.deadline - g.clock.Now()).Duration())
		defer cancel()
		r.setWriteDeadline()
		defer r.clearWriteDeadline()
	}
	defer r.refundUnused()
	lovageshift.Pause(ctx, r.summary.throttled.Duration())
	r.run(ctx)
}

// setWriteDeadline ends the connection of a caller that has not read its response slowReaderMargin after the deadline,
// so that it does not occupy a target any longer.
func (r *request) setWriteDeadline() {
	left := r.deadline - r.gateway.clock.Now() + slowReaderMargin
	if err := http.NewResponseController(r.w).SetWriteDeadline(time.Now().Add(left.Duration())); err != nil {
		r.gateway.log.Info("writesNotLimited", "request", r.headers.ID, "error", err.Error())
	}
}

func (r *request) clearWriteDeadline() {
	if err := http.NewResponseController(r.w).SetWriteDeadline(time.Time{}); err != nil {
		r.gateway.log.Info("writesNotLimited", "request", r.headers.ID, "error", err.Error())
	}
}

// admit finds the route and the client account, reads the body, checks the quarantine and charges the account.
func (r *request) admit() *lovageshift.Refusal {
	if refusal := r.authorize(); refusal != nil {
		return refusal
	}
	if refusal := r.readBody(); refusal != nil {
		return refusal
	}
	if r.gateway.suspects.refuses(r.gateway.clock.Now(), r.fingerprint()) {
		return lovageshift.NotRun(lovageshift.ReasonQuarantined, "targets crashed while it ran").WithRetryAfter(quarantineRetryAfter)
	}
	return r.charge()
}

func (r *request) authorize() *lovageshift.Refusal {
	g := r.gateway
	view := g.tracker.View()
	if view == nil {
		return lovageshift.NotRun(lovageshift.ReasonUnconfirmed, "no configuration yet").WithRetryAfter(unconfirmedRetryAfter)
	}
	r.version = view.Catalog.Version
	r.route = view.Catalog.RouteFor(r.req.Host, r.path)
	if r.route == nil {
		if !g.ViewFresh() {
			return refuseStaleView()
		}
		return lovageshift.NotRun(lovageshift.ReasonNotFound, "no route")
	}
	r.service = r.route.ServiceFor(routingPoint(r.headers.ID))
	r.tokensPerEvent = 1
	if service := view.Catalog.Service(r.service); service != nil {
		r.tokensPerEvent = max(service.EventTokens, 1)
	}
	r.deadline = r.route.Timeout
	if r.headers.CallerTimeout > 0 && (r.deadline == 0 || r.headers.CallerTimeout < r.deadline) {
		r.deadline = r.headers.CallerTimeout
	}
	if r.deadline > 0 {
		r.deadline += r.arrived - responseMargin
	}
	return r.identify(view)
}

// refuseStaleView returns the refusal of a request that needs a recently confirmed configuration.
func refuseStaleView() *lovageshift.Refusal {
	return lovageshift.NotRun(lovageshift.ReasonUnconfirmed, "configuration too old").WithRetryAfter(unconfirmedRetryAfter)
}

// needsKey reports whether the request must carry the key of a client account.
func (r *request) needsKey(view *catalog.View) bool {
	return !r.route.Anonymous && view.Catalog.NeedsKeys()
}

// identify finds the client account by its key.
func (r *request) identify(view *catalog.View) *lovageshift.Refusal {
	r.account = view.Catalog.AccountFor(r.headers.Key)
	if !r.needsKey(view) {
		return nil
	}
	if !r.gateway.ViewFresh() {
		return refuseStaleView()
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
	body, err := io.ReadAll(http.MaxBytesReader(r.w, r.req.Body, limit))
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
	r.cost = quota.Cost(r.account, r.headers.HasTokenCounts, r.headers.PromptTokens+r.headers.OutputTokens)
	wait, ok := r.gateway.meter.Charge(r.gateway.clock.Now(), r.account, r.cost, r.maxQuotaWait())
	if !ok {
		return lovageshift.NotRun(lovageshift.ReasonRateExceeded, "beyond the account's rate and burst").WithRetryAfter(wait)
	}
	r.charged = true
	r.summary.throttled = wait
	return nil
}

// maxQuotaWait returns how long the request may wait for its account's tokens.
func (r *request) maxQuotaWait() lovageshift.Millis {
	return lovageshift.Millis(float64(r.route.Objective) * maxThrottleShare)
}

// refundUnused returns the unused part of the charge to the account: all of it if no target ran the request.
func (r *request) refundUnused() {
	if !r.charged {
		return
	}
	r.charged = false
	if r.runs == 0 {
		r.gateway.meter.Refund(r.account, r.cost)
		return
	}
	produced := lovageshift.Tokens(r.summary.events * r.tokensPerEvent)
	if r.headers.HasTokenCounts && produced < r.headers.OutputTokens {
		r.gateway.meter.Settle(r.account, r.headers.OutputTokens-produced)
	}
}

// recheck repeats the checks of the key and the target just before sending, as the view may have changed since arrival.
func (r *request) recheck(slot *placement.Slot) *lovageshift.Refusal {
	g := r.gateway
	view := g.tracker.View()
	if r.needsKey(view) {
		if !g.ViewFresh() {
			return refuseStaleView()
		}
		if view.Catalog.AccountFor(r.headers.Key) == nil {
			return lovageshift.NotRun(lovageshift.ReasonKeyUnknown, "the key was withdrawn")
		}
	}
	if !view.MaySend(slot.Target.ID, slot.Target.Born) {
		return lovageshift.NotRun(lovageshift.ReasonTargetLeaving, "the target is leaving")
	}
	return nil
}

// timeLeft returns how long the target may take from now on, 0 for no bound.
func (r *request) timeLeft() lovageshift.Millis {
	if r.deadline == 0 {
		return 0
	}
	return max(r.deadline+responseMargin-r.gateway.clock.Now(), 1)
}

// rank returns the request's rank, which orders first by the account's rank and then by the route's.
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
		QueueDeadline: r.arrived + lovageshift.Millis(float64(objective)*maxWaitShare),
		PromptTokens:  r.headers.PromptTokens,
		OutputTokens:  r.headers.OutputTokens,
	}
	job.RefusedBefore = r.gateway.refused.take(r.gateway.clock.Now(), r.shortFingerprint())
	if job.RefusedBefore {
		job.QueueDeadline = r.arrived + returnedMaxWait
		if r.deadline > 0 {
			job.QueueDeadline = min(job.QueueDeadline, r.arrived+(r.deadline-r.arrived)/2)
		}
	}
	return job
}
