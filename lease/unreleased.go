package lease

import (
	"time"

	"github.com/mangopost/mangopost/ownership"
)

// forceUnreleased turns a planned move into a lost one when nobody can release the
// shard any more. A placer does the same through the page, but cannot while the store
// is down. This is always safe, as the holder then waits like any holder that takes a
// shard from a lost owner.
func (h *Holder) forceUnreleased(now time.Duration, ref ownership.ShardRef, s *shard) {
	a := s.owner
	if s.page.Move == nil || a.waitStarted || a.stop == nil || !a.stop.ifReleased || a.stop.done {
		return
	}
	if !h.unreleasable(now, ref, s) {
		return
	}
	h.cancelStop(a.stop)
	a.stop = h.startStop(now, false, h.moveStops(ref, *s.page.Move))
}

// unreleasable reports whether nobody can release a shard any more. That is so if a
// majority reports the gateway that could release it as silent, if another gateway has
// replaced that gateway, or if an epoch that the move waits for has been stopped for
// longer than a release takes.
func (h *Holder) unreleasable(now time.Duration, ref ownership.ShardRef, s *shard) bool {
	from := s.page.Move.From
	if from.Cell == h.cfg.Cell && h.isVacant(now, from.Target, false) {
		return true
	}
	a := s.owner
	if h.storeDown && from.Cell == h.cfg.Cell && h.wasTakenOver(from.Target, a.previousGatewayStop) {
		return true
	}
	if !h.stoppedUnreleased(ref, s.page.Move) {
		a.previousStoppedSince = 0
		return false
	}
	if a.previousStoppedSince == 0 {
		a.previousStoppedSince = now
	}
	return now-a.previousStoppedSince >= h.cfg.Timing.Suspicion
}

// stoppedUnreleased reports whether an epoch that a move waits for is known to be
// stopped but not released.
func (h *Holder) stoppedUnreleased(ref ownership.ShardRef, m *ownership.Move) bool {
	unreleased := func(ref ownership.ShardRef, epoch ownership.Epoch) bool {
		return epoch > 0 && h.stops.shard(ref) >= epoch && h.stops.released(ref) < epoch
	}
	for _, also := range m.AlsoStop {
		if unreleased(ownership.ShardRef{Service: ref.Service, Shard: also.Shard}, also.Epoch) {
			return true
		}
	}
	return unreleased(ref, m.From.Epoch)
}

// wasTakenOver reports whether gateway epochs of a target above the given one were
// stopped without a release: another gateway has replaced the one that served. That may
// happen before this holder receives a vote reply that reports the old gateway as
// silent.
func (h *Holder) wasTakenOver(target string, above GatewayEpoch) bool {
	stopped := h.stops.gateway(target)
	return stopped > above && h.stops.gatewayReleaseMark(target).Epoch < stopped
}
