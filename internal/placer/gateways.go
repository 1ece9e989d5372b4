package placer

import (
	"context"
	"slices"
	"time"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/placement"
)

const (
	planInterval = 50 * time.Millisecond
	// hearingWindow is less than a router may be silent before it is taken for lost,
	// so that a host that is cut off stops to place gateways before it misses the
	// routers of the others.
	hearingWindow = placerProbe + planInterval
)

// serveGateways gives each target of the cell a gateway with successors, where
// this host is the acting placer.
func (p *Placer) serveGateways(ctx context.Context) error {
	return every(ctx, planInterval, p.gatewaysRound)
}

func (p *Placer) gatewaysRound(ctx context.Context) {
	p.sight.note(p.now(), p.cfg.Timing.Suspicion, p.voting.holders())
	if !p.acting() || !p.hostsKnown() {
		return
	}
	alive := p.aliveRouters()
	known := p.cache.View().Records[p.cfg.Cell]
	record := known.Value
	if !p.reachedWithin(record, hearingWindow) {
		return
	}
	targets := p.cellTargets()
	if len(alive) == 0 || !p.gatewaysDiffer(known.Version, record, alive, targets) {
		return
	}
	err := update(ctx, p, p.recordName(), wroteRecord, func(r membership.Record, s ownership.Stamp) (membership.Record, error) {
		next, changes, changed := placement.PlanGateways(r, alive, targets, p.steadyGateways(r, alive))
		if drained := p.markDraining(&next); !changed && !drained {
			return r, errNoChange
		}
		for _, c := range changes {
			p.log.Emit(evGatewayPlaced, "target", c.Target, "host", c.Host, "reason", string(c.Reason))
		}
		next.Stamp = s
		return next, nil
	})
	p.report("place gateways", err)
}

// gatewaysDiffer reports whether a plan would change the record. Where nothing that
// it rests on has changed since one that did not, it is not made anew.
func (p *Placer) gatewaysDiffer(version uint64, r membership.Record, alive []lease.Incarnation, targets []placement.TargetRef) bool {
	basis := gatewayBasis{record: version, alive: alive, targets: targets, steady: p.steadyGateways(r, alive)}
	if !p.restingGateways.same(basis) {
		next, _, changed := placement.PlanGateways(r, alive, targets, basis.steady)
		if changed {
			return true
		}
		p.restingGateways = basis
		r = next
	}
	return p.markDraining(&r)
}

// steadyGateways reports whether each target of the record has had its gateway
// for a while, and the gateway's router is alive.
func (p *Placer) steadyGateways(r membership.Record, alive []lease.Incarnation) bool {
	for _, g := range r.Gateways {
		lives := len(g.Candidates) > 0 && slices.Contains(alive, g.Candidates[0])
		if !lives || !p.sight.steady(g.Target, p.now(), p.cfg.Timing.Suspicion) {
			return false
		}
	}
	return true
}

// markDraining notes which targets take no new work, and reports whether that
// changed.
func (p *Placer) markDraining(r *membership.Record) bool {
	drains := make(map[string]bool)
	stopping := p.stoppingTargets()
	for _, t := range p.hosts.Load().targets {
		state := p.stateOf(t, stopping)
		drains[t.Name] = state == placement.Leaving || state == placement.Stopping
	}
	changed := false
	r.Gateways = slices.Clone(r.Gateways)
	for i := range r.Gateways {
		g := &r.Gateways[i]
		if g.Draining == drains[g.Target] {
			continue
		}
		changed = true
		g.Draining = drains[g.Target]
		p.log.Emit(evTargetDraining, "target", g.Target, "draining", g.Draining)
	}
	return changed
}

// aliveRouters returns the cell's routers that asked for votes lately and do not
// end.
func (p *Placer) aliveRouters() []lease.Incarnation {
	now := p.now()
	var alive []lease.Incarnation
	record := p.cache.View().Records[p.cfg.Cell].Value
	for _, h := range p.voting.holders() {
		run, _ := routerOf(record, h.Holder.Host)
		if now-h.LastSeen <= p.cfg.Timing.Suspicion && h.Holder.Run == run && !h.Leaving && !h.Gone {
			alive = append(alive, h.Holder)
		}
	}
	return alive
}

// cellTargets returns the targets of the cell's data centre in the host list.
func (p *Placer) cellTargets() []placement.TargetRef {
	var refs []placement.TargetRef
	for _, t := range p.hosts.Load().targets {
		if t.DataCentre != p.cfg.DataCentre {
			continue
		}
		refs = append(refs, placement.TargetRef{
			Name:         t.Name,
			Service:      t.Service,
			Addr:         t.Addr,
			StoppedEpoch: p.voting.gatewayStop(t.Name),
		})
	}
	return refs
}

// stateOf returns the state of a target in the plan of its service. stopping are the
// targets that a planned stop keeps from new work.
func (p *Placer) stateOf(t platform.TargetHost, stopping map[string]bool) placement.TargetState {
	switch {
	case t.DataCentre == p.cfg.DataCentre && p.sight.lost(t.Name, p.now()):
		return placement.Lost
	case stopping[t.Name]:
		return placement.Stopping
	case t.State == platform.HostLeaving:
		return placement.Leaving
	default:
		return placement.Live
	}
}
