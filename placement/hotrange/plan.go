// Package hotrange decides which target owns which range of keys. It is pure: the
// moves depend only on a map, targets and loads.
//
// It addresses these load patterns:
//   - hot keys that are close together and change over time: ranges are split
//     according to the load, and slices of the size that balances two targets
//     move;
//   - targets that join, leave or restart, and targets of different speeds: load
//     is compared with the capacity of each target;
//   - targets that are cold after their start: they get keys when they are warm, unless
//     all are cold or the warm ones have no room.
package hotrange

import (
	"cmp"
	"math"
	"slices"

	"github.com/mangopost/mangopost/ownership/keyrange"
)

// Target is a target that may own keys.
type Target struct {
	Owner    keyrange.Owner
	Capacity float64 // requests per second that it can process

	// Cold means that it has just started and can take only ColdCapacity requests per
	// second. It gets keys only if no warm target has room, and keeps those that it has
	// unless LongCold is set.
	Cold         bool
	LongCold     bool // it stays cold for so long that moving its keys away pays
	ColdCapacity float64
}

// Reason says why a move is made.
type Reason string

const (
	// ReasonLost means that the owner is leaving, gone or restarted.
	ReasonLost Reason = "owner-lost"
	// ReasonBalance means that the owner has more load for its capacity than others.
	ReasonBalance Reason = "balance"
	// ReasonFragment means that a small range moves to the owner of a neighbouring
	// range.
	ReasonFragment Reason = "fragment"
)

// Move assigns the keys From to To, both inclusive, to an owner.
type Move struct {
	From, To int
	Owner    keyrange.Owner
	Reason   Reason
	Load     float64 // requests per second for the keys
}

// Limits bound the moves of a plan that are made for balance.
type Limits struct {
	MaxMoves         int     // maximum number of moves in one plan
	StartUtilization float64 // utilization from which a target gives keys away
	MinGain          float64 // least difference in utilization between the old and the new owner
	IdleShare        float64 // share of the mean utilization below which a target gets keys even if no target is busy
}

// DefaultLimits start balancing before a target is full, but not while it has
// room, because requests for moving keys wait until the running requests for them
// have ended.
var DefaultLimits = Limits{MaxMoves: 8, StartUtilization: 0.6, MinGain: 0.25, IdleShare: 0.2}

// State is the input of a plan.
type State struct {
	Map     *keyrange.Map
	Targets []Target
	Loads   *Loads
	// Fixed reports whether a range must not move now, for example because it has
	// just moved.
	Fixed func(r keyrange.Range) bool
}

type planner struct {
	m       *keyrange.Map
	targets []Target
	allCold bool      // then no target is treated as cold
	load    []float64 // load of each target after the moves planned so far
	sums    prefixSums
	moves   []Move
}

// Plan returns the moves to make. Ranges whose owners are not among the targets
// are distributed regardless of the limits.
func Plan(s State, limits Limits) []Move {
	if len(s.Targets) == 0 {
		return nil
	}
	p := &planner{m: s.Map.Clone(), targets: s.Targets, allCold: allCold(s.Targets), load: make([]float64, len(s.Targets)), sums: s.Loads.prefixSums()}
	var lost []keyrange.Range
	for _, r := range p.m.Ranges {
		if i := p.targetIndex(r.Owner); i >= 0 {
			p.load[i] += p.sums.between(r.From, r.To)
		} else {
			lost = append(lost, r)
		}
	}
	p.distribute(lost)
	p.balance(s, limits)
	if len(p.moves) == 0 {
		p.defragment(s, limits)
	}
	return p.moves
}

const (
	// maxRangesPerTarget is the number of ranges per target from which some are
	// joined to their neighbours, because each range costs a grant about every
	// second.
	maxRangesPerTarget = 1.6
	// minRangesToDefragment is the number of ranges below which the cost of
	// their grants does not justify a move.
	minRangesToDefragment = 96
	// maxFragmentMoves is the maximum number of fragments that move in one plan.
	maxFragmentMoves = 3
)

// defragment moves the least loaded ranges to the owners of neighbouring ranges if
// there are too many ranges and these owners have room.
func (p *planner) defragment(s State, limits Limits) {
	if float64(len(p.m.Ranges)) < max(minRangesToDefragment, maxRangesPerTarget*float64(len(p.targets))) {
		return
	}
	for range min(maxFragmentMoves, limits.MaxMoves) {
		r, from, to := p.chooseFragment(s, limits)
		if to < 0 {
			return
		}
		p.load[from] -= p.sums.between(r.From, r.To)
		p.addMove(r.From, r.To, to, ReasonFragment)
		p.m.Assign(r.From, r.To, p.targets[to].Owner)
	}
}

// chooseFragment returns the least loaded range that may move, the index of its
// owner, and the index of a neighbouring range's owner with room for it, or -1.
func (p *planner) chooseFragment(s State, limits Limits) (r keyrange.Range, from, to int) {
	to = -1
	least := math.Inf(1)
	for i, candidate := range p.m.Ranges {
		load := p.sums.between(candidate.From, candidate.To)
		owner := p.targetIndex(candidate.Owner)
		if owner < 0 || load >= least || !p.isMovable(candidate, owner, s.Fixed) {
			continue
		}
		if recipient := p.neighbourWithRoom(i, owner, load, limits); recipient >= 0 {
			r, from, to, least = candidate, owner, recipient, load
		}
	}
	return r, from, to
}

// neighbourWithRoom returns the owner of a range next to range i that differs
// from owner and has room for the load, or -1.
func (p *planner) neighbourWithRoom(i, owner int, load float64, limits Limits) int {
	recipient := -1
	for _, j := range []int{i - 1, i + 1} {
		if j < 0 || j >= len(p.m.Ranges) || len(p.m.Ranges[j].Prev) > 0 {
			continue
		}
		to := p.targetIndex(p.m.Ranges[j].Owner)
		if to >= 0 && to != owner && !p.isCold(to) && p.utilization(to, load) < limits.StartUtilization {
			recipient = to
		}
	}
	return recipient
}

// targetIndex returns the index of an owner among the targets, or -1.
func (p *planner) targetIndex(o keyrange.Owner) int {
	return slices.IndexFunc(p.targets, func(t Target) bool { return t.Owner.SameRun(o) })
}

// utilization returns the load of target i plus extra, divided by the target's
// capacity.
func (p *planner) utilization(i int, extra float64) float64 {
	return (p.load[i] + extra) / max(p.capacity(i), 0.01)
}

// allCold reports whether no target is warm.
func allCold(targets []Target) bool {
	return !slices.ContainsFunc(targets, func(t Target) bool { return !t.Cold })
}

// isCold reports whether target i gets no keys while a warm target has room.
func (p *planner) isCold(i int) bool { return p.targets[i].Cold && !p.allCold }

// keeps reports whether target i keeps its keys because it is cold for a short time.
func (p *planner) keeps(i int) bool { return p.isCold(i) && !p.targets[i].LongCold }

// capacity returns the requests per second that target i can process.
func (p *planner) capacity(i int) float64 {
	t := p.targets[i]
	if p.isCold(i) && t.LongCold {
		return t.ColdCapacity
	}
	return t.Capacity
}

// recipientOfLost returns the target that gets lost keys with the given load: a warm one,
// or if none has room, the one with the lowest utilization of all.
func (p *planner) recipientOfLost(load float64) int {
	best := p.leastUtilized(load)
	lowest := p.utilization(best, load)
	if lowest <= 1 {
		return best
	}
	for i, t := range p.targets {
		if !p.isCold(i) || t.ColdCapacity <= 0 {
			continue
		}
		if utilization := (p.load[i] + load) / t.ColdCapacity; utilization < lowest {
			best, lowest = i, utilization
		}
	}
	return best
}

// leastUtilized returns the target that is not cold with the lowest utilization after
// adding the extra load.
func (p *planner) leastUtilized(extra float64) int {
	best, lowest := 0, math.Inf(1)
	for i := range p.targets {
		if p.isCold(i) {
			continue
		}
		if utilization := p.utilization(i, extra); utilization < lowest {
			best, lowest = i, utilization
		}
	}
	return best
}

// addMove adds the move of the keys from..to to a target to the plan.
func (p *planner) addMove(from, to, target int, reason Reason) {
	load := p.sums.between(from, to)
	p.load[target] += load
	p.moves = append(p.moves, Move{From: from, To: to, Owner: p.targets[target].Owner, Reason: reason, Load: load})
}

// piecesPerTarget is the number of parts into which the mean load of a target
// is divided to get the size of the pieces when lost ranges are distributed.
const piecesPerTarget = 2

// distribute splits lost ranges and assigns the pieces, in order of decreasing
// load, to the targets with the lowest utilization.
func (p *planner) distribute(lost []keyrange.Range) {
	size := p.sums.total() / float64(len(p.targets)) / piecesPerTarget
	var parts []keyrange.Range
	for _, r := range lost {
		parts = append(parts, p.split(r, size)...)
	}
	slices.SortStableFunc(parts, func(a, b keyrange.Range) int {
		return cmp.Compare(p.sums.between(b.From, b.To), p.sums.between(a.From, a.To))
	})
	for _, r := range parts {
		p.addMove(r.From, r.To, p.recipientOfLost(p.sums.between(r.From, r.To)), ReasonLost)
	}
}

// split splits a range into parts of about the given load.
func (p *planner) split(r keyrange.Range, size float64) []keyrange.Range {
	n := int(p.sums.between(r.From, r.To)/size + 0.5)
	if n <= 1 {
		return []keyrange.Range{r}
	}
	pieceLoad := p.sums.between(r.From, r.To) / float64(n)
	var out []keyrange.Range
	from := r.From
	for from <= r.To {
		to := from
		for to < r.To && p.sums.between(from, to) < pieceLoad {
			to++
		}
		out = append(out, keyrange.Range{From: from, To: to})
		from = to + 1
	}
	return out
}

// balance moves slices from the target with the highest to that with the lowest
// utilization. A slice carries only as much load as brings one of the two to the
// mean, so that load beyond one target's capacity is divided among several. A
// target without a range that may move is skipped.
func (p *planner) balance(s State, limits Limits) {
	mean := p.meanUtilization()
	exhausted := make(map[int]bool)
	for moved := 0; moved < limits.MaxMoves; {
		from, to := p.mostUtilized(exhausted), p.leastUtilized(0)
		if from < 0 {
			return
		}
		high, low := p.utilization(from, 0), p.utilization(to, 0)
		isBusy := high >= limits.StartUtilization && high-low >= limits.MinGain
		if !isBusy && low >= limits.IdleShare*mean || high <= mean {
			return
		}
		wanted := min((high-mean)*p.capacity(from), (mean-low)*p.capacity(to))
		slice, ok := p.chooseSlice(from, wanted, s.Fixed)
		if !ok {
			slice, to, ok = p.chooseHotKey(from, wanted, min(high-limits.MinGain, hotKeyMaxRatio*high), s.Fixed)
		}
		if !ok {
			exhausted[from] = true
			continue
		}
		p.load[from] -= p.sums.between(slice.From, slice.To)
		p.addMove(slice.From, slice.To, to, ReasonBalance)
		p.m.Assign(slice.From, slice.To, p.targets[to].Owner)
		moved++
	}
}

// chooseHotKey returns a key that is too hot to be part of a slice, together
// with the keys between it and the beginning or the end of its range, and the
// target that would have the lowest utilization with them. It reports whether
// that utilization is below the limit.
func (p *planner) chooseHotKey(target int, wanted, limit float64, fixed func(keyrange.Range) bool) (keyrange.Range, int, bool) {
	var best keyrange.Range
	bestTo, bestUtilization := 0, limit
	minLoad := minHotKeyShare * p.load[target]
	if p.utilization(target, 0) > 1 {
		minLoad = minSliceShare * wanted // an overloaded target may give away any slice that is worth a move
	}
	for _, r := range p.m.Ranges {
		if !p.isMovable(r, target, fixed) {
			continue
		}
		for _, c := range []keyrange.Range{
			{From: r.From, To: min(r.To, p.longestPrefix(r, wanted).To+1)},
			{From: max(r.From, p.longestSuffix(r, wanted).From-1), To: r.To},
		} {
			load := p.sums.between(c.From, c.To)
			to := p.leastUtilized(load)
			if utilization := p.utilization(to, load); to != target && load > minLoad && utilization < bestUtilization {
				best, bestTo, bestUtilization = c, to, utilization
			}
		}
	}
	return best, bestTo, bestUtilization < limit
}

// hotKeyMaxRatio is the highest utilization of the new owner, as a share of
// that of the old one, for which a hot key moves. The gain must be large
// because requests for the key wait while it moves.
const hotKeyMaxRatio = 0.75

// minHotKeyShare is the least share of its owner's load for which a hot key moves,
// unless the owner is overloaded.
const minHotKeyShare = 0.1

// isMovable reports whether a part of the range may move away from the target.
func (p *planner) isMovable(r keyrange.Range, target int, fixed func(keyrange.Range) bool) bool {
	return r.Owner.SameRun(p.targets[target].Owner) && len(r.Prev) == 0 && (fixed == nil || !fixed(r))
}

// meanUtilization returns the utilization that all targets would have with an
// even load. Targets that keep their keys, and their load, are left out.
func (p *planner) meanUtilization() float64 {
	capacity, load := 0.0, p.sums.total()
	for i := range p.targets {
		if p.keeps(i) {
			load -= p.load[i]
		} else {
			capacity += p.capacity(i)
		}
	}
	return load / max(capacity, 0.01)
}

// mostUtilized returns the target with the highest utilization that neither keeps its
// keys nor is in exhausted, or -1.
func (p *planner) mostUtilized(exhausted map[int]bool) int {
	best := -1
	for i := range p.targets {
		if !exhausted[i] && !p.keeps(i) && (best < 0 || p.utilization(i, 0) > p.utilization(best, 0)) {
			best = i
		}
	}
	return best
}

const (
	// maxOvershoot is the highest load of a slice, as a multiple of the wanted
	// load.
	maxOvershoot = 1.15
	// minSliceShare is the share of the wanted load below which a slice is not
	// worth a move.
	minSliceShare = 0.25
	// keyCountWeight is the weight of the number of keys in the score of a
	// slice. At 1 a slice with all keys scores no better than one without load.
	keyCountWeight = 1.0
)

// chooseSlice returns the part at the beginning or the end of one of the
// target's ranges that best matches the wanted load, and reports whether there
// is one.
func (p *planner) chooseSlice(target int, wanted float64, fixed func(keyrange.Range) bool) (keyrange.Range, bool) {
	var best keyrange.Range
	bestScore := 0.0
	for _, r := range p.m.Ranges {
		if !p.isMovable(r, target, fixed) {
			continue
		}
		for _, c := range []keyrange.Range{p.longestPrefix(r, wanted*maxOvershoot), p.longestSuffix(r, wanted*maxOvershoot)} {
			if c.To < c.From {
				continue
			}
			load := p.sums.between(c.From, c.To)
			score := min(load/wanted, 1) - keyCountWeight*float64(c.Keys())/keyCount
			if load >= minSliceShare*wanted && score > bestScore {
				best, bestScore = c, score
			}
		}
	}
	return best, bestScore > 0
}

// longestPrefix returns the longest prefix of a range with at most the given load.
func (p *planner) longestPrefix(r keyrange.Range, load float64) keyrange.Range {
	n, _ := slices.BinarySearchFunc(p.sums[r.From+1:r.To+2], p.sums[r.From]+load, cmp.Compare[float64])
	return keyrange.Range{From: r.From, To: r.From + n - 1}
}

// longestSuffix returns the longest suffix of a range with at most the given load.
func (p *planner) longestSuffix(r keyrange.Range, load float64) keyrange.Range {
	n, _ := slices.BinarySearchFunc(p.sums[r.From:r.To+1], p.sums[r.To+1]-load, cmp.Compare[float64])
	return keyrange.Range{From: r.From + n, To: r.To}
}
