package lease

import (
	"slices"
	"time"

	"github.com/mangopost/mangopost/ownership"
)

// Leaving is a shard that the holder's target must give up in a planned move.
type Leaving struct {
	Shard  ShardEpoch
	Target string
	Failed bool // only a forced move can end it
}

// Leaving returns the shards that the holder served and must give up. Start no new work
// of them, and call Release once none of their work is running.
func (h *Holder) Leaving() []Leaving {
	var list []Leaving
	for ref, s := range h.shards {
		if l := s.leaving; l != nil && l.chain > 0 && l.mark == nil {
			list = append(list, Leaving{Shard: ShardEpoch{Shard: ref, Epoch: l.epoch}, Target: l.target, Failed: l.failed})
		}
	}
	sortLeaving(list)
	return list
}

// Finishing returns the elements of Leaving to which the holder's right is unbroken. A
// target that checks grants must be granted them until none of their work runs any
// more, because it stops running work of a shard that it is not granted.
func (h *Holder) Finishing(now time.Duration) []Leaving {
	finishing := func(l Leaving) bool { return h.canFinish(now, l.Shard.Shard, h.shards[l.Shard.Shard]) }
	return slices.DeleteFunc(h.Leaving(), func(l Leaving) bool { return !finishing(l) })
}

// canFinish reports whether running work of a leaving shard may continue.
func (h *Holder) canFinish(now time.Duration, ref ownership.ShardRef, s *shard) bool {
	l := s.leaving
	if l.failed || l.stop != nil || h.stops.shard(ref) >= l.epoch {
		return false
	}
	if s.needsStore && !h.holdsStoreLease(now) {
		return false
	}
	_, _, ok := h.Right(now, l.target)
	return ok && h.targets[l.target].chain == l.chain
}

// unreleased returns the shards that the holder's targets must give up and that the
// holder cannot release. It covers only targets that the holder is the gateway of:
// another gateway may still release the shard.
func (h *Holder) unreleased(now time.Duration) []ShardEpoch {
	var list []ShardEpoch
	for _, ref := range h.shardRefs {
		l := h.shards[ref].leaving
		if l == nil || l.mark != nil || l.chain > 0 && !l.failed {
			continue
		}
		if _, _, ok := h.Right(now, l.target); ok {
			list = append(list, ShardEpoch{Shard: ref, Epoch: l.epoch})
		}
	}
	return list
}

// Release declares that no work of a shard in a planned move runs any more at the
// holder's target. The holder asks the voters to stop the shard's old epochs and, if a
// majority promises that before the holder's right ends, marks them as released, so
// that the next owner need not wait. Without an unbroken right it returns ErrNotServed,
// and only a forced move can end the assignment. A request whose answer never arrived
// may still run and counts as running. A target that checks grants must first have
// acknowledged a grant without the shard (Grants.Dropped).
//
// to is the line of rights to the next owner's target whose holder confirmed that it
// received the shard's dedup state, 0 if none did. No work of the shard may run here
// after that confirmation.
func (h *Holder) Release(now time.Duration, ref ownership.ShardRef, epoch ownership.Epoch, to GatewayEpoch) error {
	s, ok := h.shards[ref]
	if !ok || s.leaving == nil || s.leaving.epoch != epoch {
		return ErrNotServed
	}
	l := s.leaving
	if l.stop != nil && !l.failed {
		return nil
	}
	_, until, ok := h.Right(now, l.target)
	if !ok || l.chain == 0 || h.targets[l.target].chain != l.chain || h.stops.shard(ref) >= epoch {
		l.failed = true
		h.recordChange()
		return ErrNotServed
	}
	l.until = until
	l.transferredTo = to
	stops := Stops{Shards: []ShardStop{{Shard: ref, Epoch: l.upTo}}}
	l.stop = h.startStop(now, false, map[string]Stops{l.cell: stops})
	return nil
}

// advanceRelease marks the shard as released if the right that the holder had when it
// asked is still valid: then no other holder can have started work of the shard.
func (h *Holder) advanceRelease(now time.Duration, ref ownership.ShardRef, l *release) {
	if l == nil || l.stop == nil || !l.stop.done || l.mark != nil || l.failed {
		return
	}
	h.recordChange()
	if l.stop.doneAt >= l.until {
		l.failed = true
		return
	}
	stops := Stops{Shards: []ShardStop{{Shard: ref, Epoch: l.upTo, Released: true, Under: l.chain, To: l.transferredTo}}}
	l.mark = h.startStop(now, false, map[string]Stops{l.cell: stops})
}
