package lease

import (
	"maps"
	"slices"
	"time"
)

// handover ends a right to a target that the record assigns to another router while the
// right is still valid. The old router tells the voters that it has ended, so that the
// new one need not wait for the right to expire.
//
// Invariant: no other holder is active for the target before until, because a majority
// voted for the right's epoch at most one lease earlier.
//
// Invariant: once the release mark is published, the epochs of the released line are
// the last active ones among all epochs up to upTo. A majority stopped all of them
// before until, so no epoch of another holder can receive votes for a later time. A
// holder that begins at epoch upTo + 1 follows the line directly.
type handover struct {
	upTo  GatewayEpoch  // last epoch before the list of the new gateway
	until time.Duration // end of the right
	chain GatewayEpoch  // first epoch of the line of rights that ends
	stop  *stopRound    // nil until the holder reports that it sends nothing more
	mark  *stopRound    // nil until a majority has stopped the epochs in time
}

// HandingOver returns, in order, the targets that the record assigns to another router
// as gateway and to which this holder still has a valid right. Send nothing new to
// them, and call ReleaseTarget once no send is in flight.
func (h *Holder) HandingOver() []string {
	var names []string
	for name, o := range h.handovers {
		if o.stop == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// IsGateway reports whether the holder has a right to any target or is handing one over.
func (h *Holder) IsGateway(now time.Duration) bool {
	if len(h.handovers) > 0 {
		return true
	}
	for _, name := range h.targetNames {
		if _, _, ok := h.Right(now, name); ok {
			return true
		}
	}
	return false
}

// ReleaseTarget declares that the holder sends nothing more to a target under the right
// that it is handing over. The holder asks the voters to stop the epochs before the new
// gateway's and, if a majority promises that before the right ends, marks them as
// released. It returns ErrNotServed if there is nothing to release: the right has
// ended, or the holder claims the target again.
func (h *Holder) ReleaseTarget(now time.Duration, name string) error {
	o, ok := h.handovers[name]
	if !ok || now >= o.until {
		return ErrNotServed
	}
	if o.stop != nil {
		return nil
	}
	if t := h.targets[name]; t != nil {
		t.previousRightEnd, t.previousChain, t.previousFollows = h.previousRightAfterRelease(t)
	}
	h.failReleases(name)
	stops := Stops{Gateways: []GatewayStop{{Target: name, Epoch: o.upTo}}}
	o.stop = h.startStop(now, false, map[string]Stops{h.cfg.Cell: stops})
	h.recordChange()
	return nil
}

// previousRightAfterRelease returns what remains of an earlier right to a target after
// its release: nothing, because another router may begin.
func (h *Holder) previousRightAfterRelease(t *target) (end time.Duration, chain, follows GatewayEpoch) {
	if h.faults.keepReleased {
		return t.previousRightEnd, t.previousChain, t.previousFollows
	}
	return 0, 0, 0
}

// failReleases fails those releases of a target's shards that no majority has stopped
// yet: they depend on the right that ends now.
func (h *Holder) failReleases(name string) {
	for _, s := range h.shards {
		l := s.leaving
		if l != nil && l.target == name && l.stop != nil && l.mark == nil && !h.faults.keepReleased {
			l.failed = true
		}
	}
}

// updateHandover begins a handover when a claim assigns to another router a target to
// which this holder still has a valid right under old. If one is in progress, it
// extends the handover to the newer list.
func (h *Holder) updateHandover(now time.Duration, claim TargetClaim, old *target) {
	if o := h.handovers[claim.Target]; o != nil && o.stop == nil {
		o.upTo = max(o.upTo, claim.First-1)
		return
	}
	if old == nil || claim.First <= old.epoch || claim.firstCandidate() == h.cfg.Self {
		return
	}
	until, chain, _ := old.rightEnd(h.cfg.Timing.Lease)
	if now < until {
		h.handovers[claim.Target] = &handover{upTo: claim.First - 1, until: until, chain: chain}
	}
}

// firstCandidate returns the candidate that may start first.
func (c TargetClaim) firstCandidate() Incarnation {
	if len(c.Candidates) == 0 {
		return Incarnation{}
	}
	return c.Candidates[0]
}

// advanceHandovers marks as released the epochs that a majority stopped before the
// right ended.
func (h *Holder) advanceHandovers(now time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(h.handovers)) {
		o := h.handovers[name]
		switch {
		case o.stop == nil:
			if now >= o.until {
				delete(h.handovers, name)
			}
		case o.mark != nil:
			if o.mark.done {
				delete(h.handovers, name)
			}
		case o.stop.done:
			h.markReleased(now, name, o)
		case now >= o.until && !h.faults.releaseLate:
			h.cancelHandover(name)
		}
	}
}

func (h *Holder) markReleased(now time.Duration, name string, o *handover) {
	if o.stop.doneAt >= o.until && !h.faults.releaseLate {
		delete(h.handovers, name)
		return
	}
	stops := Stops{Gateways: []GatewayStop{{Target: name, Epoch: o.upTo, Released: true, Under: o.chain}}}
	o.mark = h.startStop(now, false, map[string]Stops{h.cfg.Cell: stops})
}

// cancelHandover discards a handover; the promises of voters remain.
func (h *Holder) cancelHandover(name string) {
	o := h.handovers[name]
	if o == nil {
		return
	}
	for _, round := range []*stopRound{o.stop, o.mark} {
		if round != nil {
			h.cancelStop(round)
		}
	}
	delete(h.handovers, name)
}

// Succession identifies, by their first epochs, the two lines of rights to a target
// that a handover connects.
type Succession struct {
	Target string
	Before GatewayEpoch // line that the release ends
	After  GatewayEpoch // line that follows if the first candidate of the new list begins it
}

// Succession returns the lines that the handover of a target connects. If a newer list
// let the holder serve on, the line after it is a different one.
func (h *Holder) Succession(name string) (Succession, bool) {
	o, ok := h.handovers[name]
	if !ok || o.stop != nil {
		return Succession{}, false
	}
	return Succession{Target: name, Before: o.chain, After: o.upTo + 1}, true
}

// Joins reports whether l is the line After and directly follows Before.
func (s Succession) Joins(l Line) bool {
	return l.Target == s.Target && l.Chain == s.After && l.Follows == s.Before && s.Before > 0
}
