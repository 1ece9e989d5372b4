package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/ownership"
)

// A key that is pinned counts as an indivisible shard already in the rest of the
// same plan, so the idle shards of its target are not moved for balance.
func TestTargetOfNewPinKeepsIdleShards(t *testing.T) {
	s := newSnapshot(60, newTargets("kl", "kl", "kl"))
	s.ShardLoad = make([]float64, 60)
	s.ShardLoad[0] = 1000
	s.HotKeys = []HotKey{{Key: "harry", Shard: 0, Load: 500}}
	for _, d := range Plan(s) {
		assert.Assert(t, d.Action != ActionMove, "%+v", d)
	}
}

// Shortly after a pin, gateways have not reported the new shard yet, and the
// hash-range shard of the key still shows the key's load. Both rates are corrected.
func TestLoadOfPinnedKeyMovesToNewPin(t *testing.T) {
	page := ownership.Page{Shards: make([]ownership.Shard, 2), Pins: make([]ownership.Shard, 2)}
	page.Pins[0].PinnedTo = "harry"
	home := ownership.ShardOf("harry", 2)
	rates := []float64{7, 7, 10, 3}
	keys := map[string]float64{"harry": 15, "sally": 2}
	want := []float64{7, 7, 15, 3}
	want[home] = 2
	assert.DeepEqual(t, CorrectPinnedRates(page, rates, func(key string) float64 { return keys[key] }), want)
	assert.DeepEqual(t, rates, []float64{7, 7, 10, 3})

	keys["harry"] = 100
	want[2], want[home] = 100, 0
	assert.DeepEqual(t, CorrectPinnedRates(page, rates, func(key string) float64 { return keys[key] }), want)

	keys["harry"] = 1
	assert.DeepEqual(t, CorrectPinnedRates(page, rates, func(key string) float64 { return keys[key] }), rates)
}
