package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/ownership"
)

// ErrNotServed is returned when the holder cannot release a shard or a target because
// its right to it was interrupted or has ended.
var ErrNotServed = errors.New("shard is not served here")

// shard is the holder's state for one shard.
type shard struct {
	page    ownership.Shard
	owner   *activation // set if the owner is a target of this holder
	next    *activation // set if the agreed next owner is a target of this holder
	leaving *release    // set if the preceding owner is a target of this holder
	// needsStore reports whether the shard may be served only under the cell's store
	// lease.
	needsStore bool
}

// activation tracks the progress of one assignment until it is served.
type activation struct {
	target               string
	epoch                ownership.Epoch
	since                time.Duration
	begun                bool
	stop                 *stopRound    // nil if nothing needs to be stopped
	waitStarted          bool          // lower epochs end at waitUntil
	waitUntil            time.Duration // only votes requested from this reading on count
	freshVotesRequested  bool
	active               bool          // the assignment was active under chain
	chain                GatewayEpoch  // the target's unbroken line of gateway epochs at activation
	releasedUnder        GatewayEpoch  // line at the preceding owner's target that released the shard to releasedTo
	releasedTo           GatewayEpoch  // line at this target that the shard was released to
	ownerSilent          bool          // for an agreed next owner: the gateway of the owner's target is silent
	ownerSilentSince     time.Duration // when ownerSilent last became true
	previousStoppedSince time.Duration // when the preceding owner's epoch was first seen as stopped, 0 if it is not
	previousGatewayStop  GatewayEpoch  // highest stopped gateway epoch of the preceding owner's target when begun
}

// release is the planned end of an assignment.
type release struct {
	target        string
	epoch         ownership.Epoch
	cell          string
	upTo          ownership.Epoch
	chain         GatewayEpoch // 0 if the holder never served the shard
	transferredTo GatewayEpoch // line at the next owner that received the dedup state, 0 for none
	stop          *stopRound
	mark          *stopRound
	until         time.Duration // end of the right at the time of the stop request
	failed        bool
}

// SetShards updates all shards whose owner, next owner or owner before an unfinished
// move is a target of this holder. A shard with an older epoch than the known one keeps
// its state.
func (h *Holder) SetShards(now time.Duration, claims []ShardClaim) {
	kept := make(map[ownership.ShardRef]*shard, len(claims))
	for _, claim := range claims {
		kept[claim.Ref] = h.claimShard(now, claim)
	}
	for ref, s := range h.shards {
		if kept[ref] == nil {
			h.cancelActivation(s.owner)
			h.cancelActivation(s.next)
		}
	}
	h.shards = kept
	h.shardRefs = slices.SortedFunc(maps.Keys(kept), compareRefs)
	h.indexTargets()
	h.recordChange()
}

func (h *Holder) claimShard(now time.Duration, claim ShardClaim) *shard {
	old := h.shards[claim.Ref]
	if old == nil {
		old = &shard{}
	}
	if claim.Shard.Epoch < old.page.Epoch {
		return old
	}
	s := &shard{page: claim.Shard, needsStore: claim.NeedsStore}
	s.owner = reuseActivation(now, old, claim.Shard.Assignment)
	if claim.Shard.Next != nil {
		s.next = reuseActivation(now, old, *claim.Shard.Next)
	}
	s.leaving = h.reuseRelease(old, claim.Shard)
	if claim.Shard.Move == nil {
		s.owner.markMoveComplete()
	}
	h.restartForcedMove(old, s)
	for _, a := range []*activation{old.owner, old.next} {
		if a != s.owner && a != s.next {
			h.cancelActivation(a)
		}
	}
	return s
}

// reuseActivation returns the existing activation of a continuing assignment, or a new
// one.
func reuseActivation(now time.Duration, old *shard, assignment ownership.Assignment) *activation {
	for _, a := range []*activation{old.owner, old.next} {
		if a != nil && a.target == assignment.Target && a.epoch == assignment.Epoch {
			return a
		}
	}
	return &activation{target: assignment.Target, epoch: assignment.Epoch, since: now}
}

// markMoveComplete records that the activation needs no stop: the page shows that its
// move is complete.
func (a *activation) markMoveComplete() {
	if a.waitStarted {
		return
	}
	a.begun = true
	a.waitStarted = true
}

// restartForcedMove restarts the activation of a planned move that was changed into a
// forced one.
func (h *Holder) restartForcedMove(old, s *shard) {
	a := s.owner
	if a.stop == nil || a.waitStarted || s.page.Move == nil || !a.stop.ifReleased {
		return
	}
	if s.page.Move.Kind == ownership.MoveLost {
		h.cancelStop(a.stop)
		a.stop = nil
		a.begun = false
	}
}

func (h *Holder) cancelActivation(a *activation) {
	if a != nil && a.stop != nil {
		h.cancelStop(a.stop)
	}
}

func (h *Holder) reuseRelease(old *shard, page ownership.Shard) *release {
	m := page.Move
	if m == nil || m.Kind != ownership.MovePlanned || m.Stop < m.From.Epoch {
		return nil // a new pin has no preceding epoch; its key's old shard is released instead
	}
	if l := old.leaving; l != nil && l.epoch == m.From.Epoch && l.upTo == m.Stop {
		return l
	}
	if _, isOwn := h.targets[m.From.Target]; !isOwn {
		return nil
	}
	l := &release{target: m.From.Target, epoch: m.From.Epoch, cell: m.From.Cell, upTo: m.Stop}
	if a := old.owner; a != nil && a.epoch == l.epoch && a.target == l.target {
		l.chain = a.chain
	}
	return l
}
