package main

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/ownership"
)

// TestDriverKeepsOwnersAndIsDeterministic checks for every policy that shards with
// load keep an owner in the list of targets, that the shares of all shards add up to
// one, and that a run depends on its seed only.
func TestDriverKeepsOwnersAndIsDeterministic(t *testing.T) {
	for _, p := range policies() {
		t.Run(p.name, func(t *testing.T) {
			s := siteScenarios(librarySite())[6]
			s.lengthSeconds = 90
			d := newDriver(s, p, 1)
			first := d.run()
			byShard, hottest := d.shardShares(s.lengthSeconds - 1)
			sum := 0.0
			for n, share := range byShard {
				shard, _ := d.page.Shard(uint32(n))
				assert.Assert(t, share >= -1e-9 && (share < 1e-9 || shard.Target != ""), "shard %d: %v", n, share)
				assert.Assert(t, shard.Move == nil)
				sum += share
			}
			assert.Assert(t, sum > 0.999 && sum < 1.001, "sum %v", sum)
			assert.Assert(t, first.meanImbalance() >= first.minImbalance())
			assert.Assert(t, hottest > 0)
			again := newDriver(s, p, 1).run()
			assert.Equal(t, *again, *first)
		})
	}
}

// TestNewEpochsAreCountedOnce checks that the new epochs of a move and a pin are
// counted, and that completing a move, which keeps the epoch, is not.
func TestNewEpochsAreCountedOnce(t *testing.T) {
	s := siteScenarios(librarySite())[0]
	d := newDriver(s, policies()[0], 1)
	before := d.page
	change := ownership.Change{NowMS: d.start.UnixMilli(), Reason: "balance"}
	to := ownership.Place{Cell: "penang", Target: "katalog-02"}
	moved, err := ownership.BeginMove(d.page, 0, to, ownership.MovePlanned, nil, change)
	assert.NilError(t, err)
	key := d.traffic.keyNames[1]
	d.page, err = ownership.Pin(moved, key, to, change)
	assert.NilError(t, err)
	d.outcome.countMoves(d, 0, before)
	assert.Equal(t, d.outcome.epochChanges, 3, "moved shard, pin and the shard that the pinned key left")
	assert.Equal(t, d.outcome.unownedTime, 3*plannedMoveTime)
	pinned := d.page
	d.completeMoves(0)
	d.outcome.countMoves(d, 0, pinned)
	assert.Equal(t, d.outcome.epochChanges, 3)
}
