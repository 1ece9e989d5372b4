package admission

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxLearnedServiceTime bounds a service time that is handed over.
	maxLearnedServiceTime = time.Hour
	// maxHeldTime bounds how long a slot counts as held by the previous
	// gateway.
	maxHeldTime = time.Minute
)

// ErrInvalidLearned is returned for learned state that no queue can have produced.
var ErrInvalidLearned = errors.New("invalid learned target state")

// Learned is the state that a queue has learned about its target. It is handed
// to the gateway that serves the target immediately after this one.
type Learned struct {
	Concurrency int  // slots that may be used, including those that are held
	Cold        bool // a slow start is in progress
	Routes      []LearnedRoute
	All         []time.Duration // service times of all routes, oldest first
	Stragglers  []time.Duration
	Held        []HeldSlot
}

// LearnedRoute holds the learned service times of one route.
type LearnedRoute struct {
	Route    RouteID
	Samples  []time.Duration // oldest first
	Baseline time.Duration   // slowly follows the recent low quantile
	Arrivals float64         // decayed number of arrivals
}

// HeldSlot is a slot held by a request of the previous gateway.
type HeldSlot struct {
	Left time.Duration // estimated time until the slot is free
	Long bool
}

// Check returns an error if no queue can have learned this state.
func (l Learned) Check() error {
	if l.Concurrency < 1 || len(l.Routes) > maxRoutes {
		return errors.Wrapf(ErrInvalidLearned, "concurrency %d, %d routes", l.Concurrency, len(l.Routes))
	}
	windows := [][]time.Duration{l.All, l.Stragglers}
	for _, r := range l.Routes {
		windows = append(windows, r.Samples, []time.Duration{r.Baseline})
		if !(r.Arrivals >= 0) || math.IsInf(r.Arrivals, 1) {
			return errors.Wrapf(ErrInvalidLearned, "arrival count %v", r.Arrivals)
		}
	}
	for _, samples := range windows {
		if err := checkSamples(samples); err != nil {
			return err
		}
	}
	return nil
}

func checkSamples(samples []time.Duration) error {
	if len(samples) > windowSize {
		return errors.Wrapf(ErrInvalidLearned, "window of %d samples", len(samples))
	}
	for _, s := range samples {
		if s < 0 || s > maxLearnedServiceTime {
			return errors.Wrapf(ErrInvalidLearned, "service time %v out of range", s)
		}
	}
	return nil
}

// HandOver returns the learned state, and refuses all waiting requests: they
// were not run, so the next gateway may start them. Running requests finish.
func (q *Queue) HandOver(now time.Duration) (Learned, []Action) {
	l := q.learner.export()
	l.Concurrency = q.limiter.allowedSlots()
	l.Cold = q.limiter.cold
	for _, j := range q.running.jobs {
		l.Held = append(l.Held, HeldSlot{Left: q.remainingHold(now, j), Long: j.class == Long})
	}
	var actions []Action
	for e := q.waiting.oldest; e != nil; e = q.waiting.oldest {
		actions = q.reject(e, ReasonDraining, minRetryAfter, actions)
	}
	return l, actions
}

// remainingHold estimates how long a job will hold its slot: until the high
// estimate of its route, or until its deadline if it has run for longer than
// that.
func (q *Queue) remainingHold(now time.Duration, j *job) time.Duration {
	remaining := maxHeldTime
	if deadline := j.entry.item.Deadline; deadline > 0 {
		remaining = min(remaining, max(0, deadline-now))
	}
	if expected := j.started + q.learner.highTime(j.entry.route) - now; expected > 0 && !j.inherited {
		remaining = min(remaining, expected)
	}
	return remaining
}

// Adopt imports the state that the previous gateway learned, replacing what
// this queue has learned: it must not have served the target since. Slots held
// by the previous gateway's requests are not used until those requests have
// ended. Waiting requests are evaluated again with the new estimates.
func (q *Queue) Adopt(now time.Duration, l Learned) ([]Action, error) {
	if err := l.Check(); err != nil {
		return nil, err
	}
	q.learner = l.toLearner()
	q.limiter.adoptConcurrency(l.Concurrency, l.Cold)
	q.inheritSlots(now, l.Held)
	q.reestimateWaiting()
	return q.Tick(now), nil
}

// inheritSlots marks slots as held by requests of the previous gateway.
func (q *Queue) inheritSlots(now time.Duration, held []HeldSlot) {
	for _, h := range held[:min(len(held), q.usableSlots())] {
		class := Short
		if h.Long {
			class = Long
		}
		e := &entry{item: Item{Class: class, Deadline: now + min(max(h.Left, 0), maxHeldTime)}}
		q.running.add(&job{entry: e, class: class, started: now, inherited: true})
	}
}

// freeInheritedSlots frees the slots that requests of the previous gateway have
// held for the expected time. If such a request runs for longer, the target
// sheds the request sent in its place, without running it.
func (q *Queue) freeInheritedSlots(now time.Duration) {
	for i := len(q.running.jobs) - 1; i >= 0; i-- {
		j := q.running.jobs[i]
		if j.inherited && now >= j.entry.item.Deadline {
			q.running.removeAt(i)
		}
	}
}

// reestimateWaiting updates the class and estimates of the waiting requests.
func (q *Queue) reestimateWaiting() {
	waiting := make([]*entry, 0, q.waiting.len())
	for e := q.waiting.oldest; e != nil; e = e.newer {
		waiting = append(waiting, e)
	}
	for _, e := range waiting {
		if e.wasPreempted {
			continue
		}
		q.removeWaiting(e)
		e.item.Class = q.learner.classOf(e.route)
		e.item.Expected = q.learner.medianTime(e.route)
		e.item.HighEstimate = q.learner.highTime(e.route)
		q.push(e)
	}
}

// adoptConcurrency sets the concurrency that another gateway learned.
func (l *limiter) adoptConcurrency(concurrency int, cold bool) {
	if l.fixed {
		return
	}
	l.restart()
	l.usable = float64(min(concurrency, l.slots))
	l.cold = cold && concurrency < l.slots
}

func (l *learner) export() Learned {
	out := Learned{All: l.allRoutes.samples.oldestFirst(), Stragglers: l.stragglers.oldestFirst()}
	for id, r := range l.routes {
		out.Routes = append(out.Routes, LearnedRoute{
			Route: id, Samples: r.samples.oldestFirst(), Baseline: r.baseline, Arrivals: r.arrivals,
		})
	}
	return out
}

func (l Learned) toLearner() *learner {
	out := newLearner()
	for _, s := range l.All {
		out.allRoutes.samples.add(s)
	}
	for _, s := range l.Stragglers {
		out.stragglers.add(s)
	}
	for _, learned := range l.Routes {
		r := newRouteStats()
		for _, s := range learned.Samples {
			r.add(s)
		}
		r.baseline = learned.Baseline
		r.arrivals = learned.Arrivals
		out.routes[learned.Route] = r
	}
	out.updateShortMedian()
	return out
}

// oldestFirst returns the samples in order of arrival.
func (w *window) oldestFirst() []time.Duration {
	older, newer := w.ring[w.next:], w.ring[:w.next]
	return append(append([]time.Duration(nil), older...), newer...)
}
