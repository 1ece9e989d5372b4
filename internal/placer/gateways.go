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
	// placerContactWindow is shorter than the time for which a router may be silent before
	// it counts as lost, so that a host that is cut off stops placing gateways before it
	// counts the other hosts' routers as lost.
	placerContactWindow = placerProbeInterval + planInterval
)

// serveGateways assigns each target of the cell a gateway with successors while this
// host is the acting placer.
func (p *Placer) serveGateways(ctx context.Context) error {
	return runEvery(ctx, planInterval, p.reconcileGateways)
}

func (p *Placer) reconcileGateways(ctx context.Context) {
	p.liveness.observeClaims(p.now(), p.cfg.Timing.Suspicion, p.voting.holders())
	if !p.isActing() || !p.isHostListUsable() {
		return
	}
	alive := p.aliveRouters()
	versioned := p.cache.View().Records[p.cfg.Cell]
	record := versioned.Value
	if !p.reachesMajorityWithin(record, placerContactWindow) {
		return
	}
	targets := p.cellTargets()
	if len(alive) == 0 || !p.needsGatewayPlan(versioned.Version, record, alive, targets) {
		return
	}
	err := update(ctx, p, p.recordName(), isOwnRecordWrite, func(r membership.Record, s ownership.Stamp) (membership.Record, error) {
		next, changes, changed := placement.PlanGateways(r, alive, targets, p.areGatewaysSteady(r, alive))
		if drained := p.markDraining(&next); !changed && !drained {
			return r, errNoChange
		}
		for _, c := range changes {
			p.log.Emit(evGatewayPlaced, "target", c.Target, "host", c.Host, "reason", string(c.Reason))
		}
		next.Stamp = s
		return next, nil
	})
	p.logUpdateError("place gateways", err)
}

// needsGatewayPlan reports whether a plan would change the record. The plan is not
// recomputed while its inputs equal those of the last plan that changed nothing.
func (p *Placer) needsGatewayPlan(version uint64, r membership.Record, alive []lease.Incarnation, targets []placement.TargetRef) bool {
	inputs := gatewayPlanInputs{recordVersion: version, alive: alive, targets: targets, isSteady: p.areGatewaysSteady(r, alive)}
	if !p.emptyGatewayPlan.equal(inputs) {
		next, _, changed := placement.PlanGateways(r, alive, targets, inputs.isSteady)
		if changed {
			return true
		}
		p.emptyGatewayPlan = inputs
		r = next
	}
	return p.markDraining(&r)
}

// areGatewaysSteady reports whether each target of the record has had its gateway for
// at least minSteadyTime and the gateway's router is alive.
func (p *Placer) areGatewaysSteady(r membership.Record, alive []lease.Incarnation) bool {
	for _, g := range r.Gateways {
		isAlive := len(g.Candidates) > 0 && slices.Contains(alive, g.Candidates[0])
		if !isAlive || !p.liveness.hasSteadyGateway(g.Target, p.now(), p.cfg.Timing.Suspicion) {
			return false
		}
	}
	return true
}

// markDraining sets in the record which targets take no new work, and reports whether
// any of them changed.
func (p *Placer) markDraining(r *membership.Record) bool {
	draining := make(map[string]bool)
	stopping := p.stoppingTargets()
	for _, t := range p.hosts.Load().targets {
		state := p.targetState(t, stopping)
		draining[t.Name] = state == placement.Leaving || state == placement.Stopping
	}
	changed := false
	r.Gateways = slices.Clone(r.Gateways)
	for i := range r.Gateways {
		g := &r.Gateways[i]
		if g.Draining == draining[g.Target] {
			continue
		}
		changed = true
		g.Draining = draining[g.Target]
		p.log.Emit(evTargetDraining, "target", g.Target, "draining", g.Draining)
	}
	return changed
}

// aliveRouters returns the cell's routers that have requested votes within the suspicion
// time and are not stopping.
func (p *Placer) aliveRouters() []lease.Incarnation {
	now := p.now()
	var alive []lease.Incarnation
	record := p.cache.View().Records[p.cfg.Cell].Value
	for _, h := range p.voting.holders() {
		run, _ := recordedRouter(record, h.Holder.Host)
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

// targetState returns the state of a target for the plan of its service. stopping holds
// the targets that receive no new work because of a planned stop.
func (p *Placer) targetState(t platform.TargetHost, stopping map[string]bool) placement.TargetState {
	switch {
	case t.DataCentre == p.cfg.DataCentre && p.liveness.isLost(t.Name, p.now()):
		return placement.Lost
	case stopping[t.Name]:
		return placement.Stopping
	case t.State == platform.HostLeaving:
		return placement.Leaving
	default:
		return placement.Live
	}
}
