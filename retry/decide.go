package retry

import (
	"lovageshift"
)

// Attempt is what is known when a dispatch was refused.
type Attempt struct {
	Account  lovageshift.AccountID
	Target   lovageshift.TargetID
	Refusal  *lovageshift.Refusal
	Now      lovageshift.Millis
	Deadline lovageshift.Millis
	// UntriedTargets is how many fit targets have not been asked yet.
	UntriedTargets int
}

// Decision says whether to try again and, if not, why.
type Decision struct {
	Retry  bool
	Reason lovageshift.Reason
}

// Decide allows another dispatch only with proof that this one did not run, in time, with a fit target left and within the budget.
func (b *Budget) Decide(attempt Attempt) Decision {
	refusal := attempt.Refusal
	switch {
	case refusal.Outcome != lovageshift.OutcomeNotRun:
		return Decision{Reason: refusal.Reason}
	case attempt.Now >= attempt.Deadline:
		return Decision{Reason: lovageshift.ReasonDeadline}
	case attempt.UntriedTargets <= 0 || final(refusal.Reason):
		return Decision{Reason: refusal.Reason}
	case free(refusal.Reason) || b.Spend(attempt.Account, attempt.Target):
		return Decision{Retry: true, Reason: refusal.Reason}
	default:
		return Decision{Reason: refusal.Reason}
	}
}

// final reasons hold for every target.
func final(reason lovageshift.Reason) bool {
	switch reason {
	case lovageshift.ReasonKeyWithdrawn, lovageshift.ReasonQuarantined,
		lovageshift.ReasonWithdrawnByCaller, lovageshift.ReasonIdempotencyMismatch, lovageshift.ReasonIdempotencyFull:
		return true
	default:
		return false
	}
}

// free reasons cost the target next to nothing: each fit target is asked once before a tier is shed.
func free(reason lovageshift.Reason) bool {
	switch reason {
	case lovageshift.ReasonShed, lovageshift.ReasonDisplaced, lovageshift.ReasonTargetOutOfService,
		lovageshift.ReasonTargetLeaving, lovageshift.ReasonMoved, lovageshift.ReasonOldIncarnation:
		return true
	default:
		return false
	}
}
