package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unevenSnapshot returns a page whose first target has 30 % more load than the
// mean. Each shard of the other targets has the given rate, counted over the
// window.
func unevenSnapshot(rate float64, window time.Duration) Snapshot {
	s := newSnapshot(32, newTargets("kl", "kl", "kl", "kl"))
	for i, shard := range s.Page.Shards {
		s.ShardLoad[i] = rate
		if shard.Target == "t00" {
			s.ShardLoad[i] = rate * 1.44
		}
	}
	s.Window = window
	return s
}

// A difference of a few requests is within the noise and causes no move; the same
// relative difference of many requests does.
func TestNoiseCausesNoMove(t *testing.T) {
	assert.Equal(t, countMoves(Plan(unevenSnapshot(0.1, 9*time.Second))), 0)
	assert.Assert(t, countMoves(Plan(unevenSnapshot(100, 9*time.Second))) > 0)
	assert.Assert(t, countMoves(Plan(unevenSnapshot(0.1, 0))) > 0, "exact rates")
}

// A key is pinned only if its load exceeds the limit by more than the noise.
func TestFewRequestsMakeNoHotKey(t *testing.T) {
	for load, pins := range map[float64]int{0.6: 0, 6: 1} {
		s := unevenSnapshot(load/6, 9*time.Second)
		s.Limits.StartDeviation = 0.1
		s.ShardLoad[0] += load
		s.HotKeys = []HotKey{{Key: "harry", Shard: 0, Load: load}}
		pinned := 0
		for _, d := range Plan(s) {
			if d.Action == ActionPin {
				pinned++
			}
		}
		assert.Equal(t, pinned, pins, "load %v", load)
	}
}
