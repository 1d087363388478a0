package retry

import (
	"lovageshift"
)

// Attempt describes a dispatch that was refused. Times are milliseconds of the entry's clock.
type Attempt struct {
	Account  lovageshift.AccountID
	Target   lovageshift.TargetID
	Refusal  *lovageshift.Refusal
	Now      lovageshift.Millis
	Deadline lovageshift.Millis
	// UntriedTargets is the number of eligible targets to which the request may still be dispatched.
	UntriedTargets int
}

// Decision says whether to retry. Reason is that of the refusal, or ReasonDeadline if the deadline forbids the retry.
type Decision struct {
	Retry  bool
	Reason lovageshift.Reason
}

// Decide allows a retry only if the refused dispatch provably did not run, the deadline has not passed, an eligible
// target is left, the reason does not hold for every target, and the retry is uncharged or Spend succeeds.
func (b *Budget) Decide(attempt Attempt) Decision {
	refusal := attempt.Refusal
	switch {
	case refusal.Outcome != lovageshift.OutcomeNotRun:
		return Decision{Reason: refusal.Reason}
	case attempt.Now >= attempt.Deadline:
		return Decision{Reason: lovageshift.ReasonDeadline}
	case attempt.UntriedTargets <= 0 || isFinal(refusal.Reason):
		return Decision{Reason: refusal.Reason}
	case isUncharged(refusal.Reason) || b.Spend(attempt.Account, attempt.Target):
		return Decision{Retry: true, Reason: refusal.Reason}
	default:
		return Decision{Reason: refusal.Reason}
	}
}

// isFinal reports whether a refusal for the reason is final: every other target would refuse the request too.
func isFinal(reason lovageshift.Reason) bool {
	switch reason {
	case lovageshift.ReasonKeyWithdrawn, lovageshift.ReasonQuarantined,
		lovageshift.ReasonWithdrawnByCaller, lovageshift.ReasonIdempotencyMismatch, lovageshift.ReasonIdempotencyFull:
		return true
	default:
		return false
	}
}

// isUncharged reports whether a retry after a refusal for the reason is not charged to the budget. Such a refusal costs
// the target next to nothing. As the retry is uncharged too, each eligible target is tried once before a tier is shed.
func isUncharged(reason lovageshift.Reason) bool {
	switch reason {
	case lovageshift.ReasonShed, lovageshift.ReasonDisplaced, lovageshift.ReasonTargetOutOfService,
		lovageshift.ReasonTargetLeaving, lovageshift.ReasonMoved, lovageshift.ReasonOldIncarnation:
		return true
	default:
		return false
	}
}
