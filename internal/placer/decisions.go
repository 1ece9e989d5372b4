package placer

import (
	"time"

	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/placement"
	"github.com/mangopost/mangopost/template"
)

// planOwnShards returns the plan's decisions for shards of this cell and for shards that
// no cell owns.
func (p *Placer) planOwnShards(t template.Template, page ownership.Page) []placement.Decision {
	return p.ownDecisions(p.planShards(t, page), page)
}

func (p *Placer) planShards(t template.Template, page ownership.Page) []placement.Decision {
	rates, hot := p.loads.rates(page)
	return placement.Plan(placement.Snapshot{
		Now:       time.Now(),
		Page:      page,
		Targets:   p.serviceTargets(t),
		ShardLoad: rates,
		HotKeys:   hot,
		Window:    placement.RateWindow,
		Limits:    placement.DefaultLimits,
		Cell:      p.cfg.Cell,
	})
}

// ownDecisions drops the decisions for shards of other cells and those that cannot be
// started yet.
func (p *Placer) ownDecisions(decisions []placement.Decision, page ownership.Page) []placement.Decision {
	var own []placement.Decision
	for _, d := range decisions {
		shard, ok := page.Shard(d.Shard)
		if ok && (shard.Cell == p.cfg.Cell || shard.Cell == "") && p.canBegin(d, shard) {
			own = append(own, d)
		}
	}
	return own
}

// canBegin reports whether a decision can be started. A planned move away from a target
// whose gateway is new or silent cannot: a gateway that did not serve a shard cannot
// release it.
func (p *Placer) canBegin(d placement.Decision, shard ownership.Shard) bool {
	if d.Kind != ownership.MovePlanned || shard.Target == "" {
		return true
	}
	return p.liveness.hasSteadyGateway(shard.Target, p.now(), p.cfg.Timing.Suspicion)
}

// logDecision logs an applied decision and counts it if it is a move.
func (p *Placer) logDecision(service string, d placement.Decision) {
	if d.Action == placement.ActionMove {
		p.metrics.moves.Inc()
	}
	p.log.Emit(evShardPlaced, "service", service, "shard", d.Shard, "action", string(d.Action),
		"key", d.Key, "cell", d.Cell, "target", d.Target, "kind", string(d.Kind), "next", d.Next, "reason", string(d.Reason))
}
