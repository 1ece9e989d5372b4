package placement

import (
	"cmp"
	"slices"

	"github.com/mangopost/mangopost/ownership"
)

// minPeakReduction is the least reduction of the higher utilization of two
// targets that makes a move worthwhile, as a share of the utilization that it
// moves.
const minPeakReduction = 0.25

// balance balances the load within each group of targets.
func (pl *planner) balance() {
	for _, group := range pl.balanceGroups() {
		pl.balanceGroup(group)
	}
}

// balanceGroups returns the groups of live targets between which shards may
// move: one for each planned cell or, if shards may leave their cell, a single
// one.
func (pl *planner) balanceGroups() [][]*targetLoad {
	var groups [][]*targetLoad
	index := make(map[string]int)
	for _, st := range pl.targets {
		if st.State != Live || !pl.isPlannedCell(st.Cell) {
			continue
		}
		cell := st.Cell
		if pl.limits.AcrossCells {
			cell = ""
		}
		i, isKnown := index[cell]
		if !isKnown {
			i = len(groups)
			index[cell] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], st)
	}
	return groups
}

// balanceGroup moves shards within a group while it is uneven and the budget
// lasts. Balancing starts above the start limit and continues down to the stop
// limit.
func (pl *planner) balanceGroup(group []*targetLoad) {
	if !pl.levelOf(group).isUneven(group, pl.limits.StartDeviation, pl.limits.StopDeviation) {
		return
	}
	for pl.budget >= moveCost {
		l := pl.levelOf(group)
		if !l.isUneven(group, pl.limits.StopDeviation, pl.limits.StopDeviation) {
			return
		}
		p, to := pl.bestMove(group, l)
		if p == nil {
			return
		}
		pl.assign(p, to, ownership.MovePlanned, ReasonBalance)
		pl.budget -= moveCost
	}
}

func meanUtilization(group []*targetLoad) float64 {
	load, capacity := 0.0, 0.0
	for _, st := range group {
		load += st.load
		capacity += st.capacity()
	}
	if capacity == 0 {
		return 0
	}
	return load / capacity
}

// bestMove returns a worthwhile move to the least loaded target, from the most
// loaded target that has one, or nil if there is none. A target without
// significant excess gives a shard away only if the least loaded target has a
// significant shortfall.
func (pl *planner) bestMove(group []*targetLoad, l level) (*shardState, *targetLoad) {
	sorted := slices.Clone(group)
	slices.SortStableFunc(sorted, func(x, y *targetLoad) int { return cmp.Compare(y.utilization(), x.utilization()) })
	to := sorted[len(sorted)-1]
	hasShortfall := l.shortfall(to) > pl.limits.StopDeviation
	for _, from := range sorted[:len(sorted)-1] {
		if !hasShortfall && l.excess(from) <= pl.limits.StopDeviation {
			continue
		}
		if p := pl.bestShard(from, to); p != nil {
			return p, to
		}
	}
	return nil, nil
}

// bestShard returns the shard whose move results in the lowest peak utilization
// of the two targets, or nil if no move is worthwhile.
func (pl *planner) bestShard(from, to *targetLoad) *shardState {
	var best *shardState
	lowest := from.utilization()
	for _, p := range pl.shards {
		if p.owner != from || !pl.isMovable(p) {
			continue
		}
		peak := peakUtilizationAfter(from, to, p.load)
		if isMoveWorthwhile(from, p.load, peak) && peak < lowest {
			best, lowest = p, peak
		}
	}
	return best
}

// peakUtilizationAfter returns the higher utilization of two targets after
// moving a load between them.
func peakUtilizationAfter(from, to *targetLoad, load float64) float64 {
	return max((from.load-load)/from.capacity(), (to.load+load)/to.capacity())
}

// isMoveWorthwhile reports whether a change reduces the higher utilization of
// two targets, to peak, by enough to justify moving the load.
func isMoveWorthwhile(from *targetLoad, load, peak float64) bool {
	return from.utilization()-peak >= minPeakReduction*load/from.capacity()
}
