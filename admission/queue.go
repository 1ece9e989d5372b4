package admission

import "time"

// Queue admits the requests of one target. It is not safe for concurrent use.
type Queue struct {
	cfg       Config
	order     Order
	learner   *learner
	limiter   limiter
	waiting   waitingSet
	running   runningSet
	demand    [numClasses]demand // of arriving requests
	overload  [numClasses]overloadDetector
	draining  bool
	lastSweep time.Duration
}

// sweepInterval is the minimum time between two sweeps that are triggered by
// events other than Tick.
const sweepInterval = time.Millisecond

// New returns the queue of a cold target. A nil Order means a FairOrder.
func New(cfg Config) *Queue {
	if cfg.Order == nil {
		cfg.Order = NewFairOrder()
	}
	cfg = cfg.effective()
	q := &Queue{
		cfg:     cfg,
		order:   cfg.Order,
		learner: newLearner(),
		waiting: newWaitingSet(),
	}
	for c := range q.overload {
		q.overload[c] = newOverloadDetector()
	}
	q.limiter = newLimiter(q.usableSlots(), cfg.FixedConcurrency)
	return q
}

// effective returns the configuration after applying minimums and the order's
// own settings.
func (c Config) effective() Config {
	c.Slots = max(c.Slots, 1)
	if order, ok := c.Order.(Configurer); ok {
		order.Configure(&c)
	}
	return c
}

// usableSlots returns the number of slots, bounded by the number of
// connections.
func (q *Queue) usableSlots() int {
	if q.cfg.Connections > 0 {
		return min(q.cfg.Slots, q.cfg.Connections)
	}
	return q.cfg.Slots
}

// Arrive adds a request. If the request starts or is refused at once, that
// action is among those returned.
func (q *Queue) Arrive(now time.Duration, r Request) []Action {
	actions := q.sweepIfDue(now, nil)
	if q.draining {
		return append(actions, refuse(r.ID, ReasonDraining, drainRetryAfter))
	}
	actions = q.dispatch(now, actions)
	q.learner.recordArrival(r.Route)
	item := q.newItem(now, r)
	q.demand[item.Class].add(now, item.Mean)
	q.overload[item.Class].recordArrival(item)
	e := &entry{item: item, route: r.Route, idempotent: r.Idempotent}
	if reason, retryAfter := q.refusalOnArrival(now, item); reason != ReasonNone {
		if !q.learner.admitProbe(now, r.Route) {
			return append(actions, refuse(r.ID, reason, retryAfter))
		}
		e.isProbe = true
	}
	if q.waiting.len() >= q.cfg.Limit && !q.readyClasses(now).Allows(item.Class) {
		victim := q.victim(item)
		if victim == nil {
			return append(actions, refuse(r.ID, q.queueFullReason(item), q.halfDrainTime()))
		}
		actions = q.reject(victim, ReasonOverShare, q.halfDrainTime(), actions)
	}
	q.push(e)
	return q.dispatchAndPreempt(now, actions)
}

// Done frees the slot of a started request. An ID that is not running is
// ignored.
func (q *Queue) Done(now time.Duration, id uint64, r Result) []Action {
	actions := q.sweepIfDue(now, nil)
	if job := q.running.remove(id); job != nil {
		q.recordResult(now, job, r)
		actions = q.requeuePreempted(now, job, r.Kind, actions)
	}
	return q.dispatchAndPreempt(now, actions)
}

// Cancel removes a waiting request whose caller has disconnected; it was not
// run. A running request keeps its slot until Done.
func (q *Queue) Cancel(now time.Duration, id uint64) []Action {
	if e := q.waiting.byID[id]; e != nil {
		q.removeWaiting(e)
	} else if job := q.running.find(id); job != nil {
		job.abandoned = true
	}
	return q.dispatchAndPreempt(now, q.sweepIfDue(now, nil))
}

// Tick refuses requests that can no longer meet their deadline, detects
// stragglers and starts requests in free slots. Call it every few milliseconds
// while requests wait.
func (q *Queue) Tick(now time.Duration) []Action {
	return q.dispatchAndPreempt(now, q.sweep(now, nil))
}

// sweepIfDue sweeps if sweepInterval has passed since the last sweep.
func (q *Queue) sweepIfDue(now time.Duration, actions []Action) []Action {
	if now-q.lastSweep < sweepInterval {
		return actions
	}
	return q.sweep(now, actions)
}

// sweep checks every waiting and running request.
func (q *Queue) sweep(now time.Duration, actions []Action) []Action {
	q.lastSweep = now
	q.freeInheritedSlots(now)
	q.markStragglers(now)
	return q.expire(now, actions)
}

// dispatchAndPreempt starts requests in free slots, and requests a preemption
// if short work gets no slot.
func (q *Queue) dispatchAndPreempt(now time.Duration, actions []Action) []Action {
	return q.preemptStraggler(now, q.dispatch(now, actions))
}

// Drain refuses all waiting requests, which were not run, and every later
// arrival. Running requests may finish.
func (q *Queue) Drain(time.Duration) []Action {
	q.draining = true
	var actions []Action
	for e := q.waiting.oldest; e != nil; e = q.waiting.oldest {
		actions = q.reject(e, ReasonDraining, drainRetryAfter, actions)
	}
	return actions
}

// Resume ends a drain. The target is treated as cold.
func (q *Queue) Resume(now time.Duration) []Action {
	q.draining = false
	return q.MarkCold(now)
}

// MarkCold begins a slow start, after the target restarted.
func (q *Queue) MarkCold(now time.Duration) []Action {
	q.limiter.restart()
	return q.Tick(now)
}

// SetSlots changes the number of slots. If more requests are running, they may
// finish.
func (q *Queue) SetSlots(now time.Duration, slots int) []Action {
	q.cfg.Slots = max(slots, 1)
	q.limiter.setSlots(q.usableSlots())
	return q.Tick(now)
}

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return len(q.running.jobs) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting.len() }

// Stats returns a snapshot of the queue.
func (q *Queue) Stats() Stats {
	return Stats{
		Running:     q.Running(),
		Waiting:     q.Waiting(),
		Long:        q.running.long,
		Stragglers:  q.running.stragglers,
		Concurrency: q.limiter.allowedSlots(),
		Slots:       q.usableSlots(),
		Clients:     len(q.waiting.clients),
		Draining:    q.draining,
	}
}

// Expected returns the learned median service time of a route, 0 if unknown.
func (q *Queue) Expected(id RouteID) time.Duration { return q.learner.medianTime(id) }

func (q *Queue) newItem(now time.Duration, r Request) Item {
	next := q.forecast(r)
	return Item{
		ID:           r.ID,
		Client:       r.Client,
		Weight:       max(r.Weight, 1),
		Class:        q.learner.classOf(r.Route),
		Expected:     next.expected,
		HighEstimate: next.high,
		Mean:         next.mean,
		Arrived:      now,
		Deadline:     r.Deadline,
	}
}

func (q *Queue) forecast(r Request) forecast {
	if q.cfg.Preempt && r.Idempotent && q.learner.classOf(r.Route) == Short {
		return q.learner.forecastPreemptible(r.Route)
	}
	return q.learner.forecast(r.Route)
}

func (q *Queue) push(e *entry) {
	q.waiting.add(e)
	q.order.Push(e.item)
}

func (q *Queue) removeWaiting(e *entry) {
	q.waiting.remove(e)
	q.order.Remove(e.item.ID)
}

// reject removes a waiting request and refuses it.
func (q *Queue) reject(e *entry, reason Reason, retryAfter time.Duration, actions []Action) []Action {
	q.removeWaiting(e)
	return append(actions, refuse(e.item.ID, e.refusalReason(reason), retryAfter))
}

func refuse(id uint64, reason Reason, retryAfter time.Duration) Action {
	return Action{Kind: Refuse, ID: id, Reason: reason, RetryAfter: retryAfter}
}
