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
	// releaseSlack is how long after the longest deadline of its requests the
	// old owner of a planned move may take to release a shard.
	releaseSlack = time.Second
	// defaultDeadline is that of routes which name none.
	defaultDeadline = 10 * time.Second
	// claimMargin is how much later than a move a gateway's first claim must be
	// to count as later: the two are read from different clocks.
	claimMargin = 100 * time.Millisecond
)

// releaseLimit is how long the old owner of a planned move may take to release
// a shard: nothing that began before the move runs any more by then.
func releaseLimit(t template.Template) time.Duration {
	var longest time.Duration
	for _, route := range t.Routes {
		deadline := time.Duration(route.DeadlineMS) * time.Millisecond
		if deadline == 0 {
			deadline = defaultDeadline
		}
		longest = max(longest, deadline)
	}
	return longest + releaseSlack
}

// completeMoves writes into the page what the cell's gateways already serve.
func (p *Placer) completeMoves(ctx context.Context, page ownership.Page) error {
	done := p.finished(page)
	if len(done) == 0 {
		return nil
	}
	return update(ctx, p, pageName(page.Service), wrotePage, func(page ownership.Page, s ownership.Stamp) (ownership.Page, error) {
		changed := false
		for ref, epoch := range done {
			next, err := ownership.CompleteMove(page, ref.Shard, epoch, p.change("served", s))
			if err != nil {
				continue // the page has gone on
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

// finished returns the shards of a page that are served although the page
// still shows a move, or another owner.
func (p *Placer) finished(page ownership.Page) map[ownership.ShardRef]ownership.Epoch {
	done := make(map[ownership.ShardRef]ownership.Epoch)
	for _, h := range p.voting.holders() {
		for _, served := range h.Serving {
			if served.Shard.Service != page.Service {
				continue
			}
			if shard, ok := page.Shard(served.Shard.Shard); ok && awaits(shard, served.Epoch) {
				done[served.Shard] = max(done[served.Shard], served.Epoch)
			}
		}
	}
	return done
}

// awaits reports whether the page is to be changed because an epoch is served.
func awaits(shard ownership.Shard, epoch ownership.Epoch) bool {
	if shard.Next != nil && shard.Next.Epoch == epoch {
		return true
	}
	return shard.Epoch == epoch && shard.Move != nil
}

// forceMoves turns planned moves into lost ones where the old owner cannot
// release the shard any more.
func (p *Placer) forceMoves(ctx context.Context, t template.Template, page ownership.Page) error {
	if len(p.stuck(page, releaseLimit(t))) == 0 {
		return nil
	}
	return update(ctx, p, pageName(page.Service), wrotePage, func(page ownership.Page, s ownership.Stamp) (ownership.Page, error) {
		stuck := p.stuck(page, releaseLimit(t))
		if len(stuck) == 0 {
			return page, errNoChange
		}
		for _, n := range stuck {
			shard, _ := page.Shard(n)
			next, err := ownership.ForceMove(page, n, shard.Epoch, p.change("not released", s))
			if err != nil {
				return page, err
			}
			page = next
			p.log.Emit(evMoveForced, "service", page.Service, "shard", n, "from", shard.Move.From.Target)
		}
		return page, nil
	})
}

// stuck returns the shards whose planned move does not end: the old owner's
// gateway is silent, so that its successor could not release them either, or says
// that it cannot release them, the old owner is lost, or it has
// taken longer than any request may.
func (p *Placer) stuck(page ownership.Page, limit time.Duration) []uint32 {
	cannot := shardsOf(page.Service, p.voting.recent(), func(h lease.HolderStatus) []lease.ShardEpoch { return h.Unreleased })
	silent := p.voting.silentTargets()
	var list []uint32
	for n := range uint32(len(page.Shards) + len(page.Pins)) {
		shard, _ := page.Shard(n)
		m := shard.Move
		if m == nil || m.Kind != ownership.MovePlanned || !p.concerns(shard) {
			continue
		}
		age := time.Since(time.UnixMilli(shard.SinceMS))
		from := m.From.Target
		abandoned := silent[from] || p.sight.lost(from, p.now()) || p.sight.claimedWithin(from, p.now(), age-claimMargin)
		if unreleasable(page, n, cannot) || abandoned || age > limit {
			list = append(list, n)
		}
	}
	return list
}

// unreleasable reports whether the epoch that a planned move waits for cannot be
// released by the word of its gateway, or that of a further shard which it waits for.
func unreleasable(page ownership.Page, n uint32, cannot map[uint32]ownership.Epoch) bool {
	said := func(n uint32) bool {
		shard, _ := page.Shard(n)
		return shard.Move != nil && cannot[n] == shard.Move.From.Epoch
	}
	shard, _ := page.Shard(n)
	return said(n) || slices.ContainsFunc(shard.Move.AlsoStop, func(also ownership.ShardStop) bool { return said(also.Shard) })
}

// concerns reports whether a move leads into this cell or out of it.
func (p *Placer) concerns(shard ownership.Shard) bool {
	return shard.Cell == p.cfg.Cell || shard.Move != nil && shard.Move.From.Cell == p.cfg.Cell
}

// shardsOf collects what holders say of a service's shards: the highest epoch
// by shard number.
func shardsOf(service string, holders []lease.HolderStatus, said func(lease.HolderStatus) []lease.ShardEpoch) map[uint32]ownership.Epoch {
	epochs := make(map[uint32]ownership.Epoch)
	for _, h := range holders {
		for _, s := range said(h) {
			if s.Shard.Service == service {
				epochs[s.Shard.Shard] = max(epochs[s.Shard.Shard], s.Epoch)
			}
		}
	}
	return epochs
}

// renewStopped moves the shards whose epoch was stopped without a successor to
// their present owner, at a higher epoch.
func (p *Placer) renewStopped(ctx context.Context, page ownership.Page) error {
	stopped := p.overdue(page)
	if len(stopped) == 0 {
		return nil
	}
	return update(ctx, p, pageName(page.Service), wrotePage, func(page ownership.Page, s ownership.Stamp) (ownership.Page, error) {
		changed := false
		for n, epoch := range stopped {
			shard, ok := page.Shard(n)
			if !ok || shard.Epoch != epoch || shard.Cell != p.cfg.Cell {
				continue
			}
			next, err := ownership.BeginMove(page, n, shard.Place(), ownership.MoveLost, nextOf(shard), p.change("epoch was stopped", s))
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

// overdue returns the shards that holders have reported as stopped for a
// while: a move under way looks so for a moment.
func (p *Placer) overdue(page ownership.Page) map[uint32]ownership.Epoch {
	stopped := shardsOf(page.Service, p.voting.recent(), func(h lease.HolderStatus) []lease.ShardEpoch { return h.Stopped })
	return p.sight.lasting(page.Service, stopped, p.now())
}
