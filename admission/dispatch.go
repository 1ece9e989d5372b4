package admission

import "time"

// readyClasses returns the classes that may start now.
func (q *Queue) readyClasses(now time.Duration) Ready {
	concurrency := q.limiter.allowedSlots()
	if q.Running() >= concurrency || q.limiter.isPaused(now) {
		return Ready{}
	}
	return Ready{
		Short: true,
		Long:  q.running.nonShort() < concurrency-q.reservedSlots(now),
	}
}

// reservedSlots returns the number of slots that long work must leave free now.
func (q *Queue) reservedSlots(now time.Duration) int {
	concurrency := q.limiter.allowedSlots()
	switch q.cfg.ShortReserve {
	case NoReserve:
		return 0
	case LearnedReserve:
		return shortReserveSlots(concurrency, q.demand[Short].busySlots(now), q.demand[Long].busySlots(now))
	default:
		return min(q.cfg.ShortReserve, concurrency-1)
	}
}

// dispatch starts waiting requests while slots are free.
func (q *Queue) dispatch(now time.Duration, actions []Action) []Action {
	for {
		ready := q.readyClasses(now)
		if !ready.Short {
			return actions
		}
		item, ok := q.order.Pop(ready)
		if !ok {
			return actions
		}
		e := q.waiting.byID[item.ID]
		q.waiting.remove(e)
		if q.willMissDeadline(now, e) {
			actions = append(actions, refuse(item.ID, e.refusalReason(ReasonDeadline), q.halfDrainTime()))
			continue
		}
		if q.waitedTooLong(now, e) {
			actions = append(actions, refuse(item.ID, e.refusalReason(ReasonQueueFull), q.halfDrainTime()))
			continue
		}
		q.learner.recordStart(now, e.route)
		q.overload[item.Class].recordStart(now, item)
		q.running.add(newJob(now, e))
		actions = append(actions, Action{Kind: Start, ID: item.ID})
	}
}

// recordResult updates the limiter and the learner with the end of a request.
func (q *Queue) recordResult(now time.Duration, job *job, r Result) {
	switch r.Kind {
	case Completed:
		q.limiter.recordCompletion(now)
		q.recordServiceTime(now, job, r.Took)
	case Shed:
		q.limiter.recordShed(now, q.Running()+1, r.RetryAfter)
	case Failed:
		q.limiter.recordFailure(now)
	case Cancelled:
		// The request would have run for at least this long.
		if !job.preempted && r.Took > q.learner.highTime(job.entry.route) {
			q.learner.add(job.entry.route, r.Took)
		}
	}
}

// recordServiceTime records a service time. A request that was preempted before
// is known to be a straggler, so its time says nothing about its route or the
// target's speed.
func (q *Queue) recordServiceTime(now time.Duration, job *job, took time.Duration) {
	if job.straggler || job.entry.wasPreempted {
		q.learner.stragglers.add(took)
	}
	if job.entry.wasPreempted {
		return
	}
	if q.learner.add(job.entry.route, took) {
		q.limiter.recordSlowdown(now)
	}
}

func (q *Queue) markStragglers(now time.Duration) {
	for _, job := range q.running.jobs {
		if job.class != Short || job.straggler || job.inherited {
			continue
		}
		bound := q.learner.stragglerBound(job.entry.route)
		if bound > 0 && now-job.started > bound {
			q.running.markStraggler(job)
		}
	}
}

// preemptStraggler requests the cancellation of one idempotent straggler while
// stragglers occupy reserved slots and short work waits.
func (q *Queue) preemptStraggler(now time.Duration, actions []Action) []Action {
	if !q.cfg.Preempt || q.waiting.shortCount <= q.running.cancelling {
		return actions
	}
	concurrency := q.limiter.allowedSlots()
	nonShort := q.running.nonShort() - q.running.cancelling
	if q.Running() < concurrency || nonShort <= concurrency-q.reservedSlots(now) {
		return actions
	}
	job := q.running.youngestPreemptible()
	if job == nil {
		return actions
	}
	q.running.markPreempted(job)
	return append(actions, Action{Kind: Preempt, ID: job.entry.item.ID})
}

// requeuePreempted queues a preempted request again as a long one.
func (q *Queue) requeuePreempted(now time.Duration, job *job, kind ResultKind, actions []Action) []Action {
	if !job.preempted || job.abandoned || kind != Cancelled {
		return actions
	}
	e := job.entry
	e.wasPreempted = true
	e.item.Class = Long
	e.item.Expected = q.learner.rerunTime(now - job.started)
	e.item.HighEstimate = e.item.Expected
	e.item.Mean = e.item.Expected
	q.learner.recordPreemption(e.route, now-job.started)
	full := q.waiting.len() >= q.cfg.Limit
	if q.draining || full || missesDeadline(now, e.item.Deadline, e.item.HighEstimate) {
		return append(actions, refuse(e.item.ID, ReasonPreempted, 0))
	}
	q.addRerunDemand(now, e)
	q.push(e)
	return actions
}

// addRerunDemand adds a preempted request to the demand of long work, for which
// slots are kept, if a substantial part of its route's requests is long rather
// than just a few stragglers. It does not while short work is refused for
// overload, because then short work keeps the slots.
func (q *Queue) addRerunDemand(now time.Duration, e *entry) {
	if q.overload[Short].standing || q.learner.splitFor(e.route).longFraction < minLongWorkFraction {
		return
	}
	q.demand[Long].add(now, e.item.Mean)
}
