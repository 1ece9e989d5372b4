package admission

import "time"

const (
	// drainRetryAfter is the RetryAfter of a draining target.
	drainRetryAfter = time.Second
	// minRetryAfter is the smallest RetryAfter of a full queue.
	minRetryAfter = 10 * time.Millisecond
)

// missesDeadline reports whether work that starts now and takes serviceTime
// ends after the deadline. A deadline of 0 is never missed.
func missesDeadline(now, deadline, serviceTime time.Duration) bool {
	return deadline > 0 && now+serviceTime > deadline
}

// willMissDeadline reports whether a popped request must be refused because it
// would miss its deadline. While other requests wait, the high estimate is
// used, so that no slot is spent on a request that will probably be late.
func (q *Queue) willMissDeadline(now time.Duration, e *entry) bool {
	if q.waiting.len() > 0 {
		return missesDeadline(now, e.item.Deadline, q.deadlineServiceTime(e, e.item.HighEstimate))
	}
	return missesDeadline(now, e.item.Deadline, q.deadlineServiceTime(e, e.item.Expected))
}

// waitedTooLong reports whether a popped request must be refused because it
// waited too long in a standing queue. Otherwise requests with late deadlines
// would keep the queue standing and no other request would start in time.
func (q *Queue) waitedTooLong(now time.Duration, e *entry) bool {
	overload := &q.overload[e.item.Class]
	if q.cfg.NoEarlyRefusal || e.isProbe || e.wasPreempted || !overload.standing {
		return false
	}
	return now-e.item.Arrived > staleWaitFactor*overload.waitLimit(e.item)
}

// deadlineServiceTime returns the service time to use in deadline checks: 0 if
// only a deadline that has passed refuses the request.
func (q *Queue) deadlineServiceTime(e *entry, estimate time.Duration) time.Duration {
	if q.cfg.NoEarlyRefusal || e.isProbe {
		return 0
	}
	return estimate
}

// expire refuses the waiting requests that would miss their deadline even if
// they started now.
func (q *Queue) expire(now time.Duration, actions []Action) []Action {
	for e := q.waiting.oldest; e != nil; {
		next := e.newer
		if missesDeadline(now, e.item.Deadline, q.deadlineServiceTime(e, e.item.Expected)) {
			actions = q.reject(e, ReasonDeadline, q.halfDrainTime(), actions)
		}
		e = next
	}
	return actions
}

// refusalOnArrival returns why an arriving item must be refused, and when a
// similar item could be accepted: the item would miss its deadline, or it would
// wait too long in a standing queue. It returns ReasonNone if the item can be
// accepted.
func (q *Queue) refusalOnArrival(now time.Duration, item Item) (Reason, time.Duration) {
	if q.cfg.NoEarlyRefusal {
		return ReasonNone, 0
	}
	wait := q.estimateWait(now, item)
	serviceTime := item.Expected
	if wait > 0 {
		serviceTime = item.HighEstimate
	}
	if missesDeadline(now+wait, item.Deadline, serviceTime) {
		return ReasonDeadline, max(now+wait+serviceTime-item.Deadline, minRetryAfter)
	}
	overload := &q.overload[item.Class]
	limit := overload.waitLimit(item)
	if overload.standing && wait > limit {
		return q.queueFullReason(item), max(wait-limit, minRetryAfter)
	}
	return ReasonNone, 0
}

// estimateWait returns the expected waiting time of an arriving item.
func (q *Queue) estimateWait(now time.Duration, item Item) time.Duration {
	if q.waiting.len() == 0 && q.readyClasses(now).Allows(item.Class) {
		return 0
	}
	ahead := q.workAhead(item) + item.Mean
	wait := time.Duration(float64(ahead) / q.effectiveSlots(now, item.Class))
	return max(wait, q.limiter.pausedUntil-now)
}

// workAhead returns the total service time of the requests that will start
// before the item.
func (q *Queue) workAhead(item Item) time.Duration {
	work := q.waiting.work[item.Class]
	if q.cfg.NoFairShare {
		return work
	}
	totalWeight := q.waiting.totalWeight
	client := q.waiting.clients[item.Client]
	if client == nil {
		return 0
	}
	fairWork := time.Duration(float64(client.work[item.Class]) * float64(totalWeight) / float64(client.weight))
	return min(work, fairWork)
}

// effectiveSlots estimates how many slots serve a class while both classes
// wait.
func (q *Queue) effectiveSlots(now time.Duration, c Class) float64 {
	concurrency := float64(q.limiter.allowedSlots())
	if c == Short {
		free := concurrency - float64(q.running.nonShort())
		return max(free, 1)
	}
	free := concurrency - float64(q.reservedSlots(now))
	if q.waiting.shortCount > 0 {
		free = min(free, concurrency*longClassWeight/(longClassWeight+shortClassWeight))
	}
	return max(free, 0.5)
}

// halfDrainTime estimates how long the queue needs to serve half of its waiting
// requests.
func (q *Queue) halfDrainTime() time.Duration {
	work := q.waiting.work[Short] + q.waiting.work[Long]
	half := work / time.Duration(2*q.limiter.allowedSlots())
	return max(half, minRetryAfter)
}

// victim returns the waiting request to evict in favour of an item whose client
// is within its fair share, or nil.
func (q *Queue) victim(item Item) *entry {
	if q.cfg.NoFairShare || q.exceedsFairShare(item) {
		return nil
	}
	name, heaviest := q.waiting.heaviest()
	if heaviest == nil || name == item.Client {
		return nil
	}
	if heaviest.count <= 1 {
		return nil
	}
	return q.waiting.newestOf(name)
}

// exceedsFairShare reports whether one more request would give the client more
// than its fair share of the queue.
func (q *Queue) exceedsFairShare(item Item) bool {
	totalWeight, count := q.waiting.totalWeight, 0
	client := q.waiting.clients[item.Client]
	if client == nil {
		totalWeight += item.Weight
	} else {
		count = client.count
	}
	return (count+1)*totalWeight > q.cfg.Limit*item.Weight
}

func (q *Queue) queueFullReason(item Item) Reason {
	if !q.cfg.NoFairShare && len(q.waiting.clients) > 1 && q.exceedsFairShare(item) {
		return ReasonOverShare
	}
	return ReasonQueueFull
}
