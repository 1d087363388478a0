package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/delivery"
	"lovageshift/memory"
	"lovageshift/placement"
	"lovageshift/platform"
	"lovageshift/quarantine"
	"lovageshift/quota"
)

const (
	// The response, or a refusal, must have been written this long before the caller's or the route's timeout, whichever
	// is shorter. Both timeouts count from the request's arrival.
	responseMargin lovageshift.Millis = 20
	// Writes to a caller that reads its response too slowly fail from this long after request.deadline on.
	slowReaderMargin lovageshift.Millis = 400
	// A request is refused if it would have to wait for its account's tokens for more than this share of its route's
	// latency objective. If the route sets no objective, the request is refused if it would have to wait at all.
	maxThrottleShare = 0.25
	// Number of route ranks that are distinguished within one account rank. Route ranks above the highest of these count
	// as the highest.
	routeRanks lovageshift.Rank = 16
	// Account rank of accounts for which the operator gave none, and of requests without an account.
	defaultAccountRank lovageshift.Rank = 1
	// Latency objective of routes that set none. It does not apply to the wait for the account's tokens; see
	// maxThrottleShare.
	defaultObjective lovageshift.Millis = 1000
	// Retry-After while the entry has no configuration yet, or has had no recent confirmation that its configuration is
	// the newest.
	unconfirmedRetryAfter lovageshift.Millis = 500
)

// request is the state of one caller's request in the gateway.
type request struct {
	gateway *Gateway
	w       http.ResponseWriter
	req     *http.Request
	headers platform.RequestHeader
	// path is the URL's path, still percent-encoded.
	path    string
	arrived lovageshift.Millis
	// deadline is when the complete response must have been received from the target and written to the caller:
	// responseMargin before the caller's or the route's timeout, whichever is shorter. 0 for no bound.
	deadline lovageshift.Millis

	route *catalog.Route
	// service is the service whose targets may run the request.
	service catalog.ServiceID
	// account is the client account that holds the key, nil if none does.
	account *catalog.Account
	// version is the version of the configuration at arrival.
	version lovageshift.Revision
	// cost is what the account is charged: tokens, or 1 if the account is charged per request. charged is true from the
	// charge until refundUnused has been called.
	cost    lovageshift.Tokens
	charged bool
	// cachedFingerprint is the result of fingerprint, 0 before its first call.
	cachedFingerprint lovageshift.Fingerprint
	// cachedParts is the result of sharedParts, nil before its first call.
	cachedParts []quarantine.Part
	// isTrial is set if the request is sent although a part of its prompt is blocked.
	isTrial bool
	// tokensPerEvent is the number of tokens in one event of a stream, 1 if the service's configuration does not give it.
	tokensPerEvent int
	body           []byte
	// held is the memory that is reserved for the body, nil if the request has none.
	held *memory.Reservation
	// unread is set if reading the body has failed and the connection is closed after the answer.
	unread bool
	// job is the request in the form in which it is submitted to the scheduler, nil until the request waits for a slot.
	job *placement.Job

	// release is the software version at which the request's stream began, hasRelease whether there is one.
	release    lovageshift.SoftwareVersion
	hasRelease bool
	// originFound is set if the caller takes up a stream of which it is on record where it began.
	originFound bool
	// releaseUnknown is set if the stream began at a target whose version is not known.
	releaseUnknown bool
	// runs counts the attempts in which a target may have run the request, inFlight those that have no result yet.
	runs, inFlight int
	// answer is the answer to the caller; it begins with the header of a target's response.
	answer *delivery.Answer
	// lastEventID is the ID of the last event received that has one, "" before that. Another target resumes the stream
	// after this event.
	lastEventID string
	// positionLost is set if the caller has got events after that one, whose IDs are not known.
	positionLost bool
	summary      requestSummary
}

// ServeHTTP serves one request: it admits the request, waits for a slot and forwards the target's response, or refuses
// the request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r := &request{gateway: g, w: w, req: req, path: req.URL.EscapedPath(), arrived: g.clock.Now(), answer: delivery.New(w, req)}
	defer func() { r.held.Release() }()
	headers, found := platform.ParseRequestHeader(req.Header)
	r.headers = headers
	if !found {
		r.refuse(lovageshift.NotRun(lovageshift.ReasonBodyInvalid, "no request id"))
		return
	}
	if g.refusingNew.Load() {
		r.refuse(stoppingRefusal())
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

// setWriteDeadline makes writes to the caller fail from slowReaderMargin after request.deadline on, so that a request
// whose caller reads too slowly does not hold its slot any longer.
func (r *request) setWriteDeadline() {
	left := r.deadline - r.gateway.clock.Now() + slowReaderMargin
	if err := http.NewResponseController(r.w).SetWriteDeadline(time.Now().Add(left.Duration())); err != nil {
		r.gateway.log.Info("writesNotLimited", "request", r.headers.ID, "error", err.Error())
	}
}

// clearWriteDeadline removes the write deadline from the connection, as the next request on the connection may have no
// deadline.
func (r *request) clearWriteDeadline() {
	if err := http.NewResponseController(r.w).SetWriteDeadline(time.Time{}); err != nil {
		r.gateway.log.Info("writesNotLimited", "request", r.headers.ID, "error", err.Error())
	}
}

// admit finds the route and the client account, reads the body, checks whether the request is quarantined and charges
// the account.
func (r *request) admit() *lovageshift.Refusal {
	if refusal := r.authorize(); refusal != nil {
		return refusal
	}
	if refusal := r.readBody(); refusal != nil {
		return refusal
	}
	if refusal := r.checkQuarantine(); refusal != nil {
		return refusal
	}
	return r.charge()
}

// checkQuarantine refuses the request if targets crashed while it or other requests with a part of its prompt ran.
func (r *request) checkQuarantine() *lovageshift.Refusal {
	g := r.gateway
	if g.suspects.refuses(g.clock.Now(), r.fingerprint()) {
		return lovageshift.NotRun(lovageshift.ReasonQuarantined, "targets crashed while it ran").WithRetryAfter(quarantineRetryAfter)
	}
	parts := r.sharedParts()
	if r.isTrial || !g.crashes.blocks(parts) {
		return nil
	}
	r.isTrial = g.crashes.startTrial(parts, func(part quarantine.Part) bool {
		return g.reservations.AmongFirst("trial/"+strconv.FormatUint(uint64(part), 16), 1)
	})
	if r.isTrial {
		return nil
	}
	return lovageshift.NotRun(lovageshift.ReasonQuarantined, "targets crashed under a part of its prompt").WithRetryAfter(quarantineRetryAfter)
}

// authorize finds the route, sets the service, the tokens per event and the deadline by it, and checks the key.
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
			return staleViewRefusal()
		}
		return lovageshift.NotRun(lovageshift.ReasonNotFound, "no route")
	}
	r.service = r.route.ServiceFor(routingPoint(r.streamAttempt()))
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

// staleViewRefusal returns the refusal of a request that cannot be decided because the view is not fresh (see
// ViewFresh).
func staleViewRefusal() *lovageshift.Refusal {
	return lovageshift.NotRun(lovageshift.ReasonUnconfirmed, "configuration too old").WithRetryAfter(unconfirmedRetryAfter)
}

// needsKey reports whether the request must carry the key of a client account.
func (r *request) needsKey(view *catalog.View) bool {
	return !r.route.Anonymous && view.Catalog.NeedsKeys()
}

// identify finds the client account that holds the key, and refuses a request that needs a key and has no valid one.
func (r *request) identify(view *catalog.View) *lovageshift.Refusal {
	r.account = view.Catalog.AccountFor(r.headers.Key)
	if !r.needsKey(view) {
		return nil
	}
	if !r.gateway.ViewFresh() {
		return staleViewRefusal()
	}
	if r.account == nil {
		return lovageshift.NotRun(lovageshift.ReasonKeyUnknown, "no client account holds the key")
	}
	return nil
}

// charge charges the account and sets how long the request must wait for the account's tokens, or refuses it.
func (r *request) charge() *lovageshift.Refusal {
	if r.account == nil {
		return nil
	}
	r.cost = r.quotaCost()
	wait, ok := r.gateway.meter.Charge(r.gateway.clock.Now(), r.account, r.cost, r.maxQuotaWait())
	if !ok {
		return rateRefusal(wait)
	}
	r.charged = true
	r.summary.throttled = wait
	return nil
}

// quotaCost returns what the account is charged for the request, in tokens.
func (r *request) quotaCost() lovageshift.Tokens {
	return quota.Cost(r.account, r.headers.HasTokenCounts, r.headers.PromptTokens+r.headers.OutputTokens)
}

// rateRefusal returns the refusal of a request whose account has the tokens for it only after the wait.
func rateRefusal(wait lovageshift.Millis) *lovageshift.Refusal {
	return lovageshift.NotRun(lovageshift.ReasonRateExceeded, "beyond the account's rate and burst").WithRetryAfter(wait)
}

// maxQuotaWait returns how long the request may wait for its account's tokens; 0, for no wait, if the route sets no
// latency objective.
func (r *request) maxQuotaWait() lovageshift.Millis {
	return lovageshift.Millis(float64(r.route.Objective) * maxThrottleShare)
}

// refundUnused credits the account with the unused part of the charge. That is the whole charge if no target can have
// run the request. Otherwise it is the declared output tokens less those in the forwarded events.
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

// recheck checks, just before the request is sent, that its key is still valid, that it is not quarantined and that the
// target may still get requests, as this may have changed since the request was admitted or the slot was granted.
func (r *request) recheck(slot *placement.Slot) *lovageshift.Refusal {
	g := r.gateway
	view := g.tracker.View()
	if r.needsKey(view) {
		if !g.ViewFresh() {
			return staleViewRefusal()
		}
		if view.Catalog.AccountFor(r.headers.Key) == nil {
			return lovageshift.NotRun(lovageshift.ReasonKeyUnknown, "the key was withdrawn")
		}
	}
	if refusal := r.checkQuarantine(); refusal != nil {
		return refusal
	}
	if !g.maySend(slot.Target.ID, slot.Target.Born) {
		return lovageshift.NotRun(lovageshift.ReasonTargetLeaving, "the target is leaving")
	}
	if g.scheduler.IsUnavailable(g.clock.Now(), slot.Target.ID, slot.Target.Born) {
		return lovageshift.NotRun(lovageshift.ReasonTargetOutOfService, "the target wants no requests for some time")
	}
	return nil
}

// sharedParts returns the parts of the prompt that prompts of other callers may share: all but the last one.
func (r *request) sharedParts() []quarantine.Part {
	parts := r.headers.PromptParts
	if len(parts) < 2 {
		return nil
	}
	if r.cachedParts == nil {
		for _, part := range parts[:len(parts)-1] {
			r.cachedParts = append(r.cachedParts, quarantine.PartOf(part.ID))
		}
	}
	return r.cachedParts
}

// timeLeft returns the time from now until the caller's or the route's timeout, whichever is shorter. The target may
// take that long to answer. It is at least 1 ms, or 0 for no bound.
func (r *request) timeLeft() lovageshift.Millis {
	if r.deadline == 0 {
		return 0
	}
	return max(r.deadline+responseMargin-r.gateway.clock.Now(), 1)
}

// rank returns the rank of the request in the queue; a lower rank is served first. Requests are ranked by their
// account's rank, and those of equal account rank by their route's.
func (r *request) rank() lovageshift.Rank {
	account := defaultAccountRank
	if r.account != nil && r.account.HasRank {
		account = r.account.Rank
	}
	return account*routeRanks + min(r.route.Rank, routeRanks-1)
}

// newJob returns the job for the scheduler. If the caller repeats a request whose refusal is on record, newJob deletes
// that record and sets RefusedBefore, unless the request goes on with a stream.
func (r *request) newJob() *placement.Job {
	wasRefused := r.gateway.refused.take(r.gateway.clock.Now(), r.shortFingerprint())
	return r.jobAfter(wasRefused)
}

// jobAfter returns the job for the scheduler of a request that was refused before or not.
func (r *request) jobAfter(wasRefused bool) *placement.Job {
	objective := r.route.Objective
	if objective == 0 {
		objective = defaultObjective
	}
	job := &placement.Job{
		Service:      r.service,
		Zone:         r.gateway.zone,
		Rank:         r.rank(),
		Weight:       r.gateway.tracker.View().Catalog.WeightOf(r.account),
		Arrived:      r.arrived,
		Objective:    objective,
		PromptTokens: r.headers.PromptTokens,
		OutputTokens: r.headers.OutputTokens,

		ExpectedOutput: r.expectedOutput(),
		MaxGap:         r.route.MaxGap,
		Deadline:       r.deadline,
		Resumes:        r.originFound,
		HasVersion:     r.hasRelease,
		Version:        r.release,
	}
	if r.account != nil {
		job.Account = quota.HashOf(r.account.ID)
	}
	job.RefusedBefore = wasRefused && !job.Resumes
	job.LimitWait()
	return job
}
