package trial

import (
	"math"
	"sort"
	"time"

	"lovageshift"
)

// used returns the tokens that an answered request consumed.
func (o *RequestResult) used() float64 {
	if o.Reply.Tokens == 0 {
		return 0
	}
	return float64(len(o.Request.Prompt)/bytesPerToken + 1 + o.Reply.Tokens)
}

// charged returns the most tokens that a request could consume.
func (o *RequestResult) charged() float64 {
	const envelope = 160 // bytes of the request around its prompt
	return math.Ceil(float64(len(o.Request.Prompt)+envelope)/bytesPerToken) + float64(max(o.Request.MaxTokens, o.Request.OutputTokens))
}

// OverAdmission returns how many tokens of the account any window holds beyond burst plus rate times its length.
func (r *Result) OverAdmission(account lovageshift.AccountID, rate, burst float64) float64 {
	var spent []*RequestResult
	for i := range r.Requests {
		if outcome := &r.Requests[i]; outcome.Class.Account == account && outcome.used() > 0 {
			spent = append(spent, outcome)
		}
	}
	sort.Slice(spent, func(i, j int) bool { return spent[i].Reply.SentAt.Before(spent[j].Reply.SentAt) })
	worst := math.Inf(-1)
	for i := range spent {
		sum := 0.0
		for _, last := range spent[i:] {
			sum += last.used()
			length := last.Reply.SentAt.Sub(spent[i].Reply.SentAt).Seconds()
			worst = max(worst, sum-burst-rate*length)
		}
	}
	return worst
}

// RefusedShare returns the share of the account's requests that were refused for their rate.
func (r *Result) RefusedShare(account lovageshift.AccountID) float64 {
	asked, refused := 0, 0
	for i := range r.Requests {
		outcome := &r.Requests[i]
		if outcome.Class.Account != account {
			continue
		}
		asked++
		switch lovageshift.Reason(outcome.Reply.Reason) {
		case lovageshift.ReasonRateExceeded, lovageshift.ReasonIssuerUnreachable:
			refused++
		}
	}
	return float64(refused) / float64(max(asked, 1))
}

// staticBucket is one entry's part of a grant that is split by the number of entries.
type staticBucket struct {
	level float64
	at    time.Duration
}

type refund struct {
	at     time.Duration
	entry  int
	tokens float64
}

// StaticSplitRefusedShare returns the share of the same requests that a grant split over the entries would refuse,
// with the same greatest charge before and refund after each.
func (r *Result) StaticSplitRefusedShare(account lovageshift.AccountID, rate, burst float64, entries int) float64 {
	buckets := make([]staticBucket, entries)
	for i := range buckets {
		buckets[i].level = burst / float64(entries)
	}
	var refunds []refund
	asked, refused := 0, 0
	for i := range r.Requests {
		outcome := &r.Requests[i]
		if outcome.Class.Account != account {
			continue
		}
		asked++
		refunds = settle(buckets, refunds, outcome.At, rate, burst)
		bucket := &buckets[outcome.Entry]
		bucket.advance(outcome.At, rate/float64(entries), burst/float64(entries))
		if bucket.level < outcome.charged() {
			refused++
			continue
		}
		bucket.level -= outcome.charged()
		refunds = append(refunds, refund{outcome.At + outcome.Reply.TimeToLastToken, outcome.Entry, outcome.charged() - outcome.used()})
	}
	return float64(refused) / float64(max(asked, 1))
}

func (b *staticBucket) advance(now time.Duration, rate, burst float64) {
	b.level = min(b.level+rate*(now-b.at).Seconds(), burst)
	b.at = now
}

func settle(buckets []staticBucket, refunds []refund, now time.Duration, rate, burst float64) []refund {
	parts := float64(len(buckets))
	var left []refund
	for _, one := range refunds {
		if one.at > now {
			left = append(left, one)
			continue
		}
		bucket := &buckets[one.entry]
		bucket.advance(now, rate/parts, burst/parts)
		bucket.level = min(bucket.level+one.tokens, burst/parts)
	}
	return left
}

// Served returns the tokens served to the account and the share of its requests that were answered in whole.
func (r *Result) Served(account lovageshift.AccountID) (tokens, share float64) {
	asked, whole := 0, 0
	for i := range r.Requests {
		outcome := &r.Requests[i]
		if outcome.Class.Account != account {
			continue
		}
		asked++
		if outcome.Reply.Correct(outcome.Request) {
			whole++
			tokens += outcome.used()
		}
	}
	return tokens, float64(whole) / float64(max(asked, 1))
}
