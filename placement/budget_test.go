package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/ownership"
)

// remainingBudget returns the remaining budget after a change of the page.
func remainingBudget(s Snapshot, change func(*ownership.Page)) int {
	change(&s.Page)
	return newPlanner(s).budget
}

// markJustChanged marks a shard as changed one second ago.
func markJustChanged(s *ownership.Shard, reason Reason) {
	s.SinceMS, s.Reason = noon.Add(-time.Second).UnixMilli(), string(reason)
}

// Only changes with an optional reason count against the budget, and changes of
// free pins do not count.
func TestOnlyOptionalChangesCountAgainstBudget(t *testing.T) {
	for _, c := range []struct {
		name   string
		spent  int
		change func(*ownership.Page)
	}{
		{"balance", 1, func(p *ownership.Page) { markJustChanged(&p.Shards[0], ReasonBalance) }},
		{"lost", 0, func(p *ownership.Page) { markJustChanged(&p.Shards[0], ReasonLost) }},
		{"stopping", 0, func(p *ownership.Page) { markJustChanged(&p.Shards[0], ReasonStopping) }},
		{"free pin", 0, func(p *ownership.Page) {
			p.Pins = append(p.Pins, ownership.Shard{})
			markJustChanged(&p.Pins[0], ReasonCooled)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSnapshot(16, newTargets("kl", "kl"))
			s.Cell = "kl"
			assert.Equal(t, remainingBudget(s, c.change), s.Limits.MovesPerMinute-c.spent)
		})
	}
}

// A pin counts twice against the budget, because both the pin and the hash-range
// shard of its key get a new epoch, and the next plan counts both in the page.
func TestPinCostsTwoChanges(t *testing.T) {
	s := newSnapshot(16, newTargets("kl", "kl", "kl", "kl"))
	s.ShardLoad[5] += 60
	s.HotKeys = []HotKey{{Key: "harry", Shard: 5, Load: 60}}
	for budget, pins := range map[int]int{1: 0, 2: 1} {
		s.Limits.MovesPerMinute = budget
		pinned := 0
		for _, d := range Plan(s) {
			if d.Action == ActionPin {
				pinned++
			}
		}
		assert.Equal(t, pinned, pins, "budget of %d", budget)
	}
}
