package gateway

import (
	"net/http"
	"strings"

	"github.com/gravitational/trace"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/platform"
	"lovageshift/quota"
	"lovageshift/reservation"
)

// PlacementQuery describes a request of which an operator asks where it would go now.
type PlacementQuery struct {
	// Host and Path select the route, as of a caller's request.
	Host string `json:"host"`
	Path string `json:"path"`
	// RequestID selects the service of a route whose requests are divided among several.
	RequestID string `json:"requestId"`
	// Account is the client account, "" for a request without a key.
	Account lovageshift.AccountID `json:"account"`
	// Zone is the availability zone from which the request is sent, "" for that of the entry.
	Zone lovageshift.ZoneID `json:"zone"`
	// PromptTokens and OutputTokens are what the caller declares, both 0 if it declares nothing. ExpectedOutput is its
	// estimate of the output, 0 for none.
	PromptTokens   lovageshift.Tokens `json:"promptTokens"`
	OutputTokens   lovageshift.Tokens `json:"outputTokens"`
	ExpectedOutput lovageshift.Tokens `json:"expectedOutput"`
	// TimeoutMillis is how long the caller waits for the response, 0 if it does not say.
	TimeoutMillis lovageshift.Millis `json:"timeoutMillis"`
	// RefusedBefore is set for a request that its caller repeats after a refusal.
	RefusedBefore bool `json:"refusedBefore"`
}

// Check returns an error that names the first invalid or missing field.
func (i PlacementQuery) Check() error {
	switch {
	case i.Host == "":
		return trace.BadParameter("host: missing")
	case !strings.HasPrefix(i.Path, "/"):
		return trace.BadParameter("path: %q does not begin with a slash", i.Path)
	}
	counts := []struct {
		field string
		value int64
	}{
		{"promptTokens", int64(i.PromptTokens)},
		{"outputTokens", int64(i.OutputTokens)},
		{"expectedOutput", int64(i.ExpectedOutput)},
		{"timeoutMillis", int64(i.TimeoutMillis)},
	}
	for _, count := range counts {
		if count.value < 0 {
			return trace.BadParameter("%s: %d is negative", count.field, count.value)
		}
	}
	return nil
}

// PlacementAnswer says where a request would go now and why. The body of the request and the parts of its prompt, which may be
// quarantined, are not considered.
type PlacementAnswer struct {
	Route   lovageshift.RouteID   `json:"route"`
	Service catalog.ServiceID     `json:"service"`
	Account lovageshift.AccountID `json:"account"`
	// Zone is the availability zone from which the request is sent.
	Zone lovageshift.ZoneID `json:"zone"`
	// Rank is the rank in the queue; requests of the smallest number go first.
	Rank lovageshift.Rank `json:"rank"`
	// Allowance is what is left to the client account, Cost what the request is charged, in tokens.
	Allowance quota.Allowance    `json:"allowance"`
	Cost      lovageshift.Tokens `json:"cost"`
	// Refused is the reason for which the request would be refused before it is queued, "" if it would be queued.
	Refused    lovageshift.Reason `json:"refused,omitempty"`
	Detail     string             `json:"detail,omitempty"`
	RetryAfter lovageshift.Millis `json:"retryAfterMillis,omitempty"`
	// QueueTime is how long the request may wait for a slot.
	QueueTime lovageshift.Millis `json:"queueMillis"`
	// Groups are the groups of the service's targets. The request is sent to one of them, drawn by its free slots.
	Groups []reservation.GroupExplanation `json:"groups"`
}

func (a PlacementAnswer) refuse(refusal *lovageshift.Refusal) PlacementAnswer {
	a.Refused, a.Detail, a.RetryAfter = refusal.Reason, refusal.Detail, refusal.RetryAfter
	return a
}

// Where explains where a request would go now, by the code that decides on callers' requests, and changes nothing. Its error
// names the field of a query that is invalid or names what does not exist.
func (g *Gateway) Where(query PlacementQuery) (PlacementAnswer, error) {
	if err := query.Check(); err != nil {
		return PlacementAnswer{}, err
	}
	key, found := g.anyKeyOf(query.Account)
	if !found {
		return PlacementAnswer{}, trace.BadParameter("account: no client account %q with a key", query.Account)
	}
	return g.where(query, key), nil
}

func (g *Gateway) where(query PlacementQuery, key string) PlacementAnswer {
	r := g.hypotheticalRequest(query, key)
	refusal := r.authorize()
	if r.route == nil {
		return PlacementAnswer{}.refuse(refusal)
	}
	answer := PlacementAnswer{Route: r.route.ID, Service: r.service, Account: query.Account}
	if refusal != nil {
		return answer.refuse(refusal)
	}
	answer.Rank = r.rank()
	if r.account != nil {
		answer.Cost = r.quotaCost()
		answer.Allowance = g.meter.Allowance(r.arrived, r.account, answer.Cost)
	}
	if answer.Allowance.Wait > r.maxQuotaWait() {
		return answer.refuse(rateRefusal(answer.Allowance.Wait))
	}
	job := r.jobAfter(query.RefusedBefore)
	if query.Zone != "" {
		job.Zone = query.Zone
	}
	answer.Zone = job.Zone
	answer.QueueTime = job.QueueDeadline - job.Arrived
	answer.Groups = g.reservations.Explain(r.arrived, job)
	return answer
}

// hypotheticalRequest returns the request of a query, which is not sent.
func (g *Gateway) hypotheticalRequest(query PlacementQuery, key string) *request {
	headers := platform.RequestHeader{
		ID: query.RequestID, CallerTimeout: query.TimeoutMillis, Key: key,
		HasTokenCounts: query.PromptTokens > 0 || query.OutputTokens > 0,
		PromptTokens:   query.PromptTokens, OutputTokens: query.OutputTokens, OutputEstimate: query.ExpectedOutput,
	}
	return &request{gateway: g, req: &http.Request{Host: query.Host}, path: query.Path, headers: headers, arrived: g.clock.Now()}
}

// anyKeyOf returns a key that the client account holds, and false if there is none. Without an account it returns "" and true.
func (g *Gateway) anyKeyOf(id lovageshift.AccountID) (string, bool) {
	view := g.tracker.View()
	if id == "" || view == nil {
		return "", true
	}
	account := view.Catalog.Accounts()[id]
	if account == nil || len(account.Keys) == 0 {
		return "", false
	}
	return account.Keys[0], true
}
