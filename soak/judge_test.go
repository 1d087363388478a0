package soak_test

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/soak"
	"lovageshift/standin"
)

// served returns an attempt that was answered well, and its arrival at a target.
func served(id, path string, at lovageshift.Millis) (*soak.Attempt, soak.Arrival) {
	ask := standin.ClientRequest{ID: id, Path: path + id, Body: "body", Key: "stable-key"}
	reply := standin.Reply{Status: http.StatusOK, Signed: true, ID: id, Body: "done by t-1", Complete: true}
	attempt := &soak.Attempt{Request: ask, Reply: reply, Account: "stable", Sent: at, Ended: at + 50}
	seen := standin.ReceivedRequest{ID: id, Executed: true, URI: ask.Path, Body: ask.Body, Account: "stable"}
	return attempt, soak.Arrival{ReceivedRequest: seen, At: at + 10, Target: "t-1", Service: "app", Zone: "zone-a"}
}

// judged returns the promises that a history of these attempts and arrivals breaks.
func judged(h *soak.History) []soak.Invariant {
	var broken []soak.Invariant
	for _, finding := range soak.Check(h) {
		broken = append(broken, finding.Invariant)
	}
	return broken
}

func one(path string, change func(*soak.Attempt, *soak.Arrival, *soak.History)) []soak.Invariant {
	attempt, arrival := served("r-1", path, 10_000)
	h := &soak.History{Attempts: []*soak.Attempt{attempt}, Arrivals: []soak.Arrival{arrival}}
	change(attempt, &h.Arrivals[0], h)
	return judged(h)
}

// many returns a history of as many requests, one each step of time.
func many(path string, count int, step lovageshift.Millis, change func(*soak.Attempt, *soak.Arrival)) *soak.History {
	h := &soak.History{}
	for number := range count {
		id := string(rune('a'+number%26)) + string(rune('a'+number/26))
		attempt, arrival := served(id, path, 10_000+lovageshift.Millis(number)*step)
		change(attempt, &arrival)
		h.Attempts = append(h.Attempts, attempt)
		h.Arrivals = append(h.Arrivals, arrival)
	}
	return h
}

func TestJudgeOfOneRequest(t *testing.T) {
	type change = func(*soak.Attempt, *soak.Arrival, *soak.History)
	Convey("A good history breaks nothing", t, func() {
		So(one("/book/", func(*soak.Attempt, *soak.Arrival, *soak.History) {}), ShouldBeEmpty)
	})
	cases := []struct {
		promise soak.Invariant
		path    string
		change  change
	}{
		{soak.AtMostOnce, "/book/", func(_ *soak.Attempt, a *soak.Arrival, h *soak.History) { h.Arrivals = append(h.Arrivals, *a) }},
		{soak.RefusedNotRun, "/book/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) {
			a.Reply = standin.Reply{Status: http.StatusServiceUnavailable, ID: "r-1", Complete: true}
		}},
		{soak.RequestUnchanged, "/book/", func(_ *soak.Attempt, a *soak.Arrival, _ *soak.History) { a.Body = "other" }},
		{soak.RequestUnchanged, "/book/", func(_ *soak.Attempt, a *soak.Arrival, _ *soak.History) { a.Account = "small" }},
		{soak.RequestUnchanged, "/book/", func(_ *soak.Attempt, a *soak.Arrival, _ *soak.History) { a.Authorization = "Token stable-key" }},
		{soak.RequestUnchanged, "/book/", func(_ *soak.Attempt, a *soak.Arrival, _ *soak.History) { a.ID = "r-2" }},
		{soak.ResponseIntact, "/book/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) { a.Reply.ID = "r-2" }},
		{soak.ResponseIntact, "/book/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) { a.Reply.Signed = false }},
		{soak.ResponseIntact, "/book/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) { a.Reply.Body = "do" }},
		{soak.StreamIntact, "/resume/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) { a.Reply.Events = []int{1, 3} }},
		{soak.StreamIntact, "/resume/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) { a.Reply.Events = []int{1, 2} }},
		{soak.StreamIntact, "/chat/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) {
			a.Reply.Events, a.Reply.Targets, a.Reply.Complete = []int{1, 2}, []string{"t-1", "t-2"}, false
			a.Ended = a.Sent + 3000
		}},
		{soak.KeysRevoked, "/book/", func(_ *soak.Attempt, _ *soak.Arrival, h *soak.History) {
			h.KeysRevokedAt = map[string]lovageshift.Millis{"stable-key": 4000}
		}},
		{soak.ZonesEvacuated, "/book/", func(_ *soak.Attempt, _ *soak.Arrival, h *soak.History) {
			h.ZoneOutages = map[string][]soak.Span{"zone-a": {{From: 4000}}}
		}},
		{soak.TargetsDrained, "/book/", func(_ *soak.Attempt, a *soak.Arrival, _ *soak.History) { a.DrainingSince = 6000 }},
		{soak.NoLossOnStopOrReload, "/book/", func(a *soak.Attempt, _ *soak.Arrival, h *soak.History) {
			a.Reply = standin.Reply{}
			h.FaultPeriods = []soak.FaultPeriod{{Kind: soak.EntryStopped, From: 9000, To: 12_000}}
		}},
		{soak.NoUnexpectedExits, "/book/", func(_ *soak.Attempt, _ *soak.Arrival, h *soak.History) { h.UnexpectedExits = []string{"entry-0"} }},
		{soak.NoDataRaces, "/book/", func(_ *soak.Attempt, _ *soak.Arrival, h *soak.History) { h.DataRaces = []string{"entry-0"} }},
		{soak.ServedAfterRecovery, "/book/", func(a *soak.Attempt, _ *soak.Arrival, h *soak.History) {
			a.Reply.Complete, h.RecoveryDue, a.Abandoned = true, 20_000, false
		}},
	}
	for _, c := range cases {
		Convey("A breach is found: "+string(c.promise)+" on "+c.path, t, func() {
			So(one(c.path, c.change), ShouldContain, c.promise)
		})
	}
	Convey("Bounds of time do not hold for an entry that is out of touch", t, func() {
		So(one("/book/", func(_ *soak.Attempt, a *soak.Arrival, h *soak.History) {
			a.DrainingSince = 6000
			h.FaultPeriods = []soak.FaultPeriod{{Kind: soak.EntryPaused, From: 5000, To: 7000}}
		}), ShouldBeEmpty)
	})
}

func TestJudgeOfManyRequests(t *testing.T) {
	same := func(*soak.Attempt, *soak.Arrival) {}
	Convey("A cold target gets its rate and no more", t, func() {
		cold := func(_ *soak.Attempt, a *soak.Arrival) { a.Cold = true }
		So(judged(many("/read/", 40, 100, cold)), ShouldBeEmpty)
		So(judged(many("/read/", 40, 20, cold)), ShouldContain, soak.ColdRateLimited)
	})
	Convey("What only the store tells is not asked for while the store is away", t, func() {
		again := func(_ *soak.Attempt, a *soak.Arrival) { a.Cold, a.ColdAgainAt = true, 9000 }
		h := many("/read/", 40, 20, again)
		So(judged(h), ShouldContain, soak.ColdRateLimited)
		h.FaultPeriods = []soak.FaultPeriod{{Kind: soak.StoreSilent, Entry: soak.AllEntries, From: 8000, To: 12_000}}
		So(judged(h), ShouldBeEmpty)
	})
	Convey("An account's quota is counted over all entries", t, func() {
		small := func(a *soak.Attempt, r *soak.Arrival) { a.Account, r.Account = "small", "small" }
		h := many("/read/", 300, 20, small)
		h.Quotas = []soak.Quota{{Rate: 400, Burst: 800}}
		So(judged(h), ShouldContain, soak.QuotaEnforced)
		h.Quotas = []soak.Quota{{Rate: 2000, Burst: 800}}
		So(judged(h), ShouldBeEmpty)
	})
	Convey("Second arrivals are bounded", t, func() {
		h := many("/read/", 40, 20, same)
		h.Arrivals = append(h.Arrivals, h.Arrivals...)
		So(judged(h), ShouldContain, soak.RetriesBounded)
	})
	Convey("A request that crashes targets is stopped", t, func() {
		fatal := func(a *soak.Attempt, r *soak.Arrival) {
			a.Request.Path, r.URI = "/fatal/1?q="+a.Request.ID, "/fatal/1?q="+a.Request.ID
		}
		So(judged(many("/fatal/", 6, 1000, fatal)), ShouldBeEmpty)
		So(judged(many("/fatal/", 14, 1000, fatal)), ShouldContain, soak.FatalRequestsStopped)
	})
	Convey("Late answers and denials are counted", t, func() {
		So(judged(many("/read/", 20, 20, func(a *soak.Attempt, _ *soak.Arrival) { a.Ended = a.Sent + 4000 })), ShouldContain, soak.AnsweredByDeadline)
		So(judged(many("/read/", 20, 20, func(a *soak.Attempt, _ *soak.Arrival) { a.Reply.Status = http.StatusNotFound })), ShouldContain, soak.ValidNotDenied)
	})
}
