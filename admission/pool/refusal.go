package pool

import (
	"time"
)

func (p *Pool) refuse(now time.Duration, r Request, why Reason, wait time.Duration) Action {
	return Action{ID: r.ID, Reason: why, RetryAfter: max(wait, minRetryAfter), Waited: now - r.Arrived}
}

// minRetryAfter spares the hosts callers that come back at once.
const minRetryAfter = 50 * time.Millisecond

// refuseOnArrival decides whether a request that cannot start now waits.
func (p *Pool) refuseOnArrival(now time.Duration, r Request) (Action, bool) {
	reason, known := p.placed(r)
	if !known {
		limit := r.Arrived + p.cfg.NoOwner
		if p.moving(r.Key) {
			limit = max(limit, r.Goal-p.service.value)
		}
		if now >= min(limit, r.Deadline) {
			return p.refuse(now, r, reason, p.untilOwned(now, r.Key)), true
		}
		return Action{}, false
	}
	wait := p.expectedWait(r)
	latest := max(r.Goal, r.Arrived+(r.Deadline-r.Arrived)/3)
	if now+wait+p.service.value > min(latest, r.Deadline) && now-r.Arrived < p.cfg.Cooling {
		if p.cfg.Keyed {
			t, _ := p.owner(r.Key)
			t.refused++
			return p.refuse(now, r, Full, t.returns.next(now, wait, t.rate(p.cfg.Backlog))), true
		}
		return p.refuse(now, r, Full, p.returns.next(now, wait, p.rate())), true
	}
	return Action{}, false
}

// placed reports whether some target may run the request at all, now or later.
func (p *Pool) placed(r Request) (Reason, bool) {
	if p.cfg.Keyed {
		t, _ := p.owner(r.Key)
		return NoOwner, t != nil
	}
	for _, t := range p.targets {
		if !t.Leaving {
			return "", true
		}
	}
	return NoTarget, false
}

// expectedWait estimates how long the request waits for those before it.
func (p *Pool) expectedWait(r Request) time.Duration {
	if p.cfg.Keyed {
		t, _ := p.owner(r.Key)
		if t == nil {
			return p.cfg.NoOwner
		}
		ahead := 1
		for _, w := range p.waiting {
			if o, _ := p.owner(w.Key); o == t && order(w, r) < 0 {
				ahead++
			}
		}
		return time.Duration(float64(ahead) / t.rate(p.cfg.Backlog) * float64(time.Second))
	}
	ahead := 1
	for _, w := range p.waiting {
		if order(w, r) < 0 {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / p.rate() * float64(time.Second))
}

// rate is the number of requests a second that this host may get through at near
// targets.
func (p *Pool) rate() float64 {
	rate := 0.0
	for _, t := range p.targets {
		if !t.Leaving && t.Distance != Far {
			rate += t.rate(p.cfg.Backlog)
		}
	}
	return max(rate, 1)
}
