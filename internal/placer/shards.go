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

// hostListSettleTime is how long the names in the host list must have been unchanged
// before a new service's shards are assigned, so that the shards are not all moved again
// right away.
const hostListSettleTime = 2 * time.Second

// serveShards maintains this cell's part of the shard maps of all services while this
// host is the acting placer.
func (p *Placer) serveShards(ctx context.Context) error {
	return runEveryOrWoken(ctx, planInterval, p.targetLost, p.reconcileShards)
}

func (p *Placer) reconcileShards(ctx context.Context) {
	if !p.isActing() || !p.isHostListUsable() || !p.watch.isStoreReachable() {
		return
	}
	p.loads.updateRates(p.now())
	view := p.cache.View()
	for _, t := range view.Config.Value.Templates {
		page, ok := view.Pages[t.Service]
		if !ok {
			p.logUpdateError("create shard map", p.createPage(ctx, t))
			continue
		}
		p.logUpdateError("complete moves", p.completeMoves(ctx, page.Value))
		p.logUpdateError("renew epochs", p.renewStoppedEpochs(ctx, page.Value))
		p.logUpdateError("force moves", p.forceMoves(ctx, t, page.Value))
		p.logUpdateError("place shards", p.placeShards(ctx, t, page))
	}
}

func pageName(service string) string { return platform.OwnersPrefix + service }

// createPage assigns the shards of a new service to its targets.
func (p *Placer) createPage(ctx context.Context, t template.Template) error {
	list := p.hosts.Load()
	targets := p.serviceTargets(t)
	if len(targets) == 0 || p.now()-list.namesChangedAt < hostListSettleTime {
		return nil
	}
	return update(ctx, p, pageName(t.Service), isOwnPageWrite, func(page ownership.Page, s ownership.Stamp) (ownership.Page, error) {
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

// serviceTargets returns a service's targets in all cells.
func (p *Placer) serviceTargets(t template.Template) []placement.Target {
	var targets []placement.Target
	stopping := p.stoppingTargets()
	for _, host := range p.hosts.Load().targets {
		if host.Service != t.Service {
			continue
		}
		targets = append(targets, placement.Target{
			Name:     host.Name,
			Cell:     p.cellOf(host.DataCentre),
			State:    p.targetState(host, stopping),
			Capacity: t.Slots,
		})
	}
	return targets
}

// cellOf returns the cell of a data centre. If no record names the data centre, the cell
// has the data centre's name.
func (p *Placer) cellOf(dataCentre string) string {
	for name, record := range p.cache.View().Records {
		if record.Value.DataCentre == dataCentre {
			return name
		}
	}
	return dataCentre
}

func (p *Placer) newChange(reason string, s ownership.Stamp) ownership.Change {
	return ownership.Change{NowMS: time.Now().UnixMilli(), Reason: reason, Stamp: s}
}

// placeShards writes the planned changes of shards that this cell owns or that no cell
// owns.
func (p *Placer) placeShards(ctx context.Context, t template.Template, page state.Versioned[ownership.Page]) error {
	inputs := planInputs{pageVersion: page.Version, template: t, targets: p.serviceTargets(t), madeAt: p.now()}
	if p.emptyPlans.isCurrent(inputs) {
		return nil
	}
	decisions := p.planShards(t, page.Value)
	if len(decisions) == 0 {
		p.emptyPlans.add(inputs)
	}
	if len(p.ownDecisions(decisions, page.Value)) == 0 {
		return nil
	}
	var applied []placement.Decision
	err := update(ctx, p, pageName(t.Service), isOwnPageWrite, func(page ownership.Page, s ownership.Stamp) (ownership.Page, error) {
		var err error
		page, applied, err = p.applyDecisions(page, p.planOwnShards(t, page), s)
		if err == nil && len(applied) == 0 {
			err = errNoChange
		}
		return page, err
	})
	if err != nil {
		return err
	}
	for _, d := range applied {
		p.logDecision(t.Service, d)
	}
	return nil
}

// applyDecisions applies decisions to a page and returns those that took effect. Shards
// that are moving or pinned are skipped.
func (p *Placer) applyDecisions(page ownership.Page, decisions []placement.Decision, s ownership.Stamp) (ownership.Page, []placement.Decision, error) {
	var applied []placement.Decision
	for _, d := range decisions {
		next, err := d.Apply(page, p.newChange(string(d.Reason), s))
		if errors.Is(err, ownership.ErrMoving) || errors.Is(err, ownership.ErrPinned) {
			continue
		}
		if err != nil {
			return page, nil, err
		}
		applied = append(applied, d)
		page = next
	}
	return page, applied, nil
}
