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

// takerTurn is how much longer each further cell waits before it takes a store
// lease, so that the first one that hears the store does.
const takerTurn = 6 * time.Second

// leaseSight remembers since when each cell's store lease has stood at its
// version, seen by a process that heard the store the whole time. It takes no
// clock itself.
type leaseSight struct {
	cells map[string]seenLease
}

type seenLease struct {
	version uint64
	value   storeLease
	since   time.Duration
}

// forget drops everything, as the store was not heard the whole time.
func (s *leaseSight) forget() { s.cells = nil }

// note takes the version of a lease that is known now.
func (s *leaseSight) note(now time.Duration, version uint64, value storeLease) {
	if s.cells == nil {
		s.cells = make(map[string]seenLease)
	}
	if old, ok := s.cells[value.Cell]; ok && old.version == version {
		return
	}
	s.cells[value.Cell] = seenLease{version: version, value: value, since: now}
}

// mayTake reports whether a cell may write itself into another one's lease: it
// did already, or the lease has stood still for a whole lease and the turns of the
// cells that come before.
func (s *leaseSight) mayTake(now time.Duration, self, cell string, wait time.Duration) bool {
	seen, ok := s.cells[cell]
	if !ok || cell == self {
		return false
	}
	return seen.value.TakenBy == self || now-seen.since >= wait+s.turn(now, self, cell)
}

// turn returns how long a cell lets others go first: those before it in the
// order of names that renew their own lease.
func (s *leaseSight) turn(now time.Duration, self, cell string) time.Duration {
	var turn time.Duration
	for name, seen := range s.cells {
		fresh := seen.value.TakenBy == "" && now-seen.since < lease.StoreLease
		if name < self && name != cell && fresh {
			turn += takerTurn
		}
	}
	return turn
}

// takeRound takes over from the cells whose store lease has stood still.
func (p *Placer) takeRound(ctx context.Context, services []template.Template) {
	if !p.watch.hearsDirectly() || !p.ownLease.held {
		p.leaseSight.forget()
		return
	}
	now := p.now()
	p.noteLeases(now)
	for cell := range p.leaseSight.cells {
		if !p.leaseSight.mayTake(now, p.cfg.Cell, cell, p.cfg.Timing.StoreWait()) {
			continue
		}
		if err := p.takeServices(ctx, cell, services); err != nil {
			p.report("take over", err)
			return // the own lease comes first
		}
	}
}

func (p *Placer) takeServices(ctx context.Context, cell string, services []template.Template) error {
	for _, t := range services {
		if err := p.takeShards(ctx, cell, t); err != nil {
			return err
		}
	}
	return nil
}

func (p *Placer) noteLeases(now time.Duration) {
	view := p.cache.View()
	for cell := range view.Records {
		o, ok := view.Other[leaseName(cell)]
		if !ok {
			continue
		}
		var value storeLease
		if json.Unmarshal(o.Value, &value) == nil && value.Cell == cell {
			p.leaseSight.note(now, o.Version, value)
		}
	}
}

// takeShards moves a service's shards of a cell that is cut off to targets of
// this one. The lease is written between the reading and the writing of the page:
// were the cell back, either would be refused.
func (p *Placer) takeShards(ctx context.Context, cell string, t template.Template) error {
	targets := p.ownTargets(t)
	if len(targets) == 0 || len(takenFrom(p.cache.View().Pages[t.Service].Value, cell)) == 0 {
		return nil
	}
	var taken []uint32
	err := update(ctx, p, pageName(t.Service), wrotePage, func(page ownership.Page, s ownership.Stamp) (ownership.Page, error) {
		taken = takenFrom(page, cell)
		if len(taken) == 0 {
			return page, errNoChange
		}
		if err := p.take(ctx, cell); err != nil {
			return page, err
		}
		return p.moveTaken(page, taken, targets, s)
	})
	if err != nil {
		return err
	}
	for _, n := range taken {
		p.log.Emit(evShardTaken, "service", t.Service, "shard", n, "from", cell)
	}
	return nil
}

// takenFrom returns the shards of a page that a cell owns.
func takenFrom(page ownership.Page, cell string) []uint32 {
	var list []uint32
	for n := range uint32(len(page.Shards) + len(page.Pins)) {
		if s, _ := page.Shard(n); s.Cell == cell && s.Target != "" {
			list = append(list, n)
		}
	}
	return list
}

func (p *Placer) moveTaken(page ownership.Page, taken []uint32, targets []string, s ownership.Stamp) (ownership.Page, error) {
	for i, n := range taken {
		to := ownership.Place{Cell: p.cfg.Cell, Target: targets[i%len(targets)]}
		next, err := ownership.BeginFencedMove(page, n, to, p.change("data centre cut off", s))
		if err != nil {
			return page, err
		}
		page = next
	}
	return page, nil
}

// ownTargets returns the names of a service's live targets in this cell.
func (p *Placer) ownTargets(t template.Template) []string {
	var names []string
	for _, target := range p.planTargets(t) {
		if target.Cell == p.cfg.Cell && target.State == placement.Live {
			names = append(names, target.Name)
		}
	}
	slices.Sort(names)
	return names
}

// take writes this cell into another one's store lease, on the version that was
// seen to stand still or that it wrote itself. Only then does the other cell have
// no rights left.
func (p *Placer) take(ctx context.Context, cell string) error {
	seen, ok := p.leaseSight.cells[cell]
	if !ok {
		return errors.Wrapf(platform.ErrConflict, "the store lease of %s changed", cell)
	}
	next := seen.value
	next.Number++
	next.TakenBy = p.cfg.Cell
	next.Stamp = p.stamp()
	version, err := p.putLease(ctx, seen.version, next)
	if err != nil {
		delete(p.leaseSight.cells, cell)
		return errors.Wrapf(err, "take the store lease of %s", cell)
	}
	if seen.value.TakenBy != p.cfg.Cell {
		p.log.Emit(evCellTaken, "cell", cell, "number", next.Number)
	}
	p.leaseSight.cells[cell] = seenLease{version: version, value: next, since: p.now()}
	return nil
}
