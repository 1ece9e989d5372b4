package placer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/state"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/placement"
	"github.com/mangopost/mangopost/template"
)

// hostListCalm is how long the host list's names must have stood before a new
// service's shards are dealt out, so that they are not all moved at once again.
const hostListCalm = 2 * time.Second

// serveShards keeps the shard maps of all services, as far as they concern
// this cell and where this host is the acting placer.
func (p *Placer) serveShards(ctx context.Context) error {
	return everyOr(ctx, planInterval, p.lost, p.shardsRound)
}

func (p *Placer) shardsRound(ctx context.Context) {
	if !p.acting() || !p.hostsKnown() || !p.watch.hearing() {
		return
	}
	p.loads.fold(p.now())
	view := p.cache.View()
	for _, t := range view.Config.Value.Templates {
		page, ok := view.Pages[t.Service]
		if !ok {
			p.report("create shard map", p.createPage(ctx, t))
			continue
		}
		p.report("complete moves", p.completeMoves(ctx, page.Value))
		p.report("renew epochs", p.renewStopped(ctx, page.Value))
		p.report("force moves", p.forceMoves(ctx, t, page.Value))
		p.report("place shards", p.placeShards(ctx, t, page))
	}
}

func pageName(service string) string { return platform.OwnersPrefix + service }

// createPage deals the shards of a new service to its targets.
func (p *Placer) createPage(ctx context.Context, t template.Template) error {
	list := p.hosts.Load()
	targets := p.planTargets(t)
	if len(targets) == 0 || p.now()-list.since < hostListCalm {
		return nil
	}
	return update(ctx, p, pageName(t.Service), wrotePage, func(page ownership.Page, s ownership.Stamp) (ownership.Page, error) {
		if len(page.Shards) > 0 {
			return page, errNoChange
		}
		page = placement.InitialPage(t.Service, t.ShardCount(), targets)
		for i := range page.Shards {
			page.Shards[i].SinceMS = time.Now().UnixMilli()
		}
		page.Stamp = s
		p.log.Emit(evPageCreated, "service", t.Service, "shards", len(page.Shards), "targets", len(targets))
		return page, nil
	})
}

// planTargets returns a service's targets in all cells.
func (p *Placer) planTargets(t template.Template) []placement.Target {
	var targets []placement.Target
	stopping := p.stoppingTargets()
	for _, host := range p.hosts.Load().targets {
		if host.Service != t.Service {
			continue
		}
		targets = append(targets, placement.Target{
			Name:     host.Name,
			Cell:     p.cellOf(host.DataCentre),
			State:    p.stateOf(host, stopping),
			Capacity: t.Slots,
		})
	}
	return targets
}

// cellOf returns the cell of a data centre; without a record it has the data
// centre's name.
func (p *Placer) cellOf(dataCentre string) string {
	for name, record := range p.cache.View().Records {
		if record.Value.DataCentre == dataCentre {
			return name
		}
	}
	return dataCentre
}

func (p *Placer) change(reason string, s ownership.Stamp) ownership.Change {
	return ownership.Change{NowMS: time.Now().UnixMilli(), Reason: reason, Stamp: s}
}

// placeShards writes the plan's changes of the shards that this cell owns.
func (p *Placer) placeShards(ctx context.Context, t template.Template, page state.Versioned[ownership.Page]) error {
	basis := planBasis{page: page.Version, template: t, targets: p.planTargets(t), at: p.now()}
	if p.plans.stands(basis) {
		return nil
	}
	plan := p.plan(t, page.Value)
	if len(plan) == 0 {
		p.plans.note(basis)
	}
	if len(p.mine(plan, page.Value)) == 0 {
		return nil
	}
	var made []placement.Decision
	err := update(ctx, p, pageName(t.Service), wrotePage, func(page ownership.Page, s ownership.Stamp) (ownership.Page, error) {
		var err error
		page, made, err = p.applyAll(page, p.decide(t, page), s)
		if err == nil && len(made) == 0 {
			err = errNoChange
		}
		return page, err
	})
	if err != nil {
		return err
	}
	for _, d := range made {
		p.logDecision(t.Service, d)
	}
	return nil
}

// applyAll carries decisions out on a page and returns those that it could make:
// a shard that moves, or was pinned, is left as it is.
func (p *Placer) applyAll(page ownership.Page, plan []placement.Decision, s ownership.Stamp) (ownership.Page, []placement.Decision, error) {
	var made []placement.Decision
	for _, d := range plan {
		next, err := d.Apply(page, p.change(string(d.Reason), s))
		if errors.Is(err, ownership.ErrMoving) || errors.Is(err, ownership.ErrPinned) {
			continue
		}
		if err != nil {
			return page, nil, err
		}
		made = append(made, d)
		page = next
	}
	return page, made, nil
}
