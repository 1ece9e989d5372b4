package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
)

// Old voters that receive the new record before they are asked for their promise must
// still hand over the stops made under the old record.
func TestOldVotersHandOverAfterRecordChange(t *testing.T) {
	a, b, oldC := router("a"), router("b"), router("c")
	newC := lease.Incarnation{Host: "c", Run: 2}
	first := lease.Electorate{Cell: "x", Record: 1, Voters: []lease.Incarnation{a, b, oldC}}
	second := lease.Electorate{Cell: "x", Record: 2, Voters: []lease.Incarnation{a, b, newC}, Old: first.Voters}

	voters := make(map[lease.Incarnation]*lease.Voter)
	for _, id := range []lease.Incarnation{a, b, newC} {
		voters[id] = lease.NewVoter(lease.VoterConfig{Cell: "x", Self: id, Timing: lease.DefaultTiming})
	}
	stops := lease.Stops{Gateways: []lease.GatewayStop{{Target: "t1", Epoch: 4}}}
	for _, id := range []lease.Incarnation{a, b} {
		voters[id].SetElectorate(0, first)
		voters[id].Step(0, a, lease.StopRequest{Cell: "x", Record: 1, From: a, Seq: 1, Stops: stops})
	}
	for _, v := range voters {
		v.SetElectorate(0, second)
	}

	for now := time.Duration(0); now < time.Second; now += 20 * ms {
		for id, v := range voters {
			deliver(now, voters, id, v.Tick(now))
		}
		for id, v := range voters {
			assert.Assert(t, !v.NeedsFloor(now), "%v needs a floor at %v", id, now)
		}
	}
	request := lease.VoteRequest{Cell: "x", Record: 2, Holder: a, Seq: 1, Claims: []lease.Claim{{Target: "t1", Epoch: 4}, {Target: "t1", Epoch: 5}}}
	for id, v := range voters {
		assert.Assert(t, v.Settled(), id)
		reply, ok := v.Step(time.Second, a, request)[0].Msg.(lease.VoteReply)
		assert.Assert(t, ok)
		assert.DeepEqual(t, reply.Granted, []lease.Claim{{Target: "t1", Epoch: 5}})
	}
}

// deliver passes messages and the replies to them to their receivers.
func deliver(now time.Duration, voters map[lease.Incarnation]*lease.Voter, from lease.Incarnation, out []lease.Envelope) {
	for _, e := range out {
		if v := voters[e.To]; v != nil {
			deliver(now, voters, e.To, v.Step(now, from, e.Msg))
		}
	}
}
