package pool_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/routing/crossing"
)

// learnCrossing sets the configuration to learned costs of distance, with one link per host.
func learnCrossing(hosts int) func(*pool.Config) {
	return func(c *pool.Config) {
		c.Crossing = pool.CrossingConfig{Learned: true, Prices: crossing.DefaultPrices, Link: new(crossing.Link)}
		c.Crossing.Link.SetRate(60e6/8, hosts/2)
	}
}

// crossingRun simulates hosts and 60 targets in 4 data centres with one route. load is
// a multiple of the slots; part is the part of the requests that arrive in data centre 0.
type crossingRun struct {
	hosts      int
	load, part float64
	work, goal time.Duration
}

func (c crossingRun) simulate(learned bool) *simResult {
	const targets, slots = 60, 6
	hosts := c.hosts
	perSecond := c.load * targets * slots / c.work.Seconds()
	s := simulation{hosts: hosts, targets: targets, slots: slots, slowPart: 0.2, duration: 12 * time.Second, routes: []simRoute{
		{name: "r", priority: 1, rate: constant(perSecond), work: c.work, goal: c.goal, deadline: 4 * c.goal},
	}}
	if learned {
		s.configure = learnCrossing(hosts)
	}
	s.pickHost = func(r *rand.Rand) int {
		h := r.IntN(hosts / 4)
		if r.Float64() < c.part {
			return 4 * h
		}
		return 4*h + 1 + r.IntN(3)
	}
	return s.run(1)["r"]
}

// Guards against crossing while there is room nearby, and against losing what fixed
// penalties serve: with them, 59 hosts filled the targets of all data centres together.
func TestCrossingServesMoreAndSendsLessFar(t *testing.T) {
	for name, c := range map[string]struct {
		crossingRun
		maxFar float64 // part of the sends that cross to the other region, of those with fixed penalties
	}{
		"room everywhere":          {crossingRun{59, 0.5, 0.25, 68 * ms, 250 * ms}, 0.05},
		"one data centre full":     {crossingRun{59, 0.6, 0.6, 68 * ms, 250 * ms}, 0.4},
		"one full, far goal":       {crossingRun{59, 0.6, 0.6, 220 * ms, 800 * ms}, 0.6},
		"all data centres full":    {crossingRun{59, 1.3, 0.25, 68 * ms, 250 * ms}, 0.4},
		"room everywhere, far aim": {crossingRun{59, 0.7, 0.25, 420 * ms, 2500 * ms}, 0.01},
	} {
		fixed, learned := c.simulate(false), c.simulate(true)
		t.Logf("%s: fixed: %v, sent %v; learned: %v, sent %v", name, fixed, fixed.sent, learned, learned.sent)
		assert.Assert(t, learned.goodShare() > fixed.goodShare(), "%s: %v, before %v", name, learned, fixed)
		assert.Assert(t, float64(learned.sent[pool.Far]) <= c.maxFar*float64(fixed.sent[pool.Far]), "%s: %v, before %v", name, learned.sent, fixed.sent)
		assert.Assert(t, learned.sent[pool.SameZone] > learned.sent[pool.Far], "%s: home is used first: %v", name, learned.sent)
	}
}

// Guards against hosts that leave and come back at once: as in routing/crossing, a swing of
// the share that leaves must not move more work than fits into the goal of 250 ms while
// reports are up to 0.8 s old, here at a load of 1.7 in data centre 0.
func TestFarShareIsSteady(t *testing.T) {
	const settled, maxSwing = 7, 0.25 / 0.8 / 1.7
	for _, hosts := range []int{12, 300} {
		r := crossingRun{hosts, 0.7, 0.6, 68 * ms, 250 * ms}.simulate(true)
		least, most := 1.0, 0.0
		for i := settled; i < len(r.sentAll); i++ {
			share := r.sentFar[i] / r.sentAll[i]
			least, most = min(least, share), max(most, share)
		}
		t.Logf("%d hosts: %v, sent %v, far share %.3f to %.3f", hosts, r, r.sent, least, most)
		assert.Assert(t, most-least < maxSwing && least > 0, "%d hosts: %.3f to %.3f", hosts, least, most)
	}
}

// newLearnedPool returns a pool with two full targets at home and a free one in another region,
// and the number of the next request.
func newLearnedPool(t *testing.T) (*pool.Pool, uint64) {
	t.Helper()
	cfg := pool.DefaultConfig
	learnCrossing(2)(&cfg)
	p := pool.New(cfg)
	p.SetTargets(0, []pool.Target{target("a", 2, pool.SameZone), target("b", 2, pool.SameZone), target("c", 40, pool.Far)})
	id := uint64(0)
	for ; id < 24; id++ {
		a := p.Arrive(0, aimed(id, 0, []time.Duration{250 * ms, 2500 * ms}[id%2]))
		assert.Assert(t, startedTarget(t, a) != "c")
		if id < 20 {
			p.RecordCrossing(0, a[0], 70*ms, 3000, pool.Answered)
			p.Finish(0, a[0].Target, 70*ms, pool.Answered)
		}
	}
	return p, id
}

// aimed returns a request with the goal after its arrival.
func aimed(id uint64, now, goal time.Duration) pool.Request {
	return pool.Request{ID: id, Route: goal.String(), Arrived: now, Goal: now + goal, Deadline: now + 4*goal}
}

// Guards against starting far away at once what can wait, and against a waiting request
// that keeps others, whose goal is near, from leaving.
func TestWaitingRequestBlocksNoOthers(t *testing.T) {
	p, id := newLearnedPool(t)
	for range 3 {
		assert.Equal(t, len(p.Arrive(ms, aimed(id, ms, 2500*ms))), 0, "it waits")
		id++
	}
	left := 0
	for now := 2 * ms; now < 2*time.Second; now += 10 * ms {
		for _, a := range append(p.Arrive(now, aimed(id, now, 250*ms)), p.Tick(now)...) {
			if a.Start {
				left++
				assert.Equal(t, a.Target.Target, "c")
				assert.Equal(t, a.CrossReason, pool.CrossOverflow)
				p.RecordCrossing(now, a, 130*ms, 3000, pool.Answered)
				p.Finish(now, a.Target, 130*ms, pool.Answered)
			}
		}
		id++
	}
	assert.Assert(t, left > 100, "%d of 200 left", left)
	changes := p.CrossingChanges(2 * time.Second)
	i := slices.IndexFunc(changes, func(c pool.CrossingChange) bool { return c.Route == (250 * ms).String() })
	assert.Assert(t, i >= 0 && changes[i].Distance == pool.Far && changes[i].Share > 0.5, "%+v", changes)
	assert.Assert(t, changes[i].Inputs.Gain > changes[i].Inputs.Cost, "%+v", changes[i])
}

// Guards against a wait for home that would outlast the goal: the request leaves in time.
func TestWaitingRequestLeavesBeforeItsGoal(t *testing.T) {
	p, id := newLearnedPool(t)
	assert.Equal(t, len(p.Arrive(ms, aimed(id, ms, 2500*ms))), 0)
	for now := 10 * ms; now < 2500*ms; now += 20 * ms {
		for _, a := range p.Tick(now) {
			assert.Assert(t, a.Start && a.ID == id, "%+v", a)
			assert.Equal(t, a.Target.Target, "c")
			assert.Assert(t, now > 500*ms && now < 2300*ms, "left after %v", now)
			return
		}
	}
	t.Fatal("it never left")
}

// Guards against refusing what has no near target, and against optional use of a full link.
func TestFullLinkKeepsOverflowOnly(t *testing.T) {
	cfg := pool.DefaultConfig
	learnCrossing(2)(&cfg)
	cfg.Crossing.Link.Record(ms, 1e9)
	only := pool.New(cfg)
	only.SetTargets(0, []pool.Target{target("c", 40, pool.Far)})
	a := only.Arrive(ms, aimed(1, ms, 250*ms))
	assert.Equal(t, startedTarget(t, a), "c")
	assert.Equal(t, a[0].CrossReason, pool.CrossNoNear)

	for _, isFull := range []bool{false, true} {
		p, id := newLearnedPool(t)
		crossed := 0
		for now := ms; now < 500*ms; now += 10 * ms {
			if isFull {
				p.RecordCrossing(now, pool.Action{Target: owner("c"), Distance: pool.Far}, 0, 1e7, pool.Abandoned)
			}
			id++
			for _, a := range append(p.Arrive(now, aimed(id, now, 250*ms)), p.Tick(now)...) {
				if a.Start {
					crossed++
				}
			}
		}
		assert.Assert(t, isFull && crossed == 0 || !isFull && crossed > 5, "full %v: %d cross", isFull, crossed)
	}
}

// Guards against a request with a near goal that waits behind one that can wait longer.
func TestPressedRequestPassesOneThatCanWait(t *testing.T) {
	p, id := newLearnedPool(t)
	assert.Equal(t, len(p.Arrive(ms, aimed(id, ms, 2500*ms))), 0)
	assert.Equal(t, len(p.Arrive(2*ms, aimed(id+1, 2*ms, 250*ms))), 0)
	for now := 10 * ms; now < 200*ms; now += 10 * ms {
		if a := p.Tick(now); len(a) > 0 {
			assert.Equal(t, a[0].ID, id+1)
			assert.Equal(t, startedTarget(t, a), "c")
			return
		}
	}
	t.Fatal("it waits until it is late")
}

// Guards against all work at once for targets that have just come back.
func TestReturnedDataCentreIsUsedGradually(t *testing.T) {
	cfg := pool.DefaultConfig
	learnCrossing(2)(&cfg)
	p := pool.New(cfg)
	near, other := target("a", 40, pool.SameZone), target("c", 40, pool.SameRegion)
	p.SetTargets(0, []pool.Target{near, other})
	p.SetTargets(time.Second, []pool.Target{other})
	p.SetTargets(5*time.Second, []pool.Target{near, other})
	var home [10]int
	for i := range 1000 {
		now := 5*time.Second + time.Duration(i)*10*ms
		a := p.Arrive(now, aimed(uint64(i), now, 250*ms))
		if startedTarget(t, a) == "a" {
			home[i/100]++
		}
		p.Finish(now, a[0].Target, 70*ms, pool.Answered)
	}
	assert.Assert(t, home[0] < 20 && home[3] > 25 && home[3] < 60 && home[9] == 100, "%v", home)
}

// Guards against a home without warm targets that keeps its requests.
func TestColdHomeKeepsNoRequests(t *testing.T) {
	cfg := pool.DefaultConfig
	learnCrossing(2)(&cfg)
	p := withCold(pool.New(cfg), manyHosts)
	warm := entry("c", 1, 0)
	warm.Distance = pool.SameRegion
	p.SetTargets(start, []pool.Target{entry("a", 1, 6*time.Second), warm})
	for id := range uint64(4) {
		assert.Equal(t, startedTarget(t, p.Arrive(start, aimed(id, start, 250*ms))), "c")
	}
}

// Guards against a request that neither place can serve in time and that waits to its end.
func TestRefusedAtOnceIfNeitherCanServe(t *testing.T) {
	cfg := pool.DefaultConfig
	learnCrossing(2)(&cfg)
	p := pool.New(cfg)
	p.SetTargets(0, []pool.Target{target("a", 1, pool.SameZone), target("c", 1, pool.SameRegion)})
	refused := 0
	for id := range uint64(30) {
		for _, a := range p.Arrive(ms, aimed(id, ms, 250*ms)) {
			if !a.Start {
				refused++
				assert.Equal(t, a.Reason, pool.Full)
			}
		}
	}
	assert.Assert(t, refused > 20, "%d refused, %d wait", refused, p.Waiting())
}
