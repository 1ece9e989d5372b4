package lease

import (
	"slices"
	"time"
)

// claimList is the list of claims of a holder. A version identifies one list within the
// holder's run: it rises with each change and is never reused.
type claimList struct {
	version uint64
	claims  []Claim
}

// sentVoteRequest is a vote request that was sent to all voters.
type sentVoteRequest struct {
	sentAt time.Duration
	claims []Claim
}

// currentClaims returns the list to claim now.
func (h *Holder) currentClaims() claimList {
	claims := h.claims()
	if h.claimed.version == 0 || !slices.EqualFunc(h.claimed.claims, claims, equalExceptLoad) {
		h.claimed = claimList{version: h.claimed.version + 1, claims: claims}
	}
	return h.claimed
}

// equalExceptLoad reports whether two claims are equal except for the load. A changed
// load alone does not cause the list to be sent again.
func equalExceptLoad(a, b Claim) bool {
	a.Load = b.Load
	return a == b
}

// withoutClaims returns the request to send to a voter that already holds its claims.
func (m VoteRequest) withoutClaims() VoteRequest {
	m.Claims = nil
	m.Unchanged = true
	return m
}

// updateClaimsHeld records which list a voter holds and reports whether the voter lost
// a list that it held before. Late replies change nothing.
func (v *voterView) updateClaimsHeld(m VoteReply) (lost bool) {
	if m.Seq < v.claimsHeldSeq {
		return false
	}
	lost = m.ClaimsHeld < v.claimsHeld
	v.claimsHeldSeq = m.Seq
	v.claimsHeld = m.ClaimsHeld
	return lost
}

// clearClaimsHeld records that another run of the process answers at a voter's host: it
// holds none of the claims that the earlier run held. It reports whether any were lost.
func (c *cellView) clearClaimsHeld(by Incarnation, m VoteReply) (lost bool) {
	for id, view := range c.voters {
		if id.Host == by.Host {
			m.ClaimsHeld = 0
			lost = view.updateClaimsHeld(m) || lost
		}
	}
	return lost
}

// resolveClaims returns the claims that a request refers to. known is false when the
// request omits them and the voter does not hold exactly that list; the voter must not
// vote for them then.
func (v *Voter) resolveClaims(m VoteRequest) (claims []Claim, known bool) {
	if !m.Unchanged {
		return m.Claims, true
	}
	status, ok := v.holders[m.Holder]
	if !ok {
		return nil, v.faults.acceptAnyClaims
	}
	known = m.ClaimsVersion > 0 && m.ClaimsVersion == status.claimsVersion
	if !known && !v.faults.acceptAnyClaims {
		return nil, false
	}
	return status.Claims, true
}

// grantClaims adds the votes for the claims of a request to the reply. When all are
// granted they need not be listed: the holder knows what it claimed.
func (v *Voter) grantClaims(m VoteRequest, claims []Claim, reply *VoteReply) {
	stopped := func(c Claim) bool { return c.Epoch <= v.stops.gateway(c.Target) }
	if m.ClaimsVersion > 0 && !slices.ContainsFunc(claims, stopped) {
		reply.GrantedAll = true
		return
	}
	reply.Granted = slices.DeleteFunc(slices.Clone(claims), stopped)
}
