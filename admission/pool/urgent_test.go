package pool_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/placement/demand"
)

type rate = func(time.Duration) float64

func constant(perSecond float64) rate {
	return func(time.Duration) float64 { return perSecond }
}

// burst is perSecond, and a multiple of it from the fifth to the twelfth second.
func burst(perSecond, factor float64) rate {
	return func(now time.Duration) float64 {
		if now >= 5*time.Second && now < 12*time.Second {
			return perSecond * factor
		}
		return perSecond
	}
}

// simulateRecords runs 59 hosts with short urgent and long less urgent requests.
func simulateRecords(targets int, urgent, lessUrgent rate, reserve bool) (record, history *simResult) {
	results := recordsSimulation(targets, urgent, lessUrgent, reserve).run(1)
	return results["patient-record"], results["history-pull"]
}

func recordsSimulation(targets int, urgent, lessUrgent rate, reserve bool) *simulation {
	s := &simulation{hosts: 59, targets: targets, slots: 6, slowPart: 0.2, duration: 16 * time.Second, routes: []simRoute{
		{name: "patient-record", priority: 0, rate: urgent, work: 68 * ms, goal: 250 * ms, deadline: 1500 * ms},
		{name: "history-pull", priority: 2, rate: lessUrgent, work: 420 * ms, goal: 2500 * ms, deadline: 6 * time.Second},
	}}
	s.configure = func(c *pool.Config) { c.ReserveUrgent = reserve }
	return s
}

// Bursts of long, less urgent requests fill the queues of all targets, because each of
// 59 hosts learns late what the others send. Most short urgent requests were late.
func TestUrgentRequestsAreInTimeDuringBurst(t *testing.T) {
	before, historyBefore := simulateRecords(67, constant(280), burst(420, 2.4), false)
	after, historyAfter := simulateRecords(67, constant(280), burst(420, 2.4), true)
	t.Logf("urgent before: %v; after: %v", before, after)
	t.Logf("less urgent before: %v; after: %v", historyBefore, historyAfter)
	assert.Assert(t, before.goodShare() < 0.4, "the load no longer shows the fault: %v", before)
	assert.Assert(t, after.goodShare() > 0.83, "%v", after)
	assert.Assert(t, after.goodShare() > historyAfter.goodShare())
	assert.Assert(t, historyAfter.goodShare() > 0.65 && float64(historyAfter.late) < 0.05*float64(historyAfter.arrived), "%v", historyAfter)
}

// Without more urgent requests, or with routes of the same priority only, every request
// is decided as before.
func TestNothingIsReservedWithoutUrgentRequests(t *testing.T) {
	for _, urgent := range []rate{constant(0), constant(100)} {
		var results [2]string
		for i, reserve := range []bool{false, true} {
			s := simulation{hosts: 20, targets: 20, slots: 6, slowPart: 0.2, duration: 12 * time.Second, routes: []simRoute{
				{name: "a", priority: 2, rate: urgent, work: 68 * ms, goal: 250 * ms, deadline: time.Second},
				{name: "b", priority: 2, rate: burst(150, 2.4), work: 420 * ms, goal: 2500 * ms, deadline: 6 * time.Second},
			}}
			s.configure = func(c *pool.Config) { c.ReserveUrgent = reserve }
			results[i] = fmt.Sprint(s.run(1))
		}
		assert.Equal(t, results[0], results[1])
	}
}

// Each host may use the part of the less urgent capacity that it uses of it, not an even
// share: with an even share, 20 hosts left a third of their burst's capacity unused.
func TestBurstAtFewHostsIsServed(t *testing.T) {
	s := recordsSimulation(67, constant(280), burst(420, 2.4), true)
	s.routes[1].everyNthHost = 3
	results := s.run(1)
	record, history := results["patient-record"], results["history-pull"]
	t.Logf("urgent: %v; less urgent: %v", record, history)
	assert.Assert(t, record.goodShare() > 0.8 && history.goodShare() > 0.65)
}

// Urgent callers reach a third of the hosts only. The others reserve capacity for them by
// what the hosts report; before, the less urgent requests were served better.
func TestHostsReserveForUrgentRequestsOfOthers(t *testing.T) {
	s := recordsSimulation(67, constant(280), burst(420, 2.4), true)
	s.routes[0].everyNthHost = 3
	results := s.run(1)
	record, history := results["patient-record"], results["history-pull"]
	t.Logf("urgent: %v; less urgent: %v", record, history)
	assert.Assert(t, record.goodShare() > 0.83 && history.goodShare() > 0.65)
}

// What hosts report of their priorities reaches the others through aggregators as through the
// coordinator alone, in the unit that they expect, and ends with the reports.
func TestPriorityLoadsReachHostsThroughAggregators(t *testing.T) {
	busy, now := urgentPool(0, target("a", 6, pool.SameZone))
	idle, _ := urgentPool(0, target("a", 6, pool.SameZone))
	now += 6 * time.Second // nothing arrived lately at idle
	for id := range uint64(40) {
		now += 10 * ms
		busy.Arrive(now, urgentRequest(id, now))
		idle.Arrive(now, lessUrgentRequest(id, now))
	}
	assert.Equal(t, idle.ReservedSlots(now), 0.0)
	none := func(string) map[string]int { return nil }
	group, table := demand.NewGroup(time.Second), demand.NewTable(time.Second)
	for host, p := range map[string]*pool.Pool{"busy": busy, "idle": idle} {
		group.Add(now, demand.Report{Host: host, Services: map[string]demand.ServiceUse{"s": {Running: p.PriorityLoads(now)}}})
	}
	group.SetShares(table.AddReport(now, group.Combined("busy"), none))
	shares, _ := group.Shares("idle", none)
	idle.SetOtherHostsLoad(shares["s"].Others, nil)
	now += 100 * ms
	assert.Assert(t, idle.ReservedSlots(now) > 1, "%v", shares["s"])
	idle.SetOtherHostsLoad(nil, nil)
	now += 100 * ms
	assert.Equal(t, idle.ReservedSlots(now), 0.0)
}

// A burst of urgent requests takes slots from the less urgent ones.
func TestBurstOfUrgentRequestsIsServed(t *testing.T) {
	before, _ := simulateRecords(20, burst(280, 1.9), constant(160), false)
	after, history := simulateRecords(20, burst(280, 1.9), constant(160), true)
	t.Logf("urgent before: %v; after: %v; less urgent: %v", before, after, history)
	assert.Assert(t, before.goodShare() < 0.5, "%v", before)
	assert.Assert(t, after.goodShare() > 0.8, "%v", after)
}

// The targets are too few even for the urgent requests alone, or for little else.
func TestLessUrgentRequestsAreNotServedBetter(t *testing.T) {
	for _, targets := range []int{2, 8} {
		_, before := simulateRecords(targets, constant(280), constant(420), false)
		record, history := simulateRecords(targets, constant(280), constant(420), true)
		t.Logf("%d targets: urgent %v; less urgent %v, before %v", targets, record, history, before)
		assert.Assert(t, record.goodShare() > history.goodShare())
	}
}

// urgentPool is one host's pool for which a route of priority 0 and one of priority 2
// arrive, and their work is known: 60 ms and 400 ms.
func urgentPool(phase float64, targets ...pool.Target) (p *pool.Pool, now time.Duration) {
	cfg := pool.DefaultConfig
	cfg.ReserveUrgent, cfg.AdmitPhase = true, phase
	p = pool.New(cfg)
	p.SetTargets(0, targets)
	for id := range uint64(200) {
		now += 25 * ms
		r, took := urgentRequest(id, now), 60*ms
		if id%2 == 1 {
			r, took = lessUrgentRequest(id, now), 400*ms
		}
		for _, a := range p.Arrive(now, r) {
			p.RecordWork(a, took, pool.Answered)
			p.Finish(now, a.Target, took, pool.Answered)
		}
	}
	return p, now
}

func urgentRequest(id uint64, now time.Duration) pool.Request {
	return pool.Request{ID: id, Route: "record", Arrived: now, Goal: now + 250*ms, Deadline: now + 500*ms}
}

func lessUrgentRequest(id uint64, now time.Duration) pool.Request {
	return pool.Request{ID: id, Route: "history", Priority: 2, Arrived: now, Goal: now + 2500*ms, Deadline: now + 6*time.Second}
}

// Less urgent requests never fill the only target. Those that find no slot wait or are
// refused at once, with return times one after the other that lie after the backlog.
func TestLessUrgentRequestsLeaveSlotsAndReturnInOrder(t *testing.T) {
	p, now := urgentPool(0, target("a", 6, pool.SameZone))
	started, refused := 0, []time.Duration{}
	for id := range uint64(40) {
		for _, a := range p.Arrive(now, lessUrgentRequest(1000+id, now)) {
			if a.Start {
				started++
				continue
			}
			assert.Equal(t, a.Reason, pool.Reserved)
			refused = append(refused, a.RetryAfter)
		}
	}
	assert.Assert(t, started >= 1 && started <= 4, "%d started", started)
	assert.Equal(t, startedTarget(t, p.Arrive(now, urgentRequest(2000, now))), "a")
	backlog := time.Duration(p.Waiting()) * 400 * ms / 6
	for i, after := range refused {
		assert.Assert(t, after > backlog && (i == 0 || after >= refused[i-1]), "%v, backlog %v", refused, backlog)
	}
	assert.Assert(t, len(refused) > 10 && p.ReservedSlots(now) > 1)
	assert.Assert(t, p.Waiting() > 0 && len(p.Tick(now+time.Second)) == 0)
	for _, a := range p.Tick(now + 2200*ms) { // an answer in time is no longer possible
		assert.Equal(t, a.Reason, pool.Reserved)
	}
	assert.Equal(t, p.Waiting(), 0)
	for s := range 7 { // only less urgent requests arrive from now on
		p.Arrive(now+time.Duration(s)*time.Second, lessUrgentRequest(uint64(3000+s), now))
	}
	assert.Equal(t, p.ReservedSlots(now+6*time.Second), 0.0)
}

// All hosts reserve the same targets, and some in each data centre.
func TestHostsReserveTheSameTargets(t *testing.T) {
	var targets []pool.Target
	for i := range 40 {
		added := target(fmt.Sprintf("t%02d", i), 6, pool.SameRegion)
		added.DataCentre = fmt.Sprint(i % 4)
		targets = append(targets, added)
	}
	unused := func(phase float64) map[string]int {
		p, now := urgentPool(phase, targets...)
		p.SetHostCount(20)
		now += 100 * ms
		out := make(map[string]int)
		for _, t := range targets {
			out[t.Owner.Target]++
		}
		for id := range uint64(2000) {
			for _, a := range p.Arrive(now, lessUrgentRequest(1000+id, now)) {
				delete(out, a.Target.Target)
				p.Finish(now, a.Target, 400*ms, pool.Answered)
			}
		}
		return out
	}
	reserved := unused(0.1)
	assert.DeepEqual(t, unused(0.7), reserved)
	byDataCentre := make(map[string]int)
	for _, t := range targets {
		byDataCentre[t.DataCentre] += reserved[t.Owner.Target]
	}
	assert.Assert(t, len(reserved) >= 8 && len(reserved) <= 16, "%v", reserved)
	for zone, count := range byDataCentre {
		assert.Assert(t, count >= 2 && count <= 4, "%s: %d of %v", zone, count, reserved)
	}
}

// Where less urgent requests may run in one region only, targets of the other are
// reserved: reserved ones at home would be lost to them. Where the urgent ones are bound
// to a region, targets of the other would be of no use, and cold targets are of little.
func TestReserveIsWhereUrgentRequestsMayRun(t *testing.T) {
	var targets []pool.Target
	for i := range 24 {
		added := target(fmt.Sprintf("t%02d", i), 6, pool.SameRegion)
		added.DataCentre, added.Region = fmt.Sprint(i%4), []string{"west", "east"}[i%4/2]
		targets = append(targets, added)
	}
	unused := func(urgent, lessUrgent []string) map[string]int {
		cfg := pool.DefaultConfig
		cfg.ReserveUrgent = true
		p := pool.New(cfg)
		p.SetTargets(0, targets)
		p.SetHostCount(10)
		out := make(map[string]int)
		for id := range uint64(4000) {
			now := time.Duration(id) * 20 * ms
			r, took := urgentRequest(id, now), 60*ms
			r.Regions = urgent
			if id%2 == 1 {
				r, took = lessUrgentRequest(id, now), 400*ms
				r.Regions = lessUrgent
			}
			for _, a := range p.Arrive(now, r) {
				if id > 1000 && id%2 == 1 {
					out[a.Target.Target]++
				}
				p.RecordWork(a, took, pool.Answered)
				p.Finish(now, a.Target, took, pool.Answered)
			}
		}
		regions := make(map[string]int)
		for _, t := range targets {
			if out[t.Owner.Target] == 0 {
				regions[t.Region]++
			}
		}
		return regions
	}
	anywhere := unused(nil, nil)
	assert.Assert(t, anywhere["west"] > 1 && anywhere["east"] > 1, "%v", anywhere)
	home := unused(nil, []string{"west"})
	assert.Assert(t, home["west"] == 0 && home["east"] > 1, "%v", home)
	bound := unused([]string{"west"}, nil)
	assert.Assert(t, bound["west"] > 1 && bound["east"] == 0, "%v", bound)
	for i := range targets {
		if targets[i].Region == "east" {
			targets[i].ColdFor = time.Hour
		}
	}
	warm := unused(nil, nil)
	assert.Assert(t, warm["west"] > 1 && warm["east"] == 0, "%v", warm)
}

// Keys decide on the target, and what 59 hosts run at an owner is known late: a reserve
// that follows the late figures leaves owners idle (in time 0.58 instead of 0.83).
func TestReserveCostsKeyedServiceLittle(t *testing.T) {
	inTime := func(reserve bool, says say) (share [2]float64) {
		s := simulation{hosts: 59, targets: 67, slots: 6, slowPart: 0.2, duration: 12 * time.Second, keyed: true, say: says, routes: []simRoute{
			{name: "patient-record", priority: 0, rate: constant(140), work: 68 * ms, goal: 250 * ms, deadline: 1500 * ms},
			{name: "slot-lookup", priority: 1, rate: constant(1160), work: 170 * ms, goal: 600 * ms, deadline: 2 * time.Second},
		}}
		s.configure = func(c *pool.Config) { c.ReserveUrgent = reserve }
		results := s.run(1)
		return [2]float64{results["patient-record"].goodShare(), results["slot-lookup"].goodShare()}
	}
	without := inTime(false, nil)
	for name, says := range map[string]say{"no reports": nil, "reports": truth} {
		with := inTime(true, says)
		t.Logf("%s: urgent %.3f, before %.3f; less urgent %.3f, before %.3f", name, with[0], without[0], with[1], without[1])
		assert.Assert(t, with[0] > without[0]-0.02 && with[1] > without[1]-0.02)
	}
}

// The owner of a key keeps slots free of less urgent requests of a host that has some.
func TestOwnerKeepsSlotsForUrgentRequests(t *testing.T) {
	count := func(reserve bool) (started int) {
		cfg := pool.DefaultConfig
		cfg.Keyed, cfg.ReserveUrgent = true, reserve
		p := newKeyedPoolOf(cfg, target("a", 6, pool.SameZone))
		now := time.Duration(0)
		for id := range uint64(100) {
			now += 20 * ms
			for _, a := range p.Arrive(now, urgentRequest(id, now)) {
				p.RecordWork(a, 60*ms, pool.Answered)
				p.Finish(now, a.Target, 60*ms, pool.Answered)
			}
		}
		for id := range uint64(12) {
			for _, a := range p.Arrive(now, lessUrgentRequest(1000+id, now)) {
				if a.Start {
					started++
				}
			}
		}
		return started
	}
	assert.Equal(t, count(false), 8)
	assert.Assert(t, count(true) < 6, "%d", count(true))
}
