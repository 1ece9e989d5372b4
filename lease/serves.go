package lease

import (
	"time"

	"github.com/mangopost/mangopost/ownership"
)

// isActive reports whether an activation permits starting work now.
func (h *Holder) isActive(now time.Duration, ref ownership.ShardRef, a *activation) bool {
	if a == nil || !a.waitStarted || now < a.waitUntil || a.epoch <= h.stops.shard(ref) {
		return false
	}
	if s := h.shards[ref]; s != nil && s.needsStore && !h.holdsStoreLease(now) {
		return false
	}
	_, until, ok := h.Right(now, a.target)
	return ok && until-h.cfg.Timing.Lease >= a.waitUntil
}

// Serves returns the target of this holder that may start work of a shard at now, and
// its owner epoch. ok is false if there is none.
func (h *Holder) Serves(now time.Duration, ref ownership.ShardRef) (target string, owner ownership.Epoch, ok bool) {
	s, known := h.shards[ref]
	if !known {
		return "", 0, false
	}
	for _, a := range []*activation{s.next, s.owner} {
		if h.isActive(now, ref, a) {
			return a.target, a.epoch, true
		}
	}
	return "", 0, false
}

// Line is a shard that a holder serves together with the line of rights under which it
// does: an unbroken sequence of rights, identified by its first gateway epoch. No other
// holder has served the shard since the line began.
type Line struct {
	ShardEpoch
	Target string
	Chain  GatewayEpoch // first gateway epoch of the line
	// Follows is the Chain of the line that this one follows directly: no other gateway
	// was active for the target between the two. It is 0 if that is unknown.
	Follows GatewayEpoch
	// Moved is the Chain of the line at the preceding owner's target that this one
	// follows directly in a planned move: nobody else served the shard between the two,
	// and the holder received the shard's dedup state. It is 0 if that is unknown.
	Moved GatewayEpoch
}

// Line returns the line under which the holder serves a shard now.
func (h *Holder) Line(now time.Duration, ref ownership.ShardRef) (Line, bool) {
	target, epoch, ok := h.Serves(now, ref)
	if !ok {
		return Line{}, false
	}
	chain, ok := h.Chain(now, target)
	line := Line{ShardEpoch: ShardEpoch{Shard: ref, Epoch: epoch}, Target: target, Chain: chain}
	if ok {
		line.Follows = h.targets[target].follows
		line.Moved = h.movedFromLine(ref, line)
	}
	return line, ok
}

// movedFromLine returns the line before a planned move that l follows directly, 0 if
// unknown.
//
// Invariant: the release mark was made after the line that it names as To had begun at
// the next owner's target, and the next owner's epoch becomes active only after the
// mark. So nobody else was active for that target, or served the shard, since the mark.
func (h *Holder) movedFromLine(ref ownership.ShardRef, l Line) GatewayEpoch {
	a := h.shards[ref].owner
	if a.epoch != l.Epoch || a.releasedTo == 0 || a.releasedTo != l.Chain && !h.faults.acceptAnyMoveMark {
		return 0
	}
	return a.releasedUnder
}

// Lines returns all shards that the holder serves now, in the order of their
// references.
func (h *Holder) Lines(now time.Duration) []Line {
	var list []Line
	for _, ref := range h.shardRefs {
		if line, ok := h.Line(now, ref); ok {
			list = append(list, line)
		}
	}
	return list
}

// serving returns the shards that are served although their page does not show it yet.
func (h *Holder) serving(now time.Duration) []ShardEpoch {
	var list []ShardEpoch
	for _, ref := range h.shardRefs {
		s := h.shards[ref]
		if s.page.Move == nil && s.next == nil {
			continue
		}
		_, epoch, ok := h.Serves(now, ref)
		if ok && (s.page.Move != nil || epoch != s.page.Epoch) {
			list = append(list, ShardEpoch{Shard: ref, Epoch: epoch})
		}
	}
	return list
}

// stopped returns the shards of the holder's targets that it does not serve because
// their owner's epoch was stopped. The voter that reported the stop may be gone, in
// which case only this holder knows of it.
func (h *Holder) stopped(now time.Duration) []ShardEpoch {
	var list []ShardEpoch
	for _, ref := range h.shardRefs {
		s := h.shards[ref]
		if s.page.Epoch > h.stops.shard(ref) || h.isActive(now, ref, s.next) {
			continue
		}
		if _, _, ok := h.Right(now, s.page.Target); ok {
			list = append(list, ShardEpoch{Shard: ref, Epoch: s.page.Epoch})
		}
	}
	return list
}
