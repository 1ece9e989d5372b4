package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The shards of a leaving target move in order of decreasing load, so that the
// light ones fill the remaining differences and need no further move for balance.
func TestShardsOfLeavingTargetSpreadByLoad(t *testing.T) {
	s := newSnapshot(5, newTargets("kl", "kl", "kl"))
	for i := range s.Page.Shards {
		s.Page.Shards[i].Target = "t02"
	}
	s.ShardLoad = []float64{10, 10, 10, 10, 40}
	s.Targets[2].State = Leaving
	loads := make(map[string]float64)
	for _, d := range Plan(s) {
		assert.Equal(t, d.Action, ActionMove)
		loads[d.Target] += s.ShardLoad[d.Shard]
	}
	assert.DeepEqual(t, loads, map[string]float64{"t00": 40, "t01": 40})
}
