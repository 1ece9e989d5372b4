package routing

import "net/http"

// Refused is the value of a target's Mangopost-Refused header, which says that
// the target refused the request before running anything.
type Refused string

const (
	// RefusedNone means that the answer has no such header.
	RefusedNone Refused = ""
	// RefusedStaleOwner means that the target knows a higher owner epoch.
	RefusedStaleOwner Refused = "stale-owner-epoch"
	// RefusedStaleGateway means that the target knows a higher gateway epoch.
	RefusedStaleGateway Refused = "stale-gateway-epoch"
	// RefusedNoGrant means that no current grant covers the shard.
	RefusedNoGrant Refused = "no-grant"
	// RefusedShedding means that the target sheds load.
	RefusedShedding Refused = "shedding"
	// RefusedDraining means that the target's process is shutting down.
	RefusedDraining Refused = "draining"
)

// isKnown reports whether the value is one of the defined refusals.
func (r Refused) isKnown() bool {
	switch r {
	case RefusedStaleOwner, RefusedStaleGateway, RefusedNoGrant, RefusedShedding, RefusedDraining:
		return true
	default:
		return false
	}
}

// isValidWithStatus reports whether the value is a known refusal and the status
// is one that targets send refusals with.
func (r Refused) isValidWithStatus(code int) bool {
	switch code {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return r.isKnown()
	default:
		return false
	}
}

// Reply is what a gateway observed of one attempt at a target.
type Reply struct {
	Sent         bool    // a byte of the request may have left this host
	Failed       bool    // no complete answer arrived: error, timeout or truncated answer
	Status       int     // of a complete answer
	Refused      Refused // the answer's Mangopost-Refused header
	IDMatches    bool    // the answer echoes the request's ID
	SaysNotRun   bool    // the answer states that the target ran nothing
	RefusesFirst bool    // from the template: the target sends 429 and 503 only before it runs anything
}

// Classify returns the outcome of one attempt. It returns OutcomeNotRun only if
// nothing was sent, or if the target states or is known to have refused the
// request before running it.
func Classify(r Reply) Outcome {
	switch {
	case !r.Sent:
		return OutcomeNotRun
	case r.Failed || !r.IDMatches:
		return OutcomeUnknown
	case r.SaysNotRun:
		return OutcomeNotRun
	case r.Refused.isValidWithStatus(r.Status):
		return OutcomeNotRun
	case r.RefusesFirst && isRefusalStatus(r.Status):
		return OutcomeNotRun
	default:
		return OutcomeRan
	}
}

// isRefusalStatus reports whether the status is 429 or 503.
func isRefusalStatus(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
