package placement_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
	"lovageshift/quota"
)

// TestSpareGoesBehindWaiting guards against second attempts, which take only a free slot, that get one for which requests wait:
// by the guaranteed share of their rank, or because their account was served less.
func TestSpareGoesBehindWaiting(t *testing.T) {
	job := func(rank lovageshift.Rank, account quota.AccountHash) *placement.Job {
		return &placement.Job{Rank: rank, Account: account, Objective: 1000, QueueDeadline: 100_000, ExpectedOutput: 60}
	}
	spareOf := func(now lovageshift.Millis, rank lovageshift.Rank, account quota.AccountHash) *placement.Job {
		spare := job(rank, account)
		spare.QueueDeadline, spare.RefusedBefore = now, true
		return spare
	}
	// full returns a scheduler whose one slot is taken, and not free before 200 as its target has refused the request.
	full := func() *placement.Scheduler {
		s := newScheduler(&catalog.Service{ID: pool, Engine: true}, targets(1, 1)...)
		s.Release(10, submit(s, 10, job(2, 1)).Slot, placement.Result{}) // so that the account and the rank are known
		large := job(1, 9)
		large.ExpectedOutput = 4000 // for which the less urgent rank is credited 100
		s.Release(150, submit(s, 20, large).Slot, placement.Result{Outcome: placement.Refused})
		return s
	}
	Convey("A second attempt gets no slot by the guaranteed share of its rank", t, func() {
		s := full()
		urgent := submit(s, 160, job(1, 9))
		So(submit(s, 250, spareOf(250, 2, 2)).Slot, ShouldBeNil)
		So(urgent.Slot, ShouldNotBeNil)
	})
	Convey("A second attempt gets no slot for which a request of an account that was served more waits", t, func() {
		s := full()
		waiting := submit(s, 160, job(2, 1))
		So(submit(s, 250, spareOf(250, 2, 2)).Slot, ShouldBeNil)
		So(waiting.Slot, ShouldNotBeNil)
	})
}
