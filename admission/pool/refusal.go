package pool

import (
	"time"
)

func (p *Pool) refuse(now time.Duration, r Request, reason Reason, wait time.Duration) Action {
	return Action{ID: r.ID, Reason: reason, RetryAfter: max(wait, minRetryAfter), Waited: now - r.Arrived}
}

// minRetryAfter prevents refused callers from retrying immediately.
const minRetryAfter = 50 * time.Millisecond

// refuseIfTooLate decides whether a request that cannot start now is refused or
// waits.
func (p *Pool) refuseIfTooLate(now time.Duration, r Request) (Action, bool) {
	reason, runnable := p.isRunnable(r)
	if !runnable {
		limit := r.Arrived + p.cfg.OwnerWait
		if p.isMoving(r.Key) {
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
	isNew := now-r.Arrived < p.cfg.Cooldown
	if p.urgency.isActive() && !p.cfg.Keyed {
		if !isNew {
			return Action{}, false
		}
		return p.refuseByRoute(now, r)
	}
	wait := p.expectedWait(r)
	if now+wait+p.expectedTime(r) > r.latestAnswer() && isNew {
		if p.cfg.Keyed {
			t, _ := p.availableOwner(r.Key)
			t.refusedFull++
			return p.refuse(now, r, Full, t.retrySchedule.nextRetry(now, wait, t.serviceRate(p.cfg.BacklogFraction))), true
		}
		return p.refuse(now, r, Full, p.retrySchedule.nextRetry(now, wait, p.serviceRate())), true
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
		t, _ := p.availableOwner(r.Key)
		return NoOwner, t != nil
	}
	for _, t := range p.targets {
		if !t.Leaving {
			return "", true
		}
	}
	return NoTarget, false
}

// expectedWait estimates how long the request waits for the requests before it.
func (p *Pool) expectedWait(r Request) time.Duration {
	if p.cfg.Keyed {
		t, _ := p.availableOwner(r.Key)
		if t == nil {
			return p.cfg.OwnerWait
		}
		ahead := p.relativeWork(r)
		for _, w := range p.waiting {
			if o, _ := p.availableOwner(w.Key); o == t && compareRequests(w, r) < 0 {
				ahead += p.relativeWork(w)
			}
		}
		return t.pausedFor(p.now) + time.Duration(ahead/t.serviceRate(p.cfg.BacklogFraction)*float64(time.Second))
	}
	if p.urgency.isActive() {
		wait, _ := p.expectedWaitByRoute(r)
		return wait
	}
	ahead := 1
	for _, w := range p.waiting {
		if compareRequests(w, r) < 0 {
			ahead++
		}
	}
	return p.allPausedFor(p.now) + time.Duration(float64(ahead)/p.serviceRate()*float64(time.Second))
}

// serviceRate returns the number of requests per second that this host can
// complete at targets that are not Far, once the first of them are not paused.
func (p *Pool) serviceRate() float64 {
	rate, paused := 0.0, p.allPausedFor(p.now)
	for _, t := range p.targets {
		if !t.Leaving && t.Distance != Far && t.pausedFor(p.now) <= paused {
			rate += t.serviceRate(p.cfg.BacklogFraction)
		}
	}
	return max(rate, 1)
}
