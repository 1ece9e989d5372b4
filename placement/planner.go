package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangopost/mangopost/ownership"
)

// idleShardShare is the load added to every shard, as a share of the mean shard
// load, so that shards without requests are spread over the targets too.
const idleShardShare = 0.05

// targetLoad is a target with the load and the successions that it has after the
// decisions planned so far.
type targetLoad struct {
	Target
	load        float64
	successorOf map[string]int // number of shards that have it as successor, by owner
}

// successionsPerCapacity returns the number of an owner's shards that have the
// target as successor, divided by the target's capacity.
func (s *targetLoad) successionsPerCapacity(owner *targetLoad) float64 {
	return float64(s.successorOf[owner.Name]) / s.capacity()
}

func (s *targetLoad) capacity() float64 { return float64(max(s.Capacity, 1)) }

// utilization returns the target's load divided by its capacity.
func (s *targetLoad) utilization() float64 { return s.load / s.capacity() }

// shardState is a shard with its owner and load after the decisions planned so
// far.
type shardState struct {
	number uint32
	owner  *targetLoad // nil if the owner is not among the targets
	shard  ownership.Shard
	load   float64
	moved  bool // changed by this plan
}

// planner holds the state while a plan is made.
type planner struct {
	now             time.Time
	cell            string // cell that is planned, empty for all
	limits          Limits
	window          time.Duration // period over which loads were counted; 0 if they are exact
	targets         []*targetLoad // sorted by name
	byName          map[string]*targetLoad
	shards          []*shardState
	hashShards      int     // number of hash-range shards; pins follow them
	meanUtilization float64 // mean utilization of the live targets
	budget          int     // remaining changes that are not forced
	plan            []Decision
}

func newPlanner(s Snapshot) *planner {
	pl := &planner{
		now:        s.Now,
		cell:       s.Cell,
		limits:     s.Limits,
		window:     noiseWindow(s),
		byName:     make(map[string]*targetLoad, len(s.Targets)),
		hashShards: len(s.Page.Shards),
	}
	pl.addTargets(s.Targets)
	pl.addShards(s)
	pl.meanUtilization = pl.meanLiveUtilization()
	pl.budget = s.Limits.MovesPerMinute - pl.spentBudget()
	return pl
}

func (pl *planner) addTargets(targets []Target) {
	for _, t := range targets {
		if pl.byName[t.Name] != nil {
			continue
		}
		st := &targetLoad{Target: t, successorOf: make(map[string]int)}
		pl.targets = append(pl.targets, st)
		pl.byName[t.Name] = st
	}
	slices.SortFunc(pl.targets, func(x, y *targetLoad) int { return cmp.Compare(x.Name, y.Name) })
}

func (pl *planner) addShards(s Snapshot) {
	idle := idleShardLoad(s)
	shards := slices.Concat(s.Page.Shards, s.Page.Pins)
	for i, shard := range shards {
		p := &shardState{number: uint32(i), shard: shard, load: idle}
		if i < len(s.ShardLoad) {
			p.load += max(s.ShardLoad[i], 0)
		}
		p.owner = pl.byName[shard.Target]
		if p.owner != nil {
			p.owner.load += p.load
		}
		if next := pl.liveSuccessor(p); next != nil {
			next.successorOf[p.owner.Name]++
		}
		pl.shards = append(pl.shards, p)
	}
}

// noiseWindow returns the period over which loads were counted. It returns 0 if
// there were no requests, because loads then have no noise.
func noiseWindow(s Snapshot) time.Duration {
	for _, load := range s.ShardLoad {
		if load > 0 {
			return s.Window
		}
	}
	return 0
}

// idleShardLoad returns the load that every shard has in addition to its requests.
func idleShardLoad(s Snapshot) float64 {
	total := 0.0
	for _, load := range s.ShardLoad {
		total += max(load, 0)
	}
	if total == 0 {
		return 1
	}
	return idleShardShare * total / float64(len(s.Page.Shards)+len(s.Page.Pins))
}

// isPlannedCell reports whether the plan covers shards and targets of a cell.
func (pl *planner) isPlannedCell(cell string) bool {
	return pl.cell == "" || cell == "" || cell == pl.cell
}

// isFreePin reports whether a shard is a pin without a key.
func (pl *planner) isFreePin(p *shardState) bool {
	return int(p.number) >= pl.hashShards && p.shard.PinnedTo == ""
}

// timeSinceChange returns the time since a shard last changed.
func (pl *planner) timeSinceChange(p *shardState) time.Duration {
	return pl.now.Sub(time.UnixMilli(p.shard.SinceMS))
}

// isMovable reports whether a shard may be changed for balance: this plan has not
// changed it, it has no unfinished move, and its last move is long enough ago.
func (pl *planner) isMovable(p *shardState) bool {
	return !p.moved && p.shard.Move == nil && (pl.lastChangeKeptOwner(p) || pl.timeSinceChange(p) >= pl.limits.MinStay)
}

// lastChangeKeptOwner reports whether the last change of a shard kept its
// owner: the shard was first assigned, or a key of its hash range was pinned or
// unpinned, which gives the shard a new epoch at the same owner.
func (pl *planner) lastChangeKeptOwner(p *shardState) bool {
	switch Reason(p.shard.Reason) {
	case ReasonInitial:
		return true
	case ReasonHot, ReasonCooled:
		return int(p.number) < pl.hashShards
	default:
		return false
	}
}

// liveSuccessor returns the agreed successor of a shard if it is live and in the
// owner's cell, else nil.
func (pl *planner) liveSuccessor(p *shardState) *targetLoad {
	if p.shard.Next == nil || p.owner == nil {
		return nil
	}
	next := pl.byName[p.shard.Next.Target]
	if next == nil || next == p.owner || next.State != Live || next.Cell != p.owner.Cell {
		return nil
	}
	return next
}

// leastLoaded returns the live target with the lowest utilization among those
// that the filter accepts, or nil.
func (pl *planner) leastLoaded(accepts func(*targetLoad) bool) *targetLoad {
	var best *targetLoad
	for _, st := range pl.targets {
		if st.State != Live || !accepts(st) {
			continue
		}
		if best == nil || st.utilization() < best.utilization() {
			best = st
		}
	}
	return best
}

// meanLiveUtilization returns the mean utilization of the live targets in the
// planned cells.
func (pl *planner) meanLiveUtilization() float64 {
	var live []*targetLoad
	for _, group := range pl.balanceGroups() {
		live = append(live, group...)
	}
	return meanUtilization(live)
}

// assign adds the move of a shard to a target to the plan.
func (pl *planner) assign(p *shardState, to *targetLoad, kind ownership.MoveKind, reason Reason) {
	if p.owner != nil {
		p.owner.load -= p.load
	}
	to.load += p.load
	p.owner = to
	p.moved = true
	pl.plan = append(pl.plan, Decision{
		Action: ActionMove,
		Shard:  p.number,
		Cell:   to.Cell,
		Target: to.Name,
		Kind:   kind,
		Next:   pl.chooseSuccessor(to),
		Reason: reason,
	})
}

// chooseSuccessor returns the successor for a shard of an owner: the live target of
// the owner's cell that is successor of the fewest of the owner's shards for its
// capacity, so that the load of a lost owner spreads over the cell.
func (pl *planner) chooseSuccessor(owner *targetLoad) string {
	var best *targetLoad
	for _, st := range pl.targets {
		if st == owner || st.State != Live || st.Cell != owner.Cell {
			continue
		}
		if best == nil || st.successionsPerCapacity(owner) < best.successionsPerCapacity(owner) {
			best = st
		}
	}
	if best == nil {
		return ""
	}
	best.successorOf[owner.Name]++
	return best.Name
}
