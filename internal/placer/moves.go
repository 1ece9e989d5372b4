package placer

import (
	"context"
	"slices"
	"time"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/template"
)

const (
	// releaseGrace is how long the old owner of a planned move may take to release a shard
	// after the longest deadline of its requests.
	releaseGrace = time.Second
	// defaultDeadline applies to routes without a deadline.
	defaultDeadline = 10 * time.Second
	// claimMargin is how much later than a move a gateway's first claim must be to count
	// as later, since the two times come from different clocks.
	claimMargin = 100 * time.Millisecond
)

// releaseTimeout returns how long the old owner of a planned move may take to release a
// shard. No request that began before the move is still running by then.
func releaseTimeout(t template.Template) time.Duration {
	var longest time.Duration
	for _, route := range t.Routes {
		deadline := time.Duration(route.DeadlineMS) * time.Millisecond
		if deadline == 0 {
			deadline = defaultDeadline
		}
		longest = max(longest, deadline)
	}
	return longest + releaseGrace
}

// completeMoves completes in the page the moves whose shards the cell's gateways already
// serve.
func (p *Placer) completeMoves(ctx context.Context, page ownership.Page) error {
	served := p.servedMoves(page)
	if len(served) == 0 {
		return nil
	}
	return update(ctx, p, pageName(page.Service), isOwnPageWrite, func(page ownership.Page, s ownership.Stamp) (ownership.Page, error) {
		changed := false
		for ref, epoch := range served {
			next, err := ownership.CompleteMove(page, ref.Shard, epoch, p.newChange("served", s))
			if err != nil {
				continue // the page has changed since
			}
			changed = true
			page = next
			p.log.Emit(evMoveCompleted, "service", ref.Service, "shard", ref.Shard, "epoch", uint64(epoch))
		}
		if !changed {
			return page, errNoChange
		}
		return page, nil
	})
}

// servedMoves returns the shards of a page that are served at an epoch for which the
// page still shows an open move or a future owner.
func (p *Placer) servedMoves(page ownership.Page) map[ownership.ShardRef]ownership.Epoch {
	served := make(map[ownership.ShardRef]ownership.Epoch)
	for _, h := range p.voting.holders() {
		for _, status := range h.Serving {
			if status.Shard.Service != page.Service {
				continue
			}
			if shard, ok := page.Shard(status.Shard.Shard); ok && isCompletedBy(shard, status.Epoch) {
				served[status.Shard] = max(served[status.Shard], status.Epoch)
			}
		}
	}
	return served
}

// isCompletedBy reports whether serving an epoch completes the shard's move to its
// present or next owner.
func isCompletedBy(shard ownership.Shard, epoch ownership.Epoch) bool {
	if shard.Next != nil && shard.Next.Epoch == epoch {
		return true
	}
	return shard.Epoch == epoch && shard.Move != nil
}

// forceMoves turns planned moves into moves from a lost owner where the old owner can no
// longer release the shard.
func (p *Placer) forceMoves(ctx context.Context, t template.Template, page ownership.Page) error {
	if len(p.stuckMoves(page, releaseTimeout(t))) == 0 {
		return nil
	}
	return update(ctx, p, pageName(page.Service), isOwnPageWrite, func(page ownership.Page, s ownership.Stamp) (ownership.Page, error) {
		stuck := p.stuckMoves(page, releaseTimeout(t))
		if len(stuck) == 0 {
			return page, errNoChange
		}
		for _, n := range stuck {
			shard, _ := page.Shard(n)
			next, err := ownership.ForceMove(page, n, shard.Epoch, p.newChange("not released", s))
			if err != nil {
				return page, err
			}
			page = next
			p.log.Emit(evMoveForced, "service", page.Service, "shard", n, "from", shard.Move.From.Target)
		}
		return page, nil
	})
}

// stuckMoves returns the shards whose planned move cannot end by a release: the old
// owner's gateway is silent, so that its successor could not release the shards either;
// the gateway reports that it cannot release them; the old owner is lost; its gateway has
// been replaced; or the move has taken longer than limit.
func (p *Placer) stuckMoves(page ownership.Page, limit time.Duration) []uint32 {
	unreleased := highestEpochs(page.Service, p.voting.recentHolders(), func(h lease.HolderStatus) []lease.ShardEpoch { return h.Unreleased })
	silent := p.voting.silentTargets()
	var stuck []uint32
	for n := range uint32(len(page.Shards) + len(page.Pins)) {
		shard, _ := page.Shard(n)
		m := shard.Move
		if m == nil || m.Kind != ownership.MovePlanned || !p.involvesCell(shard) {
			continue
		}
		age := time.Since(time.UnixMilli(shard.SinceMS))
		from := m.From.Target
		abandoned := silent[from] || p.liveness.isLost(from, p.now()) || p.liveness.claimedWithin(from, p.now(), age-claimMargin)
		if isUnreleasable(page, n, unreleased) || abandoned || age > limit {
			stuck = append(stuck, n)
		}
	}
	return stuck
}

// isUnreleasable reports whether the gateway has reported that it cannot release the
// epoch that a planned move waits for, or the epoch of a further shard that the move
// waits for.
func isUnreleasable(page ownership.Page, n uint32, unreleased map[uint32]ownership.Epoch) bool {
	isReported := func(n uint32) bool {
		shard, _ := page.Shard(n)
		return shard.Move != nil && unreleased[n] == shard.Move.From.Epoch
	}
	shard, _ := page.Shard(n)
	return isReported(n) || slices.ContainsFunc(shard.Move.AlsoStop, func(also ownership.ShardStop) bool { return isReported(also.Shard) })
}

// involvesCell reports whether a move leads into this cell or out of it.
func (p *Placer) involvesCell(shard ownership.Shard) bool {
	return shard.Cell == p.cfg.Cell || shard.Move != nil && shard.Move.From.Cell == p.cfg.Cell
}

// highestEpochs returns the highest epoch that holders report for each shard of a
// service. reported selects the list of a holder's status to use.
func highestEpochs(service string, holders []lease.HolderStatus, reported func(lease.HolderStatus) []lease.ShardEpoch) map[uint32]ownership.Epoch {
	epochs := make(map[uint32]ownership.Epoch)
	for _, h := range holders {
		for _, s := range reported(h) {
			if s.Shard.Service == service {
				epochs[s.Shard.Shard] = max(epochs[s.Shard.Shard], s.Epoch)
			}
		}
	}
	return epochs
}

// renewStoppedEpochs moves the shards whose epoch was stopped without a successor to
// their present owner at a higher epoch.
func (p *Placer) renewStoppedEpochs(ctx context.Context, page ownership.Page) error {
	stopped := p.overdueStops(page)
	if len(stopped) == 0 {
		return nil
	}
	return update(ctx, p, pageName(page.Service), isOwnPageWrite, func(page ownership.Page, s ownership.Stamp) (ownership.Page, error) {
		changed := false
		for n, epoch := range stopped {
			shard, ok := page.Shard(n)
			if !ok || shard.Epoch != epoch || shard.Cell != p.cfg.Cell {
				continue
			}
			next, err := ownership.BeginMove(page, n, shard.Place(), ownership.MoveLost, nextPlace(shard), p.newChange("epoch was stopped", s))
			if err != nil {
				return page, err
			}
			changed = true
			page = next
			p.log.Emit(evEpochRenewed, "service", page.Service, "shard", n, "epoch", uint64(epoch))
		}
		if !changed {
			return page, errNoChange
		}
		return page, nil
	})
}

// overdueStops returns the shards that holders have reported as stopped for at least
// stoppedEpochTimeout. A move in progress is reported as stopped for a moment.
func (p *Placer) overdueStops(page ownership.Page) map[uint32]ownership.Epoch {
	stopped := highestEpochs(page.Service, p.voting.recentHolders(), func(h lease.HolderStatus) []lease.ShardEpoch { return h.Stopped })
	return p.liveness.lastingStops(page.Service, stopped, p.now())
}
