package lease

import (
	"time"

	"github.com/mangopost/mangopost/ownership"
)

// advanceShards advances every shard. It returns early when no shard was in progress
// and nothing that the decisions depend on has changed since the last call.
func (h *Holder) advanceShards(now time.Duration) {
	if !h.shardsInProgress && !h.storeDown && h.advancedAtChange == h.Changes() {
		return
	}
	h.shardsInProgress = false
	for _, ref := range h.shardRefs {
		s := h.shards[ref]
		h.advanceOwner(now, ref, s)
		h.advanceNext(now, ref, s)
		h.advanceRelease(now, ref, s.leaving)
		h.shardsInProgress = h.shardsInProgress || h.shardInProgress(ref, s)
	}
	h.detectChanges(now) // stops that were started above end lower epochs
	h.advancedAtChange = h.Changes()
}

// shardInProgress reports whether a shard waits for messages or for time to pass.
func (h *Holder) shardInProgress(ref ownership.ShardRef, s *shard) bool {
	l := s.leaving
	if l != nil && l.stop != nil && l.mark == nil && !l.failed {
		return true
	}
	for _, a := range []*activation{s.owner, s.next} {
		if a != nil && a.begun && !a.active && a.epoch > h.stops.shard(ref) && h.IsClaiming(a.target) {
			return true
		}
	}
	return false
}

func (h *Holder) advanceOwner(now time.Duration, ref ownership.ShardRef, s *shard) {
	t, ok := h.targets[s.owner.target]
	if !ok || !t.started() || s.owner.epoch <= h.stops.shard(ref) {
		return
	}
	if !s.owner.begun {
		move := s.page.Move
		s.owner.begin(now, h.startStop(now, move.Kind == ownership.MovePlanned, h.moveStops(ref, *move)))
		s.owner.previousGatewayStop = h.stops.gateway(move.From.Target)
	}
	h.forceUnreleased(now, ref, s)
	h.advanceActivation(now, ref, s.owner)
}

// advanceNext lets the agreed next owner take over while the store is down and the
// owner's target is unreachable. A takeover that was begun is always completed.
func (h *Holder) advanceNext(now time.Duration, ref ownership.ShardRef, s *shard) {
	if s.next == nil || s.next.epoch <= h.stops.shard(ref) {
		return
	}
	if !s.next.begun {
		if !h.storeDown || !h.ownerLost(now, s) {
			return
		}
		s.next.begin(now, h.startStop(now, false, nextStops(ref, s.page)))
	}
	h.advanceActivation(now, ref, s.next)
}

func (a *activation) begin(now time.Duration, stop *stopRound) {
	a.begun = true
	a.since = now
	a.stop = stop
}

func (h *Holder) advanceActivation(now time.Duration, ref ownership.ShardRef, a *activation) {
	if !a.waitStarted && a.stop != nil && a.stop.done {
		a.startWait(h.cfg.Timing, h.faults)
	}
	if a.waitStarted && !a.freshVotesRequested && now >= a.waitUntil {
		a.freshVotesRequested = true
		h.heartbeatDue = true
	}
	if !a.active && h.isActive(now, ref, a) {
		a.active = true
		h.recordChange()
		a.chain = h.targets[a.target].chain
		a.since = now
	}
}

func (a *activation) startWait(timing Timing, faults faults) {
	a.waitStarted = true
	a.waitUntil = a.stop.doneAt + timing.Wait()
	if a.stop.released || faults.skipWait {
		a.waitUntil = a.stop.doneAt
	}
	if a.stop.released {
		a.releasedUnder, a.releasedTo = a.stop.moveMark.Under, a.stop.moveMark.To
	}
	if faults.waitFromStart {
		a.waitUntil = a.since + timing.Wait()
	}
}

// ownerLost reports whether the owner's target has had no working gateway for longer
// than its candidates need to take over, or has a gateway that cannot reach it.
func (h *Holder) ownerLost(now time.Duration, s *shard) bool {
	t, ok := h.targets[s.next.target]
	if !ok || !t.started() {
		return false
	}
	if _, _, right := h.Right(now, s.next.target); !right {
		return false
	}
	silent := h.isVacant(now, s.page.Target, false)
	if silent && !s.next.ownerSilent {
		s.next.ownerSilentSince = now
	}
	s.next.ownerSilent = silent
	if silent {
		return now-s.next.ownerSilentSince >= 2*h.candidateTimeout()
	}
	return h.isVacant(now, s.page.Target, true)
}
