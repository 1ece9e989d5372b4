package placement

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
)

func newRouters(n int) []lease.Incarnation {
	var all []lease.Incarnation
	for i := range n {
		all = append(all, lease.Incarnation{Host: fmt.Sprintf("kl-%d", i), Run: 1})
	}
	return all
}

func newTargetRefs(n int) []TargetRef {
	var all []TargetRef
	for i := range n {
		all = append(all, TargetRef{Name: fmt.Sprintf("t%02d", i), Service: "katalog", Addr: fmt.Sprintf("10.0.0.%d:80", i)})
	}
	return all
}

func gatewaysByRouter(r membership.Record) map[lease.Incarnation]int {
	count := make(map[lease.Incarnation]int)
	for _, g := range r.Gateways {
		count[g.Candidates[0]]++
	}
	return count
}

func TestGatewaysAreSpread(t *testing.T) {
	record, changes, changed := PlanGateways(membership.Record{}, newRouters(3), newTargetRefs(15), true)
	assert.Assert(t, changed)
	assert.Equal(t, len(changes), 15)
	for _, n := range gatewaysByRouter(record) {
		assert.Equal(t, n, 5)
	}
	for _, g := range record.Gateways {
		assert.Equal(t, len(g.Candidates), 3)
	}
	_, _, changed = PlanGateways(record, newRouters(3), newTargetRefs(15), true)
	assert.Assert(t, !changed)
}

func TestLostRouterHandsOverToItsSuccessors(t *testing.T) {
	record, _, _ := PlanGateways(membership.Record{}, newRouters(3), newTargetRefs(15), true)
	after, _, _ := PlanGateways(record, newRouters(3)[1:], newTargetRefs(15), true)
	for i, g := range after.Gateways {
		old := record.Gateways[i]
		if old.Candidates[0].Host != "kl-0" {
			assert.Equal(t, g.First, old.First)
			assert.Equal(t, g.Candidates[0], old.Candidates[0])
			continue
		}
		assert.Equal(t, g.First, old.First+1)
		assert.Equal(t, g.Candidates[0], old.Candidates[1])
	}
}

func TestRestartedRouterGetsItsShareBack(t *testing.T) {
	record, _, _ := PlanGateways(membership.Record{}, newRouters(3), newTargetRefs(15), true)
	two, _, _ := PlanGateways(record, newRouters(3)[1:], newTargetRefs(15), true)
	back := append(newRouters(3)[1:], lease.Incarnation{Host: "kl-0", Run: 2})
	three, changes, _ := PlanGateways(two, back, newTargetRefs(15), true)
	moved := 0
	for _, c := range changes {
		if c.Reason == GatewayBalance {
			moved++
		}
	}
	assert.Equal(t, moved, 5)
	for _, n := range gatewaysByRouter(three) {
		assert.Equal(t, n, 5)
	}
}

// A move for balance interrupts a target that has a working gateway, so it waits
// until the gateways of all other targets are steady.
func TestGatewaysAreBalancedOnlyWhenSteady(t *testing.T) {
	tests := []struct {
		name   string
		router []lease.Incarnation
		steady bool
		moved  int
	}{
		{"a router is lost", newRouters(3)[1:], false, 0},
		{"the router has returned, its targets have just got new gateways", newRouters(3), false, 0},
		{"the router has returned and all gateways are steady", newRouters(3), true, 5},
	}
	record, _, _ := PlanGateways(membership.Record{}, newRouters(3), newTargetRefs(15), false)
	for _, tt := range tests {
		next, changes, _ := PlanGateways(record, tt.router, newTargetRefs(15), tt.steady)
		moved := 0
		for _, c := range changes {
			if c.Reason == GatewayBalance {
				moved++
			}
		}
		assert.Equal(t, moved, tt.moved, tt.name)
		record = next
	}
}

// The first successor of every gateway of the lost router is the same host, which
// then exceeds its even share. The live gateways must stay nevertheless.
func TestLossMovesNoLiveGateway(t *testing.T) {
	one, two, three := newRouters(3)[0], newRouters(3)[1], newRouters(3)[2]
	var record membership.Record
	for i, ref := range newTargetRefs(6) {
		order := []lease.Incarnation{one, two, three}
		if i >= 3 {
			order = []lease.Incarnation{two, three, one}
		}
		record.Gateways = append(record.Gateways, membership.Gateway{
			Target: ref.Name, Service: ref.Service, Addr: ref.Addr, First: 1, Candidates: order,
		})
	}
	next, _, _ := PlanGateways(record, []lease.Incarnation{two, three}, newTargetRefs(6), false)
	for i, g := range next.Gateways {
		assert.Equal(t, g.Candidates[0], two, "%d", i)
	}
}

func TestReturningTargetStartsAboveItsEpochs(t *testing.T) {
	record, _, _ := PlanGateways(membership.Record{}, newRouters(3), newTargetRefs(2), true)
	used := nextEpoch(record.Gateways[1]) - 1
	without, _, changed := PlanGateways(record, newRouters(3), newTargetRefs(1), true)
	assert.Assert(t, changed)
	assert.Equal(t, len(without.Gateways), 1)
	again, _, _ := PlanGateways(without, newRouters(3), newTargetRefs(2), true)
	assert.Assert(t, again.Gateways[1].First > used)
}

// If the epochs of live routers were stopped, candidates must get new epochs, or
// the target stays without a gateway.
func TestStoppedEpochsAreNotReused(t *testing.T) {
	record, _, _ := PlanGateways(membership.Record{}, newRouters(3), newTargetRefs(1), true)
	old := record.Gateways[0]
	tests := []struct {
		stopped lease.GatewayEpoch
		first   lease.GatewayEpoch
	}{
		{old.First, old.First + 1},
		{nextEpoch(old) - 1, nextEpoch(old)},
		{nextEpoch(old) + 5, nextEpoch(old) + 6},
	}
	for _, tt := range tests {
		targets := newTargetRefs(1)
		targets[0].StoppedEpoch = tt.stopped
		got, _, changed := PlanGateways(record, newRouters(3), targets, true)
		assert.Assert(t, changed)
		assert.Equal(t, got.Gateways[0].First, tt.first)
		assert.Assert(t, len(got.Gateways[0].Candidates) > 0)
		_, _, changed = PlanGateways(got, newRouters(3), targets, true)
		assert.Assert(t, !changed)
	}
}

// In any sequence of changes of hosts and targets, an epoch of a target belongs to
// one router, epochs never decrease, each target has a live gateway while any
// router is alive, gateways are spread evenly, and planning again changes nothing.
func TestGatewayProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type claim struct {
			target string
			epoch  lease.GatewayEpoch
		}
		holder := make(map[claim]lease.Incarnation)
		lowest := make(map[string]lease.GatewayEpoch)
		runs := make([]uint64, 5)
		record := membership.Record{}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			var alive []lease.Incarnation
			for i := range runs {
				switch rapid.IntRange(0, 5).Draw(t, "fate") {
				case 0:
					continue
				case 1:
					runs[i]++
				}
				alive = append(alive, lease.Incarnation{Host: fmt.Sprintf("h%d", i), Run: runs[i]})
			}
			var wanted []TargetRef
			for i, ref := range newTargetRefs(6) {
				if rapid.IntRange(0, 6).Draw(t, "listed") > 0 {
					ref.Addr += fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "address") / 9 * i)
					wanted = append(wanted, ref)
				}
			}
			next, _, _ := PlanGateways(record, alive, wanted, true)
			again, _, changed := PlanGateways(next, alive, wanted, true)
			assert.Assert(t, !changed)
			assert.DeepEqual(t, again, next)
			record = next

			assert.Equal(t, len(record.Gateways), len(wanted))
			for _, g := range record.Gateways {
				assert.Assert(t, g.First >= lowest[g.Target], "epochs of %s decreased", g.Target)
				lowest[g.Target] = g.First
				assert.Assert(t, len(g.Candidates) <= maxCandidates)
				for i, router := range g.Candidates {
					c := claim{g.Target, g.First + lease.GatewayEpoch(i)}
					if known, seen := holder[c]; seen {
						assert.Equal(t, known, router, "epoch %v has two routers", c)
					}
					holder[c] = router
				}
				if len(alive) > 0 {
					assert.Assert(t, slices.Contains(alive, g.Candidates[0]))
				}
			}
			if len(alive) > 0 {
				even := (len(wanted) + len(alive) - 1) / len(alive)
				for router, n := range gatewaysByRouter(record) {
					assert.Assert(t, n <= even+maxGatewayExcess, "%v has %d", router, n)
				}
			}
		}
	})
}
