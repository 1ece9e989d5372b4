package entry

import (
	"time"

	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/placement/hotrange"
)

// gathering is how many targets of a new service there are, and since when.
type gathering struct {
	count int
	since time.Duration
}

// planService reads the map of a service if it must, and writes the first one, moves
// or merges.
func (t *term) planService(service string) error {
	t.saving.Lock()
	defer t.saving.Unlock()
	if t.owned(service) == nil {
		if err := t.load(service); err != nil {
			return err
		}
	}
	owned := t.owned(service)
	targets := t.targets(service)
	switch {
	case len(targets) == 0:
		return nil
	case owned.keys == nil:
		return t.createMap(service, targets)
	}
	loads := t.candidate.loads(service)
	t.candidate.setOwned(service, hotrange.Owned(owned.keys, loads))
	moves := hotrange.Plan(hotrange.State{
		Map: owned.keys, Targets: targets, Loads: loads, Fixed: t.fixed(service),
	}, t.limits(owned.keys, len(targets)))
	if len(moves) == 0 {
		t.moveAll(service)
		return t.merge(service)
	}
	return t.assign(service, owned.keys, moves)
}

// createMap writes the first map of a service, once its targets have gathered.
func (t *term) createMap(service string, targets []hotrange.Target) error {
	if !t.gathered(service, len(targets)) {
		return nil
	}
	first := firstMap(service, targets)
	t.noteFresh(0, first)
	return t.save(service, first)
}

// assign writes the moves and sets them going. saving is held.
func (t *term) assign(service string, keys *keyrange.Map, moves []hotrange.Move) error {
	next := keys.Clone()
	for _, m := range moves {
		next.Assign(m.From, m.To, m.Owner)
	}
	if err := t.save(service, next); err != nil {
		return err
	}
	t.noteFresh(keys.Fence, next)
	for _, m := range moves {
		t.n.counters.moves(string(m.Reason))
		t.n.log.Emit(evMove, "service", service, "from", m.From, "to", m.To, "target", m.Owner.Target,
			"reason", string(m.Reason), "load", int64(m.Load), "version", t.owned(service).version)
	}
	t.moveAll(service)
	return nil
}

// noteFresh notes the fences above one: this term is the first to grant keys under
// them.
func (t *term) noteFresh(above uint64, m *keyrange.Map) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range m.Ranges {
		if r.Fence > above {
			t.ledger.Fresh(r.Owner, r.Fence)
		}
	}
}

// maxMerges is the number of runs of ranges that are merged in one write.
const maxMerges = 8

// merge joins neighbouring ranges of one owner, and grants them anew at once. It
// also writes moves that were completed.
func (t *term) merge(service string) error {
	owned := t.owned(service)
	next := owned.keys.Clone()
	merged := next.Merge(maxMerges, t.fixed(service))
	if len(merged)+len(owned.settled) == 0 {
		return nil
	}
	// Before the map is in force, so that no grant of the new range comes first.
	t.mu.Lock()
	for _, m := range merged {
		for _, before := range m.Before {
			t.ledger.Inherit(m.Owner, before, m.Fence)
		}
	}
	t.mu.Unlock()
	return t.save(service, next)
}

func (t *term) limits(m *keyrange.Map, targets int) hotrange.Limits {
	limits := hotrange.DefaultLimits
	moving := 0
	for _, r := range m.Ranges {
		if len(r.Prev) > 0 {
			moving++
		}
	}
	limits.Moves = max(0, max(minMoving, int(movingShare*float64(targets)))-moving)
	return limits
}

// fixed returns which ranges must stay: those that have just moved, and those of
// which a grant is unclear and could be applied after a release.
func (t *term) fixed(service string) func(keyrange.Range) bool {
	now := leaseClock()
	t.mu.Lock()
	defer t.mu.Unlock()
	settled := make(map[uint64]time.Duration)
	for k, s := range t.known {
		if k.service == service {
			settled[k.fence] = max(settled[k.fence], s.settled)
		}
	}
	return func(r keyrange.Range) bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		end, ok := t.ledger.EndOfUnclear(r.Owner, r.Fence)
		return !ok || end > now || settled[r.Fence] > 0 && now < settled[r.Fence]+settleFor
	}
}

// gathered reports whether the number of a new service's targets has not changed
// for a while, so that its keys are distributed among all of them.
func (t *term) gathered(service string, count int) bool {
	g := t.gathering[service]
	now := leaseClock()
	if g.count != count {
		t.gathering[service] = gathering{count: count, since: now}
		return false
	}
	return now >= g.since+gatherFor
}

func firstMap(service string, targets []hotrange.Target) *keyrange.Map {
	list := make([]keyrange.Owner, len(targets))
	weights := make([]float64, len(targets))
	for i, target := range targets {
		list[i], weights[i] = target.Owner, target.Capacity
	}
	return keyrange.New(service, list, weights)
}

// targets returns the targets of a service that may own keys.
func (t *term) targets(service string) []hotrange.Target {
	t.n.mu.Lock()
	entries := t.n.directory.Of(service)
	t.n.mu.Unlock()
	var out []hotrange.Target
	for _, e := range entries {
		owner := ownerOf(e)
		if e.Leaving || t.isDown(owner) {
			continue
		}
		out = append(out, hotrange.Target{Owner: owner, Capacity: t.candidate.capacity(service, owner.Target, e.Slots)})
	}
	return out
}
