package trial

import (
	"math"
	"sort"
	"time"

	"lovageshift"
)

// usedTokens returns the prompt tokens, as the stand-in engines count them, and the output tokens of a request of which
// the caller received any token, and 0 for another request.
func (r *RequestResult) usedTokens() float64 {
	if r.Reply.Tokens == 0 {
		return 0
	}
	return float64(len(r.Request.Prompt)/bytesPerToken + 1 + r.Reply.Tokens)
}

// maxCharge returns the charge of a request on admission: an estimate from the request's size and output limit of the
// most tokens that it could consume.
func (r *RequestResult) maxCharge() float64 {
	const overheadBytes = 160 // bytes of the request's body without its prompt
	return math.Ceil(float64(len(r.Request.Prompt)+overheadBytes)/bytesPerToken) + float64(max(r.Request.MaxTokens, r.Request.OutputTokens))
}

// OverAdmission returns the largest excess, over all time windows, of the tokens that the account used above burst plus
// rate times the window's length. A request's tokens count at the time it was sent. Rate is in tokens per second, burst
// in tokens. A negative result means that no window exceeds its bound; it is -Inf if the account used nothing.
func (r *Result) OverAdmission(account lovageshift.AccountID, rate, burst float64) float64 {
	var answered []*RequestResult
	for i := range r.Requests {
		if request := &r.Requests[i]; request.Class.Account == account && request.usedTokens() > 0 {
			answered = append(answered, request)
		}
	}
	sort.Slice(answered, func(i, j int) bool { return answered[i].Reply.SentAt.Before(answered[j].Reply.SentAt) })
	worst := math.Inf(-1)
	for i := range answered {
		sum := 0.0
		for _, last := range answered[i:] {
			sum += last.usedTokens()
			seconds := last.Reply.SentAt.Sub(answered[i].Reply.SentAt).Seconds()
			worst = max(worst, sum-burst-rate*seconds)
		}
	}
	return worst
}

// RefusedShare returns the share of the account's requests that were refused because of its quota, or because the
// issuers of its tokens were unreachable.
func (r *Result) RefusedShare(account lovageshift.AccountID) float64 {
	total, refused := 0, 0
	for i := range r.Requests {
		request := &r.Requests[i]
		if request.Class.Account != account {
			continue
		}
		total++
		switch lovageshift.Reason(request.Reply.Reason) {
		case lovageshift.ReasonRateExceeded, lovageshift.ReasonIssuerUnreachable:
			refused++
		}
	}
	return float64(refused) / float64(max(total, 1))
}

// staticBucket is one entry's token bucket when an account's quota is split evenly over the entries.
type staticBucket struct {
	level float64       // in tokens
	at    time.Duration // of the last refill, from the start of the workload
}

// refund is the unused part of a charge, credited to the entry's bucket when the request ends.
type refund struct {
	at     time.Duration // from the start of the workload
	entry  int           // number of the entry, from 0
	tokens float64
}

// StaticSplitRefusedShare returns the share of the account's requests that a quota split evenly over the entries would
// refuse. It replays the run: each request is charged to its entry's bucket on arrival, and what it did not use is
// refunded when it ended in the run. Rate is in tokens per second, burst in tokens.
func (r *Result) StaticSplitRefusedShare(account lovageshift.AccountID, rate, burst float64, entries int) float64 {
	buckets := make([]staticBucket, entries)
	for i := range buckets {
		buckets[i].level = burst / float64(entries)
	}
	var refunds []refund
	total, refused := 0, 0
	for i := range r.Requests {
		request := &r.Requests[i]
		if request.Class.Account != account {
			continue
		}
		total++
		refunds = applyRefunds(buckets, refunds, request.At, rate, burst)
		bucket := &buckets[request.Entry]
		bucket.advance(request.At, rate/float64(entries), burst/float64(entries))
		if bucket.level < request.maxCharge() {
			refused++
			continue
		}
		bucket.level -= request.maxCharge()
		refunds = append(refunds, refund{request.At + request.Reply.TimeToLastToken, request.Entry, request.maxCharge() - request.usedTokens()})
	}
	return float64(refused) / float64(max(total, 1))
}

// advance refills the bucket for the time since the last refill; rate and burst are those of one entry.
func (b *staticBucket) advance(now time.Duration, rate, burst float64) {
	b.level = min(b.level+rate*(now-b.at).Seconds(), burst)
	b.at = now
}

// applyRefunds credits the refunds that are due at the time now and returns the others. Rate and burst are those of the
// whole account.
func applyRefunds(buckets []staticBucket, refunds []refund, now time.Duration, rate, burst float64) []refund {
	entryCount := float64(len(buckets))
	var pending []refund
	for _, next := range refunds {
		if next.at > now {
			pending = append(pending, next)
			continue
		}
		bucket := &buckets[next.entry]
		bucket.advance(now, rate/entryCount, burst/entryCount)
		bucket.level = min(bucket.level+next.tokens, burst/entryCount)
	}
	return pending
}

// Served returns the tokens used by the account's correctly answered requests, and the share of its requests that these
// are.
func (r *Result) Served(account lovageshift.AccountID) (tokens, completeShare float64) {
	total, complete := 0, 0
	for i := range r.Requests {
		request := &r.Requests[i]
		if request.Class.Account != account {
			continue
		}
		total++
		if request.Reply.Correct(request.Request) {
			complete++
			tokens += request.usedTokens()
		}
	}
	return tokens, float64(complete) / float64(max(total, 1))
}
