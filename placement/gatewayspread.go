package placement

import (
	"slices"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
)

// rebalance moves gateways away from each router that exceeds the even share by
// more than maxGatewayExcess, until it has no more than the even share.
func (p *gatewayPlan) rebalance() {
	if len(p.alive) == 0 {
		return
	}
	evenShare := (len(p.gateways) + len(p.alive) - 1) / len(p.alive)
	for _, router := range p.alive {
		if p.gatewayCount[router] > evenShare+maxGatewayExcess {
			p.offload(router, evenShare)
		}
	}
}

// offload moves gateways away from a router until it has no more than the even
// share.
func (p *gatewayPlan) offload(router lease.Incarnation, evenShare int) {
	for i := range p.gateways {
		g := &p.gateways[i]
		if p.gatewayCount[router] <= evenShare {
			return
		}
		if g.Candidates[0] != router {
			continue
		}
		p.gatewayCount[router]--
		p.restartAt(g, p.leastUsed())
		p.recordChange(g.Target, g.Candidates[0].Host, GatewayBalance)
	}
}

// addSuccessors appends successors so that every gateway has enough live ones.
func (p *gatewayPlan) addSuccessors() {
	for _, g := range p.gateways {
		p.countSuccessors(g)
	}
	for i := range p.gateways {
		p.addSuccessorsTo(&p.gateways[i])
	}
}

func (p *gatewayPlan) addSuccessorsTo(g *membership.Gateway) {
	if len(g.Candidates) == 0 {
		return
	}
	want := min(gatewaySuccessors, len(p.alive)-1)
	have := p.countAlive(g.Candidates[1:])
	if have >= want {
		return
	}
	if len(g.Candidates)+want-have > maxCandidates {
		restartAtSameRouter(g)
		have = 0
	}
	for ; have < want; have++ {
		router, ok := p.nextSuccessor(g.Candidates, have)
		if !ok {
			break
		}
		p.successions[succession{g.Candidates[0], router, have}]++
		g.Candidates = append(g.Candidates, router)
	}
	p.recordChange(g.Target, g.Candidates[0].Host, GatewaySuccessors)
}

// countSuccessors adds the live successors of a gateway to the successions.
func (p *gatewayPlan) countSuccessors(g membership.Gateway) {
	rank := 0
	for _, router := range g.Candidates[min(1, len(g.Candidates)):] {
		if p.isAlive(router) {
			p.successions[succession{g.Candidates[0], router, rank}]++
			rank++
		}
	}
}

func (p *gatewayPlan) countAlive(routers []lease.Incarnation) int {
	count := 0
	for _, router := range routers {
		if p.isAlive(router) {
			count++
		}
	}
	return count
}

// nextSuccessor returns the live router that is not among the candidates yet and
// has the given position among the successors of the first candidate least often.
func (p *gatewayPlan) nextSuccessor(candidates []lease.Incarnation, rank int) (lease.Incarnation, bool) {
	var best lease.Incarnation
	least := -1
	for _, router := range p.alive {
		if slices.Contains(candidates, router) {
			continue
		}
		count := p.successions[succession{candidates[0], router, rank}]
		if least < 0 || count < least {
			best, least = router, count
		}
	}
	return best, least >= 0
}
