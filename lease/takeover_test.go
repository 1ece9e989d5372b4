package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// network delivers messages at once, in order.
type network struct {
	voters  map[string]*lease.Voter
	holders map[string]*lease.Holder
	down    map[string]bool
}

func (n *network) deliver(now time.Duration, from lease.Incarnation, out []lease.Envelope) {
	for _, e := range out {
		if n.down[e.To.Host] || n.down[from.Host] {
			continue
		}
		switch e.Msg.(type) {
		case lease.VoteReply, lease.StopReply:
			n.deliver(now, e.To, n.holders[e.To.Host].Step(now, from, e.Msg))
		default:
			v := n.voters[e.To.Host]
			n.deliver(now, router(e.To.Host), v.Step(now, from, e.Msg))
		}
	}
}

// tick ticks the voter and the holder of every host that is not down. It ignores names.
func (n *network) tick(now time.Duration, names ...string) {
	for _, name := range cellNames {
		if n.down[name] {
			continue
		}
		n.deliver(now, router(name), n.voters[name].Tick(now))
		n.deliver(now, router(name), n.holders[name].Tick(now))
	}
}

var (
	cellNames = []string{"a", "b", "c"}
	firstRef  = ownership.ShardRef{Service: "s"}
)

// newServingNetwork returns three hosts, of which a serves the first shard, and the
// current time.
func newServingNetwork(t *testing.T) (*network, time.Duration) {
	t.Helper()
	n := &network{voters: map[string]*lease.Voter{}, holders: map[string]*lease.Holder{}, down: map[string]bool{}}
	e := lease.Electorate{Cell: "x", Record: 1, Voters: []lease.Incarnation{router("a"), router("b"), router("c")}}
	claims := []lease.TargetClaim{{Target: "t1", First: 1, Candidates: e.Voters}}
	shard := ownership.Shard{Assignment: ownership.Assignment{Cell: "x", Target: "t1", Epoch: 1}}
	for _, name := range cellNames {
		n.voters[name] = lease.NewVoter(lease.VoterConfig{Cell: "x", Self: router(name), Timing: lease.DefaultTiming})
		n.voters[name].SetElectorate(0, e)
		n.voters[name].SetTargets(0, []string{"t1"})
		n.holders[name] = lease.NewHolder(lease.HolderConfig{Cell: "x", Self: router(name), Timing: lease.DefaultTiming})
		n.holders[name].SetElectorate(0, e)
		n.holders[name].SetTargets(0, claims)
		n.holders[name].SetShards(0, []lease.ShardClaim{{Ref: firstRef, Shard: shard}})
	}
	now := time.Duration(0)
	for ; now < 460*ms; now += 10 * ms {
		n.tick(now, cellNames...)
	}
	_, _, ok := n.holders["a"].Serves(now, firstRef)
	assert.Assert(t, ok, "%+v", n.holders["a"].Targets(now))
	return n, now
}

// awaitTakeover returns how long after the loss b serves the shard, and checks that a
// no longer has a right to it.
func (n *network) awaitTakeover(t *testing.T, lost time.Duration) time.Duration {
	t.Helper()
	now := lost
	for ; now < lost+time.Second; now += 10 * ms {
		n.tick(now, cellNames...)
		if _, _, ok := n.holders["b"].Serves(now, firstRef); ok {
			break
		}
	}
	t.Log("takeover after", now-lost)
	assert.Assert(t, now-lost < time.Second, "%+v", n.holders["b"].Targets(now))
	_, _, ok := n.holders["a"].Serves(now, firstRef)
	assert.Assert(t, !ok)
	return now - lost
}

func TestSuccessorServesAfterGatewayIsLost(t *testing.T) {
	n, lost := newServingNetwork(t)
	n.down["a"] = true
	n.awaitTakeover(t, lost)
}
