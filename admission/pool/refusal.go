package pool

import (
	"time"
)

func (p *Pool) refuse(now time.Duration, r Request, reason Reason, wait time.Duration) Action {
	p.recordRefusal(now, r, reason)
	return Action{ID: r.ID, Reason: reason, RetryAfter: max(wait, minRetryAfter), Waited: now - r.Arrived}
}

// minRetryAfter prevents refused callers from retrying immediately.
const minRetryAfter = 50 * time.Millisecond

// refuseIfTooLate decides whether a request that cannot start now is refused or
// waits.
func (p *Pool) refuseIfTooLate(now time.Duration, r Request) (Action, bool) {
	reason, runnable := p.isRunnable(r)
	if !runnable {
		if a, refused := p.refuseOutside(now, r, reason); refused {
			return a, true
		}
		limit := r.Arrived + p.cfg.OwnerWait
		if p.isMoving(r.Key) || p.isBeingEvacuated(r) {
			limit = max(limit, r.Goal-p.serviceTime.value)
		}
		if now >= min(limit, r.Deadline) {
			return p.refuse(now, r, reason, p.remainingOwnerless(now, r.Key)), true
		}
		return Action{}, false
	}
	if a, refused := p.refuseIfPaused(now, r); refused {
		return a, true
	}
	if a, refused := p.refuseIfCold(now, r); refused {
		return a, true
	}
	isNew := now-r.Arrived < p.cfg.Cooldown
	if p.urgency.isActive() && !p.cfg.Keyed {
		if !isNew {
			return Action{}, false
		}
		return p.refuseByRoute(now, r)
	}
	wait := max(p.expectedWait(r), p.nearestWait(now))
	if now+wait+p.expectedTime(r) > r.latestAnswer() && isNew {
		if p.cfg.Keyed {
			t, _ := p.ownerFor(r)
			t.refusedFull++
			return p.refuse(now, r, Full, t.retrySchedule.nextRetry(now, wait, t.serviceRate(p.cfg.BacklogFraction))), true
		}
		return p.refuse(now, r, Full, p.retryScheduleOf(r).nextRetry(now, wait, p.serviceRate(r, regionSet{}))), true
	}
	return Action{}, false
}

// latestAnswer returns the time from which an answer is worth little to the caller:
// its goal, or a third of its time if that is later.
func (r Request) latestAnswer() time.Duration {
	return min(max(r.Goal, r.Arrived+(r.Deadline-r.Arrived)/3), r.Deadline)
}

// isRunnable reports whether any target can run the request, now or later. If
// none can, it returns the reason.
func (p *Pool) isRunnable(r Request) (Reason, bool) {
	if p.cfg.Keyed {
		t, _ := p.ownerFor(r)
		return NoOwner, t != nil
	}
	for _, t := range p.targets {
		if !t.Leaving && r.mayUse(t) && !r.isExhausted(t) {
			return "", true
		}
	}
	return NoTarget, false
}

// expectedWait estimates how long the request waits for the requests before it.
func (p *Pool) expectedWait(r Request) time.Duration {
	if wait, isCold := p.coldWait(r); isCold {
		return wait
	}
	if p.cfg.Keyed {
		t, _ := p.ownerFor(r)
		if t == nil {
			return p.cfg.OwnerWait
		}
		ahead := p.relativeWork(r)
		for _, w := range p.waiting {
			if o, _ := p.ownerFor(w); o == t && compareRequests(w, r) < 0 {
				ahead += p.relativeWork(w)
			}
		}
		return t.pausedFor(p.now) + time.Duration(ahead/t.serviceRate(p.cfg.BacklogFraction)*float64(time.Second))
	}
	if p.urgency.isActive() {
		wait, _ := p.expectedWaitByRoute(r)
		return wait
	}
	wait := p.allPausedFor(p.now, r, regionSet{}) + p.timeFor(p.requestsAhead(r), r, regionSet{})
	return p.shortestWait(r, wait)
}

// serviceRate returns the number of requests per second that this host can complete at
// the targets that the request may use, except for those in the given regions, once the
// first of them are not paused. Far targets count only for a request that has no others
// because of its regions.
func (p *Pool) serviceRate(r Request, except regionSet) float64 {
	rate, paused := 0.0, p.allPausedFor(p.now, r, except)
	countsFar := p.onlyFar(r, except)
	for _, t := range p.targets {
		if !r.mayUse(t) || except.has(t) {
			continue
		}
		if !t.Leaving && (t.Distance != Far || countsFar) && t.pausedFor(p.now) <= paused {
			rate += p.rateOf(t)
		}
	}
	return max(rate, 1)
}
