package main

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/mangopost/mangopost/admission"
)

const (
	tickInterval = 5 * time.Millisecond
	cancelDelay  = time.Millisecond // until a target frees the slot of a cancelled request
	warmUp       = time.Second      // excluded from results, as the queue learns service times

	// slowLatency is the latency above which an answer after a spike counts as
	// still slowed by it.
	slowLatency = 100 * time.Millisecond
)

// flow is a stream of requests of one client on one route.
type flow struct {
	client            string
	weight            int
	route             admission.RouteID
	requestsPerSecond float64
	meanServiceTime   time.Duration
	sigma             float64 // sigma of the logarithm of the service time
	deadline          time.Duration
}

// load describes the requests that arrive at the gateway and the target's faults.
type load struct {
	flows            []flow
	stragglerShare   float64 // share of the requests
	stragglerFactor  float64 // factor of their service times
	length           time.Duration
	shedAboveRunning int // running requests from which on the target sheds; 0: never
	shedFrom         time.Duration
	shedUntil        time.Duration
	shedLatency      time.Duration // time to shed a request
	spikeFactor      float64       // factor of all rates during the spike
	spikeFrom        time.Duration
	spikeUntil       time.Duration
	zipfSkew         float64 // exponent of the page distribution, above 1; 0: all pages differ
	joinIdentical    bool    // one run answers all identical requests that wait
}

// pageCount is the number of distinct pages in a load with a zipfSkew.
const pageCount = 100_000

// inSpike reports whether now is within the spike.
func (l *load) inSpike(now time.Duration) bool {
	return now >= l.spikeFrom && now < l.spikeUntil
}

// request is the state of one simulated request.
type request struct {
	flow        *flow
	arrived     time.Duration
	started     time.Duration
	serviceTime time.Duration
	straggler   bool
	generation  uint64 // incremented by each start and cancellation, so that events of earlier starts are ignored
	page        uint64
	joined      []*request // identical requests that are answered with this one
}

// eventKind is the kind of a simulation event. It has no influence on the order.
type eventKind uint8

const (
	arrival eventKind = iota
	completion
	cancelled
	tick
)

type event struct {
	at         time.Duration
	seq        uint64
	kind       eventKind
	id         uint64
	generation uint64
	flow       *flow
}

// driver simulates requests to an admission.Queue in virtual time. The simulated
// target runs all requests that the queue starts and adds only service times, unless
// the load makes it shed.
type driver struct {
	random        *rand.Rand
	load          load
	queue         *admission.Queue
	events        eventHeap
	lastSeq       uint64
	lastID        uint64
	now           time.Duration
	running       int
	pending       map[uint64]*request
	zipf          *rand.Zipf
	waitingByPage map[uint64]map[uint64]bool // IDs of waiting requests by page
	result        *outcome
}

func newDriver(seed uint64, cfg admission.Config, l load) *driver {
	d := &driver{
		random:        rand.New(rand.NewPCG(seed, 1)),
		load:          l,
		queue:         admission.New(cfg),
		pending:       make(map[uint64]*request),
		waitingByPage: make(map[uint64]map[uint64]bool),
		result:        newOutcome(),
	}
	if l.zipfSkew > 0 {
		d.zipf = rand.NewZipf(d.random, l.zipfSkew, 1, pageCount-1)
	}
	return d
}

// run simulates the load until all requests have ended.
func (d *driver) run() *outcome {
	for i := range d.load.flows {
		d.scheduleArrival(&d.load.flows[i])
	}
	d.push(event{at: tickInterval, kind: tick})
	for d.events.Len() > 0 {
		e := heap.Pop(&d.events).(event)
		d.now = e.at
		d.handle(e)
	}
	d.result.span = d.load.length - warmUp
	return d.result
}

func (d *driver) handle(e event) {
	switch e.kind {
	case arrival:
		d.arrive(e.flow)
	case completion:
		d.finish(e, admission.Completed)
	case cancelled:
		d.finish(e, admission.Cancelled)
	case tick:
		d.apply(d.queue.Tick(d.now))
		if d.now < d.load.length || len(d.pending) > 0 {
			d.push(event{at: d.now + tickInterval, kind: tick})
		}
	}
}

func (d *driver) push(e event) {
	d.lastSeq++
	e.seq = d.lastSeq
	heap.Push(&d.events, e)
}

func (d *driver) scheduleArrival(f *flow) {
	rate := f.requestsPerSecond
	if d.load.inSpike(d.now) {
		rate *= d.load.spikeFactor
	}
	gap := time.Duration(d.random.ExpFloat64() / rate * float64(time.Second))
	if d.now+gap < d.load.length {
		d.push(event{at: d.now + gap, kind: arrival, flow: f})
	}
}

func (d *driver) arrive(f *flow) {
	d.scheduleArrival(f)
	d.lastID++
	r := &request{flow: f, arrived: d.now, serviceTime: d.serviceTime(f)}
	if d.random.Float64() < d.load.stragglerShare {
		r.straggler = true
		r.serviceTime = time.Duration(float64(r.serviceTime) * d.load.stragglerFactor)
	}
	d.pending[d.lastID] = r
	d.result.recordArrival(r)
	d.addWaiting(d.lastID, r)
	d.apply(d.queue.Arrive(d.now, admission.Request{
		ID:         d.lastID,
		Client:     f.client,
		Weight:     f.weight,
		Route:      f.route,
		Deadline:   d.now + f.deadline,
		Idempotent: true,
	}))
}

// serviceTime draws a service time from a log-normal distribution with the flow's
// mean.
func (d *driver) serviceTime(f *flow) time.Duration {
	factor := math.Exp(f.sigma*d.random.NormFloat64() - f.sigma*f.sigma/2)
	return time.Duration(float64(f.meanServiceTime) * factor)
}

func (d *driver) apply(actions []admission.Action) {
	for _, action := range actions {
		if action.Kind != admission.Preempt {
			d.removeWaiting(action.ID, d.pending[action.ID])
		}
	}
	for _, a := range actions {
		r := d.pending[a.ID]
		switch a.Kind {
		case admission.Start:
			d.start(a.ID, r)
		case admission.Refuse:
			d.result.recordRefusal(r, a.Reason)
			delete(d.pending, a.ID)
		case admission.Preempt:
			d.push(event{at: d.now + cancelDelay, kind: cancelled, id: a.ID, generation: r.generation})
		}
	}
}

func (d *driver) start(id uint64, r *request) {
	r.started = d.now
	r.generation++
	d.joinIdentical(r)
	if d.shouldShed() {
		d.result.shedCount++
		d.push(event{at: d.now + d.load.shedLatency, kind: completion, id: id})
		return
	}
	d.running++
	d.result.peakRunning = max(d.result.peakRunning, d.running)
	d.push(event{at: d.now + r.serviceTime, kind: completion, id: id, generation: r.generation})
}

func (d *driver) shouldShed() bool {
	inTime := d.now >= d.load.shedFrom && d.now < d.load.shedUntil
	return d.load.shedAboveRunning > 0 && inTime && d.running >= d.load.shedAboveRunning
}

// finish handles the end of a request and frees its slot. An event with
// generation 0 belongs to a shed request.
func (d *driver) finish(e event, kind admission.ResultKind) {
	r := d.pending[e.id]
	if r == nil || (e.generation != 0 && e.generation != r.generation) {
		return
	}
	elapsed := d.now - r.started
	if e.generation == 0 {
		delete(d.pending, e.id)
		d.apply(d.queue.Done(d.now, e.id, admission.Result{Took: elapsed, Kind: admission.Shed}))
		return
	}
	d.running--
	if kind == admission.Cancelled {
		r.generation++ // so that its completion event is ignored
	} else {
		delete(d.pending, e.id)
		d.result.recordCompletion(d.now, r)
		d.recordSpike(r)
		for _, other := range r.joined {
			d.result.recordCompletion(d.now, other)
		}
	}
	d.apply(d.queue.Done(d.now, e.id, admission.Result{Took: elapsed, Kind: kind}))
}

// recordSpike records good answers within the spike, and how long after it
// short work was still slow.
func (d *driver) recordSpike(r *request) {
	latency := d.now - r.arrived
	if d.load.spikeFactor == 0 || latency > r.flow.deadline {
		return
	}
	if d.load.inSpike(d.now) {
		d.result.spikeGood++
	}
	if d.now > d.load.spikeUntil && latency > slowLatency {
		d.result.recovery = max(d.result.recovery, d.now-d.load.spikeUntil)
	}
}

// eventHeap orders events by time, then by creation.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	*h = old[:last]
	return e
}
