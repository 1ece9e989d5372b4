package pool

import (
	"hash/fnv"
	"math"
	"time"
)

// costAt returns the cost of running r at a target: if requests of several priorities
// arrive, that of this route's work. There, and where targets report their load, the
// target with the least cost is not the same at all hosts: hosts that all send to the
// target that looks best would fill its queue before they learn of each other's requests.
func (p *Pool) costAt(now time.Duration, t *target, r Request) float64 {
	switch {
	case p.urgency.isActive():
		return p.drawnCost(p.routeCost(now, t, r), t, r)
	case p.usesReports(now):
		return p.drawnCost(t.expectedCost(now, p.cfg), t, r)
	default:
		return t.expectedCost(now, p.cfg)
	}
}

// drawnCost returns a draw with which the target is chosen with a probability that falls
// with the cube of its cost. With lower powers more requests go to slow targets, with
// higher ones more hosts choose the same target at once.
func (p *Pool) drawnCost(cost float64, t *target, r Request) float64 {
	return cost * cost * cost * -math.Log(p.draw(t, r))
}

// routeCost returns the expected time of r at a target in seconds, increased for the risk
// of failure and for the distance.
func (p *Pool) routeCost(now time.Duration, t *target, r Request) float64 {
	e := t.estimate(now)
	load := (float64(t.running) + e.Others) / t.slotCount()
	if r.Priority < p.urgency.least && isOpenTo(t, p.urgency.leastRegions) && p.reservedAt(now, t, p.urgency.least) == 0 {
		load = max(load, assumedLoad)
	}
	work := p.workOf(r).Seconds()
	cost := work * (1 + 0.4*load)
	if load >= 1 {
		cost += p.urgency.meanWork * (load - 1 + 1/t.slotCount())
	}
	cost *= t.slownessAt(now) * e.Pace * (1 + failureCostFactor*t.failureRate)
	return cost + p.cfg.DistancePenalty[t.Distance].Seconds()
}

// assumedLoad is the load, in requests per slot, that an urgent request is assumed to
// find at a target that gets less urgent ones, whose number is known late.
const assumedLoad = 1.5

// slownessAt returns how long requests take at the target, as a multiple of their work.
func (t *target) slownessAt(now time.Duration) float64 {
	slowness := 1.0
	if t.slowness.samples > 0 {
		slowness = t.slowness.value.Seconds()
	}
	if now < t.coldUntil && t.slowness.samples < 3 {
		slowness *= coldFactor
	}
	return slowness
}

// speed returns the learned speed of the target as a multiple of the usual.
func (t *target) speed() float64 {
	if t.unloadedSlowness.samples == 0 {
		return 1
	}
	return 1 / max(t.unloadedSlowness.value.Seconds(), 0.01)
}

func (t *target) slotCount() float64 { return float64(max(1, t.Slots)) }

// workOf returns the learned work of a request.
func (p *Pool) workOf(r Request) time.Duration {
	if l := p.urgency.routes[r.Route]; l != nil && l.work.samples > 0 {
		return l.work.value
	}
	return p.serviceTime.value
}

// meanWorkOf returns the mean work of the requests that arrive, in seconds.
func (u *urgency) meanWorkOf(now time.Duration) float64 {
	rate, concurrency := 0.0, 0.0
	for _, l := range u.routes {
		rate += l.rate(now)
		concurrency += l.concurrency(now)
	}
	return concurrency / max(rate, minRetryRate)
}

// expectedTime returns the expected time of a request at a target, with the time that it
// waits there.
func (p *Pool) expectedTime(r Request) time.Duration {
	if p.urgency.isActive() {
		if l := p.urgency.routes[r.Route]; l != nil && l.took.samples > 0 {
			return l.took.value
		}
	}
	return p.serviceTime.value
}

// relativeWork returns the work of a request as a multiple of the service's mean.
func (p *Pool) relativeWork(r Request) float64 {
	if !p.urgency.isActive() {
		return 1
	}
	return p.workOf(r).Seconds() / max(p.serviceTime.value.Seconds(), 0.001)
}

// expectedWaitByRoute estimates how long r waits for the work of the requests before it,
// and the rate at which requests like it start, in requests per second.
func (p *Pool) expectedWaitByRoute(r Request) (wait time.Duration, rate float64) {
	ahead := p.workOf(r)
	for _, w := range p.waiting {
		if compareRequests(w, r) < 0 && w.sharesRegion(r) {
			ahead += p.workOf(w)
		}
	}
	backlog := p.backlogFor(r)
	atFreeSlots, atOnce := 0.0, 0.0 // work per second of requests that do not wait; requests at targets
	for _, t := range p.targets {
		if t.Leaving || !r.mayUse(t) {
			continue
		}
		reserved := p.reservedAt(p.now, t, r.Priority)
		atFreeSlots += (t.slotCount() - reserved) * t.speed()
		if reserved == 0 {
			atOnce += t.capacity(backlog)
		} else {
			atOnce += t.slotCount() - reserved
		}
	}
	slots := min(atFreeSlots, atOnce*p.workOf(r).Seconds()/max(p.expectedTime(r).Seconds(), 0.001))
	slots = max(slots*p.partOfHost(), minRetryRate*p.workOf(r).Seconds(), 0.001)
	wait = p.allPausedFor(p.now, r, regionSet{}) + time.Duration(float64(ahead)/slots)
	return wait, slots / max(p.workOf(r).Seconds(), 0.001)
}

// waitMargin multiplies the expected time to an answer before a request waits for it.
// Queues are first in, first out: at the limit of its goal, half of what waits is late.
// With 1.6, 5 of 100 less urgent requests were late in a burst, and 4 with 2.
const waitMargin = 2.0

// refuseByRoute refuses a request that would be answered too late, with the time at
// which there is capacity for it: callers of the same priority return one after the
// other.
func (p *Pool) refuseByRoute(now time.Duration, r Request) (Action, bool) {
	wait, rate := p.expectedWaitByRoute(r)
	if expected := wait + p.expectedTime(r); now+time.Duration(waitMargin*float64(expected)) <= r.latestAnswer() {
		return Action{}, false
	}
	s := p.urgency.schedules[r.Priority]
	if s == nil {
		s = &retrySchedule{}
		p.urgency.schedules[r.Priority] = s
	}
	reason := Full
	if p.reservedFrom(now, r.Priority) > 0 {
		reason = Reserved
	}
	return p.refuse(now, r, reason, s.nextRetry(now, wait, rate)), true
}

// refuseHopeless refuses a waiting request, if more urgent ones arrive, that could not
// be answered in time even if it started now.
func (p *Pool) refuseHopeless(now time.Duration, r Request) (Action, bool) {
	if p.cfg.Keyed || p.reservedFrom(now, r.Priority) == 0 || now+p.workOf(r) <= r.latestAnswer() {
		return Action{}, false
	}
	return p.refuseByRoute(now, r)
}

// draw returns a number above 0 and at most 1 that depends on the target and the
// request only.
func (p *Pool) draw(t *target, r Request) float64 {
	return unitOf(mix(t.nameHash ^ mix(r.ID^math.Float64bits(p.cfg.AdmitPhase))))
}

func unitOf(hash uint64) float64 { return (float64(hash>>11) + 1) / (1 << 53) }

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9E3779B97F4A7C15
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}

func hashOf(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return mix(h.Sum64())
}
