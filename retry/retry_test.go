package retry_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"lovageshift"
	"lovageshift/retry"
)

func attempt(refusal *lovageshift.Refusal) retry.Attempt {
	return retry.Attempt{Account: "a", Target: "t", Refusal: refusal, Now: 1, Deadline: 100, UntriedTargets: 1}
}

func TestDecide(t *testing.T) {
	Convey("A retry", t, func() {
		budget := retry.NewBudget(10)
		notRun := lovageshift.NotRun(lovageshift.ReasonTargetFailing, "")
		Convey("needs proof that the request did not run", func() {
			So(budget.Decide(attempt(notRun)).Retry, ShouldBeTrue)
			So(budget.Decide(attempt(lovageshift.Unknown(lovageshift.ReasonTargetFailing, ""))).Retry, ShouldBeFalse)
			So(budget.Decide(attempt(&lovageshift.Refusal{Reason: lovageshift.ReasonShed})).Retry, ShouldBeFalse)
		})
		Convey("needs time before the deadline, an untried target and a refusal that is not final", func() {
			pastDeadline, allTried := attempt(notRun), attempt(notRun)
			pastDeadline.Now, allTried.UntriedTargets = 100, 0
			So(budget.Decide(pastDeadline).Reason, ShouldEqual, lovageshift.ReasonDeadline)
			So(budget.Decide(allTried).Retry, ShouldBeFalse)
			So(budget.Decide(attempt(lovageshift.NotRun(lovageshift.ReasonKeyWithdrawn, ""))).Retry, ShouldBeFalse)
		})
		Convey("must be earned by successes once the initial balance is spent", func() {
			for budget.Decide(attempt(notRun)).Retry {
				continue
			}
			for range 9 {
				budget.RecordSuccess("a", "t")
			}
			So(budget.Decide(attempt(notRun)).Retry, ShouldBeFalse)
			budget.RecordSuccess("a", "t")
			So(budget.Decide(attempt(notRun)).Retry, ShouldBeTrue)
		})
	})
}

// TestRetriesStayWithinShareOfSuccesses checks for any mix of successes and refusals that the retries stay within the
// initial balance plus the earned share of the successes.
func TestRetriesStayWithinShareOfSuccesses(t *testing.T) {
	const share, initial = 10, 10
	rapid.Check(t, func(t *rapid.T) {
		budget := retry.NewBudget(share)
		successes, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "success") {
				budget.RecordSuccess("a", "t")
				successes++
				continue
			}
			if budget.Decide(attempt(lovageshift.NotRun(lovageshift.ReasonTargetFailing, ""))).Retry {
				retries++
			}
		}
		if retries > initial+successes*share/100+1 {
			t.Fatalf("%d retries after %d successes", retries, successes)
		}
	})
}
