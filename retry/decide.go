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
	Deadline lovageshift.Millis // time from which the request may not be dispatched again
	// UntriedTargets is the number of eligible targets that have not refused the request yet.
	UntriedTargets int
}

// Decision says whether to retry a refused dispatch. Reason is the reason of the refusal, or ReasonDeadline if the
// retry is not allowed because the deadline has passed.
type Decision struct {
	Retry  bool
	Reason lovageshift.Reason
}

// Decide allows a retry only if the request provably did not run at the target that refused it, the deadline has not
// passed, an untried target is left, the refusal is not final (isFinal), and the retry is either uncharged
// (isUncharged) or covered by the balances, from which Decide then takes it (Spend).
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

// isFinal reports whether a refusal for the reason is final: either a dispatch to another target would be refused too,
// or the caller has withdrawn the request.
func isFinal(reason lovageshift.Reason) bool {
	switch reason {
	case lovageshift.ReasonKeyWithdrawn, lovageshift.ReasonQuarantined,
		lovageshift.ReasonWithdrawnByCaller, lovageshift.ReasonIdempotencyMismatch, lovageshift.ReasonIdempotencyFull:
		return true
	default:
		return false
	}
}

// isUncharged reports whether a retry after a refusal for the reason is taken from no balance. Such a refusal costs the
// target next to nothing. As an empty balance does not prevent these retries, requests of a tier are shed only after
// each eligible target has been tried once.
func isUncharged(reason lovageshift.Reason) bool {
	switch reason {
	case lovageshift.ReasonShed, lovageshift.ReasonDisplaced, lovageshift.ReasonTargetOutOfService,
		lovageshift.ReasonTargetLeaving, lovageshift.ReasonMoved, lovageshift.ReasonOldIncarnation:
		return true
	default:
		return false
	}
}
