package soak_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/soak"
	"lovageshift/standin"
)

// answered returns an attempt that violates no invariant, sent at a time, and the arrival of its request at a target.
func answered(id, path string, at lovageshift.Millis) (*soak.Attempt, soak.Arrival) {
	request := standin.CallerRequest{ID: id, Path: path + id, Body: "body", Key: "stable-key"}
	reply := standin.Reply{Status: http.StatusOK, Signed: true, RequestID: id, Body: "done by t-1", Complete: true}
	attempt := &soak.Attempt{Request: request, Reply: reply, Account: "stable", Sent: at, Ended: at + 50}
	received := standin.ReceivedRequest{ID: id, Executed: true, URI: request.Path, Body: request.Body, Account: "stable"}
	return attempt, soak.Arrival{ReceivedRequest: received, At: at + 10, Target: "t-1", Service: "app", Zone: "zone-a"}
}

// violated returns the invariants that a history violates.
func violated(h *soak.History) []soak.Invariant {
	var invariants []soak.Invariant
	for _, violation := range soak.Check(h) {
		invariants = append(invariants, violation.Invariant)
	}
	return invariants
}

// violatedByOne returns the invariants that a history of one valid request violates once change has altered it.
func violatedByOne(path string, change func(*soak.Attempt, *soak.Arrival, *soak.History)) []soak.Invariant {
	attempt, arrival := answered("r-1", path, 10_000)
	h := &soak.History{Attempts: []*soak.Attempt{attempt}, Arrivals: []soak.Arrival{arrival}}
	change(attempt, &h.Arrivals[0], h)
	return violated(h)
}

// manyRequests returns a history of count requests, sent step milliseconds apart, each altered by change.
func manyRequests(
	path string, count int, step lovageshift.Millis, change func(*soak.Attempt, *soak.Arrival),
) *soak.History {
	h := &soak.History{}
	for number := range count {
		id := string(rune('a'+number%26)) + string(rune('a'+number/26))
		attempt, arrival := answered(id, path, 10_000+lovageshift.Millis(number)*step)
		change(attempt, &arrival)
		h.Attempts = append(h.Attempts, attempt)
		h.Arrivals = append(h.Arrivals, arrival)
	}
	return h
}

func TestCheckOneRequest(t *testing.T) {
	type change = func(*soak.Attempt, *soak.Arrival, *soak.History)
	Convey("A valid history violates no invariant", t, func() {
		So(violatedByOne("/book/", func(*soak.Attempt, *soak.Arrival, *soak.History) {}), ShouldBeEmpty)
	})
	cases := []struct {
		invariant soak.Invariant
		path      string
		change    change
	}{
		{soak.AtMostOnce, "/book/", func(_ *soak.Attempt, a *soak.Arrival, h *soak.History) { h.Arrivals = append(h.Arrivals, *a) }},
		{soak.RefusedNotRun, "/book/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) {
			a.Reply = standin.Reply{Status: http.StatusServiceUnavailable, RequestID: "r-1", Complete: true}
		}},
		{soak.RefusedNotRun, "/read/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) {
			a.Reply = standin.Reply{Status: http.StatusServiceUnavailable, RequestID: "r-1", Complete: true}
		}},
		{soak.RequestUnchanged, "/book/", func(_ *soak.Attempt, a *soak.Arrival, _ *soak.History) { a.Body = "other" }},
		{soak.RequestUnchanged, "/book/", func(_ *soak.Attempt, a *soak.Arrival, _ *soak.History) { a.Account = "small" }},
		{soak.RequestUnchanged, "/book/", func(_ *soak.Attempt, a *soak.Arrival, _ *soak.History) { a.Authorization = "Token stable-key" }},
		{soak.RequestUnchanged, "/book/", func(_ *soak.Attempt, a *soak.Arrival, _ *soak.History) { a.ID = "r-2" }},
		{soak.ResponseIntact, "/book/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) { a.Reply.RequestID = "r-2" }},
		{soak.ResponseIntact, "/book/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) { a.Reply.Signed = false }},
		{soak.ResponseIntact, "/book/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) { a.Reply.Body = "do" }},
		{soak.OneVersion, "/resume/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) { a.Reply.Versions = []string{"v0", "v1"} }},
		{soak.OneVersion, "/resume/", func(a *soak.Attempt, _ *soak.Arrival, h *soak.History) {
			first := *a
			first.Request.ID, first.Reply.RequestID, first.Reply.Versions = "first", "first", []string{"v0"}
			h.Attempts = append(h.Attempts, &first)
			a.Request.Resumes, a.Request.LastEventID = "first", 2
			a.Reply.EventIDs, a.Reply.Versions, a.Reply.Complete = []int{3}, []string{"v1"}, false
		}},
		{soak.StreamIntact, "/resume/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) { a.Reply.EventIDs = []int{1, 3} }},
		{soak.StreamIntact, "/resume/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) { a.Reply.EventIDs = []int{1, 2} }},
		{soak.StreamIntact, "/chat/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) {
			a.Reply.EventIDs, a.Reply.Targets, a.Reply.Complete = []int{1, 2}, []string{"t-1", "t-2"}, false
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
		Convey("A violation is found: "+string(c.invariant)+" on "+c.path, t, func() {
			So(violatedByOne(c.path, c.change), ShouldContain, c.invariant)
		})
	}
	Convey("A stream that is taken up after its last event goes on with an empty body, and no other one does", t, func() {
		takenUpAfter := func(event int, body string) []soak.Invariant {
			return violatedByOne("/resume/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) {
				a.Request.LastEventID, a.Reply.Body = event, body
			})
		}
		So(takenUpAfter(8, ""), ShouldBeEmpty)
		So(takenUpAfter(8, "id: 9"), ShouldContain, soak.ResponseIntact)
		So(takenUpAfter(7, ""), ShouldContain, soak.ResponseIntact)
		So(takenUpAfter(0, ""), ShouldContain, soak.ResponseIntact)
	})
	Convey("Bounds of time do not apply to an entry during a fault that affects it and shortly after", t, func() {
		So(violatedByOne("/book/", func(_ *soak.Attempt, a *soak.Arrival, h *soak.History) {
			a.DrainingSince = 6000
			h.FaultPeriods = []soak.FaultPeriod{{Kind: soak.EntryPaused, From: 5000, To: 7000}}
		}), ShouldBeEmpty)
	})
}

func TestCheckRequestsInParts(t *testing.T) {
	// inParts returns the invariants that a request violates whose connection ends without an answer a time after its first part.
	inParts := func(after lovageshift.Millis, reply standin.Reply, period soak.FaultPeriod) []soak.Invariant {
		attempt, _ := answered("r-1", "/book/", 10_000)
		attempt.Parts, attempt.Reply, attempt.Ended = &soak.Parts{First: 10, Length: 90}, reply, attempt.Sent+after
		return violated(&soak.History{Attempts: []*soak.Attempt{attempt}, FaultPeriods: []soak.FaultPeriod{period}})
	}
	period := func(kind soak.Kind, entry int, from, to lovageshift.Millis) soak.FaultPeriod {
		return soak.FaultPeriod{Kind: kind, Entry: entry, From: from, To: to}
	}
	none, stop := standin.Reply{}, period(soak.EntryStopped, 0, 9000, 17_000)
	Convey("A begun request without an answer is a violation, also while its entry stops or the store fails", t, func() {
		So(inParts(2000, none, stop), ShouldContain, soak.BegunAnswered)
		So(inParts(6, none, stop), ShouldContain, soak.BegunAnswered)
		So(inParts(2000, none, period(soak.StoreFails, soak.AllEntries, 9000, 17_000)), ShouldContain, soak.BegunAnswered)
		So(inParts(2000, none, period(soak.EntryKilled, 1, 9000, 17_000)), ShouldContain, soak.BegunAnswered)
		So(inParts(2000, none, period(soak.EntryKilled, 0, 13_000, 17_000)), ShouldContain, soak.BegunAnswered)
		So(inParts(2000, none, period(soak.EntryKilled, 0, 9000, 9900)), ShouldContain, soak.BegunAnswered)
		So(inParts(2000, none, period(soak.EntryPaused, 0, 1000, 1900)), ShouldContain, soak.BegunAnswered)
	})
	Convey("A request that may have crossed the end of its connection, or whose entry was killed or paused, may have no answer", t, func() {
		So(inParts(5, none, stop), ShouldBeEmpty)
		So(inParts(2000, none, period(soak.EntryKilled, 0, 11_000, 12_000)), ShouldBeEmpty)
		So(inParts(2000, none, period(soak.AllKilled, soak.AllEntries, 11_000, 12_000)), ShouldBeEmpty)
		So(inParts(2000, none, period(soak.EntryPaused, 0, 1000, 2100)), ShouldBeEmpty)
	})
	Convey("A part of an answer is a violation unless a fault other than a stop or a reload may have cut it", t, func() {
		cut := standin.Reply{Status: http.StatusOK, Signed: true, RequestID: "r-1"}
		So(inParts(2000, cut, stop), ShouldContain, soak.BegunAnswered)
		So(inParts(2000, cut, period(soak.TargetReset, soak.NoEntry, 11_000, 11_100)), ShouldBeEmpty)
	})
	Convey("An answer may be cut from 20 ms before the deadline on, which counts from the end of the header", t, func() {
		cut := func(hasHeader bool, rest, after lovageshift.Millis) []soak.Invariant {
			return violatedByOne("/chat/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) {
				a.Parts, a.Reply.Complete = &soak.Parts{HasHeader: hasHeader, Rest: a.Sent + rest}, false
				a.Ended = a.Sent + after
			})
		}
		So(cut(true, 2400, 2480), ShouldBeEmpty)
		So(cut(true, 2400, 2478), ShouldResemble, []soak.Invariant{soak.NoLossOnStopOrReload, soak.BegunAnswered})
		So(cut(false, 2400, 2480), ShouldResemble, []soak.Invariant{soak.NoLossOnStopOrReload, soak.BegunAnswered})
		So(cut(false, 2400, 4880), ShouldBeEmpty)
	})
	Convey("An answer without the request's id is whole only if the entry has not had the header", t, func() {
		refusal := standin.Reply{Status: http.StatusServiceUnavailable, Complete: true}
		So(inParts(2000, refusal, stop), ShouldBeEmpty)
		refusal.RequestID = "r-2"
		So(inParts(2000, refusal, stop), ShouldContain, soak.ResponseIntact)
		So(violatedByOne("/book/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) {
			a.Parts, a.Reply.RequestID = &soak.Parts{HasHeader: true}, ""
		}), ShouldContain, soak.ResponseIntact)
	})
	Convey("A request in parts that was refused and ran is a violation", t, func() {
		So(violatedByOne("/book/", func(a *soak.Attempt, _ *soak.Arrival, _ *soak.History) {
			a.Parts, a.Reply = &soak.Parts{}, standin.Reply{Status: http.StatusRequestTimeout, Complete: true}
		}), ShouldContain, soak.RefusedNotRun)
	})
}

func TestCheckManyRequests(t *testing.T) {
	unchanged := func(*soak.Attempt, *soak.Arrival) {}
	Convey("More arrivals at a cold target than its cold rate allows are a violation", t, func() {
		cold := func(_ *soak.Attempt, a *soak.Arrival) { a.Cold = true }
		So(violated(manyRequests("/read/", 40, 100, cold)), ShouldBeEmpty)
		So(violated(manyRequests("/read/", 40, 20, cold)), ShouldContain, soak.ColdRateLimited)
	})
	Convey("The rate of a running target that was reset to cold is not checked while a store fault may hide the reset", t, func() {
		again := func(_ *soak.Attempt, a *soak.Arrival) { a.Cold, a.ColdAgainAt = true, 9000 }
		h := manyRequests("/read/", 40, 20, again)
		So(violated(h), ShouldContain, soak.ColdRateLimited)
		h.FaultPeriods = []soak.FaultPeriod{{Kind: soak.StoreSilent, Entry: soak.AllEntries, From: 8000, To: 12_000}}
		So(violated(h), ShouldBeEmpty)
	})
	Convey("Requests beyond the quota of an account are a violation", t, func() {
		small := func(a *soak.Attempt, r *soak.Arrival) { a.Account, r.Account = "small", "small" }
		h := manyRequests("/read/", 300, 20, small)
		h.Quotas = []soak.Quota{{Rate: 400, Burst: 800}}
		So(violated(h), ShouldContain, soak.QuotaEnforced)
		h.Quotas = []soak.Quota{{Rate: 2000, Burst: 800}}
		So(violated(h), ShouldBeEmpty)
	})
	Convey("Repeated arrivals beyond the retry budget are a violation", t, func() {
		h := manyRequests("/read/", 40, 20, unchanged)
		h.Arrivals = append(h.Arrivals, h.Arrivals...)
		So(violated(h), ShouldContain, soak.RetriesBounded)
	})
	Convey("A request that continues to crash targets is a violation", t, func() {
		fatal := func(a *soak.Attempt, r *soak.Arrival) {
			a.Request.Path, r.URI = "/fatal/1?q="+a.Request.ID, "/fatal/1?q="+a.Request.ID
		}
		So(violated(manyRequests("/fatal/", 6, 1000, fatal)), ShouldBeEmpty)
		So(violated(manyRequests("/fatal/", 14, 1000, fatal)), ShouldContain, soak.FatalRequestsStopped)
	})
	Convey("Requests with a part of their prompts that continues to crash targets are a violation", t, func() {
		fatal := func(_ *soak.Attempt, r *soak.Arrival) { r.PromptParts = "f:5,fatal1:5," + r.ID + ":5" }
		So(violated(manyRequests("/chat/", 8, 1000, fatal)), ShouldBeEmpty)
		So(violated(manyRequests("/chat/", 16, 1000, fatal)), ShouldContain, soak.FatalPartsStopped)
		sound := func(_ *soak.Attempt, r *soak.Arrival) { r.PromptParts = "f:5,7:5," + r.ID + ":5" }
		So(violated(manyRequests("/chat/", 16, 1000, sound)), ShouldBeEmpty)
	})
	Convey("More arrivals than the limit that a target names are a violation, once the limit is known and while it is named", t, func() {
		limited := func(_ *soak.Attempt, r *soak.Arrival) { r.LimitedSince = 8000 }
		So(violated(manyRequests("/read/", 40, 300, limited)), ShouldBeEmpty)
		So(violated(manyRequests("/read/", 40, 200, limited)), ShouldContain, soak.TargetLimitsKept)
		later := func(_ *soak.Attempt, r *soak.Arrival) { r.LimitedSince = 16_500 }
		So(violated(manyRequests("/read/", 40, 200, later)), ShouldBeEmpty)
		earlier := func(_ *soak.Attempt, r *soak.Arrival) { r.LimitedSince = 1000 }
		So(violated(manyRequests("/read/", 40, 200, earlier)), ShouldBeEmpty)
	})
	Convey("Requests from an entry to a target that leaves are a violation once the entry passed that on", t, func() {
		leaving := func(_ *soak.Attempt, r *soak.Arrival) { r.Leaving = true }
		So(violated(manyRequests("/read/", 16, 200, leaving)), ShouldBeEmpty)
		h := manyRequests("/read/", 17, 200, leaving)
		So(violated(h), ShouldContain, soak.LeavingNotUsed)
		h.Arrivals[16].Born = 1 // the target has started again
		So(violated(h), ShouldBeEmpty)
		h.Arrivals[16].Born = 0
		h.FaultPeriods = []soak.FaultPeriod{{Kind: soak.StoreLinkHeld, Entry: 0, From: 9000, To: 14_000}}
		So(violated(h), ShouldContain, soak.LeavingNotUsed)
		h.FaultPeriods[0].Kind = soak.EntryPaused
		So(violated(h), ShouldBeEmpty)
		h.FaultPeriods[0].Entry = 1
		So(violated(h), ShouldContain, soak.LeavingNotUsed)
	})
	Convey("A leaving target that was not named to the caller, or by another entry, binds no entry", t, func() {
		leaving := func(a *soak.Attempt, r *soak.Arrival) { a.Reply.Signed, a.Reply.Status, r.Leaving = false, 502, true }
		So(violated(manyRequests("/read/", 17, 200, leaving)), ShouldBeEmpty)
		h := manyRequests("/read/", 17, 200, func(_ *soak.Attempt, r *soak.Arrival) { r.Leaving = true })
		h.Attempts[16].Entry = 1
		So(violated(h), ShouldBeEmpty)
	})
	Convey("More than two requests from an entry to a target while it refuses them are a violation, half a second after it said so", t, func() {
		refusing := func(count int, step lovageshift.Millis) *soak.History {
			h := manyRequests("/read/", count, step, func(_ *soak.Attempt, r *soak.Arrival) { r.Executed = false })
			h.Arrivals[0].RetryAfter = 1500 * time.Millisecond
			return h
		}
		So(violated(refusing(50, 10)), ShouldBeEmpty)
		So(violated(refusing(4, 300)), ShouldBeEmpty)
		So(violated(refusing(6, 250)), ShouldContain, soak.RefusingNotUsed)
		So(violated(refusing(6, 500)), ShouldBeEmpty)
		h := refusing(6, 250)
		h.Attempts[4].Entry = 1
		So(violated(h), ShouldBeEmpty)
		h = refusing(6, 250)
		h.FaultPeriods = []soak.FaultPeriod{{Kind: soak.StoreLinkHeld, Entry: 0, From: 9000, To: 14_000}}
		So(violated(h), ShouldBeEmpty)
	})
	Convey("Many late responses violate an invariant, and so do many denials", t, func() {
		So(violated(manyRequests("/read/", 20, 20, func(a *soak.Attempt, _ *soak.Arrival) { a.Ended = a.Sent + 4000 })),
			ShouldContain, soak.AnsweredByDeadline)
		So(violated(manyRequests("/read/", 20, 20, func(a *soak.Attempt, _ *soak.Arrival) {
			a.Reply.Status = http.StatusNotFound
		})), ShouldContain, soak.ValidNotDenied)
	})
}
