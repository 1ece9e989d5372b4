package placement

import "time"

const (
	// budgetWindow is the period that the budget applies to.
	budgetWindow = time.Minute
	// moveCost and pinCost are the numbers of shards to which a decision gives a
	// new epoch. Pinning or unpinning a key changes the pin and the hash-range
	// shard of the key, which wait for each other.
	moveCost = 1
	pinCost  = 2
)

// optionalReasons holds the reasons of changes that are optional. Only these
// count against the budget.
var optionalReasons = map[Reason]bool{ReasonBalance: true, ReasonHot: true, ReasonCooled: true}

// spentBudget returns the number of shards in the planned cells that changed within
// budgetWindow for an optional reason.
func (pl *planner) spentBudget() int {
	count := 0
	for _, p := range pl.shards {
		recent := pl.timeSinceChange(p) < budgetWindow
		if recent && optionalReasons[Reason(p.shard.Reason)] && pl.isPlannedCell(p.shard.Cell) && !pl.isFreePin(p) {
			count++
		}
	}
	return count
}
