package hotrange_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/placement/hotrange"
)

const windowSeconds = 1.5 // smoothing window of the rates

func newTargets(capacities ...float64) []hotrange.Target {
	var out []hotrange.Target
	for i, c := range capacities {
		out = append(out, hotrange.Target{Owner: keyrange.Owner{Target: fmt.Sprintf("t%02d", i), Run: 1}, Capacity: c})
	}
	return out
}

func newMap(list []hotrange.Target) *keyrange.Map {
	var owners []keyrange.Owner
	var weights []float64
	for _, t := range list {
		owners, weights = append(owners, t.Owner), append(weights, t.Capacity)
	}
	return keyrange.New("s", owners, weights)
}

// setRate sets the rate of a key, in requests per second.
func setRate(l *hotrange.Loads, key int, perSecond float64) { l.Set(key, perSecond) }

// planRounds makes up to n plans until one is empty, applies and settles their
// moves at once, and returns the number of moves.
func planRounds(t *testing.T, m *keyrange.Map, list []hotrange.Target, loads *hotrange.Loads, n int) (moves int) {
	t.Helper()
	for range n {
		plan := hotrange.Plan(hotrange.State{Map: m, Targets: list, Loads: loads}, hotrange.DefaultLimits)
		if len(plan) == 0 {
			return moves
		}
		moves += len(plan)
		for _, move := range plan {
			m.Assign(move.From, move.To, move.Owner)
		}
		assert.Equal(t, len(keyrange.Check(m)), 0)
		for _, r := range m.Clone().Ranges {
			m.Settle(r.ID())
		}
	}
	return moves
}

// utilizations returns the utilization of each target.
func utilizations(m *keyrange.Map, list []hotrange.Target, keys map[int]float64) map[string]float64 {
	out := make(map[string]float64)
	for key, load := range keys {
		out[m.Ranges[m.IndexOf(key)].Owner.Target] += load
	}
	for _, t := range list {
		out[t.Owner.Target] /= t.Capacity
	}
	return out
}

func maxUtilization(of map[string]float64) float64 {
	most := 0.0
	for _, share := range of {
		most = max(most, share)
	}
	return most
}

// 200 adjacent keys of one owner have half of the load.
func TestHotSpotIsDistributedToSeveralTargets(t *testing.T) {
	list := newTargets(40, 40, 40, 40, 40, 40, 40, 40)
	m, loads, keys := newMap(list), &hotrange.Loads{}, make(map[int]float64)
	for k := range 200 {
		keys[20000+k] = 0.5
	}
	for k := range 1000 {
		keys[k*64] += 0.1
	}
	for key, r := range keys {
		setRate(loads, key, r)
	}
	assert.Assert(t, maxUtilization(utilizations(m, list, keys)) > 2.5)
	moves := planRounds(t, m, list, loads, 4)
	assert.Assert(t, maxUtilization(utilizations(m, list, keys)) < 0.85, "%v", utilizations(m, list, keys))
	assert.Assert(t, moves <= 16, "%d moves", moves)
}

// 60 adjacent keys suddenly get five hundred requests per second. The first report
// of the hosts, 0.4 s later, must be enough to distribute them, although rates that
// are smoothed over 1.5 s show only a quarter of the load then.
func TestHotSpotIsDistributedAfterOneReport(t *testing.T) {
	list := newTargets(slices.Repeat([]float64{17}, 142)...)
	m, loads, keys := newMap(list), &hotrange.Loads{}, make(map[int]float64)
	for k := range 700 {
		keys[k*93] = 1
	}
	for key, r := range keys {
		setRate(loads, key, r)
	}
	loads.Decay(0.4, windowSeconds)
	for key, r := range keys {
		loads.Add(key, 0.4*r, windowSeconds)
	}
	for k := range 60 {
		keys[30000+k] += 8.4
		loads.Add(30000+k, 0.4*8.4, windowSeconds)
	}
	plan := hotrange.Plan(hotrange.State{Map: m, Targets: list, Loads: loads}, hotrange.Limits{MaxMoves: 71, StartUtilization: 0.6, MinGain: 0.25})
	for _, move := range plan {
		m.Assign(move.From, move.To, move.Owner)
	}
	overload := 0.0 // requests per second beyond their owners' capacity
	for _, share := range utilizations(m, list, keys) {
		overload += max(0, share-1) * 17
	}
	assert.Assert(t, overload < 0.1*500, "%.0f requests per second beyond their owners' capacity", overload)
}

// One key has more requests than any target can process. It moves to the fastest
// target, and the other load of that target moves away.
func TestSingleHotKeyMovesToFastestTarget(t *testing.T) {
	list := newTargets(20, 20, 60, 20)
	m, loads, keys := newMap(list), &hotrange.Loads{}, map[int]float64{1000: 90}
	for k := range 60 {
		keys[k*100+37] += 0.5
	}
	for key, r := range keys {
		setRate(loads, key, r)
	}
	planRounds(t, m, list, loads, 10)
	r := m.Ranges[m.IndexOf(1000)]
	assert.Equal(t, r.Owner.Target, "t02")
	others := 0.0
	for key, load := range keys {
		if key != 1000 && m.Ranges[m.IndexOf(key)].Owner.Target == "t02" {
			others += load
		}
	}
	assert.Assert(t, others < 3, "%v requests per second stay at the owner of the hot key", others)
}

// The most loaded target has no range that may move. The plan must still move
// ranges of other targets.
func TestTargetWithoutMovableRangeDoesNotEndPlan(t *testing.T) {
	list := newTargets(30, 30, 30, 30)
	m, loads := newMap(list), &hotrange.Loads{}
	setRate(loads, 100, 80) // the only load of t00, which no other target can serve better
	for k := range 60 {
		setRate(loads, 17000+k, 0.8) // 48 requests per second at t01
	}
	plan := hotrange.Plan(hotrange.State{Map: m, Targets: list, Loads: loads}, hotrange.DefaultLimits)
	from := make(map[string]bool)
	for _, move := range plan {
		from[m.Ranges[m.IndexOf(move.From)].Owner.Target] = true
	}
	assert.Assert(t, from["t01"], "%v", plan)
}

// A target that joins gets its share of the keys even if no target is busy.
func TestJoiningTargetGetsKeys(t *testing.T) {
	list := newTargets(40, 40, 40)
	m, loads := newMap(list[:2]), &hotrange.Loads{}
	for k := range 100 {
		setRate(loads, k*655, 0.1)
	}
	planRounds(t, m, list, loads, 5)
	count := 0
	for _, r := range m.Ranges {
		if r.Owner.Target == "t02" {
			count += r.Keys()
		}
	}
	assert.Assert(t, count > 8000, "%d keys", count)
}

// With a low, evenly spread load nothing moves.
func TestEvenLoadCausesNoMoves(t *testing.T) {
	list := newTargets(40, 40, 40, 40)
	m, loads := newMap(list), &hotrange.Loads{}
	for k := range 1000 {
		setRate(loads, k*65, 0.07)
	}
	assert.Equal(t, planRounds(t, m, list, loads, 3), 0)
}

// Regardless of the limits, no key stays with an owner that is not among the
// targets, or with an earlier run of one.
func TestLostOwnersKeepNoKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := newTargets(10, 20, 30, 40)
		m, loads := newMap(list), &hotrange.Loads{}
		for range rapid.IntRange(0, 50).Draw(t, "hot") {
			setRate(loads, rapid.IntRange(0, keyrange.MaxKey).Draw(t, "key"), 5)
		}
		left := list[rapid.IntRange(1, 3).Draw(t, "lost"):]
		if rapid.Bool().Draw(t, "restarted") {
			left = append([]hotrange.Target(nil), left...)
			left[0].Owner.Run = 2
		}
		for _, move := range hotrange.Plan(hotrange.State{Map: m, Targets: left, Loads: loads}, hotrange.Limits{}) {
			m.Assign(move.From, move.To, move.Owner)
		}
		for _, r := range m.Ranges {
			found := false
			for _, target := range left {
				found = found || target.Owner == r.Owner
			}
			assert.Assert(t, found, "%v", r)
		}
	})
}

// A map has many small ranges, each of which costs a grant about every second.
func TestFragmentsAreJoinedToNeighbours(t *testing.T) {
	list := newTargets(40, 40, 40, 40)
	m, loads := newMap(list), &hotrange.Loads{}
	for i := range 200 {
		m.Assign(i*300, i*300+99, list[i%4].Owner)
	}
	for _, r := range m.Clone().Ranges {
		m.Settle(r.ID())
	}
	before := len(m.Ranges)
	planRounds(t, m, list, loads, 30)
	parts := m.Clone()
	merged := m.Merge(len(m.Ranges), func(keyrange.Range) bool { return false })
	assert.Equal(t, len(keyrange.Check(m)), 0)
	assert.Assert(t, merged > 0 && len(m.Ranges) < before, "%d ranges, %d before", len(m.Ranges), before)
	for _, r := range m.Ranges {
		first, last := parts.IndexOf(r.From), parts.IndexOf(r.To)
		if first == last {
			assert.DeepEqual(t, parts.Ranges[first], r)
			continue
		}
		merged--
		assert.Assert(t, r.Fence > parts.Fence)
		for _, part := range parts.Ranges[first : last+1] {
			assert.Equal(t, part.Owner, r.Owner)
		}
	}
	assert.Equal(t, merged, 0)
}

func TestFixedRangesDoNotMove(t *testing.T) {
	list := newTargets(10, 10)
	m, loads := newMap(list), &hotrange.Loads{}
	for k := range 40 {
		setRate(loads, 100+k, 1)
	}
	fixed := func(keyrange.Range) bool { return true }
	plan := hotrange.Plan(hotrange.State{Map: m, Targets: list, Loads: loads, Fixed: fixed}, hotrange.DefaultLimits)
	assert.Equal(t, len(plan), 0)
}

func TestLoadsDecay(t *testing.T) {
	l := &hotrange.Loads{}
	l.Add(5, 3, windowSeconds)
	l.Decay(windowSeconds, windowSeconds)
	list := newTargets(1, 1)
	plan := hotrange.Plan(hotrange.State{Map: newMap(list), Targets: list, Loads: l}, hotrange.DefaultLimits)
	assert.Assert(t, len(plan) <= 1)
	l.Add(-1, 1, windowSeconds)
	l.Add(keyrange.MaxKey+1, 1, windowSeconds) // out of range: ignored
	l.Decay(100, windowSeconds)
}

// rangesOf returns the number of ranges that a target owns.
func rangesOf(m *keyrange.Map, owner keyrange.Owner) int {
	count := 0
	for _, r := range m.Ranges {
		if r.Owner.SameRun(owner) {
			count++
		}
	}
	return count
}

// TestColdTargetsGetNoKeys: targets restart one after the other. A cold one gets neither
// the keys of a lost owner nor some for balance while warm targets have room; when it is
// warm it gets some.
func TestColdTargetsGetNoKeys(t *testing.T) {
	list := newTargets(30, 30, 30, 30)
	m := newMap(list)
	loads := &hotrange.Loads{}
	for key := 0; key <= keyrange.MaxKey; key += 1024 {
		setRate(loads, key, 1)
	}
	list[0].Owner.Run = 2
	list[0].Cold, list[0].ColdCapacity = true, 3
	assert.Assert(t, planRounds(t, m, list, loads, 10) > 0)
	assert.Equal(t, rangesOf(m, list[0].Owner), 0)
	list[0].Cold = false
	planRounds(t, m, list, loads, 10)
	assert.Assert(t, rangesOf(m, list[0].Owner) > 0)
}

// TestKeysOfColdTargets: all targets have restarted and share the work. One that turns
// cold again keeps its keys, unless it stays cold for long.
func TestKeysOfColdTargets(t *testing.T) {
	list := newTargets(30, 30, 30, 30)
	m := newMap(list)
	loads := &hotrange.Loads{}
	for key := 0; key <= keyrange.MaxKey; key += 1024 {
		setRate(loads, key, 1)
	}
	for i := range list {
		list[i].Owner.Run = 2
		list[i].Cold, list[i].ColdCapacity = true, 3
	}
	planRounds(t, m, list, loads, 10)
	for i := range list {
		assert.Assert(t, rangesOf(m, list[i].Owner) > 0, "target %d has no keys", i)
	}
	for i := range list[1:] {
		list[i+1].Cold = false
	}
	planRounds(t, m, list, loads, 10)
	assert.Assert(t, rangesOf(m, list[0].Owner) > 0)
	list[0].LongCold = true
	planRounds(t, m, list, loads, 20)
	keys := 0
	for _, r := range m.Ranges {
		if r.Owner.SameRun(list[0].Owner) {
			keys += r.Keys()
		}
	}
	assert.Assert(t, keys < (keyrange.MaxKey+1)/8, "%d keys stay with the cold target", keys)
}

// TestLostKeysGoToColdTargetsIfWarmOnesAreFull: the only warm target has no room for the
// keys of the others, which have restarted.
func TestLostKeysGoToColdTargetsIfWarmOnesAreFull(t *testing.T) {
	list := newTargets(30, 30, 30, 30)
	m := newMap(list)
	loads := &hotrange.Loads{}
	for key := 0; key <= keyrange.MaxKey; key += 2048 {
		setRate(loads, key, 1.2)
	}
	for i := range list[1:] {
		list[i+1].Owner.Run = 2
		list[i+1].Cold, list[i+1].ColdCapacity = true, 6
	}
	planRounds(t, m, list, loads, 1)
	cold := 0
	for _, target := range list[1:] {
		cold += rangesOf(m, target.Owner)
	}
	assert.Assert(t, cold > 0 && rangesOf(m, list[0].Owner) > 0)
}
