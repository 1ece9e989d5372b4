package keyrange_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/ownership/keyrange"
)

func owner(i int) keyrange.Owner {
	return keyrange.Owner{Target: string(rune('a' + i)), Run: int64(100 + i), Addr: "10.0.0.1:80"}
}

func newFourOwnerMap() *keyrange.Map {
	return keyrange.New("s", []keyrange.Owner{owner(0), owner(1), owner(2), owner(3)}, []float64{1, 1, 2, 4})
}

func TestNewDistributesKeysByWeight(t *testing.T) {
	m := newFourOwnerMap()
	assert.Equal(t, len(keyrange.Check(m)), 0)
	assert.Equal(t, m.Ranges[0].Keys(), 8192)
	assert.Equal(t, m.Ranges[3].Keys(), 32768)
	assert.Equal(t, m.IndexOf(0), 0)
	assert.Equal(t, m.IndexOf(keyrange.MaxKey), 3)
	assert.Equal(t, m.IndexOf(keyrange.MaxKey+1), -1)
}

func TestAssignKeepsOwnersThatMayHoldKeys(t *testing.T) {
	m := newFourOwnerMap()
	m.Assign(100, 200, owner(1))
	m.Assign(150, 180, owner(2)) // owner 1 may already have been granted the keys
	r := m.Ranges[m.IndexOf(160)]
	assert.Equal(t, r.Owner, owner(2))
	assert.Equal(t, len(r.Prev), 2)
	assert.Equal(t, r.Prev[1].Owner, owner(1))
	assert.Assert(t, m.Settle(keyrange.ID{From: 150, Fence: r.Fence}))
	assert.Assert(t, !m.Settle(keyrange.ID{From: 150, Fence: r.Fence}), "a range must not settle twice")
	assert.Equal(t, len(m.Ranges[m.IndexOf(160)].Prev), 0)
	assert.Equal(t, len(m.Ranges[m.IndexOf(120)].Prev), 1, "the rest of the moved range must stay unsettled")
}

// applyRandomChanges applies random changes to a map and checks each step.
func applyRandomChanges(t *rapid.T, m *keyrange.Map) *keyrange.Map {
	for range rapid.IntRange(1, 12).Draw(t, "changes") {
		before := m.Clone()
		if rapid.Bool().Draw(t, "settle") {
			i := rapid.IntRange(0, len(m.Ranges)-1).Draw(t, "range")
			m.Settle(m.Ranges[i].ID())
		} else {
			from := rapid.IntRange(0, keyrange.MaxKey).Draw(t, "from")
			to := rapid.IntRange(from, keyrange.MaxKey).Draw(t, "to")
			m.Assign(from, to, owner(rapid.IntRange(0, 5).Draw(t, "owner")))
		}
		checkStep(t, before, m)
	}
	return m
}

// checkStep checks that every key has exactly one owner, that an owner changes
// only under a fence above all earlier ones, and that the previous owner is kept
// in Prev.
func checkStep(t *rapid.T, before, after *keyrange.Map) {
	if violations := keyrange.Check(after); len(violations) > 0 {
		t.Fatalf("%v", violations)
	}
	for _, key := range rapid.SliceOfN(rapid.IntRange(0, keyrange.MaxKey), 20, 20).Draw(t, "keys") {
		a, b := before.Ranges[before.IndexOf(key)], after.Ranges[after.IndexOf(key)]
		if a.Fence == b.Fence {
			assert.Equal(t, a.Owner, b.Owner)
			continue
		}
		assert.Assert(t, b.Fence > before.Fence, "key %d: fence %d was used before", key, b.Fence)
		last := b.Prev[len(b.Prev)-1]
		assert.Assert(t, last.Owner == a.Owner && last.Fence == a.Fence, "key %d: the previous owner is missing from Prev", key)
		assert.Equal(t, len(b.Prev), len(a.Prev)+1)
	}
}

func TestRandomChangesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { applyRandomChanges(t, newFourOwnerMap()) })
}

func TestMapAndPatchJSONRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := applyRandomChanges(t, newFourOwnerMap())
		after := applyRandomChanges(t, before.Clone())
		var read keyrange.Map
		roundTrip(t, after, &read)
		assertEqualMaps(t, &read, after)
		var patch keyrange.Patch
		roundTrip(t, keyrange.Diff(before, after), &patch)
		assertEqualMaps(t, patch.Apply(before), after)
	})
}

func roundTrip(t *rapid.T, in, out any) {
	data, err := json.Marshal(in)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(data, out))
}

// assertEqualMaps checks that two maps give each key the same owner, fence and
// earlier owners. Equal neighbouring ranges may be merged in one map only.
func assertEqualMaps(t *rapid.T, a, b *keyrange.Map) {
	assert.Equal(t, len(keyrange.Check(a)), 0)
	assert.Equal(t, a.Fence, b.Fence)
	assert.Equal(t, len(keyrange.Diff(a, b).Ranges), 0)
}

func FuzzUnmarshal(f *testing.F) {
	good, err := json.Marshal(newFourOwnerMap())
	assert.NilError(f, err)
	f.Add(good)
	f.Add([]byte(`{"owners":[],"ranges":[[65535,0,1]]}`))
	f.Add([]byte(`{"owners":[{"target":"a"}],"ranges":[[18446744073709551615,0,1,2]]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m keyrange.Map
		if json.Unmarshal(data, &m) == nil {
			keyrange.Check(&m)
		}
		var p keyrange.Patch
		if json.Unmarshal(data, &p) == nil {
			p.Apply(newFourOwnerMap())
		}
	})
}

// A restored map must not be granted under fences that targets have seen above, nor
// before the longest grant of an owner that it does not name has ended.
func TestRefence(t *testing.T) {
	m := newFourOwnerMap()
	m.Assign(0, 100, owner(3))
	before := m.Clone()
	const floor = 1 << 41
	m.Refence(floor)
	assert.Equal(t, len(keyrange.Check(m)), 0)
	assert.Equal(t, len(m.Ranges), len(before.Ranges))
	for i, r := range m.Ranges {
		assert.Assert(t, r.Fence > floor && r.Fence <= m.Fence)
		assert.Equal(t, r.Owner, before.Ranges[i].Owner)
		assert.Assert(t, len(r.Prev) == 1 && r.Prev[0].IsUnknown())
	}
	m.Refence(0)
	assert.Assert(t, m.Ranges[0].Fence > floor, "fences never fall")
	encoded, err := json.Marshal(m)
	assert.NilError(t, err)
	var decoded keyrange.Map
	assert.NilError(t, json.Unmarshal(encoded, &decoded))
	assert.DeepEqual(t, decoded, *m)
	assert.Assert(t, keyrange.NewAbove(floor, "s", []keyrange.Owner{owner(0)}, []float64{1}).Ranges[0].Fence == floor+1)
}

// A coordinator that goes on in a new era must lose no earlier owner of a moving range.
func TestRenumber(t *testing.T) {
	m := newFourOwnerMap()
	m.Assign(0, 100, owner(3))
	before := m.Clone()
	const floor = 1 << 41
	m.Renumber(floor)
	assert.Equal(t, len(keyrange.Check(m)), 0)
	for i, r := range m.Ranges {
		assert.Assert(t, r.Fence > floor)
		assert.Equal(t, r.Owner, before.Ranges[i].Owner)
	}
	assert.DeepEqual(t, m.Ranges[0].Prev, []keyrange.Previous{
		{Owner: owner(0), Fence: before.Ranges[1].Fence}, {Owner: owner(3), Fence: before.Ranges[0].Fence},
	})
	assert.Equal(t, len(m.Ranges[1].Prev), 0)
}
