package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/ownership/keyrange"
	wire "github.com/mangopost/mangopost/platform"
)

const (
	// releaseTimeout is for one answer to a release, which comes when the work on
	// the keys has ended.
	releaseTimeout = 2500 * time.Millisecond
	// moveRetryEvery is the pause between two tries of an order of a move.
	moveRetryEvery = 150 * time.Millisecond
	// underWayCheck is how often a release looks whether grants before it arrived.
	underWayCheck = 10 * time.Millisecond
	// silentBeats is the number of heartbeats that a target which refuses
	// connections must have missed to count as down.
	silentBeats = 1.5
)

// grant sends one grant and reports whether the target took it. The lease is
// checked directly before.
func (t *term) grant(service string, r keyrange.Range, s *rangeState) bool {
	holdFor := hold
	if t.candidate.longGrants() {
		holdFor = min(longHold, t.n.settings.Load().Bounds.GrantMax)
		t.n.log.Emit(evLongGrants, "service", service, "from", r.From, "to", r.To, "target", r.Owner.Target, "hold_ms", ms(holdFor))
	}
	t.mu.Lock()
	if t.closed || !t.currentLocked(service, r) {
		// The range was split, moved or merged since: a grant of it now could
		// arrive after the owner has released a part.
		t.mu.Unlock()
		return false
	}
	s.renewed = leaseClock()
	order := wire.Order{
		Target: r.Owner.Target, Addr: r.Owner.Addr, From: r.From, To: r.To, Fence: r.Fence, Hold: holdFor, Handover: s.handover,
	}
	t.ledger.Sending(r.Owner, r.Fence)
	t.mu.Unlock()
	var err error
	if t.candidate.holds() {
		err = t.orders.Grant(t.ctx, order)
	} else {
		err = errors.Join(wire.ErrNotSent, errors.New("the lease has ended"))
	}
	t.noteGrant(service, r, holdFor, err)
	return err == nil
}

// noteGrant takes in what became of a grant.
func (t *term) noteGrant(service string, r keyrange.Range, holdFor time.Duration, err error) {
	t.mu.Lock()
	now := leaseClock()
	switch {
	case err == nil || wire.Answered(err):
		t.ledger.Answered(now, r.Owner, r.Fence, holdFor)
	case errors.Is(err, wire.ErrNotSent):
		t.ledger.NotSent(r.Owner, r.Fence)
	default:
		t.ledger.GivenUp(now, r.Owner, r.Fence, holdFor)
	}
	t.mu.Unlock()
	if err == nil {
		t.n.counters.grants("taken")
		t.reached(r.Owner)
		return
	}
	t.n.counters.grants("failed")
	if t.ctx.Err() == nil {
		t.n.log.Emit(evGrantFailed, "service", service, "from", r.From, "to", r.To, "target", r.Owner.Target,
			"fence", r.Fence, "error", err.Error())
	}
	t.noteFailure(r.Owner, err)
	if refused(err) {
		t.askSoon(service, r)
	}
}

// noteFailure takes in what a failed order says of its target.
func (t *term) noteFailure(owner keyrange.Owner, err error) {
	switch {
	case errors.Is(err, wire.ErrOtherTarget):
		t.replaced(owner)
	case errors.Is(err, wire.ErrRefusedOrder):
		// A target of a service without keys takes no orders and does not look
		// whom they are for.
		if name, err := t.orders.Identity(t.ctx, owner.Addr, t.healthCheck()); err == nil && name != "" && name != owner.Target {
			t.replaced(owner)
		}
	case refused(err):
		t.refusedBy(owner)
	}
}

// healthCheck returns where a target tells its name.
func (t *term) healthCheck() string {
	if table := t.n.table.Load(); table != nil {
		for _, s := range table.Services {
			if s.HealthCheck != "" {
				return s.HealthCheck
			}
		}
	}
	return "/"
}

// replaced notes that another target has the owner's address: an address is given
// on only after its target has ended.
func (t *term) replaced(owner keyrange.Owner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.down[owner].ended {
		t.n.log.Emit(evTargetDown, "target", owner.Target, "run", owner.Run, "address", "another target's")
	}
	t.down[owner] = refusal{ended: true}
}

// askSoon makes the next grant of a range due shortly: whether its owner has ended
// is to be known soon.
func (t *term) askSoon(service string, r keyrange.Range) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.known[rangeKey{service, r.From, r.Fence}]; s != nil {
		s.renewed = leaseClock() - renewEvery + moveRetryEvery
	}
}

// reached notes that a target took an order.
func (t *term) reached(owner keyrange.Owner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.down[owner].ended {
		delete(t.down, owner)
	}
}

// refusedBy notes that a target refused a connection. It counts as ended when it
// refused several in a row while it announced itself as staying and wrote no
// heartbeat to a store that answers. A leaving target, or one whose entry is gone,
// may refuse connections and still work on what it holds.
func (t *term) refusedBy(owner keyrange.Owner) {
	e, silent, ok := t.entryOf(owner)
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.down[owner]
	d.count++
	limit := time.Duration(silentBeats * float64(t.n.settings.Load().Heartbeat))
	if !d.ended && d.count >= refusals && ok && !e.Leaving && silent > limit {
		d.ended = true
		t.n.log.Emit(evTargetDown, "target", owner.Target, "run", owner.Run, "refusals", d.count, "silent_ms", ms(silent))
	}
	t.down[owner] = d
}

// isDown reports whether a target was proved to have ended.
func (t *term) isDown(owner keyrange.Owner) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down[owner].ended
}

// move ends the grants of a range's earlier owners, grants it to the new one, and
// notes in the map that it is served.
func (t *term) move(service string, r keyrange.Range, s *rangeState) {
	defer t.done(s)
	for _, prev := range r.Prev {
		if !t.free(service, r, prev, s) {
			return
		}
	}
	for !t.grant(service, r, s) {
		if !t.current(service, r) || !sleep(t.ctx, moveRetryEvery) {
			return
		}
	}
	t.n.log.Emit(evGranted, "service", service, "from", r.From, "to", r.To, "target", r.Owner.Target, "fence", r.Fence, "handover", s.handover != "")
	t.settle(service, r, s)
}

// free waits until an earlier owner holds the range no more. It reports false
// when the move is no longer wanted.
func (t *term) free(service string, r keyrange.Range, prev keyrange.Previous, s *rangeState) bool {
	for t.current(service, r) {
		if t.ended(prev) {
			return true
		}
		if t.underWay(prev) {
			// A grant that arrives after the release would undo it.
			if !sleep(t.ctx, underWayCheck) {
				return false
			}
			continue
		}
		handover, err := t.release(r, prev)
		if err == nil {
			t.mu.Lock()
			s.handover = handover
			t.mu.Unlock()
			t.n.log.Emit(evReleased, "service", service, "from", r.From, "to", r.To, "target", prev.Target, "fence", prev.Fence)
			return t.waitUnclear(service, r, prev)
		}
		t.noteFailure(prev.Owner, err)
		if !sleep(t.ctx, moveRetryEvery) {
			return false
		}
	}
	return false
}

// underWay reports whether a grant to an earlier owner is neither answered nor
// reset.
func (t *term) underWay(prev keyrange.Previous) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, settled := t.ledger.EndOf(prev.Owner, prev.Fence)
	return !settled
}

// ended reports whether an earlier owner can hold nothing any more: it ended, or
// all its grants did.
func (t *term) ended(prev keyrange.Previous) bool {
	if t.isGone(prev.Owner) || t.isDown(prev.Owner) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	end, ok := t.ledger.EndOf(prev.Owner, prev.Fence)
	return ok && leaseClock() >= end
}

func (t *term) release(r keyrange.Range, prev keyrange.Previous) (string, error) {
	ctx, cancel := context.WithTimeout(t.ctx, releaseTimeout)
	defer cancel()
	t.mu.Lock()
	closed := t.closed
	t.mu.Unlock()
	if closed || !t.candidate.holds() {
		return "", errors.New("the lease has ended")
	}
	return t.orders.Release(ctx, wire.Order{Target: prev.Target, Addr: prev.Addr, From: r.From, To: r.To, Fence: prev.Fence})
}

// waitUnclear waits until grants that may be applied after the release have ended.
func (t *term) waitUnclear(service string, r keyrange.Range, prev keyrange.Previous) bool {
	for t.current(service, r) {
		t.mu.Lock()
		end, ok := t.ledger.EndOfUnclear(prev.Owner, prev.Fence)
		t.mu.Unlock()
		if ok && leaseClock() >= end {
			return true
		}
		if !sleep(t.ctx, moveRetryEvery) {
			return false
		}
	}
	return false
}

// current reports whether the map still has the range with this fence.
func (t *term) current(service string, r keyrange.Range) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.currentLocked(service, r)
}

// currentLocked is current with mu held.
func (t *term) currentLocked(service string, r keyrange.Range) bool {
	owned := t.maps[service]
	if owned == nil || owned.keys == nil {
		return false
	}
	i := owned.keys.At(r.From)
	return i >= 0 && owned.keys.Ranges[i].Fence == r.Fence && owned.keys.Ranges[i].To == r.To
}

// settle notes that the owner of a range has it, and tells the hosts. The store
// follows with the next write of the map: it may be away, or slow.
func (t *term) settle(service string, r keyrange.Range, s *rangeState) {
	t.mu.Lock()
	s.settled = leaseClock()
	if owned := t.maps[service]; owned != nil && owned.keys != nil {
		t.maps[service] = owned.settle([]keyrange.ID{r.ID()})
	}
	t.mu.Unlock()
	t.n.setSettled(service, []keyrange.ID{r.ID()})
}
