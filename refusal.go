package lovageshift

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrNotRun matches, with errors.Is, every refusal of a request that provably did not run.
var ErrNotRun = errors.New("not run")

// ErrOutcomeUnknown matches, with errors.Is, every refusal of a request that may have run.
var ErrOutcomeUnknown = errors.New("outcome unknown")

// Reason names the cause of a refusal or a retry. The texts are part of the API and do not change.
type Reason string

// The reasons, as reported to callers and in metrics. Some texts keep the terms of earlier versions: keeperUnreachable,
// targetOut, engineGarbage and engineTooMuch.
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
	ReasonHeaderTooSlow         Reason = "headerTooSlow"   // a part of the header came, and not the rest in time
	ReasonBodyTooSlow           Reason = "bodyTooSlow"     // the body made too little progress, or stalled while others needed its memory
	ReasonMemoryExhausted       Reason = "memoryExhausted" // the memory for callers' bodies is in use
	ReasonPromptTooLong         Reason = "promptTooLong"
	ReasonHeaderForbidden       Reason = "headerForbidden"
	ReasonRateExceeded          Reason = "rateExceeded"
	ReasonIssuerUnreachable     Reason = "keeperUnreachable" // an agent that issues leases of the account's tokens (package grant) cannot be reached
	ReasonShed                  Reason = "shed"              // no slot became free in time, or the queue is full
	ReasonDisplaced             Reason = "displaced"         // the waiting request gave way to one of a higher tier
	ReasonDeadline              Reason = "deadline"          // the deadline has passed, or cannot be met any more
	ReasonNoTarget              Reason = "noTarget"          // no target that can run the request accepts requests now
	ReasonTargetOutOfService    Reason = "targetOut"         // the target or its zone is out of service, or the target answered that it did not run the request
	ReasonTargetLeaving         Reason = "targetLeaving"     // the target or its agent is shutting down
	ReasonTargetFailing         Reason = "targetFailing"     // the target is down or cannot be reached
	ReasonAgentUnreachable      Reason = "agentUnreachable"
	ReasonDuplicate             Reason = "duplicate"         // the agent has received the same dispatch before
	ReasonStaleDispatch         Reason = "staleDispatch"     // the dispatch was in transit for longer than limits.transitMillis
	ReasonOldIncarnation        Reason = "oldIncarnation"    // the dispatch was sent by an earlier incarnation of the entry, or to an earlier incarnation of the agent
	ReasonWrongTarget           Reason = "wrongTarget"       // the dispatch was sent to another target's agent
	ReasonWithdrawnByCaller     Reason = "withdrawnByCaller" // the caller disconnected or canceled the request
	ReasonMoved                 Reason = "moved"             // the entry took the dispatch back before the request ran, or the request has to run at another target
	ReasonQuarantined           Reason = "quarantined"       // targets crashed while the request was running
	ReasonIdempotencyKeyMissing Reason = "idempotencyKeyMissing"
	ReasonIdempotencyKeyInvalid Reason = "idempotencyKeyInvalid"
	ReasonIdempotencyMismatch   Reason = "idempotencyMismatch"
	ReasonIdempotencyInProgress Reason = "idempotencyInProgress"
	ReasonIdempotencyUnproven   Reason = "idempotencyUnproven"      // the call may have run before, and its answer is not on record
	ReasonIdempotencyFull       Reason = "idempotencyFull"          // the agent has no room to record another call with an idempotency key
	ReasonUnconfirmed           Reason = "configurationUnconfirmed" // the process cannot confirm its configuration
	ReasonConnectionLost        Reason = "connectionLost"           // the connection to the agent or target broke during the request
	ReasonEngineFailed          Reason = "engineFailed"
	ReasonEngineAnswerMalformed Reason = "engineGarbage"
	ReasonEngineAnswerTooLarge  Reason = "engineTooMuch"
	ReasonEngineTimeout         Reason = "engineTimeout"
	ReasonSlowCaller            Reason = "slowCaller"    // the caller disconnected or reads the response too slowly
	ReasonStopping              Reason = "stopping"      // the entry is shutting down
	ReasonStreamUnknown         Reason = "streamUnknown" // it is not known which software version began the stream that the request goes on with
)

// Status returns the HTTP status code of a response that reports the reason, which is 503 for
// reasons without a case of their own.
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
	case ReasonHeaderTooSlow, ReasonBodyTooSlow:
		return http.StatusRequestTimeout
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

// Refusal is the error that ends a request without a complete answer.
type Refusal struct {
	Reason     Reason
	Outcome    Outcome
	RetryAfter Millis // time after which the caller may retry; 0 if none is given
	Detail     string // explanation for people
}

// NotRun returns a refusal of a request that provably did not run.
func NotRun(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeNotRun, Detail: detail}
}

// Unknown returns a refusal of a request that may have run.
func Unknown(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Outcome: OutcomeUnknown, Detail: detail}
}

// WithRetryAfter sets the time in milliseconds after which the caller may retry, and returns r.
func (r *Refusal) WithRetryAfter(wait Millis) *Refusal {
	r.RetryAfter = wait
	return r
}

// Error returns the reason, the outcome and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Detail)
}

// Is lets errors.Is match r with ErrNotRun or ErrOutcomeUnknown, according to r.Outcome. A refusal with OutcomeAnswered
// matches neither.
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
