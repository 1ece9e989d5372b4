package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/membership/directory"
	"github.com/mangopost/mangopost/ownership/grants"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/platform"
)

const (
	// releaseTimeout limits the wait for the answer to a release, which arrives
	// when the work on the keys has ended.
	releaseTimeout = 2500 * time.Millisecond
	// moveRetryInterval is the pause between two attempts to send an order of a
	// move.
	moveRetryInterval = 150 * time.Millisecond
	// inFlightCheckInterval is how often a move checks whether earlier grants are
	// still in flight or may still be applied.
	inFlightCheckInterval = 10 * time.Millisecond
	// suspicionTime is how long after its last refused connection a target gets no
	// further keys. A target that has ended loses its entry sooner, after three
	// heartbeats.
	suspicionTime = 5 * time.Second
)

// grant sends one grant and reports whether the target accepted it. The lease is
// checked immediately before sending. Targets of evacuated data centres get none.
func (t *term) grant(service string, r keyrange.Range, s *rangeState) bool {
	if !t.node.mayGrant(r.Owner) {
		return false
	}
	holdFor := grantHold
	if t.candidate.needsLongGrants() {
		holdFor = min(longGrantHold, t.node.settings.Load().Bounds.GrantMax)
		t.node.log.Emit(evLongGrants, "service", service, "from", r.From, "to", r.To, "target", r.Owner.Target, "hold_ms", ms(holdFor))
	}
	t.mu.Lock()
	if t.closed || !t.isCurrentLocked(service, r) {
		// The range has since been split, moved or merged: a grant sent now could
		// arrive after the owner has released a part of it.
		t.mu.Unlock()
		return false
	}
	sentAt := leaseClock()
	s.renewed = sentAt
	order := platform.Order{
		Target: r.Owner.Target, Addr: r.Owner.Addr, From: r.From, To: r.To, Fence: r.Fence, Hold: holdFor, Handover: s.handover,
	}
	t.ledger.BeginSend(holdOf(service, r))
	t.mu.Unlock()
	leaving, err := t.sendGrant(order)
	t.recordGrantResult(service, r, holdFor, sentAt, err)
	if leaving {
		t.node.recordLeaving(directory.Run{Target: r.Owner.Target, Run: r.Owner.Run}, "grant")
	}
	return err == nil
}

// holdOf returns the hold of a range by its owner.
func holdOf(service string, r keyrange.Range) grants.Hold {
	return grants.Hold{Service: service, Owner: r.Owner, From: r.From, To: r.To}
}

// sendGrant sends a grant if the lease still runs.
func (t *term) sendGrant(order platform.Order) (leaving bool, err error) {
	if !t.candidate.holdsLease() {
		return false, errors.Join(platform.ErrNotSent, errors.New("the lease has ended"))
	}
	return t.orders.Grant(t.ctx, order)
}

// recordGrantResult updates the ledger, the metrics and the state of the target
// after a grant that was sent at sentAt.
func (t *term) recordGrantResult(service string, r keyrange.Range, holdFor, sentAt time.Duration, err error) {
	t.mu.Lock()
	now := leaseClock()
	switch {
	case errors.IsAny(err, platform.ErrNotSent, platform.ErrOtherTarget):
		t.ledger.CancelSend(holdOf(service, r))
	case err == nil || platform.IsTargetAnswer(err):
		t.ledger.RecordAnswer(now, holdOf(service, r), holdFor)
	default:
		t.ledger.RecordReset(now, holdOf(service, r), holdFor)
	}
	t.mu.Unlock()
	if err == nil {
		t.node.counters.countGrant("taken")
		t.markReachable(r.Owner)
		return
	}
	t.node.counters.countGrant("failed")
	if t.ctx.Err() == nil {
		t.node.log.Emit(evGrantFailed, "service", service, "from", r.From, "to", r.To, "target", r.Owner.Target,
			"fence", r.Fence, "error", err.Error())
	}
	t.recordOrderFailure(r.Owner, sentAt, err)
	if isConnRefused(err) {
		t.expediteGrant(service, r)
	}
}

// recordOrderFailure updates the state of a target according to the error of an order
// that was sent at sentAt.
func (t *term) recordOrderFailure(owner keyrange.Owner, sentAt time.Duration, err error) {
	switch {
	case errors.Is(err, platform.ErrOtherTarget):
		t.markReplaced(owner, sentAt)
	case errors.Is(err, platform.ErrRefusedOrder):
		// A target of a service without keys accepts no orders and does not check
		// whether an order is addressed to it.
		askedAt := leaseClock()
		if name, err := t.orders.Identity(t.ctx, owner.Addr, t.healthCheck()); err == nil && name != "" && name != owner.Target {
			t.markReplaced(owner, askedAt)
		}
	case isConnRefused(err):
		t.recordRefusal(owner)
	}
}

// healthCheck returns a path at which targets report their name.
func (t *term) healthCheck() string {
	if table := t.node.table.Load(); table != nil {
		for _, s := range table.Services {
			if s.HealthCheck != "" {
				return s.HealthCheck
			}
		}
	}
	return "/"
}

// markReplaced records that another target, asked at askedAt, answered at an owner's
// address: an address is reused only after its target has ended. The target may have
// returned since, so this says nothing about later grants.
func (t *term) markReplaced(owner keyrange.Owner, askedAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.RecordAbsence(askedAt, owner)
	state := t.refusals[owner]
	if state.suspectUntil == 0 {
		t.node.log.Emit(evTargetDown, "target", owner.Target, "run", owner.Run, "address", "another target's")
	}
	state.suspectUntil = leaseClock() + suspicionTime
	t.refusals[owner] = state
}

// expediteGrant makes the next grant of a range due shortly, to find out soon
// whether its owner has ended.
func (t *term) expediteGrant(service string, r keyrange.Range) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.rangeStates[rangeKey{service, r.From, r.Fence}]; s != nil {
		s.renewed = leaseClock() - renewInterval + moveRetryInterval
	}
}

// markReachable resets the count of refused connections after a target accepted an
// order.
func (t *term) markReachable(owner keyrange.Owner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.refusals, owner)
}

// recordRefusal counts a connection refused by a target. After minRefusals in a row the
// target is suspected to have ended: its keys are planned for other owners, and it gets
// no further ones. It may still hold keys all the same, because a link that resets
// connections looks like this too.
func (t *term) recordRefusal(owner keyrange.Owner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.refusals[owner]
	state.count++
	if state.count >= minRefusals {
		if state.count == minRefusals {
			t.node.log.Emit(evTargetDown, "target", owner.Target, "run", owner.Run, "refusals", state.count)
		}
		state.suspectUntil = leaseClock() + suspicionTime
	}
	t.refusals[owner] = state
}

// isSuspect reports whether a target is suspected, at now, to have ended.
func (t *term) isSuspect(owner keyrange.Owner, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now < t.refusals[owner].suspectUntil
}

// move ends the grants of a range's previous owners, grants the range to the new
// owner, and marks the move as complete in the map.
func (t *term) move(service string, r keyrange.Range, s *rangeState) {
	defer t.unclaimRange(s)
	for _, prev := range r.Prev {
		if !t.awaitFree(service, r, prev, s) {
			return
		}
	}
	for !t.grant(service, r, s) {
		if !t.isCurrent(service, r) || !sleep(t.ctx, moveRetryInterval) {
			return
		}
	}
	t.node.log.Emit(evGranted, "service", service, "from", r.From, "to", r.To, "target", r.Owner.Target, "fence", r.Fence, "handover", s.handover != "")
	t.settleMove(service, r, s)
}

// awaitFree waits until a previous owner no longer holds the range. It reports
// false when the move is no longer wanted.
func (t *term) awaitFree(service string, r keyrange.Range, prev keyrange.Previous, s *rangeState) bool {
	transfer := grants.NewTransfer(service, r, prev)
	for t.isCurrent(service, r) {
		pause := inFlightCheckInterval
		switch d := t.nextStep(transfer); d.Step {
		case grants.StepWait:
			if d.IsSettled {
				pause = moveRetryInterval
			}
		case grants.StepFree:
			t.logFreed(service, r, prev, d)
			return true
		case grants.StepRelease:
			if t.releaseRange(service, r, prev, s, transfer) {
				continue
			}
			pause = moveRetryInterval
		}
		if !sleep(t.ctx, pause) {
			return false
		}
	}
	return false
}

// nextStep decides what to do about a previous owner now.
func (t *term) nextStep(transfer *grants.Transfer) grants.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Next(leaseClock(), transfer)
}

// releaseRange asks a previous owner to release a range and reports whether it did.
func (t *term) releaseRange(service string, r keyrange.Range, prev keyrange.Previous, s *rangeState, transfer *grants.Transfer) bool {
	sentAt := leaseClock()
	handover, err := t.release(r, prev)
	if err != nil {
		t.recordOrderFailure(prev.Owner, sentAt, err)
		return false
	}
	transfer.RecordRelease(leaseClock())
	t.mu.Lock()
	s.handover = handover
	t.mu.Unlock()
	t.node.log.Emit(evReleased, "service", service, "from", r.From, "to", r.To, "target", prev.Target, "fence", prev.Fence)
	return true
}

// logFreed logs on what ground a previous owner is taken to hold a range no more. Times
// are relative to now; a negative age lies ahead.
func (t *term) logFreed(service string, r keyrange.Range, prev keyrange.Previous, d grants.Decision) {
	now := leaseClock()
	entryRun, entryAge := t.entryRun(prev.Target)
	fields := []any{
		"service", service, "from", r.From, "to", r.To, "target", prev.Target, "run", prev.Run, "address", prev.Addr, "fence", prev.Fence,
		"next_target", r.Owner.Target, "next_fence", r.Fence, "ground", string(d.Ground), "entry_run", entryRun, "listing_age_ms", ms(entryAge),
		"grants_ended_ms_ago", ms(now - d.Until), "unanswered_ended_ms_ago", ms(now - d.UnansweredUntil),
	}
	if d.ReleasedAt > 0 {
		fields = append(fields, "released_ms_ago", ms(now-d.ReleasedAt))
	}
	if d.AbsentAt > 0 {
		fields = append(fields, "replaced_ms_ago", ms(now-d.AbsentAt))
	}
	t.node.log.Emit(evFreed, fields...)
}

func (t *term) release(r keyrange.Range, prev keyrange.Previous) (string, error) {
	ctx, cancel := context.WithTimeout(t.ctx, releaseTimeout)
	defer cancel()
	t.mu.Lock()
	closed := t.closed
	t.mu.Unlock()
	if closed || !t.candidate.holdsLease() {
		return "", errors.New("the lease has ended")
	}
	return t.orders.Release(ctx, platform.Order{Target: prev.Target, Addr: prev.Addr, From: r.From, To: r.To, Fence: prev.Fence})
}

// isCurrent reports whether the map still has the range with this fence.
func (t *term) isCurrent(service string, r keyrange.Range) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isCurrentLocked(service, r)
}

// isCurrentLocked is isCurrent with mu held.
func (t *term) isCurrentLocked(service string, r keyrange.Range) bool {
	owned := t.maps[service]
	if owned == nil || owned.keys == nil {
		return false
	}
	i := owned.keys.IndexOf(r.From)
	return i >= 0 && owned.keys.Ranges[i].Fence == r.Fence && owned.keys.Ranges[i].To == r.To
}

// settleMove marks a move as complete and tells the hosts. It does not wait for
// the store, which may be unavailable or slow: the next write of the map records
// it.
func (t *term) settleMove(service string, r keyrange.Range, s *rangeState) {
	t.mu.Lock()
	s.settled = leaseClock()
	if owned := t.maps[service]; owned != nil && owned.keys != nil {
		t.maps[service] = owned.settle([]keyrange.ID{r.ID()})
	}
	t.mu.Unlock()
	t.node.settleMoves(service, []keyrange.ID{r.ID()})
}
