package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/ownership"
)

// A key is not pinned at its current owner if that frees the target only of a
// light rest of the shard.
func TestPinAtSameOwnerMustFreeEnoughLoad(t *testing.T) {
	for rest, pins := range map[float64]int{2: 0, 60: 1} {
		s := newSnapshot(8, newTargets("kl", "kl"))
		s.ShardLoad[0] = 500 + rest
		s.HotKeys = []HotKey{{Key: "harry", Shard: 0, Load: 500}}
		pinned := 0
		for _, d := range Plan(s) {
			if d.Action == ActionPin {
				pinned++
			}
		}
		assert.Equal(t, pinned, pins, "rest %v", rest)
	}
}

// A budget that is too small for both pins the hot key rather than unpinning the
// cooled one, because only the pin lowers a load.
func TestHotKeysArePinnedBeforeCooledKeysAreUnpinned(t *testing.T) {
	s := newSnapshot(16, newTargets("kl", "kl", "kl", "kl"))
	s.ShardLoad[5] += 200
	s.HotKeys = []HotKey{{Key: "harry", Shard: 5, Load: 200}}
	s.ShardLoad[5] += 60
	s.Page.Pins = []ownership.Shard{{
		Assignment: ownership.Assignment{Cell: "kl", Target: "t00", Epoch: 1}, PinnedTo: "sally",
	}}
	s.ShardLoad = append(s.ShardLoad, 0)
	s.Limits.MovesPerMinute = pinCost
	plan := Plan(s)
	assert.Equal(t, countMoves(plan), 1, "%+v", plan)
	assert.Equal(t, plan[0].Action, ActionPin)
}

// Pinning a key gives its hash-range shard a new epoch at the same owner, so
// MinStay does not prevent a move of that shard.
func TestShardOfPinnedKeyIsMovable(t *testing.T) {
	s := newSnapshot(8, newTargets("kl", "kl"))
	s.ShardLoad[0] = 200
	shard := &s.Page.Shards[0]
	shard.SinceMS, shard.Reason = noon.Add(-time.Second).UnixMilli(), string(ReasonHot)
	assert.Assert(t, newPlanner(s).isMovable(newPlanner(s).shards[0]))
	shard.Move = &ownership.Move{}
	assert.Assert(t, !newPlanner(s).isMovable(newPlanner(s).shards[0]))
	shard.Move, shard.Reason = nil, string(ReasonBalance)
	assert.Assert(t, !newPlanner(s).isMovable(newPlanner(s).shards[0]))
}

// Shards of a new service were assigned before there was any load, so MinStay does
// not apply to them.
func TestNewServiceIsBalancedAtOnce(t *testing.T) {
	s := newSnapshot(64, newTargets("kl", "kl"))
	for i := range s.Page.Shards {
		markJustChanged(&s.Page.Shards[i], ReasonInitial)
		if s.Page.Shards[i].Target == "t00" {
			s.ShardLoad[i] = 30
		}
	}
	assert.Assert(t, countMoves(Plan(s)) > 0)
}

// MaxPins limits only pins that have a key or an unfinished move, because the page
// reuses a free pin for the next key.
func TestFreePinsAreReused(t *testing.T) {
	for _, c := range []struct {
		name string
		pin  ownership.Shard
		pins int
	}{
		{"free", ownership.Shard{}, 1},
		{"moving", ownership.Shard{Move: &ownership.Move{}}, 0},
		{"used", ownership.Shard{Assignment: ownership.Assignment{Cell: "kl", Target: "t00"}, PinnedTo: "sally"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSnapshot(16, newTargets("kl", "kl", "kl", "kl"))
			s.ShardLoad[5] += 60
			s.HotKeys = []HotKey{{Key: "harry", Shard: 5, Load: 60}}
			s.Limits.MaxPins = 1
			s.Page.Pins = []ownership.Shard{c.pin}
			pinned := 0
			for _, d := range Plan(s) {
				if d.Action == ActionPin {
					pinned++
				}
			}
			assert.Equal(t, pinned, c.pins)
		})
	}
}
