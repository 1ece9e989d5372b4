package pool

import (
	"maps"
	"time"

	"github.com/mangopost/mangopost/ownership/keyrange"
)

// SetOwners replaces the map of a keyed service.
func (p *Pool) SetOwners(m *keyrange.Map) {
	p.owners = m
	maps.DeleteFunc(p.settled, func(id keyrange.ID, _ bool) bool { return m == nil || !m.Moving(id) })
}

// Settle notes that moves of the map are complete: the store need not have them
// as such yet, or may be away.
func (p *Pool) Settle(ids []keyrange.ID) {
	for _, id := range ids {
		p.settled[id] = true
	}
}

// unheldPause is how long after an answer that the owner does not hold its keys
// no further request for them is sent: each costs a retry.
const unheldPause = 120 * time.Millisecond

// unheldKeep is how long after that one request at a time asks whether it does.
const unheldKeep = time.Second

// NotHeld notes that the owner of the keys under a fence did not hold them: its
// grant is late, or has ended. Until it is asked again they have no owner.
func (p *Pool) NotHeld(now time.Duration, fence uint64) {
	p.now = now
	for f, until := range p.unheld {
		if until+unheldKeep <= now {
			delete(p.unheld, f)
		}
	}
	p.unheld[fence] = now + unheldPause
}

// Held notes that the owner of the keys under a fence took a request for them.
func (p *Pool) Held(fence uint64) { delete(p.unheld, fence) }

// thin refuses a part of the requests for keys of which there are more than their
// owner gets through, also while they are on their way to it: what waits comes all
// at once.
func (p *Pool) thin(now time.Duration, r Request) (Action, bool) {
	keys, ok := p.rangeOf(r.Key)
	if !ok || len(r.Tried) > 0 || r.NotUntil > 0 {
		return Action{}, false
	}
	t := p.targets[keys.Owner.Target]
	if t == nil || t.admits(p.cfg.Phase) {
		return Action{}, false
	}
	t.refused++
	part := float64(max(1, t.Slots)) / p.serviceAt(t).Seconds() / float64(max(1, p.hosts))
	return p.refuse(now, r, Thinned, t.returns.next(now, p.serviceAt(t), part)), true
}

// moving reports whether the key is on its way to an owner that may take work: it
// is worth waiting for.
func (p *Pool) moving(key int) bool {
	r, ok := p.rangeOf(key)
	if !ok || len(r.Prev) == 0 {
		return false
	}
	t := p.targets[r.Owner.Target]
	return t != nil && !t.Leaving
}

// untilOwned estimates how long the key will have no owner that may take work: an
// owner that was lost keeps it until its grants have ended.
func (p *Pool) untilOwned(now time.Duration, key int) time.Duration {
	r, ok := p.rangeOf(key)
	if !ok {
		return p.cfg.NoOwner
	}
	since, ok := p.unowned[r.From]
	if !ok || now > since+2*p.cfg.Lost {
		since = now
		p.unowned[r.From] = since
	}
	return max(p.cfg.NoOwner, since+p.cfg.Lost-now)
}

// rangeOf returns the range of the key, if owners are known.
func (p *Pool) rangeOf(key int) (keyrange.Range, bool) {
	if !p.cfg.Keyed || p.owners == nil {
		return keyrange.Range{}, false
	}
	i := p.owners.At(key)
	if i < 0 {
		return keyrange.Range{}, false
	}
	return p.owners.Ranges[i], true
}

// owner returns the target that owns the key and may take work, and its fence.
func (p *Pool) owner(key int) (*target, uint64) {
	r, ok := p.rangeOf(key)
	if !ok {
		return nil, 0
	}
	if len(r.Prev) > 0 && !p.settled[r.ID()] {
		return nil, 0
	}
	t := p.targets[r.Owner.Target]
	if t == nil || t.Leaving || !t.Owner.Same(r.Owner) || p.now < p.unheld[r.Fence] {
		return nil, 0
	}
	delete(p.unowned, r.From)
	return t, r.Fence
}
