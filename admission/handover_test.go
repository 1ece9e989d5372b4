package admission

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// adoptFrom returns the harness of the gateway that takes the target over from
// previous.
func adoptFrom(t *testing.T, previous *harness, cfg Config, l Learned) *harness {
	t.Helper()
	next := newHarness(cfg)
	next.now = previous.now
	actions, err := next.queue.Adopt(next.now, l)
	assert.NilError(t, err)
	next.apply(actions)
	return next
}

// TestAdoptedQueueKeepsLearnedStateAndHeldSlots checks that the next gateway
// has the estimates of the previous one and uses a warm target's slots at once,
// except those that the previous gateway's requests still hold.
func TestAdoptedQueueKeepsLearnedStateAndHeldSlots(t *testing.T) {
	cfg := Config{Slots: 6, Limit: 20, ShortReserve: NoReserve}
	w := newTrainedHarness(cfg)
	for range 4 {
		w.arrive(Request{Client: "c", Route: 2, Deadline: w.now + time.Second})
	}
	w.now += 40 * ms
	l, actions := w.queue.HandOver(w.now)
	assert.Equal(t, len(actions), 0)
	assert.Equal(t, l.Concurrency, 6)
	assert.Equal(t, len(l.Held), 4)
	assert.DeepEqual(t, l.Held[0], HeldSlot{Left: 60 * ms, Long: true})

	next := adoptFrom(t, w, cfg, l)
	for _, route := range []RouteID{1, 2, 3} {
		assert.Equal(t, next.queue.Expected(route), w.queue.Expected(route))
		assert.Equal(t, next.queue.learner.classOf(route), w.queue.learner.classOf(route))
	}
	for range 4 {
		next.arrive(Request{Client: "c", Route: 1})
	}
	assert.Equal(t, len(next.running), 2, "four slots are inherited")
	next.now += 60 * ms
	next.apply(next.queue.Tick(next.now))
	assert.Equal(t, len(next.running), 4)
	again, _ := next.queue.HandOver(next.now)
	assert.Equal(t, len(again.Held), 4)
}

// TestHandOverRefusesWaitingRequests checks that waiting requests, which were
// not run, are refused as draining at once.
func TestHandOverRefusesWaitingRequests(t *testing.T) {
	w := newHarness(Config{Slots: 1, Limit: 20})
	for range 3 {
		w.arrive(Request{Client: "c"})
	}
	_, actions := w.queue.HandOver(w.now)
	w.apply(actions)
	assert.Equal(t, len(w.running), 1)
	assert.Equal(t, w.refused[2].Reason, ReasonDraining)
	assert.Equal(t, w.refused[3].Reason, ReasonDraining)
	assert.Equal(t, w.queue.Waiting(), 0)
}

// TestAdoptRefusesWaitingRequestsThatMissTheirDeadline checks that requests
// that arrived before the learned state are evaluated with it, and refused
// while it is certain that they did not run.
func TestAdoptRefusesWaitingRequestsThatMissTheirDeadline(t *testing.T) {
	w := newTrainedHarness(Config{Slots: 1, Limit: 20})
	l, _ := w.queue.HandOver(w.now)
	next := newHarness(Config{Slots: 1, Limit: 20})
	next.now = w.now
	first := next.arrive(Request{Client: "c", Route: 2, Deadline: next.now + time.Second})
	late := next.arrive(Request{Client: "c", Route: 2, Deadline: next.now + 90*ms})
	assert.Equal(t, len(next.refused), 0)
	actions, err := next.queue.Adopt(next.now, l)
	assert.NilError(t, err)
	next.apply(actions)
	assert.Equal(t, next.refused[late].Reason, ReasonDeadline)
	assert.Equal(t, len(next.running), 1)
	next.done(first, Completed)
	assert.Equal(t, next.queue.Running(), 0)
}

func TestAdoptBoundsAndValidatesLearnedState(t *testing.T) {
	cfg := Config{Slots: 2, Limit: 20}
	next := adoptFrom(t, newHarness(cfg), cfg, Learned{Concurrency: 100, Held: make([]HeldSlot, 100)})
	assert.Equal(t, next.queue.Stats().Concurrency, 2)
	long := HeldSlot{Left: math.MaxInt64}
	next = adoptFrom(t, newHarness(cfg), cfg, Learned{Concurrency: 2, Held: []HeldSlot{long, long, long}})
	assert.Equal(t, next.queue.Running(), 2)
	next.now += maxHeldTime
	next.apply(next.queue.Tick(next.now))
	assert.Equal(t, next.queue.Running(), 0)

	for name, l := range map[string]Learned{
		"no concurrency":        {},
		"negative service time": {Concurrency: 1, All: []time.Duration{-1}},
		"service time too long": {Concurrency: 1, Routes: []LearnedRoute{{Baseline: math.MaxInt64}}},
		"too many samples":      {Concurrency: 1, Stragglers: make([]time.Duration, windowSize+1)},
		"too many routes":       {Concurrency: 1, Routes: make([]LearnedRoute, maxRoutes+1)},
		"arrivals not a number": {Concurrency: 1, Routes: []LearnedRoute{{Arrivals: math.NaN()}}},
	} {
		_, err := New(cfg).Adopt(0, l)
		assert.Assert(t, errors.Is(err, ErrInvalidLearned), name)
	}
}

// TestInheritedSlotsDoNotCausePreemption checks that inherited slots do not
// count as stragglers: how long their requests should run is not known here, so
// no other request is cancelled because of them.
func TestInheritedSlotsDoNotCausePreemption(t *testing.T) {
	cfg := Config{Slots: 6, Limit: 20, Preempt: true}
	quick := LearnedRoute{Samples: slices.Repeat([]time.Duration{ms}, minSamples), Baseline: ms}
	held := HeldSlot{Left: 900 * ms}
	l := Learned{Concurrency: 6, Routes: []LearnedRoute{quick}, Held: []HeldSlot{held, held, held, held, held}}
	w := adoptFrom(t, newHarness(cfg), cfg, l)
	for range 2 {
		w.arrive(Request{Client: "c", Idempotent: true})
	}
	w.now += 20 * ms
	w.apply(w.queue.Tick(w.now))
	assert.Equal(t, len(w.running), 1)
	assert.Equal(t, len(w.preempted), 0)
}
