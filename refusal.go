package lovageshift

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrNotRun is matched by every refusal whose request provably did not run.
var ErrNotRun = errors.New("not run")

// ErrOutcomeUnknown is matched by every refusal whose request may have run.
var ErrOutcomeUnknown = errors.New("outcome unknown")

// Reason is the stable name of why a request was refused or retried.
type Reason string

// The reasons that callers and counters see.
const (
	ReasonKeyMissing            Reason = "keyMissing"
	ReasonKeyMalformed          Reason = "keyMalformed"
	ReasonKeyUnknown            Reason = "keyUnknown"
	ReasonKeyWithdrawn          Reason = "keyWithdrawn"
	ReasonModelForbidden        Reason = "modelForbidden"
	ReasonRouteForbidden        Reason = "routeForbidden"
	ReasonNotFound              Reason = "notFound"
	ReasonMethodNotAllowed      Reason = "methodNotAllowed"
	ReasonBodyTooLarge          Reason = "bodyTooLarge"
	ReasonBodyUnreadable        Reason = "bodyUnreadable"
	ReasonBodyInvalid           Reason = "bodyInvalid"
	ReasonPromptTooLong         Reason = "promptTooLong"
	ReasonHeaderForbidden       Reason = "headerForbidden"
	ReasonRateExceeded          Reason = "rateExceeded"
	ReasonIssuerUnreachable     Reason = "keeperUnreachable"
	ReasonShed                  Reason = "shed"
	ReasonDisplaced             Reason = "displaced"
	ReasonDeadline              Reason = "deadline"
	ReasonNoTarget              Reason = "noTarget"
	ReasonTargetOutOfService    Reason = "targetOut"
	ReasonTargetLeaving         Reason = "targetLeaving"
	ReasonTargetFailing         Reason = "targetFailing"
	ReasonAgentUnreachable      Reason = "agentUnreachable"
	ReasonDuplicate             Reason = "duplicate"
	ReasonStaleDispatch         Reason = "staleDispatch"
	ReasonOldIncarnation        Reason = "oldIncarnation"
	ReasonWrongTarget           Reason = "wrongTarget"
	ReasonWithdrawnByCaller     Reason = "withdrawnByCaller"
	ReasonMoved                 Reason = "moved"
	ReasonQuarantined           Reason = "quarantined"
	ReasonIdempotencyKeyMissing Reason = "idempotencyKeyMissing"
	ReasonIdempotencyKeyInvalid Reason = "idempotencyKeyInvalid"
	ReasonIdempotencyMismatch   Reason = "idempotencyMismatch"
	ReasonIdempotencyInProgress Reason = "idempotencyInProgress"
	ReasonIdempotencyUnproven   Reason = "idempotencyUnproven"
	ReasonIdempotencyFull       Reason = "idempotencyFull"
	ReasonUnconfirmed           Reason = "configurationUnconfirmed"
	ReasonConnectionLost        Reason = "connectionLost"
	ReasonEngineFailed          Reason = "engineFailed"
	ReasonEngineAnswerMalformed Reason = "engineGarbage"
	ReasonEngineAnswerTooLarge  Reason = "engineTooMuch"
	ReasonEngineTimeout         Reason = "engineTimeout"
	ReasonSlowCaller            Reason = "slowCaller"
	ReasonStopping              Reason = "stopping"
)

// Status returns the HTTP status that belongs to the reason.
func (r Reason) Status() int {
	switch r {
	case ReasonKeyMissing, ReasonKeyMalformed, ReasonKeyUnknown, ReasonKeyWithdrawn:
		return http.StatusUnauthorized
	case ReasonModelForbidden, ReasonRouteForbidden:
		return http.StatusForbidden
	case ReasonNotFound:
		return http.StatusNotFound
	case ReasonMethodNotAllowed:
		return http.StatusMethodNotAllowed
	case ReasonBodyTooLarge, ReasonPromptTooLong:
		return http.StatusRequestEntityTooLarge
	case ReasonBodyUnreadable, ReasonBodyInvalid, ReasonHeaderForbidden, ReasonIdempotencyKeyMissing, ReasonIdempotencyKeyInvalid:
		return http.StatusBadRequest
	case ReasonIdempotencyMismatch, ReasonIdempotencyInProgress, ReasonIdempotencyUnproven, ReasonDuplicate:
		return http.StatusConflict
	case ReasonRateExceeded:
		return http.StatusTooManyRequests
	case ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case ReasonDeadline, ReasonEngineTimeout:
		return http.StatusGatewayTimeout
	case ReasonConnectionLost, ReasonEngineFailed, ReasonEngineAnswerMalformed, ReasonEngineAnswerTooLarge:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// Refusal is the typed error that ends a request without a whole answer.
type Refusal struct {
	Reason     Reason
	Outcome    Outcome
	RetryAfter Millis
	Detail     string
}

// NotRun returns a refusal of a request that provably did not run.
func NotRun(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeNotRun, Detail: detail}
}

// Unknown returns a refusal of a request that may have run.
func Unknown(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeUnknown, Detail: detail}
}

// WithRetryAfter sets when the caller may come back, in milliseconds from now.
func (r *Refusal) WithRetryAfter(wait Millis) *Refusal {
	r.RetryAfter = wait
	return r
}

// Error returns the reason, the outcome and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
}

// Is matches ErrNotRun or ErrOutcomeUnknown by the outcome.
func (r *Refusal) Is(target error) bool {
	switch target {
	case ErrNotRun:
		return r.Outcome == OutcomeNotRun
	case ErrOutcomeUnknown:
		return r.Outcome == OutcomeUnknown
	default:
		return false
	}
}
