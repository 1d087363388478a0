package placement_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
	"lovageshift/quota"
)

// playGuaranteed keeps urgent requests waiting for four slots of 100 ms and less urgent ones of two accounts, of which the
// second sends from a time on. It returns how many slots each account got from then on.
func playGuaranteed(from, until lovageshift.Millis) (got [2]int) {
	s := newScheduler(&catalog.Service{ID: pool, Engine: true}, targets(1, 4)...)
	ends := map[lovageshift.Millis][]*submission{}
	var urgent []*submission
	var waiting [2][]*submission
	job := func(now lovageshift.Millis, rank lovageshift.Rank, account int) *placement.Job {
		return &placement.Job{
			Rank: rank, Account: quota.AccountHash(account), Arrived: now, Objective: 1000, QueueDeadline: until * 2, ExpectedOutput: 99,
		}
	}
	settle := func(now lovageshift.Millis, subs []*submission) (left []*submission, granted int) {
		for _, sub := range subs {
			if sub.Slot == nil {
				left = append(left, sub)
				continue
			}
			granted++
			ends[now+100] = append(ends[now+100], sub)
		}
		return left, granted
	}
	for now := lovageshift.Millis(10); now < until; now += 10 {
		for _, sub := range ends[now] {
			s.Release(now, sub.Slot, placement.Result{Outcome: placement.Served, FirstEvent: 20})
		}
		for len(urgent) < 8 {
			urgent = append(urgent, submit(s, now, job(now, 1, 9)))
		}
		for i := range waiting {
			for len(waiting[i]) < 3 && (i == 0 || now >= from) {
				waiting[i] = append(waiting[i], submit(s, now, job(now, 2, i+1)))
			}
		}
		s.Tick(now)
		urgent, _ = settle(now, urgent)
		for i := range waiting {
			var granted int
			waiting[i], granted = settle(now, waiting[i])
			if now >= from {
				got[i] += granted
			}
		}
	}
	return got
}

// TestGuaranteedShareGivesNoCreditForIdleness guards against a floor that stands still while a rank gets slots only by its
// guaranteed share: an account that was idle would get all of them until it has been served as much as the others.
func TestGuaranteedShareGivesNoCreditForIdleness(t *testing.T) {
	Convey("An account that was idle gets no more of the guaranteed share than one that was not", t, func() {
		got := playGuaranteed(40_000, 60_000)
		So(got[1], ShouldBeGreaterThan, 0)
		So(got[0]-got[1], ShouldBeBetweenOrEqual, -2, 2)
	})
}

// TestPromotedRequestsAreChargedOnce guards against credit and service that are lost with a promoted request which leaves
// without a slot, and against promotions of one account only, as its requests count when they are promoted.
func TestPromotedRequestsAreChargedOnce(t *testing.T) {
	job := func(rank lovageshift.Rank, account quota.AccountHash, output lovageshift.Tokens) *placement.Job {
		return &placement.Job{Rank: rank, Account: account, Objective: 1000, QueueDeadline: 100_000, ExpectedOutput: output}
	}
	// credited returns a scheduler whose one slot a large urgent request has, so that the less urgent rank has its credit.
	credited := func() (*placement.Scheduler, *submission) {
		s := newScheduler(&catalog.Service{ID: pool, Engine: true}, targets(1, 1)...)
		s.Release(10, submit(s, 10, job(2, 8, 0)).Slot, placement.Result{}) // so that the rank is known
		return s, submit(s, 20, job(1, 9, 4000))
	}
	Convey("A promoted request that is canceled returns its credit", t, func() {
		s, running := credited()
		urgent := submit(s, 30, job(1, 9, 0))
		s.Cancel(submit(s, 30, job(2, 1, 60)).waiter) // promoted, as the credit is 100
		second := submit(s, 30, job(2, 1, 60))
		s.Release(40, running.Slot, placement.Result{})
		So(urgent.Slot, ShouldBeNil)
		So(second.Slot, ShouldNotBeNil)
	})
	Convey("The promoted requests of a rank are those of several accounts", t, func() {
		s, running := credited()
		var got [2]int
		var waiting [2][]*submission
		for i := range waiting {
			for range 4 {
				waiting[i] = append(waiting[i], submit(s, 30, job(2, quota.AccountHash(i+1), 20)))
			}
		}
		submit(s, 30, job(1, 9, 0)) // delays them, so the credit is used
		for range 4 {               // the credit covers four
			s.Release(40, running.Slot, placement.Result{})
			for i := range waiting {
				for at, sub := range waiting[i] {
					if sub.Slot != nil {
						running = sub
						got[i]++
						waiting[i] = append(waiting[i][:at:at], waiting[i][at+1:]...)
						break
					}
				}
			}
		}
		So(got, ShouldResemble, [2]int{2, 2})
	})
}
