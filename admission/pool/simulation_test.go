package pool_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangopost/mangopost/admission/loadreport"
	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/ownership/keyrange"
	"github.com/mangopost/mangopost/placement/demand"
)

// simRoute is one kind of requests of a simulation. Times are at a target of usual speed.
type simRoute struct {
	name       string
	priority   int
	rate       func(now time.Duration) float64 // requests per second, of all hosts
	work, goal time.Duration
	deadline   time.Duration

	everyNthHost int // only every nth host receives these requests; 0: all
}

// simulation runs hosts, each with its own pool, and targets with slots and a queue in
// order of arrival. The hosts learn from each other only through reports to a
// demand.Table, which are late.
type simulation struct {
	hosts, targets int
	slots          int
	slowPart       float64 // part of the targets that run at a third of their speed, for 0.4 s each
	duration       time.Duration
	keyed          bool // every target owns the same number of keys, which are equally frequent
	routes         []simRoute
	configure      func(*pool.Config)
	pickHost       func(r *rand.Rand) int                                 // of an arriving request; nil: each with the same probability
	say            func(target int, load loadreport.Load) loadreport.Load // what a target says of its load; nil: nothing
	reportAge      time.Duration                                          // how long before the answer it was so

	now     time.Duration
	events  simEvents
	order   uint64
	rand    *rand.Rand
	pools   []*pool.Pool
	states  []*simTarget
	byName  map[string]*simTarget
	table   *demand.Table
	waiting []map[uint64]*simRequest
	lastID  uint64
	results map[string]*simResult
}

const (
	simQueue        = 24
	simSlowPeriod   = 400 * ms
	simSlowFactor   = 3
	simReportPeriod = 400 * ms
	simReportDelay  = 250 * ms // through the aggregator and the coordinator
	simWarmUp       = 3 * time.Second
	simMaxTries     = 3
	simBytes        = 3000 // of a request and its answer
)

var simSpeeds = [...]float64{0.6, 1, 1.4}

type simTarget struct {
	name    string
	index   int
	speed   float64
	running int
	queue   []func()
	served  int
}

type simRequest struct {
	pool.Request
	route *simRoute
	host  int
}

// simResult counts the requests of a route that arrived after the warm-up.
type simResult struct {
	arrived, inTime, late, refused int
	refusedAfter                   []time.Duration // Retry-After of the refusals
	took                           time.Duration
	sent                           [3]int    // by distance of the target
	sentAll, sentFar               []float64 // by second
}

func (r *simResult) goodShare() float64 { return float64(r.inTime) / float64(max(1, r.arrived)) }

func (r *simResult) String() string {
	return fmt.Sprintf("%d arrived, in time %.3f, late %.3f, refused %.3f, mean %v", r.arrived, r.goodShare(),
		float64(r.late)/float64(max(1, r.arrived)), float64(r.refused)/float64(max(1, r.arrived)),
		(r.took / time.Duration(max(1, r.inTime+r.late))).Round(ms))
}

type simEvent struct {
	at    time.Duration
	order uint64
	run   func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := len(*e) - 1
	out := (*e)[last]
	*e = (*e)[:last]
	return out
}

func (s *simulation) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, simEvent{s.now + d, s.order, run})
}

// dataCentre returns the data centre of a host or target: 0 and 1 are one region, 2 and
// 3 the other.
func dataCentre(index int) int { return index % 4 }

func distance(host, target int) pool.Distance {
	a, b := dataCentre(host), dataCentre(target)
	switch {
	case a == b:
		return pool.SameZone
	case a/2 == b/2:
		return pool.SameRegion
	default:
		return pool.Far
	}
}

// oneWay is the time that a message takes from a host to a target.
func oneWay(host, target int) time.Duration {
	return [...]time.Duration{300 * time.Microsecond, 1400 * time.Microsecond, 30 * ms}[distance(host, target)]
}

func (s *simulation) run(seed uint64) map[string]*simResult {
	s.rand = rand.New(rand.NewPCG(seed, 1))
	s.table = demand.NewTable(3 * simReportPeriod)
	s.byName, s.results = make(map[string]*simTarget), make(map[string]*simResult)
	for i := range s.targets {
		t := &simTarget{name: fmt.Sprintf("t%02d", i), index: i, speed: simSpeeds[i/4%len(simSpeeds)]}
		s.states, s.byName[t.name] = append(s.states, t), t
	}
	for h := range s.hosts {
		s.addHost(h)
	}
	for i := range s.routes {
		s.results[s.routes[i].name] = &simResult{}
		s.after(0, func() { s.arrive(&s.routes[i]) })
	}
	for len(s.events) > 0 && s.events[0].at < s.duration {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return s.results
}

func (s *simulation) addHost(h int) {
	cfg := pool.DefaultConfig
	cfg.AdmitPhase = float64(h) / float64(s.hosts)
	if s.configure != nil {
		s.configure(&cfg)
	}
	cfg.Keyed = s.keyed
	p := pool.New(cfg)
	var targets []pool.Target
	var owners []keyrange.Owner
	for _, t := range s.states {
		added := target(t.name, s.slots, distance(h, t.index))
		added.DataCentre = fmt.Sprint(dataCentre(t.index))
		targets, owners = append(targets, added), append(owners, added.Owner)
	}
	if s.keyed {
		p.SetOwners(keyrange.New("s", owners, slices.Repeat([]float64{1}, len(owners))))
	}
	p.SetTargets(0, targets)
	p.SetHostCount(s.hosts)
	s.pools, s.waiting = append(s.pools, p), append(s.waiting, make(map[uint64]*simRequest))
	s.after(time.Duration(s.rand.Int64N(int64(simReportPeriod))), func() { s.report(h) })
	s.after(time.Duration(s.rand.Int64N(int64(20*ms))), func() { s.tick(h) })
}

func (s *simulation) tick(h int) {
	s.apply(h, s.pools[h].Tick(s.now))
	s.after(20*ms, func() { s.tick(h) })
}

func (s *simulation) report(h int) {
	p := s.pools[h]
	slots := make(map[string]int)
	for _, t := range s.states {
		slots[t.name] = s.slots
	}
	running := p.Running()
	maps.Copy(running, p.PriorityLoads(s.now))
	shares, _ := s.table.AddReport(s.now, demand.Report{Host: fmt.Sprint(h), Services: map[string]demand.ServiceUse{
		"s": {Running: running, Wanted: p.Demand(simReportPeriod)},
	}}, func(string) map[string]int { return slots })
	s.after(simReportDelay, func() { p.SetOtherHostsLoad(shares["s"].Others, shares["s"].Limit) })
	s.after(simReportPeriod, func() { s.report(h) })
}

func (s *simulation) arrive(r *simRoute) {
	s.after(time.Duration(s.rand.ExpFloat64()/max(1e-6, r.rate(s.now))*float64(time.Second)), func() { s.arrive(r) })
	if s.now == 0 || r.rate(s.now) == 0 {
		return
	}
	s.lastID++
	h := s.arrivalHost(r)
	req := &simRequest{route: r, host: h, Request: pool.Request{
		ID: s.lastID, Priority: r.priority, Route: r.name, Arrived: s.now, Goal: s.now + r.goal, Deadline: s.now + r.deadline,
	}}
	if s.keyed {
		req.Key = s.rand.IntN(keyrange.MaxKey + 1)
	}
	if s.now > simWarmUp {
		s.results[r.name].arrived++
	}
	s.submit(req)
}

func (s *simulation) arrivalHost(r *simRoute) int {
	if s.pickHost != nil {
		return s.pickHost(s.rand)
	}
	h := s.rand.IntN(s.hosts)
	if r.everyNthHost > 0 {
		h -= h % r.everyNthHost
	}
	return h
}

func (s *simulation) submit(req *simRequest) {
	s.waiting[req.host][req.ID] = req
	s.apply(req.host, s.pools[req.host].Arrive(s.now, req.Request))
}

func (s *simulation) apply(h int, actions []pool.Action) {
	for _, a := range actions {
		req := s.waiting[h][a.ID]
		delete(s.waiting[h], a.ID)
		if a.Start {
			t := s.byName[a.Target.Target]
			sent := s.now
			s.countSent(req, a.Distance)
			s.after(oneWay(h, t.index), func() { s.reach(t, req, a, sent) })
		} else if req.Arrived > simWarmUp {
			s.results[req.route.name].refused++
			s.results[req.route.name].refusedAfter = append(s.results[req.route.name].refusedAfter, a.RetryAfter)
		}
	}
}

func (s *simulation) countSent(req *simRequest, d pool.Distance) {
	if req.Arrived > simWarmUp {
		r, second := s.results[req.route.name], int(s.now/time.Second)
		r.sent[d]++
		for len(r.sentAll) <= second {
			r.sentAll, r.sentFar = append(r.sentAll, 0), append(r.sentFar, 0)
		}
		r.sentAll[second]++
		if d == pool.Far {
			r.sentFar[second]++
		}
	}
}

// reach handles a request that arrives at a target.
func (s *simulation) reach(t *simTarget, req *simRequest, a pool.Action, sent time.Duration) {
	run := func() {
		t.running++
		s.after(s.workTime(t, req.route.work), func() {
			t.running--
			t.served++
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				next()
			}
			s.answer(t, req, a, sent, pool.Answered)
		})
	}
	switch {
	case t.running < s.slots:
		run()
	case len(t.queue) < simQueue:
		t.queue = append(t.queue, run)
	default:
		s.answer(t, req, a, sent, pool.Shed)
	}
}

func (s *simulation) isSlow(t *simTarget, at time.Duration) bool {
	offset := time.Duration(t.index*37%100) * simSlowPeriod / 100
	period := uint64((at + offset) / simSlowPeriod)
	x := (period*1_000_003 + uint64(t.index)) * 0x9E3779B97F4A7C15
	return float64(x>>11)/(1<<53) < s.slowPart
}

// workTime returns how long work takes that begins now, through the changes of pace.
func (s *simulation) workTime(t *simTarget, work time.Duration) time.Duration {
	const step = 5 * ms
	left, took := float64(work), time.Duration(0)
	for left > 0 {
		speed := t.speed
		if s.isSlow(t, s.now+took) {
			speed /= simSlowFactor
		}
		part := math.Min(float64(step), left/speed)
		left -= part * speed
		took += time.Duration(math.Ceil(part))
	}
	return took
}

func (s *simulation) answer(t *simTarget, req *simRequest, a pool.Action, sent time.Duration, result pool.Result) {
	var load loadreport.Load
	if s.say != nil {
		load = loadreport.Load{Running: t.running, Waiting: len(t.queue), Slots: s.slots, Pace: 1}
		if s.isSlow(t, s.now) {
			load.Pace = simSlowFactor
		}
		load = s.say(t.index, load)
	}
	s.after(oneWay(req.host, t.index), func() { s.finish(req, a, sent, result, load) })
}

// finish handles an answer that arrives at the host.
func (s *simulation) finish(req *simRequest, a pool.Action, sent time.Duration, result pool.Result, load loadreport.Load) {
	p := s.pools[req.host]
	p.RecordCrossing(s.now, a, s.now-sent, simBytes, result)
	p.RecordWork(a, s.now-sent, result)
	p.Finish(s.now, a.Target, s.now-sent, result)
	if s.reportAge == 0 {
		p.RecordLoad(s.now, a, load, s.now-sent, result)
	} else {
		s.after(s.reportAge, func() { p.RecordLoad(s.now, a, load, s.now-sent-s.reportAge, result) })
	}
	counted := s.results[req.route.name]
	switch {
	case result == pool.Shed && len(req.TriedTargets)+1 < simMaxTries:
		req.TriedTargets = append(req.TriedTargets, a.Target.Target)
		s.submit(req)
	case req.Arrived <= simWarmUp:
	case result == pool.Shed:
		counted.refused++
	case s.now <= req.Goal:
		counted.inTime++
		counted.took += s.now - req.Arrived
	default:
		counted.late++
		counted.took += s.now - req.Arrived
	}
	s.apply(req.host, p.Tick(s.now))
}
