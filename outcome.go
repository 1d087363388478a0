package lovageshift

// Outcome says what is known about the execution of a request.
type Outcome int

// The outcomes. The zero value claims nothing, so that no code path reports "not run" by default.
const (
	OutcomeUnknown  Outcome = iota // the request may have run
	OutcomeNotRun                  // the request provably did not run
	OutcomeAnswered                // the request ran and its answer is complete
)

// String returns the outcome as it is reported to callers: unknown, notRun or answered.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "notRun"
	case OutcomeAnswered:
		return "answered"
	default:
		return "unknown"
	}
}
