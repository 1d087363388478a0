package lovageshift

// Outcome says what is known of a request's execution.
type Outcome int

// The outcomes; the zero value claims nothing, so that no path says "not run" by default.
const (
	OutcomeUnknown Outcome = iota
	OutcomeNotRun
	OutcomeAnswered
)

// String returns the outcome as callers see it.
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
