package routing

import "net/http"

// Refused is the value of a target's Mangopost-Refused header: the target
// refused the request before it ran anything.
type Refused string

const (
	// RefusedNone: the answer has no such header.
	RefusedNone Refused = ""
	// RefusedStaleOwner: the target knows a higher owner epoch.
	RefusedStaleOwner Refused = "stale-owner-epoch"
	// RefusedStaleGateway: the target knows a higher gateway epoch.
	RefusedStaleGateway Refused = "stale-gateway-epoch"
	// RefusedNoGrant: no running grant covers the shard.
	RefusedNoGrant Refused = "no-grant"
	// RefusedShedding: the target sheds load.
	RefusedShedding Refused = "shedding"
	// RefusedDraining: the target's process is ending.
	RefusedDraining Refused = "draining"
)

// known reports whether the value is one that a target may use.
func (r Refused) known() bool {
	switch r {
	case RefusedStaleOwner, RefusedStaleGateway, RefusedNoGrant, RefusedShedding, RefusedDraining:
		return true
	default:
		return false
	}
}

// status reports whether a refusal is sent with this status.
func (r Refused) status(code int) bool {
	switch code {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return r.known()
	default:
		return false
	}
}

// Reply is what a gateway saw of one attempt at a target.
type Reply struct {
	Sent         bool    // a byte of the request may have left this host
	Failed       bool    // no whole answer came: error, timeout or broken off
	Status       int     // of a whole answer
	Refused      Refused // the answer's Mangopost-Refused header
	IDMatches    bool    // the answer echoes the request's ID
	SaysNotRun   bool    // the answer states that the target ran nothing
	RefusesFirst bool    // template: its 429 and 503 come before it runs anything
}

// Classify returns the outcome of one attempt. It says "not run" only when
// nothing was sent or when the target is known to refuse before it runs.
func Classify(r Reply) Outcome {
	switch {
	case !r.Sent:
		return OutcomeNotRun
	case r.Failed || !r.IDMatches:
		return OutcomeUnknown
	case r.SaysNotRun:
		return OutcomeNotRun
	case r.Refused.status(r.Status):
		return OutcomeNotRun
	case r.RefusesFirst && refusal(r.Status):
		return OutcomeNotRun
	default:
		return OutcomeRan
	}
}

func refusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}
