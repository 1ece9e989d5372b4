package entry

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/lease/era"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/placement/hotrange"
)

// targetCount is the number of targets of a new service, and the time since which it
// has not changed.
type targetCount struct {
	count int
	since time.Duration
}

// planService reads the map of a service if needed, and then writes its first map,
// its moves or its merges.
func (t *term) planService(service string) error {
	t.saving.Lock()
	defer t.saving.Unlock()
	if t.mapOf(service) == nil {
		if err := t.loadMap(service); err != nil {
			return err
		}
	}
	if done, err := t.renumber(service); done {
		return err
	}
	if err := t.refreshListing(service); err != nil {
		return errors.Wrap(err, "list targets for the map")
	}
	if !t.knowsEvacuations() {
		return nil
	}
	owned := t.mapOf(service)
	targets := t.targets(service)
	switch {
	case owned.restored != nil:
		return t.refence(service, owned.restored)
	case len(targets) == 0:
		return nil
	case owned.keys == nil:
		return t.createMap(service, targets)
	}
	loads := t.candidate.loads(service)
	t.candidate.setOwnerLoads(service, hotrange.LoadByTarget(owned.keys, loads))
	moves := hotrange.Plan(hotrange.State{
		Map: owned.keys, Targets: targets, Loads: loads, Fixed: t.fixedRanges(service),
	}, t.limits(owned.keys, len(targets)))
	if len(moves) == 0 {
		t.startMoves(service)
		return t.merge(service)
	}
	return t.assign(service, owned.keys, moves)
}

// createMap writes the first map of a service once the number of its targets is
// stable.
func (t *term) createMap(service string, targets []hotrange.Target) error {
	if !t.isTargetCountStable(service, len(targets)) {
		return nil
	}
	first := t.firstMap(service, targets)
	if err := t.saveMap(service, first); err != nil {
		return err
	}
	t.recordNewFences(service, 0, first)
	return nil
}

// assign writes the planned moves to the map and starts them. saving is held.
func (t *term) assign(service string, keys *keyrange.Map, moves []hotrange.Move) error {
	next := keys.Clone()
	for _, m := range moves {
		next.Assign(m.From, m.To, m.Owner)
	}
	if err := t.saveMap(service, next); err != nil {
		return err
	}
	t.recordNewFences(service, keys.Fence, next)
	for _, m := range moves {
		t.node.counters.countMove(string(m.Reason))
		t.node.log.Emit(evMove, "service", service, "from", m.From, "to", m.To, "target", m.Owner.Target,
			"reason", string(m.Reason), "load", int64(m.Load), "version", era.Revision(t.mapOf(service).version))
	}
	t.startMoves(service)
	return nil
}

// recordNewFences records in the ledger the fences above the given one: this term
// is the first to grant keys under them, as the store has accepted its map.
func (t *term) recordNewFences(service string, above uint64, m *keyrange.Map) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range m.Ranges {
		if r.Fence > above {
			t.ledger.MarkNewFence(service, r.Owner, r.Fence)
		}
	}
}

// maxMerges is the maximum number of runs of neighbouring ranges that one write merges.
const maxMerges = 8

// merge joins neighbouring ranges of the same owner and grants the joined ranges
// at once. The same write records completed moves.
func (t *term) merge(service string) error {
	owned := t.mapOf(service)
	next := owned.keys.Clone()
	if next.Merge(maxMerges, t.fixedRanges(service))+len(owned.settled) == 0 {
		return nil
	}
	return t.saveMap(service, next)
}

func (t *term) limits(m *keyrange.Map, targets int) hotrange.Limits {
	limits := hotrange.DefaultLimits
	moving := 0
	for _, r := range m.Ranges {
		if len(r.Prev) > 0 {
			moving++
		}
	}
	limits.MaxMoves = max(0, max(minMoving, int(maxMovingShare*float64(targets)))-moving)
	return limits
}

// fixedRanges returns a function that reports whether a range must stay with its
// owner: it has just moved, or one of its grants is unanswered and could be applied
// after a release.
func (t *term) fixedRanges(service string) func(keyrange.Range) bool {
	now := leaseClock()
	t.mu.Lock()
	defer t.mu.Unlock()
	settled := make(map[uint64]time.Duration)
	for k, s := range t.rangeStates {
		if k.service == service {
			settled[k.fence] = max(settled[k.fence], s.settled)
		}
	}
	return func(r keyrange.Range) bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		end, ok := t.ledger.EndOfUnanswered(holdOf(service, r), r.Fence)
		return !ok || end > now || settled[r.Fence] > 0 && now < settled[r.Fence]+moveCooldown
	}
}

// isTargetCountStable reports whether the number of a new service's targets has been
// stable for targetCountStableTime, so that its keys are distributed among all of them.
func (t *term) isTargetCountStable(service string, count int) bool {
	g := t.targetCounts[service]
	now := leaseClock()
	if g.count != count {
		t.targetCounts[service] = targetCount{count: count, since: now}
		return false
	}
	return now >= g.since+targetCountStableTime
}

// firstMap returns the first map of a service, which distributes all keys among the targets
// that are not cold, or among all if there are none. Where a map may have been lost, by the
// store or since this term read it, all grants made under it have to end first.
func (t *term) firstMap(service string, targets []hotrange.Target) *keyrange.Map {
	isCold := func(t hotrange.Target) bool { return t.Cold }
	if warm := slices.DeleteFunc(slices.Clone(targets), isCold); len(warm) > 0 {
		targets = warm
	}
	list := make([]keyrange.Owner, len(targets))
	weights := make([]float64, len(targets))
	for i, target := range targets {
		list[i], weights[i] = target.Owner, target.Capacity
	}
	highest := t.highestFence(service)
	m := keyrange.NewAbove(max(era.FenceFloor(t.era), highest), service, list, weights)
	if t.restored || highest > 0 {
		m.Refence(m.Fence)
	}
	return m
}

// targets returns the targets of a service that may own keys.
func (t *term) targets(service string) []hotrange.Target {
	t.node.mu.Lock()
	s := t.node.services[service]
	t.node.mu.Unlock()
	var cold coldTargets
	if s != nil {
		cold = s.coldTargets()
	}
	var out []hotrange.Target
	for _, e := range t.node.grantableEntries(service) {
		owner := ownerOf(e)
		if e.Leaving || t.isSuspect(owner, leaseClock()) {
			continue
		}
		left := cold.remaining[owner.Target]
		out = append(out, hotrange.Target{
			Owner: owner, Capacity: t.candidate.capacity(service, owner.Target, e.Slots),
			Cold: left > 0, LongCold: left > longCold, ColdCapacity: cold.rate,
		})
	}
	return out
}
