package lease

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/mangopost/mangopost/ownership"
)

// TargetStatus is the status of a claim to a target for operators.
type TargetStatus struct {
	Target string
	Epoch  GatewayEpoch
	Phase  Phase
	Since  time.Duration // the holder's reading at the last recorded change of phase
	Until  time.Duration // end of the right, if Phase is active
	WhyNot string        // reason why Phase is not active
}

// ShardStatus is the status for operators of an assignment to one of the holder's
// targets.
type ShardStatus struct {
	Shard  ShardEpoch
	Target string
	Next   bool // the assignment agreed in advance
	Phase  Phase
	Since  time.Duration
	WhyNot string
}

// Targets returns the status of every target that the holder may be the gateway of.
func (h *Holder) Targets(now time.Duration) []TargetStatus {
	var list []TargetStatus
	for _, name := range h.targetNames {
		list = append(list, h.targetStatus(now, name))
	}
	return list
}

func (h *Holder) targetStatus(now time.Duration, name string) TargetStatus {
	t := h.targets[name]
	status := TargetStatus{Target: name, Epoch: t.epoch, Since: t.since}
	_, until, ok := h.Right(now, name)
	switch {
	case ok:
		status.Phase = PhaseActive
		status.Until = until
	case t.epoch <= h.stops.gateway(name):
		status.Phase = PhaseStopped
		status.WhyNot = "a later gateway took over"
	case !t.started():
		status.Phase = PhaseIdle
		status.WhyNot = fmt.Sprintf("candidate %d; an earlier candidate serves or may still start", t.epoch-t.claim.First)
	case !t.waitStarted:
		status.Phase = PhaseStopping
		status.WhyNot = fmt.Sprintf("no majority yet stopped earlier gateways in cells %v", t.stop.incompleteCells())
	case !t.hasFreshVotes():
		status.Phase = PhaseWaiting
		status.WhyNot = waitReason(now, t.waitUntil)
	default:
		status.Phase = PhaseLapsed
		status.WhyNot = fmt.Sprintf("no majority voted since %v", t.anchor)
	}
	return status
}

func waitReason(now, until time.Duration) string {
	if now < until {
		return fmt.Sprintf("earlier rights may be valid for another %v", until-now)
	}
	return "no majority voted since the wait ended"
}

// Shards returns the status of every assignment to a target that the holder may be the
// gateway of.
func (h *Holder) Shards(now time.Duration) []ShardStatus {
	var list []ShardStatus
	for _, ref := range h.shardRefs {
		s := h.shards[ref]
		for _, a := range []*activation{s.owner, s.next} {
			if a != nil && h.targets[a.target] != nil {
				list = append(list, h.shardStatus(now, ref, a, a == s.next))
			}
		}
	}
	return list
}

func (h *Holder) shardStatus(now time.Duration, ref ownership.ShardRef, a *activation, next bool) ShardStatus {
	status := ShardStatus{Shard: ShardEpoch{Shard: ref, Epoch: a.epoch}, Target: a.target, Next: next, Since: a.since}
	switch {
	case h.isActive(now, ref, a):
		status.Phase = PhaseActive
	case a.epoch <= h.stops.shard(ref):
		status.Phase = PhaseStopped
		status.WhyNot = "a later owner took over or this owner released the shard"
	case !a.begun:
		status.Phase = PhaseIdle
		status.WhyNot = "its target has no gateway yet or it is not its turn to take over"
	case !a.waitStarted && a.stop.ifReleased:
		status.Phase = PhaseStopping
		status.WhyNot = "the preceding owner has not released the shard"
	case !a.waitStarted:
		status.Phase = PhaseStopping
		status.WhyNot = fmt.Sprintf("no majority yet stopped earlier owners in cells %v", a.stop.incompleteCells())
	case h.shards[ref].needsStore && !h.holdsStoreLease(now):
		status.Phase = PhaseLapsed
		status.WhyNot = "the cell does not hold its store lease"
	case now < a.waitUntil:
		status.Phase = PhaseWaiting
		status.WhyNot = waitReason(now, a.waitUntil)
	default:
		status.Phase = PhaseWaiting
		status.WhyNot = "no majority has voted for its gateway since the wait ended"
	}
	return status
}

func sortLeaving(list []Leaving) {
	slices.SortFunc(list, func(a, b Leaving) int {
		return cmp.Or(compareRefs(a.Shard.Shard, b.Shard.Shard), cmp.Compare(a.Shard.Epoch, b.Shard.Epoch))
	})
}
