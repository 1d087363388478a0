package retry

import (
	"lovageshift"
)

// Attempt describes a dispatch that was refused.
type Attempt struct {
	Account  lovageshift.AccountID
	Target   lovageshift.TargetID
	Refusal  *lovageshift.Refusal
	Now      lovageshift.Millis
	Deadline lovageshift.Millis
	// UntriedTargets is the number of eligible targets that the request has not been dispatched to.
	UntriedTargets int
}

// Decision says whether to retry; Reason is why the request is retried or why it is not.
type Decision struct {
	Retry  bool
	Reason lovageshift.Reason
}

// Decide allows a retry only if the refused dispatch provably did not run, the deadline has not passed, an eligible
// target is left, the reason may not hold for that target too, and the budget suffices.
func (b *Budget) Decide(attempt Attempt) Decision {
	refusal := attempt.Refusal
	switch {
	case refusal.Outcome != lovageshift.OutcomeNotRun:
		return Decision{Reason: refusal.Reason}
	case attempt.Now >= attempt.Deadline:
		return Decision{Reason: lovageshift.ReasonDeadline}
	case attempt.UntriedTargets <= 0 || isFinal(refusal.Reason):
		return Decision{Reason: refusal.Reason}
	case isFree(refusal.Reason) || b.Spend(attempt.Account, attempt.Target):
		return Decision{Retry: true, Reason: refusal.Reason}
	default:
		return Decision{Reason: refusal.Reason}
	}
}

// isFinal reports whether the reason holds for every target, so that a retry is pointless.
func isFinal(reason lovageshift.Reason) bool {
	switch reason {
	case lovageshift.ReasonKeyWithdrawn, lovageshift.ReasonQuarantined,
		lovageshift.ReasonWithdrawnByCaller, lovageshift.ReasonIdempotencyMismatch, lovageshift.ReasonIdempotencyFull:
		return true
	default:
		return false
	}
}

// isFree reports whether a retry for the reason is not charged to the budget. Such refusals cost the target next to
// nothing, so each eligible target is tried once before a tier is shed.
func isFree(reason lovageshift.Reason) bool {
	switch reason {
	case lovageshift.ReasonShed, lovageshift.ReasonDisplaced, lovageshift.ReasonTargetOutOfService,
		lovageshift.ReasonTargetLeaving, lovageshift.ReasonMoved, lovageshift.ReasonOldIncarnation:
		return true
	default:
		return false
	}
}
