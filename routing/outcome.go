// Package routing contains the decisions on the path of a request: its outcome,
// whether it may be retried, which target and gateway serve it, and which
// requests are quarantined because they crash targets. The package is pure: it
// does no I/O, reads no clock and draws no random numbers.
package routing

// Outcome says whether a target ran a request, as far as is known.
type Outcome uint8

const (
	// OutcomeUnspecified is the zero value. It is never reported to a caller.
	OutcomeUnspecified Outcome = iota
	// OutcomeRan means that the target ran the request and its complete answer
	// arrived.
	OutcomeRan
	// OutcomeNotRun means that certainly no target ran the request.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// String returns the outcome as it is reported to callers.
func (o Outcome) String() string {
	switch o {
	case OutcomeRan:
		return "ran"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeUnknown:
		return "unknown"
	default:
		return "unspecified"
	}
}
