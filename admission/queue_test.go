package admission

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

const ms = time.Millisecond

// harness drives a queue and records which requests run and which were refused
// or preempted.
type harness struct {
	queue     *Queue
	now       time.Duration
	lastID    uint64
	running   map[uint64]time.Duration // start time by ID
	refused   map[uint64]Action
	preempted []uint64
}

func newHarness(cfg Config) *harness {
	return &harness{
		queue:   New(cfg),
		running: make(map[uint64]time.Duration),
		refused: make(map[uint64]Action),
	}
}

func (w *harness) apply(actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case Start:
			w.running[a.ID] = w.now
		case Refuse:
			w.refused[a.ID] = a
		case Preempt:
			w.preempted = append(w.preempted, a.ID)
		}
	}
}

func (w *harness) arrive(r Request) uint64 {
	w.lastID++
	r.ID = w.lastID
	w.apply(w.queue.Arrive(w.now, r))
	return r.ID
}

func (w *harness) done(id uint64, kind ResultKind) {
	took := w.now - w.running[id]
	delete(w.running, id)
	w.apply(w.queue.Done(w.now, id, Result{Took: took, Kind: kind}))
}

// serve runs n requests of a route one after the other.
func (w *harness) serve(n int, route RouteID, serviceTime time.Duration) {
	for range n {
		id := w.arrive(Request{Client: "teacher", Route: route, Idempotent: true})
		w.now += serviceTime
		w.done(id, Completed)
	}
}

// newTrainedHarness returns a harness whose queue has learned route 1 as short
// and route 2 as long.
func newTrainedHarness(cfg Config) *harness {
	w := newHarness(cfg)
	w.serve(arrivalsPerMedianUpdate, 1, 10*ms)
	w.serve(arrivalsPerMedianUpdate, 2, 100*ms)
	w.serve(arrivalsPerMedianUpdate, 1, 10*ms)
	return w
}

func TestRequestsStartInOrderWithinSlots(t *testing.T) {
	w := newHarness(Config{Slots: 2, Limit: 4, FixedConcurrency: true})
	for range 4 {
		w.arrive(Request{Client: "c"})
	}
	assert.Equal(t, w.queue.Running(), 2)
	assert.Equal(t, w.queue.Waiting(), 2)
	w.now += ms
	w.done(1, Completed)
	_, third := w.running[3]
	assert.Assert(t, third)
	w.apply(w.queue.Cancel(w.now, 4))
	assert.Equal(t, w.queue.Waiting(), 0)
}

func TestConnectionsLimitSlots(t *testing.T) {
	w := newHarness(Config{Slots: 6, Connections: 2, Limit: 9, FixedConcurrency: true})
	for range 5 {
		w.arrive(Request{Client: "c"})
	}
	assert.Equal(t, w.queue.Running(), 2)
}

func TestColdTargetGainsOneSlotPerAnswer(t *testing.T) {
	w := newHarness(Config{Slots: 4, Limit: 20})
	for range 10 {
		w.arrive(Request{Client: "c"})
	}
	assert.Equal(t, w.queue.Running(), 1)
	for id := uint64(1); id <= 3; id++ {
		w.now += ms
		w.done(id, Completed)
	}
	assert.Equal(t, w.queue.Running(), 4)
}

func TestRefusalReasons(t *testing.T) {
	fullQueue := func() *harness {
		w := newTrainedHarness(Config{Slots: 1, Limit: 2})
		w.arrive(Request{Client: "a", Route: 1})
		w.arrive(Request{Client: "a", Route: 1})
		w.arrive(Request{Client: "a", Route: 1})
		return w
	}
	tests := []struct {
		name string
		act  func(w *harness) uint64
		want Reason
	}{
		{"full", func(w *harness) uint64 {
			return w.arrive(Request{Client: "a", Route: 1})
		}, ReasonQueueFull},
		{"deadline", func(w *harness) uint64 {
			return w.arrive(Request{Client: "a", Route: 1, Deadline: w.now + 25*ms})
		}, ReasonDeadline},
		{"over share", func(w *harness) uint64 {
			w.arrive(Request{Client: "b", Route: 1})
			return 0 // the newest request of a, which fills the queue
		}, ReasonOverShare},
		{"draining", func(w *harness) uint64 {
			w.apply(w.queue.Drain(w.now))
			return w.arrive(Request{Client: "a", Route: 1})
		}, ReasonDraining},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := fullQueue()
			newest := w.lastID
			id := tt.act(w)
			if id == 0 {
				id = newest
			}
			assert.Equal(t, w.refused[id].Reason, tt.want)
			assert.Assert(t, w.refused[id].RetryAfter > 0)
		})
	}
}

func TestDrainRefusesWaitingAndKeepsRunningRequests(t *testing.T) {
	w := newHarness(Config{Slots: 1, Limit: 9})
	first := w.arrive(Request{Client: "c"})
	second := w.arrive(Request{Client: "c"})
	w.apply(w.queue.Drain(w.now))
	assert.Equal(t, w.refused[second].Reason, ReasonDraining)
	assert.Equal(t, w.queue.Running(), 1)
	w.done(first, Completed)
	w.apply(w.queue.Resume(w.now))
	third := w.arrive(Request{Client: "c"})
	assert.Assert(t, cmp.Contains(w.running, third))
}

func TestWaitingRequestIsRefusedWhenDeadlineIsUnreachable(t *testing.T) {
	w := newTrainedHarness(Config{Slots: 1, Limit: 9})
	w.arrive(Request{Client: "c", Route: 1})
	late := w.arrive(Request{Client: "c", Route: 1, Deadline: w.now + 40*ms})
	w.now += 35 * ms
	w.apply(w.queue.Tick(w.now))
	assert.Equal(t, w.refused[late].Reason, ReasonDeadline)
	assert.Equal(t, w.queue.Waiting(), 0)
}

func TestLongRequestsLeaveReservedSlotsFree(t *testing.T) {
	w := newTrainedHarness(Config{Slots: 6, Limit: 50, ShortReserve: 2})
	for range 10 {
		w.arrive(Request{Client: "c", Route: 2})
	}
	assert.Equal(t, w.queue.Stats().Long, 4)
	w.arrive(Request{Client: "c", Route: 1})
	assert.Equal(t, w.queue.Running(), 5)
}

func TestLearnedReserveFollowsShortDemand(t *testing.T) {
	w := newTrainedHarness(Config{Slots: 6, Limit: 50})
	for range 300 { // short work that keeps 2 slots busy
		w.now += 5 * ms
		w.done(w.arrive(Request{Client: "c", Route: 1}), Cancelled)
	}
	for range 10 {
		w.arrive(Request{Client: "c", Route: 2})
	}
	long := w.queue.Stats().Long
	assert.Assert(t, long >= 2 && long <= 3, "long %d", long)
}

func TestStragglerIsPreemptedForShortWork(t *testing.T) {
	w := newTrainedHarness(Config{Slots: 2, Limit: 50, ShortReserve: 1, Preempt: true})
	a := w.arrive(Request{Client: "c", Route: 1, Idempotent: true})
	b := w.arrive(Request{Client: "c", Route: 1, Idempotent: true})
	w.now += 200 * ms
	short := w.arrive(Request{Client: "c", Route: 1, Idempotent: true})
	w.apply(w.queue.Tick(w.now))
	assert.Equal(t, w.queue.Stats().Stragglers, 2)
	assert.DeepEqual(t, w.preempted, []uint64{b})
	w.done(b, Cancelled)
	assert.Assert(t, cmp.Contains(w.running, short))
	assert.Equal(t, w.queue.Waiting(), 1, "b waits as a long request")
	w.done(a, Completed)
	assert.Assert(t, cmp.Contains(w.running, b))
}

// TestPreemptedRequestIsChargedForItsNextRun guards against charging a
// preempted request only for the time that it had run, which gives long work
// more than its share.
func TestPreemptedRequestIsChargedForItsNextRun(t *testing.T) {
	w := newTrainedHarness(Config{Slots: 2, Limit: 50, ShortReserve: 1, Preempt: true})
	preemptStraggler := func() uint64 {
		w.arrive(Request{Client: "c", Route: 1})
		b := w.arrive(Request{Client: "c", Route: 1, Idempotent: true})
		w.now += 100 * ms
		w.arrive(Request{Client: "c", Route: 1})
		w.apply(w.queue.Tick(w.now))
		w.done(b, Cancelled)
		return b
	}
	finishAll := func() {
		for len(w.running) > 0 {
			w.now += 500 * ms
			w.done(slices.Min(slices.Collect(maps.Keys(w.running))), Completed)
		}
	}
	for range minSamples {
		preemptStraggler()
		finishAll()
	}
	b := preemptStraggler()
	assert.Assert(t, w.queue.waiting.byID[b].item.Expected >= 500*ms)
}

func TestNonIdempotentRequestsAreNotPreempted(t *testing.T) {
	w := newTrainedHarness(Config{Slots: 2, Limit: 50, ShortReserve: 1, Preempt: true})
	w.arrive(Request{Client: "c", Route: 1})
	w.arrive(Request{Client: "c", Route: 1})
	w.now += 200 * ms
	w.arrive(Request{Client: "c", Route: 1})
	w.apply(w.queue.Tick(w.now))
	assert.Equal(t, w.queue.Stats().Stragglers, 2)
	assert.Equal(t, len(w.preempted), 0)
}

func TestPreemptedRequestIsRefusedAsPreempted(t *testing.T) {
	w := newTrainedHarness(Config{Slots: 2, Limit: 50, ShortReserve: 1, Preempt: true})
	w.arrive(Request{Client: "c", Route: 1})
	b := w.arrive(Request{Client: "c", Route: 1, Idempotent: true})
	w.now += 200 * ms
	w.arrive(Request{Client: "c", Route: 1})
	w.apply(w.queue.Tick(w.now))
	w.done(b, Cancelled)
	w.apply(w.queue.Drain(w.now))
	assert.Equal(t, w.refused[b].Reason, ReasonPreempted)
}

func TestSheddingReducesConcurrency(t *testing.T) {
	w := newTrainedHarness(Config{Slots: 6, Limit: 50})
	for range 6 {
		w.arrive(Request{Client: "c", Route: 1})
	}
	last := w.lastID
	for id := last - 3; id <= last; id++ {
		w.done(id, Shed)
	}
	assert.Equal(t, w.queue.Stats().Concurrency, 2)
	w.now += 2 * time.Second
	w.done(last-4, Completed)
	assert.Equal(t, w.queue.Stats().Concurrency, 3, "one more slot is tried")
}

func TestShedOnlyRequestPausesTarget(t *testing.T) {
	w := newHarness(Config{Slots: 1, Limit: 50})
	a := w.arrive(Request{Client: "c"})
	b := w.arrive(Request{Client: "c"})
	w.done(a, Shed)
	assert.Equal(t, w.queue.Running(), 0)
	w.now += minPause
	w.apply(w.queue.Tick(w.now))
	assert.Assert(t, cmp.Contains(w.running, b))
}

// TestClassesAreLearnedFromArrivals guards against learning the classes from
// answers: under an overload in which little short work is answered, long work
// becomes the measure of short work and starves it.
func TestClassesAreLearnedFromArrivals(t *testing.T) {
	w := newTrainedHarness(Config{Slots: 2, Limit: 4})
	for range 40 {
		w.serve(8, 2, 100*ms)
		for range 80 {
			id := w.arrive(Request{Client: "c", Route: 1, Deadline: w.now + ms})
			if _, started := w.running[id]; started {
				w.done(id, Cancelled)
			}
		}
	}
	assert.Equal(t, w.queue.learner.classOf(1), Short)
	assert.Equal(t, w.queue.learner.classOf(2), Long)
}

// TestStragglersDoNotReduceConcurrency guards against taking a series of
// stragglers for a slow target, which reduces the concurrency to one slot,
// occupied by the stragglers.
func TestStragglersDoNotReduceConcurrency(t *testing.T) {
	w := newTrainedHarness(Config{Slots: 3, Limit: 50})
	for range 10 {
		w.serve(1, 1, 500*ms)
		w.serve(1, 1, 10*ms)
	}
	assert.Equal(t, w.queue.Stats().Concurrency, 3)
}

func TestSlowTargetLosesConcurrency(t *testing.T) {
	w := newTrainedHarness(Config{Slots: 6, Limit: 50})
	w.serve(40, 1, 35*ms)
	got := w.queue.Stats().Concurrency
	assert.Assert(t, got >= 3 && got < 6, "concurrency %d", got)
}

// TestRefusedRouteIsProbed checks that estimates that refuse every request of a
// route are eventually corrected.
func TestRefusedRouteIsProbed(t *testing.T) {
	w := newHarness(Config{Slots: 2, Limit: 4})
	w.serve(windowSize, 1, 300*ms)
	started := 0
	for range 400 { // 20 s of requests that the target now answers in 10 ms
		w.now += 50 * ms
		id := w.arrive(Request{Client: "c", Route: 1, Deadline: w.now + 100*ms})
		if _, ok := w.running[id]; ok {
			started++
			w.now += 10 * ms
			w.done(id, Completed)
		}
	}
	assert.Assert(t, started >= 15, "started %d", started)
}

func TestShortReserveSlots(t *testing.T) {
	tests := []struct {
		name        string
		slots       int
		short, long float64
		want        int
	}{
		{"idle", 6, 0, 0, 1},
		{"short work only", 6, 2.4, 0, 4},
		{"a fifth stays open for long work", 6, 30, 0, 4},
		{"long work demand is met", 6, 1.7, 1.9, 3},
		{"proportional under overload", 6, 14, 16, 3},
		{"few slots", 3, 0.85, 0.95, 1},
		{"one slot", 1, 5, 5, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, shortReserveSlots(tt.slots, tt.short, tt.long), tt.want)
		})
	}
}

func TestSetSlotsBelowRunningLetsRequestsFinish(t *testing.T) {
	w := newHarness(Config{Slots: 4, Limit: 9, FixedConcurrency: true})
	for range 6 {
		w.arrive(Request{Client: "c"})
	}
	w.apply(w.queue.SetSlots(w.now, 2))
	assert.Equal(t, w.queue.Running(), 4, "running requests are not cancelled")
	w.done(1, Completed)
	w.done(2, Completed)
	assert.Equal(t, w.queue.Running(), 2)
	w.done(3, Completed)
	assert.Equal(t, w.queue.Running(), 2)
}

// offerLoad sends short work of one client at a constant rate for the given
// duration. It returns the longest wait among the requests that arrived in the
// second half and the number of refused requests.
func (w *harness) offerLoad(interval, serviceTime, duration time.Duration) (time.Duration, int) {
	begin, nextArrival := w.now, w.now
	arrived := make(map[uint64]time.Duration)
	var longest time.Duration
	refused := len(w.refused)
	for ; w.now < begin+duration; w.now += ms {
		for _, id := range slices.Sorted(maps.Keys(w.running)) {
			if w.now-w.running[id] >= serviceTime {
				w.done(id, Completed)
			}
		}
		for ; nextArrival <= w.now; nextArrival += interval {
			id := w.arrive(Request{Client: "c", Route: 1, Deadline: w.now + 300*ms})
			arrived[id] = w.now
		}
		w.apply(w.queue.Tick(w.now))
		for id, start := range w.running {
			if at, ok := arrived[id]; ok && at > begin+duration/2 {
				longest = max(longest, start-at)
			}
		}
	}
	return longest, len(w.refused) - refused
}

func TestStandingQueueIsKeptShort(t *testing.T) {
	w := newTrainedHarness(Config{Slots: 2, Limit: 256})
	longest, refused := w.offerLoad(2*ms, 10*ms, 4*time.Second) // 2.5 times the capacity
	assert.Assert(t, longest <= 60*ms, "waited %v", longest)
	assert.Assert(t, refused > 1000, "refused %d of 2000", refused)
	longest, refused = w.offerLoad(10*ms, 10*ms, 4*time.Second) // half the capacity
	assert.Assert(t, longest <= 10*ms && refused <= 20, "waited %v, refused %d", longest, refused)
}

func TestBurstIsNotRefused(t *testing.T) {
	w := newTrainedHarness(Config{Slots: 2, Limit: 256})
	for range 20 { // 100 ms of work at once
		w.arrive(Request{Client: "c", Route: 1, Deadline: w.now + time.Second})
	}
	_, refused := w.offerLoad(10*ms, 10*ms, 2*time.Second)
	assert.Equal(t, refused, 0)
	assert.Equal(t, len(w.refused), 0)
}

// TestLateDeadlinesDoNotRaiseTheWaitLimit guards against letting requests with
// late deadlines wait for a fraction of their own time: they keep the queue so
// long that other requests start too late.
func TestLateDeadlinesDoNotRaiseTheWaitLimit(t *testing.T) {
	o := newOverloadDetector()
	late := Item{Expected: 10 * ms, Deadline: 10 * time.Second}
	o.recordArrival(late)
	assert.Equal(t, o.waitLimit(late), time.Second)
	o.recordArrival(Item{Expected: 10 * ms, Deadline: 500 * ms})
	o.recordArrival(Item{Expected: 10 * ms, Deadline: 500 * ms})
	assert.Equal(t, o.waitLimit(late), 50*ms)
}

// TestStandingQueueRefusesRequestsThatWaitedTooLong guards against keeping
// requests in an overloaded cold queue until their deadlines, so that the queue
// learns only from those.
func TestStandingQueueRefusesRequestsThatWaitedTooLong(t *testing.T) {
	w := newHarness(Config{Slots: 1, Limit: 200})
	var last uint64
	for range 100 {
		last = w.arrive(Request{Client: "c", Route: 1, Deadline: 10 * time.Second})
		w.arrive(Request{Client: "c", Route: 2, Deadline: 200 * ms})
	}
	for range 400 {
		w.now += 5 * ms
		w.apply(w.queue.Tick(w.now))
		for id, started := range w.running {
			if w.now-started >= 100*ms {
				w.done(id, Completed)
			}
		}
	}
	assert.Equal(t, w.refused[last].Reason, ReasonQueueFull)
	assert.Equal(t, w.queue.Waiting(), 0)
}
