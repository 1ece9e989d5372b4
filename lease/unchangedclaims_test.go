package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
)

// holderVoterPair is a holder with one target and the only voter of its cell.
type holderVoterPair struct {
	t      *testing.T
	holder *lease.Holder
	voter  *lease.Voter
	now    time.Duration
}

func newHolderVoterPair(t *testing.T) *holderVoterPair {
	p := &holderVoterPair{t: t}
	self := []lease.Incarnation{router("a")}
	p.holder = lease.NewHolder(lease.HolderConfig{Cell: "x", Self: self[0], Timing: lease.DefaultTiming})
	p.newVoter()
	p.holder.SetElectorate(0, lease.Electorate{Cell: "x", Record: 1, Voters: self})
	p.holder.SetTargets(0, []lease.TargetClaim{{Target: "t1", First: 1, Candidates: self}})
	return p
}

// newVoter replaces the voter by one without state.
func (p *holderVoterPair) newVoter() {
	p.voter = lease.NewVoter(lease.VoterConfig{Cell: "x", Self: router("a"), Timing: lease.DefaultTiming})
	p.voter.SetElectorate(p.now, lease.Electorate{Cell: "x", Record: 1, Voters: []lease.Incarnation{router("a")}})
}

// exchangeHeartbeat advances by one heartbeat and returns the vote requests and their
// replies.
func (p *holderVoterPair) exchangeHeartbeat() (requests []lease.VoteRequest, replies []lease.VoteReply) {
	p.now += lease.DefaultTiming.Heartbeat
	queue := p.holder.Tick(p.now)
	for len(queue) > 0 {
		request := queue[0].Msg
		queue = queue[1:]
		for _, answer := range p.voter.Step(p.now, router("a"), request) {
			queue = append(queue, p.holder.Step(p.now, router("a"), answer.Msg)...)
			if m, ok := request.(lease.VoteRequest); ok {
				requests = append(requests, m)
				replies = append(replies, answer.Msg.(lease.VoteReply))
			}
		}
	}
	return requests, replies
}

func (p *holderVoterPair) exchangeHeartbeats(n int) {
	for range n {
		p.exchangeHeartbeat()
	}
}

func (p *holderVoterPair) heldClaims() []lease.Claim {
	holders := p.voter.Holders()
	assert.Equal(p.t, len(holders), 1)
	return holders[0].Claims
}

// TestUnchangedClaimsAreOmitted checks that a voter that holds the claims receives only
// their version, votes for them and keeps them.
func TestUnchangedClaimsAreOmitted(t *testing.T) {
	p := newHolderVoterPair(t)
	p.exchangeHeartbeats(10)
	requests, replies := p.exchangeHeartbeat()
	assert.Equal(t, len(requests), 1)
	assert.Assert(t, requests[0].Unchanged && len(requests[0].Claims) == 0, "%+v", requests[0])
	assert.Assert(t, replies[0].GrantedAll && len(replies[0].Granted) == 0, "%+v", replies[0])
	assert.DeepEqual(t, p.heldClaims(), []lease.Claim{{Target: "t1", Epoch: 1, Alive: true}})
	assert.Equal(t, len(p.voter.Vacant(p.now)), 0)
	_, _, ok := p.holder.Right(p.now, "t1")
	assert.Assert(t, ok)
}

// TestChangedClaimsAreSent checks that any change except of the load is sent with the
// next heartbeat, after which the claims are omitted again.
func TestChangedClaimsAreSent(t *testing.T) {
	for name, change := range map[string]func(*lease.Holder){
		"alive":   func(h *lease.Holder) { h.SetAlive("t1", false, 0) },
		"drained": func(h *lease.Holder) { h.SetDrained("t1", true) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newHolderVoterPair(t)
			p.exchangeHeartbeats(10)
			change(p.holder)
			requests, _ := p.exchangeHeartbeat()
			assert.Assert(t, !requests[0].Unchanged)
			assert.DeepEqual(t, p.heldClaims(), requests[0].Claims)
			requests, _ = p.exchangeHeartbeat()
			assert.Assert(t, requests[0].Unchanged)
		})
	}
	p := newHolderVoterPair(t)
	p.exchangeHeartbeats(10)
	p.holder.SetAlive("t1", true, 7)
	requests, _ := p.exchangeHeartbeat()
	assert.Assert(t, requests[0].Unchanged)
}

// TestVoterWithoutClaimsIsSentFullList checks that a voter votes for nothing that it
// does not hold and receives the whole list at once.
func TestVoterWithoutClaimsIsSentFullList(t *testing.T) {
	cases := map[string]func(*holderVoterPair){
		"the voter dropped a silent holder": func(p *holderVoterPair) {
			p.now += 2 * time.Minute
			p.voter.Tick(p.now)
		},
		"the voter restarted": (*holderVoterPair).newVoter,
	}
	for name, forget := range cases {
		t.Run(name, func(t *testing.T) {
			p := newHolderVoterPair(t)
			p.exchangeHeartbeats(10)
			forget(p)
			requests, replies := p.exchangeHeartbeat()
			assert.Equal(t, len(requests), 2)
			assert.Assert(t, requests[0].Unchanged)
			assert.Assert(t, !replies[0].GrantedAll && len(replies[0].Granted) == 0 && replies[0].ClaimsHeld == 0, "%+v", replies[0])
			assert.Assert(t, !requests[1].Unchanged && replies[1].GrantedAll)
			_, _, ok := p.holder.Right(p.now, "t1")
			assert.Assert(t, ok)
		})
	}
}

// TestLateClaimsVersionIsNotGranted checks that a late request for a replaced list gets
// no vote for either list.
func TestLateClaimsVersionIsNotGranted(t *testing.T) {
	p := newHolderVoterPair(t)
	p.exchangeHeartbeats(10)
	requests, _ := p.exchangeHeartbeat()
	late := requests[0]
	p.holder.SetDrained("t1", true)
	p.exchangeHeartbeat()
	reply := p.voter.Step(p.now, router("a"), late)[0].Msg.(lease.VoteReply)
	assert.Assert(t, !reply.GrantedAll && len(reply.Granted) == 0, "%+v", reply)
	assert.Assert(t, p.heldClaims()[0].Drained)
}

// TestStoppedClaimIsNotGranted checks that, for an omitted list, only claims that are
// not stopped are granted.
func TestStoppedClaimIsNotGranted(t *testing.T) {
	p := newHolderVoterPair(t)
	p.exchangeHeartbeats(10)
	stops := lease.Stops{Gateways: []lease.GatewayStop{{Target: "t1", Epoch: 1}}}
	p.voter.Step(p.now, router("a"), lease.StopRequest{Cell: "x", Record: 1, From: router("b"), Seq: 1, Stops: stops})
	requests, replies := p.exchangeHeartbeat()
	assert.Assert(t, requests[0].Unchanged)
	assert.Assert(t, !replies[0].GrantedAll && len(replies[0].Granted) == 0, "%+v", replies[0])
	_, _, ok := p.holder.Right(p.now, "t1")
	assert.Assert(t, !ok)
}

// TestVoterListsGrantsForHolderWithoutVersions checks that a holder of an earlier
// program version receives each granted claim.
func TestVoterListsGrantsForHolderWithoutVersions(t *testing.T) {
	p := newHolderVoterPair(t)
	claims := []lease.Claim{{Target: "t1", Epoch: 1, Alive: true}}
	request := lease.VoteRequest{Cell: "x", Record: 1, Holder: router("b"), Seq: 1, Claims: claims}
	reply := p.voter.Step(p.now, router("b"), request)[0].Msg.(lease.VoteReply)
	assert.Assert(t, !reply.GrantedAll && reply.ClaimsHeld == 0)
	assert.DeepEqual(t, reply.Granted, claims)
}
