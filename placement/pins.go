package placement

import (
	"cmp"
	"slices"

	"github.com/mangopost/mangopost/ownership"
)

// unpinCooledKeys unpins keys that are no longer hot.
func (pl *planner) unpinCooledKeys() {
	mean := pl.meanTargetLoad()
	for _, p := range pl.shards[pl.hashShards:] {
		if pl.budget < pinCost {
			return
		}
		if pl.isFreePin(p) || !pl.isPlannedCell(p.shard.Cell) || !pl.isMovable(p) || p.load >= pl.limits.UnpinShare*mean {
			continue
		}
		p.moved = true
		pl.budget -= pinCost
		pl.plan = append(pl.plan, Decision{
			Action: ActionUnpin,
			Shard:  p.number,
			Key:    p.shard.PinnedTo,
			Kind:   ownership.MovePlanned,
			Reason: ReasonCooled,
		})
	}
}

// pinHotKeys pins the hottest keys, while the budget and Limits.MaxPins allow it.
func (pl *planner) pinHotKeys(keys []HotKey) {
	mean := pl.meanTargetLoad()
	pins := pl.countUsedPins()
	for _, key := range pl.pinCandidates(keys) {
		if pl.budget < pinCost || pins >= pl.limits.MaxPins || key.Load-pl.noise(key.Load) < pl.limits.PinShare*mean {
			return
		}
		if pl.pinKey(key) {
			pins++
			pl.budget -= pinCost
		}
	}
}

// countUsedPins returns the number of pins that have a key or an unfinished move.
func (pl *planner) countUsedPins() int {
	count := 0
	for _, p := range pl.shards[pl.hashShards:] {
		if !pl.isFreePin(p) || p.shard.Move != nil {
			count++
		}
	}
	return count
}

// pinCandidates returns the keys that are not pinned, in order of decreasing load.
func (pl *planner) pinCandidates(keys []HotKey) []HotKey {
	pinned := make(map[string]bool)
	for _, p := range pl.shards[pl.hashShards:] {
		pinned[p.shard.PinnedTo] = true
	}
	var free []HotKey
	for _, key := range keys {
		if !pinned[key.Key] && int(key.Shard) < pl.hashShards {
			pinned[key.Key] = true
			free = append(free, key)
		}
	}
	slices.SortFunc(free, func(x, y HotKey) int {
		if x.Load != y.Load {
			return cmp.Compare(y.Load, x.Load)
		}
		return cmp.Compare(x.Key, y.Key)
	})
	return free
}

// pinKey gives a key a shard of its own if that improves the balance, and reports
// whether it did. The new shard is owned by the target that choosePinOwner returns.
func (pl *planner) pinKey(key HotKey) bool {
	p := pl.shards[key.Shard]
	if !pl.isMovable(p) || p.owner == nil || !pl.isPlannedCell(p.shard.Cell) {
		return false
	}
	load := min(key.Load, p.load)
	to := pl.choosePinOwner(p, load)
	if to == nil {
		return false
	}
	p.load -= load
	p.owner.load -= load
	to.load += load
	pl.shards = append(pl.shards, &shardState{number: uint32(len(pl.shards)), owner: to, load: load, moved: true})
	pl.plan = append(pl.plan, Decision{
		Action: ActionPin,
		Shard:  p.number,
		Key:    key.Key,
		Cell:   to.Cell,
		Target: to.Name,
		Kind:   ownership.MovePlanned,
		Next:   pl.chooseSuccessor(to),
		Reason: ReasonHot,
	})
	return true
}

// choosePinOwner returns the owner of a new pin: another target if moving the
// key is worthwhile, else the current owner if moving the rest of the key's
// shard away is, else nil.
func (pl *planner) choosePinOwner(p *shardState, load float64) *targetLoad {
	from := p.owner
	to := pl.leastLoaded(func(st *targetLoad) bool {
		return st != from && (pl.limits.AcrossCells || st.Cell == from.Cell)
	})
	if to == nil {
		return nil
	}
	if pl.isPinWorthwhile(from, load, peakUtilizationAfter(from, to, load)) && pl.isUneven(from, to) {
		return to
	}
	rest := p.load - load
	if pl.isPinWorthwhile(from, rest, peakUtilizationAfter(from, to, rest)) && pl.isUneven(from, to) {
		return from
	}
	return nil
}

// isPinWorthwhile reports whether a change is worthwhile and reduces the higher
// utilization of two targets by enough to justify a pin.
func (pl *planner) isPinWorthwhile(from *targetLoad, load, peak float64) bool {
	return isMoveWorthwhile(from, load, peak) && from.utilization()-peak >= pl.limits.MinPinGain*pl.meanUtilization
}

// isUneven reports whether the utilization of two targets differs by enough to
// start balancing.
func (pl *planner) isUneven(from, to *targetLoad) bool {
	return from.utilization()-to.utilization() > pl.limits.StartDeviation*to.utilization()
}

// meanTargetLoad returns the mean load of a live target in the planned cells,
// including the load of targets that are not live.
func (pl *planner) meanTargetLoad() float64 {
	load, live := 0.0, 0
	for _, st := range pl.targets {
		if !pl.isPlannedCell(st.Cell) {
			continue
		}
		load += st.load
		if st.State == Live {
			live++
		}
	}
	return load / float64(max(live, 1))
}
