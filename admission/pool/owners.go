package pool

import (
	"maps"
	"time"

	"github.com/mangopost/mangopost/ownership/keyrange"
)

// SetOwners replaces the owners map of a keyed service.
func (p *Pool) SetOwners(m *keyrange.Map) {
	p.owners = m
	maps.DeleteFunc(p.completedMoves, func(id keyrange.ID, _ bool) bool { return m == nil || !m.Moving(id) })
}

// Settle records that moves of the map are complete before a map shows it: the
// store may not have recorded them yet, or may be unavailable.
func (p *Pool) Settle(ids []keyrange.ID) {
	for _, id := range ids {
		p.completedMoves[id] = true
	}
}

// notHeldPause is how long no further request is sent for keys after their
// owner answered that it does not hold them, because each such request costs a
// retry.
const notHeldPause = 120 * time.Millisecond

// notHeldProbePeriod is how long after that pause only one request at a time is
// sent to check whether the owner holds the keys.
const notHeldProbePeriod = time.Second

// RecordNotHeld records that the owner of the keys under a fence did not hold
// them: its grant is late or has ended. Until the next probe the keys count as
// having no owner.
func (p *Pool) RecordNotHeld(now time.Duration, fence uint64) {
	p.now = now
	for f, until := range p.notHeldUntil {
		if until+notHeldProbePeriod <= now {
			delete(p.notHeldUntil, f)
		}
	}
	p.notHeldUntil[fence] = now + notHeldPause
}

// RecordHeld records that the owner of the keys under a fence accepted a
// request for them.
func (p *Pool) RecordHeld(fence uint64) { delete(p.notHeldUntil, fence) }

// refuseThinned refuses part of the requests for keys that receive more
// requests than their owner can serve. It also applies while the keys move to
// the owner, because the waiting requests are all sent to it at once.
func (p *Pool) refuseThinned(now time.Duration, r Request) (Action, bool) {
	keyRange, ok := p.rangeOf(r.Key)
	if !ok || len(r.TriedTargets) > 0 || r.NotBefore > 0 {
		return Action{}, false
	}
	t := p.targets[keyRange.Owner.Target]
	if t == nil || !r.mayUse(t) || t.admitNext(p.cfg.AdmitPhase, p.admitCost(r)) {
		return Action{}, false
	}
	t.refusedFull++
	rate := float64(max(1, t.Slots)) / p.serviceTimeAt(t).Seconds() / float64(max(1, p.hostCount))
	return p.refuse(now, r, Thinned, t.retrySchedule.nextRetry(now, p.serviceTimeAt(t), rate)), true
}

// isMoving reports whether the key is moving to an owner that accepts work, so
// that waiting for it is worthwhile.
func (p *Pool) isMoving(key int) bool {
	r, ok := p.rangeOf(key)
	if !ok || len(r.Prev) == 0 {
		return false
	}
	t := p.targets[r.Owner.Target]
	return t != nil && !t.Leaving
}

// remainingOwnerless estimates how long the key will have no owner that accepts
// work: a lost owner keeps the key until its grants have ended.
func (p *Pool) remainingOwnerless(now time.Duration, key int) time.Duration {
	r, ok := p.rangeOf(key)
	if !ok {
		return p.cfg.OwnerWait
	}
	since, ok := p.ownerlessSince[r.From]
	if !ok || now > since+2*p.cfg.OwnerLossDuration {
		since = now
		p.ownerlessSince[r.From] = since
	}
	return max(p.cfg.OwnerWait, since+p.ownerlessTime(r)-now)
}

// rangeOf returns the range of the key, if owners are known.
func (p *Pool) rangeOf(key int) (keyrange.Range, bool) {
	if !p.cfg.Keyed || p.owners == nil {
		return keyrange.Range{}, false
	}
	i := p.owners.IndexOf(key)
	if i < 0 {
		return keyrange.Range{}, false
	}
	return p.owners.Ranges[i], true
}

// availableOwner returns the target that owns the key and accepts work, and its
// fence, or nil.
func (p *Pool) availableOwner(key int) (*target, uint64) {
	r, ok := p.rangeOf(key)
	if !ok {
		return nil, 0
	}
	if len(r.Prev) > 0 && !p.completedMoves[r.ID()] {
		return nil, 0
	}
	t := p.targets[r.Owner.Target]
	if t == nil || t.Leaving || !t.Owner.SameRun(r.Owner) || p.now < p.notHeldUntil[r.Fence] {
		return nil, 0
	}
	delete(p.ownerlessSince, r.From)
	return t, r.Fence
}
