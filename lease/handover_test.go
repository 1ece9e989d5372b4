package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// handoverCell is a cell of three hosts with one target and immediate message delivery.
// Host a is the gateway.
type handoverCell struct {
	*network
	now time.Duration
}

var (
	handoverShard = ownership.ShardRef{Service: "s"}
	initialClaim  = lease.TargetClaim{Target: "t1", First: 1, Candidates: routers("a", "c")}
)

func routers(names ...string) []lease.Incarnation {
	var all []lease.Incarnation
	for _, name := range names {
		all = append(all, router(name))
	}
	return all
}

func newHandoverCell(t *testing.T, faults lease.Faults) *handoverCell {
	c := &handoverCell{network: &network{voters: map[string]*lease.Voter{}, holders: map[string]*lease.Holder{}, down: map[string]bool{}}}
	e := lease.Electorate{Cell: "x", Record: 1, Voters: routers("a", "b", "c")}
	for _, id := range e.Voters {
		v := lease.NewVoter(lease.VoterConfig{Cell: "x", Self: id, Timing: lease.DefaultTiming})
		v.SetElectorate(0, e)
		v.SetTargets(0, []string{"t1"})
		h := lease.NewHolder(lease.HolderConfig{Cell: "x", Self: id, Timing: lease.DefaultTiming})
		h.SetFaults(faults)
		h.SetElectorate(0, e)
		c.voters[id.Host], c.holders[id.Host] = v, h
	}
	c.setClaim(initialClaim, "a", "b", "c")
	c.advance(time.Second)
	assert.Assert(t, c.serves("a"))
	return c
}

// setClaim gives the holders the record's entry of the target and the page.
func (c *handoverCell) setClaim(claim lease.TargetClaim, names ...string) {
	shard := ownership.Shard{Assignment: ownership.Assignment{Cell: "x", Target: "t1", Epoch: 1}}
	for _, name := range names {
		c.holders[name].SetTargets(c.now, []lease.TargetClaim{claim})
		c.holders[name].SetShards(c.now, []lease.ShardClaim{{Ref: handoverShard, Shard: shard}})
	}
}

func (c *handoverCell) advance(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += 10 * ms {
		c.tick(c.now, "a", "b", "c")
	}
}

// advanceUntilServed returns how long it took until the holder served, at most one
// second.
func (c *handoverCell) advanceUntilServed(name string) time.Duration {
	began := c.now
	for !c.serves(name) && c.now-began < time.Second {
		c.advance(10 * ms)
	}
	return c.now - began
}

func (c *handoverCell) serves(name string) bool {
	_, _, ok := c.holders[name].Serves(c.now, handoverShard)
	return ok
}

func TestHandover(t *testing.T) {
	tests := []struct {
		name    string
		claim   lease.TargetClaim
		release bool
		wait    bool
	}{
		{"released", lease.TargetClaim{Target: "t1", First: 3, Candidates: routers("b", "a")}, true, false},
		{"released by a router that is no candidate", lease.TargetClaim{Target: "t1", First: 3, Candidates: routers("b", "c")}, true, false},
		{"released to the next candidate of the same list", lease.TargetClaim{Target: "t1", First: 2, Candidates: routers("c", "b")}, true, false},
		{"not released", lease.TargetClaim{Target: "t1", First: 3, Candidates: routers("b", "a")}, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newHandoverCell(t, lease.NoFault)
			c.setClaim(tt.claim, "a", "b", "c")
			assert.Assert(t, !c.serves("a"))
			assert.DeepEqual(t, c.holders["a"].HandingOver(), []string{"t1"})
			if tt.release {
				assert.NilError(t, c.holders["a"].ReleaseTarget(c.now, "t1"))
				assert.Equal(t, len(c.holders["a"].HandingOver()), 0)
			}
			took := c.advanceUntilServed(tt.claim.Candidates[0].Host)
			assert.Equal(t, took >= lease.DefaultTiming.Wait(), tt.wait, "served after %v", took)
			assert.Assert(t, took < time.Second)
			c.advance(time.Second)
			assert.ErrorIs(t, c.holders["a"].ReleaseTarget(c.now, "t1"), lease.ErrNotServed)
		})
	}
}

// The new gateway may begin, and the old one learn of it through the voters' stops,
// before the old one receives the record.
func TestHandoverAfterStopIsKnown(t *testing.T) {
	c := newHandoverCell(t, lease.NoFault)
	claim := lease.TargetClaim{Target: "t1", First: 3, Candidates: routers("b", "a")}
	c.setClaim(claim, "b", "c")
	c.advance(150 * ms)
	assert.Assert(t, !c.serves("a") && !c.serves("b"))
	c.setClaim(claim, "a")
	assert.NilError(t, c.holders["a"].ReleaseTarget(c.now, "t1"))
	took := c.advanceUntilServed("b")
	assert.Assert(t, took < 150*ms, "%v", took)
}

// A router that is assigned again a target that it released must wait like any other
// router.
func TestRouterWaitsAfterReleasingTarget(t *testing.T) {
	bothServe := func(faults lease.Faults) bool {
		c := newHandoverCell(t, faults)
		c.setClaim(lease.TargetClaim{Target: "t1", First: 3, Candidates: routers("b", "a")}, "a", "b", "c")
		assert.NilError(t, c.holders["a"].ReleaseTarget(c.now, "t1"))
		c.advanceUntilServed("b")
		c.down["b"] = true // it does not learn that it is stopped
		c.setClaim(lease.TargetClaim{Target: "t1", First: 5, Candidates: routers("a", "b")}, "a", "c")
		for range 30 {
			c.advance(10 * ms)
			if c.serves("a") && c.serves("b") {
				return true
			}
		}
		return false
	}
	assert.Assert(t, !bothServe(lease.NoFault))
	assert.Assert(t, bothServe(lease.KeepReleased), "the test does not detect the disabled rule")
}

// A release does not cover holders that began after the right had ended.
func TestReleaseAfterRightEndedIsIgnored(t *testing.T) {
	bothServe := func(faults lease.Faults) bool {
		c := newHandoverCell(t, faults)
		claim := lease.TargetClaim{Target: "t1", First: 3, Candidates: routers("b", "a")}
		c.setClaim(claim, "a")
		assert.NilError(t, c.holders["a"].ReleaseTarget(c.now, "t1"))
		c.down["a"] = true
		c.advanceUntilServed("c") // from the same list as a; it does not have the new record
		assert.Assert(t, c.serves("c"))
		c.down["a"] = false
		c.advance(10 * ms)
		c.down["c"] = true
		c.setClaim(claim, "b")
		for range 30 {
			c.advance(10 * ms)
			if c.serves("b") && c.serves("c") {
				return true
			}
		}
		return false
	}
	assert.Assert(t, !bothServe(lease.NoFault))
	assert.Assert(t, bothServe(lease.ReleaseLate), "the test does not detect the disabled rule")
}

// A pending release of a shard depends on the gateway's right, so handing the target
// over fails it.
func TestHandoverFailsPendingShardRelease(t *testing.T) {
	c := newHandoverCell(t, lease.NoFault)
	shard := ownership.Shard{
		Assignment: ownership.Assignment{Cell: "x", Target: "t2", Epoch: 2},
		Move: &ownership.Move{
			Kind: ownership.MovePlanned,
			From: ownership.Assignment{Cell: "x", Target: "t1", Epoch: 1},
			Stop: 1,
		},
	}
	a := c.holders["a"]
	a.SetShards(c.now, []lease.ShardClaim{{Ref: handoverShard, Shard: shard}})
	assert.NilError(t, a.Release(c.now, handoverShard, 1, 0))
	a.SetTargets(c.now, []lease.TargetClaim{{Target: "t1", First: 3, Candidates: routers("b", "a")}})
	assert.NilError(t, a.ReleaseTarget(c.now, "t1"))
	c.advance(100 * ms)
	assert.Assert(t, a.Leaving()[0].Failed)
}

func TestLeavingIsReportedToVoters(t *testing.T) {
	c := newHandoverCell(t, lease.NoFault)
	c.holders["a"].SetLeaving()
	c.advance(20 * ms)
	for _, h := range c.voters["b"].Holders() {
		assert.Equal(t, h.Leaving, h.Holder == router("a"))
	}
}

// follows returns the line that a holder's line of the shard follows.
func (c *handoverCell) follows(name string) lease.GatewayEpoch {
	line, _ := c.holders[name].Line(c.now, handoverShard)
	return line.Follows
}

// A line that began through a release mark follows the released line; one that waited
// for the old right to expire follows no known line.
func TestLineFollowsReleasedLine(t *testing.T) {
	claim := lease.TargetClaim{Target: "t1", First: 3, Candidates: routers("b", "a")}
	c := newHandoverCell(t, lease.NoFault)
	assert.Equal(t, c.follows("a"), lease.GatewayEpoch(0))
	c.setClaim(claim, "a", "b", "c")
	next, ok := c.holders["a"].Succession("t1")
	assert.Assert(t, ok)
	assert.Equal(t, next, lease.Succession{Target: "t1", Before: 1, After: 3})
	assert.NilError(t, c.holders["a"].ReleaseTarget(c.now, "t1"))
	c.advanceUntilServed("b")
	line, _ := c.holders["b"].Line(c.now, handoverShard)
	assert.Equal(t, line.Chain, next.After)
	assert.Equal(t, line.Follows, next.Before)

	// The line continues under a newer list and still follows the same one.
	c.setClaim(lease.TargetClaim{Target: "t1", First: 5, Candidates: routers("b", "a")}, "a", "b", "c")
	c.advanceUntilServed("b")
	renewed, _ := c.holders["b"].Line(c.now, handoverShard)
	assert.Equal(t, renewed, line)

	waited := newHandoverCell(t, lease.NoFault)
	waited.setClaim(claim, "a", "b", "c")
	waited.advanceUntilServed("b")
	assert.Assert(t, waited.serves("b"))
	assert.Equal(t, waited.follows("b"), lease.GatewayEpoch(0))
}

// A release mark does not cover holders that were active after it.
func TestLineIgnoresOlderReleaseMark(t *testing.T) {
	follows := func(faults lease.Faults) lease.GatewayEpoch {
		c := newHandoverCell(t, faults)
		c.setClaim(lease.TargetClaim{Target: "t1", First: 3, Candidates: routers("b", "a")}, "a", "b", "c")
		assert.NilError(t, c.holders["a"].ReleaseTarget(c.now, "t1"))
		c.advanceUntilServed("b")
		assert.Equal(t, c.follows("b"), lease.GatewayEpoch(1))
		c.down["b"] = true
		c.setClaim(lease.TargetClaim{Target: "t1", First: 5, Candidates: routers("c", "a")}, "a", "c")
		c.advanceUntilServed("c")
		assert.Assert(t, c.serves("c"))
		return c.follows("c")
	}
	assert.Equal(t, follows(lease.NoFault), lease.GatewayEpoch(0))
	assert.Assert(t, follows(lease.FollowAnyMark) > 0, "the test does not detect the disabled rule")
}
