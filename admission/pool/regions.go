package pool

import (
	"slices"
	"strings"
	"time"

	"github.com/mangopost/mangopost/ownership/keyrange"
)

// mayUse reports whether the request's route allows the target's region. A target whose
// region is not known is in no allowed region.
func (r *Request) mayUse(t *target) bool {
	return len(r.Regions) == 0 || t.Region != "" && slices.Contains(r.Regions, t.Region)
}

// sharesRegion reports whether there may be a target that both requests may use.
func (r *Request) sharesRegion(other Request) bool {
	return len(r.Regions) == 0 || len(other.Regions) == 0 ||
		slices.ContainsFunc(r.Regions, func(region string) bool { return slices.Contains(other.Regions, region) })
}

// regionSet is a set of regions, or all targets whether or not their region is known.
type regionSet struct {
	all     bool
	regions []string
}

// add adds the regions whose targets the request may use.
func (s *regionSet) add(r Request) {
	if len(r.Regions) == 0 {
		s.all = true
		return
	}
	for _, region := range r.Regions {
		if !slices.Contains(s.regions, region) {
			s.regions = append(s.regions, region)
		}
	}
}

func (s *regionSet) has(t *target) bool {
	return s.all || t.Region != "" && slices.Contains(s.regions, t.Region)
}

// covers reports whether the set has every target that the request may use.
func (s *regionSet) covers(r Request) bool {
	if s.all || len(r.Regions) == 0 {
		return s.all
	}
	for _, region := range r.Regions {
		if !slices.Contains(s.regions, region) {
			return false
		}
	}
	return true
}

// claimedBefore returns the regions for whose targets a request of an unkeyed service
// waits that must start before r. A request that Tick would pass over, because it was
// sent before or waits for its time, claims nothing from requests of other regions.
func (p *Pool) claimedBefore(r Request) regionSet {
	var claimed regionSet
	for _, w := range p.waiting {
		if claimed.all || compareRequests(w, r) >= 0 {
			break
		}
		isConfined := len(w.Regions)+len(r.Regions) > 0
		if isConfined && (len(w.TriedTargets) > 0 || p.now < w.NotBefore) {
			continue
		}
		claimed.add(w)
	}
	return claimed
}

// confinedBefore returns the regions of the waiting requests before r whose route allows
// only these.
func (p *Pool) confinedBefore(r Request) regionSet {
	var out regionSet
	for _, w := range p.waiting {
		if compareRequests(w, r) >= 0 {
			break
		}
		if len(w.Regions) > 0 {
			out.add(w)
		}
	}
	return out
}

// ownerFor returns the target that owns the request's key, accepts work and is in a
// region that the request may use, and its fence, or nil.
func (p *Pool) ownerFor(r Request) (*target, uint64) {
	t, fence := p.availableOwner(r.Key)
	if t == nil || !r.mayUse(t) {
		return nil, 0
	}
	return t, fence
}

// isExhausted reports whether a request with regions was sent to the target before. Such
// a request has few targets and is refused once it has tried all of them.
func (r *Request) isExhausted(t *target) bool {
	return len(r.Regions) > 0 && slices.Contains(r.TriedTargets, t.Owner.Target)
}

// hasTarget reports whether a target that accepts work is in a region that the request
// may use.
func (p *Pool) hasTarget(r Request) bool {
	for _, t := range p.targets {
		if !t.Leaving && r.mayUse(t) {
			return true
		}
	}
	return false
}

// refuseOutside refuses at once a request that no target can run now, if no target in
// its regions will be able to either, as far as is known.
func (p *Pool) refuseOutside(now time.Duration, r Request, reason Reason) (Action, bool) {
	switch {
	case len(r.Regions) == 0 && !p.hasEvacuated():
		return Action{}, false
	case !p.hasTarget(r):
		return p.refuse(now, r, reason, p.expectedAbsence(now, r)), true
	case len(r.Regions) == 0:
		return Action{}, false
	case !p.cfg.Keyed: // the request has tried all its targets
		return p.refuse(now, r, reason, p.retryScheduleOf(r).nextRetry(now, p.expectedWait(r), p.serviceRate(r, regionSet{}))), true
	case p.isOwnedElsewhere(r):
		return p.refuse(now, r, reason, maxRetryAfter), true
	}
	return Action{}, false
}

// hasEvacuated reports whether a target's data centre is evacuated.
func (p *Pool) hasEvacuated() bool {
	for _, t := range p.targets {
		if t.Evacuated {
			return true
		}
	}
	return false
}

// evacuationMoveTime is how long keys take to leave an evacuated data centre: hosts learn
// of the evacuation up to a second apart, and a move takes a plan and two orders.
const evacuationMoveTime = time.Second

// ownerlessTime returns how long the keys of a range have no owner once the last one
// accepts no work: an owner in an evacuated data centre releases them in order.
func (p *Pool) ownerlessTime(r keyrange.Range) time.Duration {
	if t := p.targets[r.Owner.Target]; t != nil && t.Evacuated {
		return evacuationMoveTime
	}
	return p.cfg.OwnerLossDuration
}

// isBeingEvacuated reports whether the key is about to move out of an evacuated data
// centre, so that waiting for its next owner is worthwhile.
func (p *Pool) isBeingEvacuated(r Request) bool {
	keyRange, ok := p.rangeOf(r.Key)
	if !ok {
		return false
	}
	t := p.targets[keyRange.Owner.Target]
	return t != nil && t.Evacuated && p.hasTarget(r)
}

// isOwnedElsewhere reports whether the key has, or will have after its move, an owner
// that accepts work and is not in a region that the request may use.
func (p *Pool) isOwnedElsewhere(r Request) bool {
	keyRange, ok := p.rangeOf(r.Key)
	if !ok {
		return false
	}
	t := p.targets[keyRange.Owner.Target]
	return t != nil && !t.Leaving && t.Owner.SameRun(keyRange.Owner) && !r.mayUse(t)
}

// anyRegion stands for all regions in emptySince.
const anyRegion = ""

// expectedAbsence estimates how long the request's regions will have no target that
// accepts work: as long again as they have had none, within limits.
func (p *Pool) expectedAbsence(now time.Duration, r Request) time.Duration {
	regions := r.Regions
	if len(regions) == 0 {
		regions = []string{anyRegion}
	}
	least := maxRetryAfter
	for _, region := range regions {
		since, ok := p.emptySince[region]
		if !ok {
			since = now
			p.emptySince[region] = since
		}
		least = min(least, now-since)
	}
	return max(least, p.cfg.OwnerWait)
}

// forgetAbsences ends the absence of targets from the regions that have one.
func (p *Pool) forgetAbsences() {
	for _, t := range p.targets {
		if !t.Leaving {
			delete(p.emptySince, t.Region)
			delete(p.emptySince, anyRegion)
		}
	}
}

// retryScheduleOf returns the retry schedule of the unkeyed requests with the same
// regions: the room in one region does not depend on the refusals in another.
func (p *Pool) retryScheduleOf(r Request) *retrySchedule {
	if len(r.Regions) == 0 {
		return &p.retrySchedule
	}
	name := strings.Join(r.Regions, ",")
	if p.regionSchedules[name] == nil {
		p.regionSchedules[name] = &retrySchedule{}
	}
	return p.regionSchedules[name]
}

// requestsAhead returns the number of waiting requests before r that will take a target
// which r may use, and one for r. Of the requests that may use any target, it counts the
// part that the capacity of r's regions is of all.
func (p *Pool) requestsAhead(r Request) float64 {
	ahead, part := 1.0, -1.0
	for _, w := range p.waiting {
		switch {
		case compareRequests(w, r) >= 0:
			return ahead
		case len(r.Regions) == 0:
			ahead++
		case len(w.Regions) == 0:
			if part < 0 {
				part = p.capacityPart(r)
			}
			ahead += part
		case w.sharesRegion(r):
			ahead++
		}
	}
	return ahead
}

// capacityPart returns the part of the service rate at all targets that is at those
// which the request may use.
func (p *Pool) capacityPart(r Request) float64 {
	own, all := 0.0, 0.0
	for _, t := range p.targets {
		if t.Leaving {
			continue
		}
		rate := p.rateOf(t)
		all += rate
		if r.mayUse(t) {
			own += rate
		}
	}
	return own / max(all, 1e-9)
}

// shortestWait returns the least of the given wait and those in which a request leaves
// one region, or all, to the waiting requests that are confined to them.
func (p *Pool) shortestWait(r Request, wait time.Duration) time.Duration {
	confined := p.confinedBefore(r)
	if len(confined.regions) == 0 {
		return wait
	}
	if aside, ok := p.expectedWaitAsideFrom(confined, r); ok {
		wait = min(wait, aside)
	}
	for _, region := range confined.regions {
		if aside, ok := p.expectedWaitAsideFrom(regionSet{regions: []string{region}}, r); ok {
			wait = min(wait, aside)
		}
	}
	return wait
}

// expectedWaitAsideFrom estimates how long a request of an unkeyed service waits if it
// leaves the regions to the waiting requests that are confined to them. ok is false if
// no target remains.
func (p *Pool) expectedWaitAsideFrom(confined regionSet, r Request) (wait time.Duration, ok bool) {
	ahead := 1.0
	for _, w := range p.waiting {
		if compareRequests(w, r) < 0 && !confined.covers(w) {
			ahead++
		}
	}
	for _, t := range p.targets {
		if !t.Leaving && r.mayUse(t) && !confined.has(t) {
			return p.allPausedFor(p.now, r, confined) + p.timeFor(ahead, r, confined), true
		}
	}
	return 0, false
}

// timeFor returns the time that requests take at the targets that r may use, except for
// those in the given regions.
func (p *Pool) timeFor(requests float64, r Request, except regionSet) time.Duration {
	return time.Duration(requests / p.serviceRate(r, except) * float64(time.Second))
}

// onlyFar reports whether all targets that the request may use, except for those in the
// given regions, are Far. It is false for a request that may use every target, unless some
// are evacuated.
func (p *Pool) onlyFar(r Request, except regionSet) bool {
	if len(r.Regions)+len(except.regions) == 0 && !p.hasEvacuated() {
		return false
	}
	for _, t := range p.targets {
		if !t.Leaving && t.Distance != Far && r.mayUse(t) && !except.has(t) {
			return false
		}
	}
	return true
}
