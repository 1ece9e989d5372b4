package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/ownership"
)

// snapshotWithPin returns a page with a pinned key alone on one target, and 11,
// 10 and 9 shards of equal load on the others, which is not uneven enough to
// start balancing.
func snapshotWithPin(pinned float64) Snapshot {
	s := newSnapshot(30, newTargets("kl", "kl", "kl", "kl"))
	for i := range s.Page.Shards {
		shard := &s.Page.Shards[i]
		shard.Next = nil
		switch {
		case i < 11:
			shard.Target = "t01"
		case i < 21:
			shard.Target = "t02"
		default:
			shard.Target = "t03"
		}
	}
	s.Page.Pins = []ownership.Shard{{
		Assignment: ownership.Assignment{Cell: "kl", Target: "t00", Epoch: 1}, PinnedTo: "harry",
	}}
	s.ShardLoad = append(s.ShardLoad, pinned)
	return s
}

func countMoves(plan []Decision) int {
	count := 0
	for _, d := range plan {
		if d.Action != ActionNext {
			count++
		}
	}
	return count
}

// A target that serves only the hottest key is above the mean, but no move of
// other shards can lower its load, so nothing moves.
func TestIndivisibleKeyIsNoImbalance(t *testing.T) {
	assert.Equal(t, countMoves(Plan(snapshotWithPin(400))), 0)
}

// Shards that share a target with the hottest key move to the other targets.
func TestOtherShardsLeaveTargetOfHotKey(t *testing.T) {
	s := snapshotWithPin(400)
	s.Limits.MovesPerMinute = 100
	for i := range 6 {
		s.Page.Shards[i].Target = "t00"
	}
	s, moves := planUntilSettled(t, s)
	assert.Equal(t, shardsByOwner(s.Page)["t00"], 1)
	assert.Equal(t, moves, 6)
}

// A pinned key with less than a target's mean load does not keep its target to
// itself: the target still gets its share of the other shards.
func TestPinBelowMeanSharesItsTarget(t *testing.T) {
	s, _ := planUntilSettled(t, snapshotWithPin(30))
	assert.Assert(t, shardsByOwner(s.Page)["t00"] >= 4, "%v", shardsByOwner(s.Page))
}

// The target of a hot key has the highest load of all, so a smaller excess beside
// the key starts balancing than at other targets.
func TestSmallerExcessBesideHotKeyStartsBalancing(t *testing.T) {
	s := snapshotWithPin(400)
	for i := range 2 {
		s.Page.Shards[i].Target = "t00" // an eighth of the mean
	}
	s.Window = RateWindow // the noise of the pinned key's load must not prevent the move
	s, moves := planUntilSettled(t, s)
	assert.Equal(t, shardsByOwner(s.Page)["t00"], 2, "one shard in addition to the pin must be within the limit")
	assert.Equal(t, moves, 1)
}
