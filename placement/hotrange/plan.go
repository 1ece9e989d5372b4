// Package hotrange decides which target is to own which range of keys. It is
// pure: a map, targets and loads go in, moves come out.
//
// Patterns of load that it answers to:
//   - busy keys that lie close together, and change: ranges are cut where the
//     load is, and slices of just the size that evens out two targets move;
//   - targets that join, leave, or start anew, and targets of different speeds:
//     load is weighed against what a target gets through.
package hotrange

import (
	"cmp"
	"math"
	"slices"

	"github.com/mangopost/mangopost/ownership/keyrange"
)

// Target may own keys.
type Target struct {
	Owner    keyrange.Owner
	Capacity float64 // requests a second that it gets through
}

// Reason says why a move is made.
type Reason string

const (
	// Lost: the owner is leaving, gone or started anew.
	Lost Reason = "owner-lost"
	// Hot: the owner has more load than others.
	Hot Reason = "balance"
	// Fragment: the owner of a neighbouring range takes a fragment.
	Fragment Reason = "fragment"
)

// Move gives the keys From to To, both inclusive, to an owner.
type Move struct {
	From, To int
	Owner    keyrange.Owner
	Reason   Reason
	Load     float64 // requests a second on the keys
}

// Limits bound a plan.
type Limits struct {
	Moves int     // for balance, in one plan
	Start float64 // share of its capacity above which a target gives keys away
	Gain  float64 // least difference of shares between giver and taker
	Idle  float64 // part of the mean share below which a target gets keys whatever the load
}

// DefaultLimits begin to move before a target is full, and leave alone what has
// room: the requests for keys that move wait until the work on them has ended.
var DefaultLimits = Limits{Moves: 8, Start: 0.6, Gain: 0.25, Idle: 0.2}

// State is what a plan starts from.
type State struct {
	Map     *keyrange.Map
	Targets []Target
	Loads   *Loads
	// Fixed reports whether a range must stay for now, such as one that has just
	// moved.
	Fixed func(r keyrange.Range) bool
}

type planner struct {
	m       *keyrange.Map
	targets []Target
	load    []float64 // by target
	sums    sums
	moves   []Move
}

// Plan returns the moves to make. Ranges of owners that are not among the
// targets are distributed whatever the limits.
func Plan(s State, limits Limits) []Move {
	if len(s.Targets) == 0 {
		return nil
	}
	p := &planner{m: s.Map.Clone(), targets: s.Targets, load: make([]float64, len(s.Targets)), sums: s.Loads.sums()}
	var lost []keyrange.Range
	for _, r := range p.m.Ranges {
		if i := p.index(r.Owner); i >= 0 {
			p.load[i] += p.sums.of(r.From, r.To)
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
	// fragments is the number of ranges for each target from which on some are
	// joined to their neighbours: each costs a grant every second or so.
	fragments = 1.6
	// fewRanges is the number of ranges that cost nothing worth a move.
	fewRanges = 96
	// fragmentMoves is the number of fragments that move in one plan.
	fragmentMoves = 3
)

// defragment gives the least loaded ranges to the owner of a neighbour, while there are
// too many and that owner has room.
func (p *planner) defragment(s State, limits Limits) {
	if float64(len(p.m.Ranges)) < max(fewRanges, fragments*float64(len(p.targets))) {
		return
	}
	for range min(fragmentMoves, limits.Moves) {
		r, from, to := p.fragment(s, limits)
		if to < 0 {
			return
		}
		p.load[from] -= p.sums.of(r.From, r.To)
		p.move(r.From, r.To, to, Fragment)
		p.m.Assign(r.From, r.To, p.targets[to].Owner)
	}
}

// fragment returns the least loaded range that may move, its owner, and the owner
// of a neighbour that has room for it, or -1.
func (p *planner) fragment(s State, limits Limits) (r keyrange.Range, from, to int) {
	to = -1
	least := math.Inf(1)
	for i, candidate := range p.m.Ranges {
		load := p.sums.of(candidate.From, candidate.To)
		owner := p.index(candidate.Owner)
		if owner < 0 || load >= least || !p.movable(candidate, owner, s.Fixed) {
			continue
		}
		if taker := p.neighbour(i, owner, load, limits); taker >= 0 {
			r, from, to, least = candidate, owner, taker, load
		}
	}
	return r, from, to
}

// neighbour returns another owner beside a range that has room for the load, or -1.
func (p *planner) neighbour(i, owner int, load float64, limits Limits) int {
	taker := -1
	for _, j := range []int{i - 1, i + 1} {
		if j < 0 || j >= len(p.m.Ranges) || len(p.m.Ranges[j].Prev) > 0 {
			continue
		}
		to := p.index(p.m.Ranges[j].Owner)
		if to >= 0 && to != owner && p.share(to, load) < limits.Start {
			taker = to
		}
	}
	return taker
}

func (p *planner) index(o keyrange.Owner) int {
	return slices.IndexFunc(p.targets, func(t Target) bool { return t.Owner.Same(o) })
}

func (p *planner) share(i int, extra float64) float64 {
	return (p.load[i] + extra) / max(p.targets[i].Capacity, 0.01)
}

// lightest returns the target that has the least share with the extra load.
func (p *planner) lightest(extra float64) int {
	best, bestShare := 0, math.Inf(1)
	for i := range p.targets {
		if s := p.share(i, extra); s < bestShare {
			best, bestShare = i, s
		}
	}
	return best
}

func (p *planner) move(from, to, target int, why Reason) {
	load := p.sums.of(from, to)
	p.load[target] += load
	p.moves = append(p.moves, Move{From: from, To: to, Owner: p.targets[target].Owner, Reason: why, Load: load})
}

// pieces is the number of parts that the mean load of a target is cut into when
// lost ranges are distributed.
const pieces = 2

// distribute gives lost ranges to the lightest targets, the heaviest pieces first.
func (p *planner) distribute(lost []keyrange.Range) {
	size := p.sums.total() / float64(len(p.targets)) / pieces
	var parts []keyrange.Range
	for _, r := range lost {
		parts = append(parts, p.cut(r, size)...)
	}
	slices.SortStableFunc(parts, func(a, b keyrange.Range) int {
		return cmp.Compare(p.sums.of(b.From, b.To), p.sums.of(a.From, a.To))
	})
	for _, r := range parts {
		p.move(r.From, r.To, p.lightest(p.sums.of(r.From, r.To)), Lost)
	}
}

// cut splits a range into parts of about the given load.
func (p *planner) cut(r keyrange.Range, size float64) []keyrange.Range {
	n := int(p.sums.of(r.From, r.To)/size + 0.5)
	if n <= 1 {
		return []keyrange.Range{r}
	}
	each := p.sums.of(r.From, r.To) / float64(n)
	var out []keyrange.Range
	from := r.From
	for from <= r.To {
		to := from
		for to < r.To && p.sums.of(from, to) < each {
			to++
		}
		out = append(out, keyrange.Range{From: from, To: to})
		from = to + 1
	}
	return out
}

// balance moves slices from the heaviest to the lightest target. A slice is only
// as large as brings one of the two to the mean: what is too hot for one target
// is divided among several. A target that cannot give anything is passed over.
func (p *planner) balance(s State, limits Limits) {
	mean := p.mean()
	stuck := make(map[int]bool)
	for moved := 0; moved < limits.Moves; {
		from, to := p.heaviest(stuck), p.lightest(0)
		if from < 0 {
			return
		}
		high, low := p.share(from, 0), p.share(to, 0)
		busy := high >= limits.Start && high-low >= limits.Gain
		if !busy && low >= limits.Idle*mean || high <= mean {
			return
		}
		want := min((high-mean)*p.targets[from].Capacity, (mean-low)*p.targets[to].Capacity)
		slice, ok := p.slice(from, want, s.Fixed)
		if !ok {
			slice, to, ok = p.hotKey(from, want, min(high-limits.Gain, hotKeyGain*high), s.Fixed)
		}
		if !ok {
			stuck[from] = true
			continue
		}
		p.load[from] -= p.sums.of(slice.From, slice.To)
		p.move(slice.From, slice.To, to, Hot)
		p.m.Assign(slice.From, slice.To, p.targets[to].Owner)
		moved++
	}
}

// hotKey returns a key that is too hot to be part of a slice, with the keys
// between it and the end of its range, and the target that would have the least
// share with them, if that share is below the limit.
func (p *planner) hotKey(target int, want, limit float64, fixed func(keyrange.Range) bool) (keyrange.Range, int, bool) {
	var best keyrange.Range
	bestTo, bestShare := 0, limit
	least := leastKey * p.load[target]
	if p.share(target, 0) > 1 {
		least = leastSlice * want // whatever leaves a target that is too full helps
	}
	for _, r := range p.m.Ranges {
		if !p.movable(r, target, fixed) {
			continue
		}
		for _, c := range []keyrange.Range{
			{From: r.From, To: min(r.To, p.head(r, want).To+1)},
			{From: max(r.From, p.tail(r, want).From-1), To: r.To},
		} {
			load := p.sums.of(c.From, c.To)
			to := p.lightest(load)
			if share := p.share(to, load); to != target && load > least && share < bestShare {
				best, bestTo, bestShare = c, to, share
			}
		}
	}
	return best, bestTo, bestShare < limit
}

// hotKeyGain is what must be left of the giver's share at the taker for a key to
// be moved alone: its callers wait while it moves.
const hotKeyGain = 0.75

// leastKey is the part of its owner's load that a key must carry to be moved
// alone, unless its owner has more than it gets through.
const leastKey = 0.1

// movable reports whether a part of the range may leave the target.
func (p *planner) movable(r keyrange.Range, target int, fixed func(keyrange.Range) bool) bool {
	return r.Owner.Same(p.targets[target].Owner) && len(r.Prev) == 0 && (fixed == nil || !fixed(r))
}

// mean returns the share that all targets would have if they had the same.
func (p *planner) mean() float64 {
	capacity := 0.0
	for _, t := range p.targets {
		capacity += t.Capacity
	}
	return p.sums.total() / max(capacity, 0.01)
}

// heaviest returns the target with the greatest share that is not stuck, or -1.
func (p *planner) heaviest(stuck map[int]bool) int {
	best := -1
	for i := range p.targets {
		if !stuck[i] && (best < 0 || p.share(i, 0) > p.share(best, 0)) {
			best = i
		}
	}
	return best
}

const (
	// overshoot is how much more than wanted a slice may carry.
	overshoot = 1.15
	// leastSlice is the part of what is wanted below which a slice is not worth
	// its move.
	leastSlice = 0.25
	// keyCost makes a slice of all keys as bad as one that carries nothing.
	keyCost = 1.0
)

// slice returns the part of one of the target's ranges that carries about the
// wanted load, at one of the range's ends.
func (p *planner) slice(target int, want float64, fixed func(keyrange.Range) bool) (keyrange.Range, bool) {
	var best keyrange.Range
	bestScore := 0.0
	for _, r := range p.m.Ranges {
		if !p.movable(r, target, fixed) {
			continue
		}
		for _, c := range []keyrange.Range{p.head(r, want*overshoot), p.tail(r, want*overshoot)} {
			if c.To < c.From {
				continue
			}
			load := p.sums.of(c.From, c.To)
			score := min(load/want, 1) - keyCost*float64(c.Keys())/keys
			if load >= leastSlice*want && score > bestScore {
				best, bestScore = c, score
			}
		}
	}
	return best, bestScore > 0
}

// head returns the longest beginning of a range that carries at most the load.
func (p *planner) head(r keyrange.Range, load float64) keyrange.Range {
	n, _ := slices.BinarySearchFunc(p.sums[r.From+1:r.To+2], p.sums[r.From]+load, cmp.Compare[float64])
	return keyrange.Range{From: r.From, To: r.From + n - 1}
}

// tail returns the longest end of a range that carries at most the load.
func (p *planner) tail(r keyrange.Range, load float64) keyrange.Range {
	n, _ := slices.BinarySearchFunc(p.sums[r.From:r.To+1], p.sums[r.To+1]-load, cmp.Compare[float64])
	return keyrange.Range{From: r.From + n, To: r.To}
}
