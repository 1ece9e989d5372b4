package placer

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/placement"
	"github.com/mangopost/mangopost/template"
)

// takeoverTurnDelay is how much longer each further cell waits before it takes a store
// lease, so that the first cell that reaches the store takes it.
const takeoverTurnDelay = 6 * time.Second

// leaseObserver records since when each cell's store lease has been unchanged, as
// observed by a process that reached the store the whole time. It reads no clock;
// callers pass the time.
type leaseObserver struct {
	cells map[string]observedLease
}

type observedLease struct {
	version uint64
	value   storeLease
	since   time.Duration
}

// reset discards all observations. It is called when the store was not reachable the
// whole time.
func (s *leaseObserver) reset() { s.cells = nil }

// observe records the current version of a lease.
func (s *leaseObserver) observe(now time.Duration, version uint64, value storeLease) {
	if s.cells == nil {
		s.cells = make(map[string]observedLease)
	}
	if old, ok := s.cells[value.Cell]; ok && old.version == version {
		return
	}
	s.cells[value.Cell] = observedLease{version: version, value: value, since: now}
}

// canTake reports whether cell self may write itself into the lease of another cell. It
// may if it already has, or if the lease has been unchanged for wait plus the turns of
// the cells that come before self.
func (s *leaseObserver) canTake(now time.Duration, self, cell string, wait time.Duration) bool {
	seen, ok := s.cells[cell]
	if !ok || cell == self {
		return false
	}
	return seen.value.TakenBy == self || now-seen.since >= wait+s.turnDelay(now, self, cell)
}

// turnDelay returns how long a cell waits for others: takeoverTurnDelay for each cell
// before it in the order of names that renews its own lease.
func (s *leaseObserver) turnDelay(now time.Duration, self, cell string) time.Duration {
	var delay time.Duration
	for name, seen := range s.cells {
		isFresh := seen.value.TakenBy == "" && now-seen.since < lease.StoreLease
		if name < self && name != cell && isFresh {
			delay += takeoverTurnDelay
		}
	}
	return delay
}

// takeOverCells takes over from the cells whose store lease has stayed unchanged for too
// long.
func (p *Placer) takeOverCells(ctx context.Context, services []template.Template) {
	if !p.watch.isStoreReachableDirectly() || !p.ownLease.held {
		p.leaseObserver.reset()
		return
	}
	now := p.now()
	p.observeLeases(now)
	for cell := range p.leaseObserver.cells {
		if !p.leaseObserver.canTake(now, p.cfg.Cell, cell, p.cfg.Timing.StoreWait()) {
			continue
		}
		if err := p.takeOverServices(ctx, cell, services); err != nil {
			p.logUpdateError("take over", err)
			return // renew this cell's own lease before the next attempt
		}
	}
}

func (p *Placer) takeOverServices(ctx context.Context, cell string, services []template.Template) error {
	for _, t := range services {
		if err := p.takeOverShards(ctx, cell, t); err != nil {
			return err
		}
	}
	return nil
}

func (p *Placer) observeLeases(now time.Duration) {
	view := p.cache.View()
	for cell := range view.Records {
		o, ok := view.Other[leaseObjectName(cell)]
		if !ok {
			continue
		}
		var value storeLease
		if json.Unmarshal(o.Value, &value) == nil && value.Cell == cell {
			p.leaseObserver.observe(now, o.Version, value)
		}
	}
}

// takeOverShards moves a service's shards from a cell that is cut off to targets of this
// cell. The lease is written after the page is read and before it is written, so that one
// of the two updates is refused if the other cell has returned.
func (p *Placer) takeOverShards(ctx context.Context, cell string, t template.Template) error {
	targets := p.liveCellTargets(t)
	if len(targets) == 0 || len(shardsOwnedBy(p.cache.View().Pages[t.Service].Value, cell)) == 0 {
		return nil
	}
	var taken []uint32
	err := update(ctx, p, pageName(t.Service), isOwnPageWrite, func(page ownership.Page, s ownership.Stamp) (ownership.Page, error) {
		taken = shardsOwnedBy(page, cell)
		if len(taken) == 0 {
			return page, errNoChange
		}
		if err := p.takeStoreLease(ctx, cell); err != nil {
			return page, err
		}
		return p.moveShardsHere(page, taken, targets, s)
	})
	if err != nil {
		return err
	}
	for _, n := range taken {
		p.log.Emit(evShardTaken, "service", t.Service, "shard", n, "from", cell)
	}
	return nil
}

// shardsOwnedBy returns the shards of a page that a cell owns and that have a target.
func shardsOwnedBy(page ownership.Page, cell string) []uint32 {
	var list []uint32
	for n := range uint32(len(page.Shards) + len(page.Pins)) {
		if s, _ := page.Shard(n); s.Cell == cell && s.Target != "" {
			list = append(list, n)
		}
	}
	return list
}

func (p *Placer) moveShardsHere(page ownership.Page, taken []uint32, targets []string, s ownership.Stamp) (ownership.Page, error) {
	for i, n := range taken {
		to := ownership.Place{Cell: p.cfg.Cell, Target: targets[i%len(targets)]}
		next, err := ownership.BeginFencedMove(page, n, to, p.newChange("data centre cut off", s))
		if err != nil {
			return page, err
		}
		page = next
	}
	return page, nil
}

// liveCellTargets returns the sorted names of a service's live targets in this cell.
func (p *Placer) liveCellTargets(t template.Template) []string {
	var names []string
	for _, target := range p.serviceTargets(t) {
		if target.Cell == p.cfg.Cell && target.State == placement.Live {
			names = append(names, target.Name)
		}
	}
	slices.Sort(names)
	return names
}

// takeStoreLease writes this cell into another cell's store lease, based on the version
// that was observed to be unchanged or that this cell wrote itself. Only once this update
// is accepted does the other cell have no rights left.
func (p *Placer) takeStoreLease(ctx context.Context, cell string) error {
	seen, ok := p.leaseObserver.cells[cell]
	if !ok {
		return errors.Wrapf(platform.ErrConflict, "the store lease of %s changed", cell)
	}
	next := seen.value
	next.Number++
	next.TakenBy = p.cfg.Cell
	next.Stamp = p.newStamp()
	version, err := p.putLease(ctx, seen.version, next)
	if err != nil {
		delete(p.leaseObserver.cells, cell)
		return errors.Wrapf(err, "take the store lease of %s", cell)
	}
	if seen.value.TakenBy != p.cfg.Cell {
		p.log.Emit(evCellTaken, "cell", cell, "number", next.Number)
	}
	p.leaseObserver.cells[cell] = observedLease{version: version, value: next, since: p.now()}
	return nil
}
