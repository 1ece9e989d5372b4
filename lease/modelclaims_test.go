package lease_test

import (
	"slices"

	"github.com/mangopost/mangopost/lease"
)

// claimListID identifies a list of claims.
type claimListID struct {
	holder  lease.Incarnation
	version uint64
}

// sentClaims records the claims sent in full, to check that a voter votes for omitted
// claims only while it holds them.
type sentClaims struct {
	lists map[claimListID][]lease.Claim // as sent in full
}

// record stores a list that is sent in full.
func (c *sentClaims) record(m lease.VoteRequest) {
	if m.Unchanged {
		return
	}
	if c.lists == nil {
		c.lists = make(map[claimListID][]lease.Claim)
	}
	c.lists[claimListID{m.Holder, m.ClaimsVersion}] = m.Claims
}

// recordVoteRequest records the claims of a vote request when it is sent.
func (w *model) recordVoteRequest(msg lease.Message) {
	if m, ok := msg.(lease.VoteRequest); ok {
		w.claims.record(m)
	}
}

// checkVote checks a voter's answer to a vote request.
func (w *model) checkVote(voter *lease.Voter, msg lease.Message, out []lease.Envelope) {
	request, ok := msg.(lease.VoteRequest)
	if !ok || !request.Unchanged || len(out) == 0 {
		return
	}
	w.counts["claims omitted"]++
	reply := out[0].Msg.(lease.VoteReply)
	if !reply.GrantedAll && len(reply.Granted) == 0 {
		w.counts["claims not held"]++
		return
	}
	want := w.claims.lists[claimListID{request.Holder, request.ClaimsVersion}]
	if held := claimsHeld(voter, request.Holder); !slices.EqualFunc(held, want, equalExceptLoad) {
		w.fail("voted for omitted claims %+v of %v while holding %+v", want, request.Holder, held)
	}
}

func claimsHeld(voter *lease.Voter, holder lease.Incarnation) []lease.Claim {
	for _, status := range voter.Holders() {
		if status.Holder == holder {
			return status.Claims
		}
	}
	return nil
}

// equalExceptLoad reports whether two claims are equal except for the load.
func equalExceptLoad(a, b lease.Claim) bool {
	a.Load = b.Load
	return a == b
}
