package placement

import (
	"cmp"
	"slices"

	"github.com/mangopost/mangopost/ownership"
)

// Plan returns the changes that a service's page needs, in this order: shards
// whose owner cannot keep them, hot keys to pin, moves for balance, cooled keys
// to unpin, and missing successors. If there are shards whose owner cannot keep
// them, nothing is pinned, balanced or unpinned. The plan depends only on the
// snapshot; planning again on the changed page ends in an empty plan after a few
// rounds.
func Plan(s Snapshot) []Decision {
	pl := newPlanner(s)
	forced := pl.planForcedMoves()
	if !forced {
		pl.pinHotKeys(s.HotKeys)
		pl.balance()
		pl.unpinCooledKeys()
	}
	pl.renewSuccessors()
	return pl.plan
}

// planForcedMoves moves every shard whose owner cannot keep it, in order of
// decreasing load, and reports whether there was any.
func (pl *planner) planForcedMoves() bool {
	shards := pl.forcedShards()
	for _, p := range shards {
		reason, kind := p.forcedMove()
		if to := pl.chooseDestination(p, kind); to != nil {
			pl.assign(p, to, kind, reason)
		}
	}
	return len(shards) > 0
}

// forcedShards returns the shards that have to move, in order of decreasing load.
func (pl *planner) forcedShards() []*shardState {
	var list []*shardState
	for _, p := range pl.shards {
		reason, _ := p.forcedMove()
		if reason != "" && !pl.isFreePin(p) && pl.isPlannedCell(p.shard.Cell) {
			list = append(list, p)
		}
	}
	slices.SortStableFunc(list, func(x, y *shardState) int { return cmp.Compare(y.load, x.load) })
	return list
}

// forcedMove returns why and how a shard has to move, or an empty reason if its
// owner may keep it.
func (p *shardState) forcedMove() (Reason, ownership.MoveKind) {
	if p.shard.Target == "" {
		return ReasonUnassigned, ownership.MovePlanned
	}
	if p.owner == nil {
		return ReasonGone, ownership.MoveLost
	}
	switch p.owner.State {
	case Lost:
		return ReasonLost, ownership.MoveLost
	case Leaving:
		return ReasonLeaving, ownership.MovePlanned
	case Stopping:
		return ReasonStopping, ownership.MovePlanned
	default:
		return "", ""
	}
}

// chooseDestination returns the new owner of a shard that has to move, or nil.
// A lost shard goes to its agreed successor if that is live. Otherwise the
// least loaded target of the same cell is chosen, then that of any cell. A lost
// shard leaves its cell only if the limits allow it.
func (pl *planner) chooseDestination(p *shardState, kind ownership.MoveKind) *targetLoad {
	if next := pl.liveSuccessor(p); next != nil && kind == ownership.MoveLost {
		return next
	}
	cell := p.shard.Cell
	inSameCell := pl.leastLoaded(func(st *targetLoad) bool { return st.Cell == cell })
	if inSameCell != nil {
		return inSameCell
	}
	if kind == ownership.MoveLost && !pl.limits.AcrossCells {
		return nil
	}
	return pl.leastLoaded(func(*targetLoad) bool { return true })
}

// renewSuccessors assigns a successor to every shard that keeps a live owner and
// has no live successor.
func (pl *planner) renewSuccessors() {
	for _, p := range pl.shards {
		if p.moved || p.owner == nil || p.owner.State != Live || pl.liveSuccessor(p) != nil {
			continue
		}
		next := pl.chooseSuccessor(p.owner)
		if next == "" {
			continue
		}
		pl.plan = append(pl.plan, Decision{
			Action: ActionNext,
			Shard:  p.number,
			Cell:   p.owner.Cell,
			Target: p.owner.Name,
			Next:   next,
			Reason: ReasonSuccessor,
		})
	}
}
