package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// splitOf repeats the samples until the window is full.
func splitOf(samples ...time.Duration) *serviceTimeSplit {
	s := newServiceTimeSplit()
	for i := range splitWindowSize {
		s.add(samples[i%len(samples)])
	}
	return &s
}

func TestServiceTimeSplit(t *testing.T) {
	tests := []struct {
		name               string
		samples            []time.Duration
		median, high, mean time.Duration
		bound              time.Duration
	}{
		{"equal", []time.Duration{10 * ms}, 10 * ms, 10 * ms, 10 * ms, 30 * ms},
		{"spread", []time.Duration{8 * ms, 10 * ms, 12 * ms, 14 * ms}, 12 * ms, 14 * ms, 11 * ms, 36 * ms},
		{"one in four long", []time.Duration{10 * ms, 10 * ms, 10 * ms, 150 * ms}, 10 * ms, 10 * ms, 15 * ms, 30 * ms},
		{"most long", []time.Duration{10 * ms, 150 * ms, 150 * ms, 150 * ms}, 150 * ms, 150 * ms, 115 * ms, 450 * ms},
		{"one in five quick", []time.Duration{ms, 20 * ms, 20 * ms, 20 * ms, 20 * ms}, 20 * ms, 20 * ms, 16140625, 60 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := splitOf(tt.samples...)
			assert.Equal(t, s.median, tt.median)
			assert.Equal(t, s.high, tt.high)
			assert.Equal(t, s.mean, tt.mean)
			assert.Equal(t, s.stragglerBound, tt.bound)
		})
	}
}

// newMixedHarness returns a harness whose queue has learned route 1 as a mix of
// four short requests to one that takes fifteen times as long.
func newMixedHarness(cfg Config) *harness {
	w := newHarness(cfg)
	for range 2 * arrivalsPerMedianUpdate {
		w.serve(4, 1, 10*ms)
		w.serve(1, 1, 150*ms)
	}
	return w
}

// TestLongRequestsOfARouteDoNotCauseRefusalOfItsShortRequests guards against
// refusing short requests because of the service time of long ones of the same
// route, after which only long ones are left to learn from.
func TestLongRequestsOfARouteDoNotCauseRefusalOfItsShortRequests(t *testing.T) {
	w := newMixedHarness(Config{Slots: 2, Limit: 50, Preempt: true})
	var ids []uint64
	for range 6 {
		ids = append(ids, w.arrive(Request{Client: "c", Route: 1, Idempotent: true, Deadline: w.now + 120*ms}))
	}
	assert.Equal(t, len(w.refused), 0, "refused on arrival")
	w.now += 10 * ms
	w.done(ids[0], Completed)
	assert.Equal(t, len(w.refused), 0, "refused when popped")
	assert.Assert(t, cmp.Contains(w.running, ids[2]))
}

// TestNonIdempotentRequestIsNotRefusedForTailServiceTime checks the deadline of
// a request that must not be preempted: it may run to its end, but most
// requests of its route are short, so the short service time decides and not
// that of the tail.
func TestNonIdempotentRequestIsNotRefusedForTailServiceTime(t *testing.T) {
	w := newMixedHarness(Config{Slots: 2, Limit: 50, Preempt: true})
	for range 2 {
		w.arrive(Request{Client: "c", Route: 1})
	}
	id := w.arrive(Request{Client: "c", Route: 1, Deadline: w.now + 120*ms})
	assert.Equal(t, w.refused[id].Reason, ReasonNone)
	id = w.arrive(Request{Client: "c", Route: 1, Deadline: w.now + 25*ms})
	assert.Equal(t, w.refused[id].Reason, ReasonDeadline, "the wait plus a short service time exceed the deadline")
}

// TestPreemptedRequestsCountInServiceTimeSplit checks that a route whose long
// requests are preempted does not appear to have no long requests.
func TestPreemptedRequestsCountInServiceTimeSplit(t *testing.T) {
	w := newMixedHarness(Config{Slots: 2, Limit: 500, ShortReserve: 1, Preempt: true})
	for range splitWindowSize {
		w.serve(1, 1, 10*ms)
		w.queue.learner.recordPreemption(1, 40*ms)
	}
	s := w.queue.learner.splitFor(1)
	assert.Equal(t, s.median, 10*ms)
	assert.Equal(t, s.mean, 20*ms, "half run for 10 ms and half until they are preempted")
}

// TestRerunDemandCountsOnlyForRoutesWithLongWork guards against giving long
// work of a mixed route one slot of three whatever its demand, so that a
// quarter of it is lost while slots are free.
func TestRerunDemandCountsOnlyForRoutesWithLongWork(t *testing.T) {
	rerunDemand := func(w *harness) float64 {
		e := &entry{item: Item{Class: Long, Mean: 150 * ms}, route: 1}
		w.queue.demand[Long] = demand{}
		w.queue.addRerunDemand(w.now, e)
		return w.queue.demand[Long].workSeconds
	}
	cfg := Config{Slots: 3, Limit: 50, Preempt: true}
	w := newMixedHarness(cfg)
	assert.Equal(t, rerunDemand(w), 0.15)
	w.queue.overload[Short].standing = true
	assert.Equal(t, rerunDemand(w), 0.0, "short work is refused for overload")
	w = newHarness(cfg)
	w.serve(splitWindowSize-3, 1, 10*ms)
	w.serve(3, 1, 500*ms)
	assert.Equal(t, rerunDemand(w), 0.0, "a few stragglers")
}
