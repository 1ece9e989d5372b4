package placement

import (
	"cmp"
	"slices"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
)

const (
	// gatewaySuccessors is the number of live successors that a gateway gets, if
	// the cell has enough hosts.
	gatewaySuccessors = 2
	// maxCandidates is the maximum length of a gateway's list of candidates. A
	// list that would become longer is restarted.
	maxCandidates = 12
	// maxGatewayExcess is the number of gateways by which a host may exceed its
	// even share before gateways are moved.
	maxGatewayExcess = 1
)

// TargetRef is a target for which the cell provides the gateway.
type TargetRef struct {
	Name    string
	Service string
	Addr    string // IP and port
	// StoppedEpoch is the highest gateway epoch of the target that voters are known to
	// have stopped, or 0. Candidates up to this epoch are no longer valid.
	StoppedEpoch lease.GatewayEpoch
}

// GatewayChange is a change of a target's gateway.
type GatewayChange struct {
	Target string
	Host   string // host of the new gateway, empty if none was chosen
	Reason GatewayReason
}

// GatewayReason says why a target's gateway was changed.
type GatewayReason string

const (
	// GatewayNew means that the target is new in the cell.
	GatewayNew GatewayReason = "new-target"
	// GatewayGone means that the target is no longer in the cell.
	GatewayGone GatewayReason = "target-gone"
	// GatewayAddr means that the address or the service of the target changed.
	GatewayAddr GatewayReason = "target-address"
	// GatewayLost means that the gateway's router is not alive.
	GatewayLost GatewayReason = "router-lost"
	// GatewayStopped means that voters stopped the epoch of the gateway.
	GatewayStopped GatewayReason = "epoch-stopped"
	// GatewayBalance means that the move balances the number of gateways of the
	// hosts.
	GatewayBalance GatewayReason = "balance"
	// GatewaySuccessors means that successors were added.
	GatewaySuccessors GatewayReason = "successors"
)

// PlanGateways returns the cell's record with one gateway and an ordered list of
// successors for each target, spread evenly over the routers that are alive, and
// the changes. A live gateway is kept unless its host has too many. An epoch is
// never given to two routers: candidates are removed only at the front of the
// list and added only at its end, or the list is restarted above all its epochs.
// Record.Floor keeps the highest epoch of targets that are gone.
//
// steady says that every target of the record has had its gateway for a while.
// Only then are gateways moved to balance their number, because each such move
// leaves its target without service for a moment, which must not add to the
// effects of a loss.
func PlanGateways(
	record membership.Record,
	alive []lease.Incarnation,
	targets []TargetRef,
	steady bool,
) (membership.Record, []GatewayChange, bool) {
	p := newGatewayPlan(record, alive)
	p.updateTargets(targets)
	p.replaceLost()
	if steady {
		p.rebalance()
	}
	p.addSuccessors()
	record.Gateways = p.gateways
	record.Floor = p.floor
	return record, p.changes, len(p.changes) > 0
}

// gatewayPlan holds the state while a plan of gateways is made.
type gatewayPlan struct {
	alive        []lease.Incarnation       // sorted by host
	gatewayCount map[lease.Incarnation]int // number of gateways by router
	successions  map[succession]int        // number of gateways by succession
	old          []membership.Gateway
	gateways     []membership.Gateway // sorted by target
	floor        lease.GatewayEpoch
	changes      []GatewayChange
}

// succession is the position of a router among the live successors of a
// gateway's first candidate.
type succession struct {
	first, successor lease.Incarnation
	rank             int
}

func newGatewayPlan(record membership.Record, alive []lease.Incarnation) *gatewayPlan {
	p := &gatewayPlan{
		alive:        slices.Clone(alive),
		gatewayCount: make(map[lease.Incarnation]int),
		successions:  make(map[succession]int),
		old:          record.Gateways,
		floor:        record.Floor,
	}
	slices.SortFunc(p.alive, compareIncarnations)
	p.alive = slices.Compact(p.alive)
	return p
}

func compareIncarnations(a, b lease.Incarnation) int {
	if c := cmp.Compare(a.Host, b.Host); c != 0 {
		return c
	}
	return cmp.Compare(a.Run, b.Run)
}

// nextEpoch returns the first epoch above those of a gateway's list of candidates.
func nextEpoch(g membership.Gateway) lease.GatewayEpoch {
	return g.First + lease.GatewayEpoch(len(g.Candidates))
}

// updateTargets copies the gateways of targets that still exist, adds gateways
// for new targets and drops those of targets that are gone.
func (p *gatewayPlan) updateTargets(targets []TargetRef) {
	refs := slices.Clone(targets)
	slices.SortFunc(refs, func(a, b TargetRef) int { return cmp.Compare(a.Name, b.Name) })
	refs = slices.CompactFunc(refs, func(a, b TargetRef) bool { return a.Name == b.Name })
	known := make(map[string]membership.Gateway, len(p.old))
	for _, g := range p.old {
		known[g.Target] = g
	}
	p.dropGone(refs)
	for _, ref := range refs {
		g, isKnown := known[ref.Name]
		if !isKnown {
			g = membership.Gateway{Target: ref.Name, First: p.floor + 1}
			p.recordChange(ref.Name, "", GatewayNew)
		} else if g.Addr != ref.Addr || g.Service != ref.Service {
			p.recordChange(ref.Name, "", GatewayAddr)
		}
		g.Candidates = slices.Clone(g.Candidates)
		if isKnown && g.Addr != ref.Addr {
			restartAtSameRouter(&g)
		}
		if removeStopped(&g, ref.StoppedEpoch) {
			p.recordChange(ref.Name, "", GatewayStopped)
		}
		g.Service, g.Addr = ref.Service, ref.Addr
		p.gateways = append(p.gateways, g)
	}
}

// removeStopped removes the candidates whose epochs are stopped, and reports
// whether the list changed.
func removeStopped(g *membership.Gateway, stopped lease.GatewayEpoch) bool {
	if stopped < g.First {
		return false
	}
	cut := min(int(stopped-g.First)+1, len(g.Candidates))
	g.Candidates = g.Candidates[cut:]
	g.First = stopped + 1
	return true
}

// restartAtSameRouter restarts a list above all its epochs, with the same first
// candidate.
func restartAtSameRouter(g *membership.Gateway) {
	g.First = nextEpoch(*g)
	g.Candidates = g.Candidates[:min(1, len(g.Candidates))]
}

// dropGone removes the gateways of targets that are gone and raises the floor to
// their highest epochs.
func (p *gatewayPlan) dropGone(refs []TargetRef) {
	for _, g := range p.old {
		stays := slices.ContainsFunc(refs, func(r TargetRef) bool { return r.Name == g.Target })
		if stays {
			continue
		}
		p.floor = max(p.floor, nextEpoch(g)-1)
		p.recordChange(g.Target, "", GatewayGone)
	}
}

// replaceLost removes leading candidates that are not alive, and restarts lists
// without a live candidate.
func (p *gatewayPlan) replaceLost() {
	for i := range p.gateways {
		g := &p.gateways[i]
		lost := 0
		for lost < len(g.Candidates) && !p.isAlive(g.Candidates[lost]) {
			lost++
		}
		if lost == len(g.Candidates) {
			continue
		}
		if lost > 0 {
			g.First += lease.GatewayEpoch(lost)
			g.Candidates = g.Candidates[lost:]
			p.recordChange(g.Target, g.Candidates[0].Host, GatewayLost)
		}
		p.gatewayCount[g.Candidates[0]]++
	}
	for i := range p.gateways {
		p.restartWithoutLive(&p.gateways[i])
	}
}

// restartWithoutLive restarts the list of a gateway without a live candidate.
func (p *gatewayPlan) restartWithoutLive(g *membership.Gateway) {
	if len(p.alive) == 0 {
		return
	}
	if len(g.Candidates) > 0 && p.isAlive(g.Candidates[0]) {
		return
	}
	hadCandidate := len(g.Candidates) > 0
	p.restartAt(g, p.leastUsed())
	if hadCandidate {
		p.recordChange(g.Target, g.Candidates[0].Host, GatewayLost)
	}
}

// restartAt restarts a gateway's list above all its epochs, with a single router.
func (p *gatewayPlan) restartAt(g *membership.Gateway, router lease.Incarnation) {
	g.First = nextEpoch(*g)
	g.Candidates = []lease.Incarnation{router}
	p.gatewayCount[router]++
}

func (p *gatewayPlan) isAlive(router lease.Incarnation) bool {
	_, found := slices.BinarySearchFunc(p.alive, router, compareIncarnations)
	return found
}

// leastUsed returns the live router with the fewest gateways.
func (p *gatewayPlan) leastUsed() lease.Incarnation {
	best := p.alive[0]
	for _, router := range p.alive[1:] {
		if p.gatewayCount[router] < p.gatewayCount[best] {
			best = router
		}
	}
	return best
}

// recordChange records a change of a target's gateway. If the target already has a
// change, its reason is kept and only a non-empty host is updated.
func (p *gatewayPlan) recordChange(target, host string, reason GatewayReason) {
	for i := range p.changes {
		if p.changes[i].Target != target {
			continue
		}
		if host != "" {
			p.changes[i].Host = host
		}
		return
	}
	p.changes = append(p.changes, GatewayChange{Target: target, Host: host, Reason: reason})
}
