package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/ownership"
)

// twoCellSnapshot returns a page whose shards were assigned one second ago,
// with all load of the cell kl on one of its targets, and a lost target in the
// cell kuching.
func twoCellSnapshot(now time.Time) Snapshot {
	targets := []Target{
		{Name: "t1", Cell: "kl", State: Live, Capacity: 6},
		{Name: "t2", Cell: "kl", State: Live, Capacity: 6},
		{Name: "t3", Cell: "kuching", State: Lost, Capacity: 6},
		{Name: "t4", Cell: "kuching", State: Live, Capacity: 6},
	}
	limits := DefaultLimits
	limits.MinStay = 0
	s := Snapshot{Now: now, Page: InitialPage("katalog", 32, targets), Targets: targets, Limits: limits, Cell: "kl"}
	s.ShardLoad = make([]float64, len(s.Page.Shards))
	for i := range s.Page.Shards {
		shard := &s.Page.Shards[i]
		shard.SinceMS = now.Add(-time.Second).UnixMilli()
		if shard.Target == "t1" {
			s.ShardLoad[i] = 10
		}
		if i%8 == 7 {
			shard.Cell, shard.Target = "kuching", "t3"
		}
	}
	return s
}

// A plan for one cell leaves the shards of another cell's lost target alone and
// still balances its own. The initial assignment does not count against the
// budget.
func TestPlanChangesOnlyItsCell(t *testing.T) {
	s := twoCellSnapshot(time.Unix(1000, 0))
	moved := 0
	for _, d := range Plan(s) {
		assert.Equal(t, s.Page.Shards[d.Shard].Cell, "kl")
		if d.Action == ActionMove {
			assert.Equal(t, d.Target, "t2")
			moved++
		}
	}
	assert.Assert(t, moved > 0, "the initial assignment must not use up the budget")
}

// A free pin has no key and is kept only for its epochs, so no plan changes it.
func TestFreePinIsNotChanged(t *testing.T) {
	s := twoCellSnapshot(time.Unix(1000, 0))
	free := uint32(len(s.Page.Shards))
	s.Page.Pins = []ownership.Shard{{Assignment: ownership.Assignment{Epoch: 4}, Reason: "key-cooled"}}
	s.ShardLoad = append(s.ShardLoad, 0)
	for _, d := range Plan(s) {
		assert.Assert(t, d.Shard != free, "%+v", d)
	}
}
