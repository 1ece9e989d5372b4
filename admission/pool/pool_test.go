package pool_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/ownership/keyrange"
)

const ms = time.Millisecond

func owner(name string) keyrange.Owner {
	return keyrange.Owner{Target: name, Run: 1, Addr: name + ":80"}
}

func target(name string, slots int, d pool.Distance) pool.Target {
	return pool.Target{Owner: owner(name), Slots: slots, Distance: d}
}

func request(id uint64, now time.Duration) pool.Request {
	return pool.Request{ID: id, Arrived: now, Goal: now + 600*ms, Deadline: now + 2*time.Second}
}

func newKeyedPool(targets ...pool.Target) *pool.Pool {
	cfg := pool.DefaultConfig
	cfg.Keyed = true
	return newKeyedPoolOf(cfg, targets...)
}

func newKeyedPoolOf(cfg pool.Config, targets ...pool.Target) *pool.Pool {
	p := pool.New(cfg)
	p.SetTargets(0, targets)
	var owners []keyrange.Owner
	var weights []float64
	for _, t := range targets {
		owners, weights = append(owners, t.Owner), append(weights, 1)
	}
	p.SetOwners(keyrange.New("s", owners, weights))
	return p
}

func newUnkeyedPool(targets ...pool.Target) *pool.Pool {
	p := pool.New(pool.DefaultConfig)
	p.SetTargets(0, targets)
	return p
}

func startedTarget(t *testing.T, actions []pool.Action) string {
	t.Helper()
	assert.Equal(t, len(actions), 1)
	assert.Assert(t, actions[0].Start, "%+v", actions[0])
	return actions[0].Target.Target
}

func TestNearTargetIsPreferredUntilFull(t *testing.T) {
	p := newUnkeyedPool(target("far", 6, pool.Far), target("near", 2, pool.SameZone))
	assert.Equal(t, startedTarget(t, p.Arrive(0, request(1, 0))), "near")
	assert.Equal(t, startedTarget(t, p.Arrive(0, request(2, 0))), "near")
	assert.Equal(t, startedTarget(t, p.Arrive(0, request(3, 0))), "far")
}

// TestSlowTargetGetsFewerRequests: one of two targets takes five times as long
// as the other.
func TestSlowTargetGetsFewerRequests(t *testing.T) {
	p := newUnkeyedPool(target("fast", 6, pool.SameZone), target("slow", 6, pool.SameZone))
	count := make(map[string]int)
	for i := range uint64(200) {
		now := time.Duration(i) * 100 * ms
		name := startedTarget(t, p.Arrive(now, request(i, now)))
		count[name]++
		took := 100 * ms
		if name == "slow" {
			took = 500 * ms
		}
		p.Finish(now, owner(name), took, pool.Answered)
	}
	assert.Assert(t, count["slow"] < 40, "requests by target: %v", count)
}

// TestQuicklyFailingTargetGetsFewRequests: a target fails each request at once
// (grey failure). The quick failures must not make it look fast.
func TestQuicklyFailingTargetGetsFewRequests(t *testing.T) {
	p := newUnkeyedPool(target("good", 6, pool.SameZone), target("grey", 6, pool.SameZone))
	count := make(map[string]int)
	for i := range uint64(200) {
		now := time.Duration(i) * 50 * ms
		name := startedTarget(t, p.Arrive(now, request(i, now)))
		count[name]++
		if name == "grey" {
			p.Finish(now, owner(name), ms, pool.Failed)
		} else {
			p.Finish(now, owner(name), 120*ms, pool.Answered)
		}
	}
	assert.Assert(t, count["grey"] < 20, "requests by target: %v", count)
}

// TestFullOwnerDelaysOnlyItsOwnRequests: the owner of a key is full while
// others are idle. Only its requests wait, and those that cannot be answered
// within their latency goal are refused on arrival with the time at which there
// will be room.
func TestFullOwnerDelaysOnlyItsOwnRequests(t *testing.T) {
	p := newKeyedPool(target("a", 2, pool.SameZone), target("b", 2, pool.SameZone))
	hot, cold := 100, 60000
	id := uint64(0)
	arrive := func(key int) []pool.Action {
		id++
		r := request(id, 0)
		r.Key = key
		return p.Arrive(0, r)
	}
	var refused []pool.Action
	for range 40 {
		for _, a := range arrive(hot) {
			if !a.Start {
				refused = append(refused, a)
			}
		}
	}
	first, last := refused[0], refused[len(refused)-1]
	assert.Equal(t, first.Reason, pool.Full)
	assert.Assert(t, first.RetryAfter > 300*ms && first.RetryAfter < 2*time.Second, "first RetryAfter: %v", first.RetryAfter)
	// Two slots serve 40 requests of 150 ms in three seconds.
	assert.Assert(t, last.RetryAfter > first.RetryAfter && last.RetryAfter < 3*time.Second, "last RetryAfter: %v", last.RetryAfter)
	assert.Equal(t, startedTarget(t, arrive(cold)), "b")
}

// TestUrgentRequestsStartFirstAndDisplaceOthers: during a peak of mixed
// priorities, urgent requests start first and displace others when no more may
// wait.
func TestUrgentRequestsStartFirstAndDisplaceOthers(t *testing.T) {
	cfg := pool.DefaultConfig
	cfg.MaxWaiting = 2
	p := pool.New(cfg)
	p.SetTargets(0, []pool.Target{target("a", 1, pool.SameZone)})
	startedTarget(t, p.Arrive(0, request(1, 0)))
	lowPriority := func(id uint64) pool.Request {
		r := request(id, 0)
		r.Priority = 2
		return r
	}
	assert.Equal(t, len(p.Arrive(0, lowPriority(2))), 0)
	assert.Equal(t, len(p.Arrive(0, lowPriority(3))), 0)
	displaced := p.Arrive(0, request(4, 0))
	assert.Equal(t, len(displaced), 1)
	assert.Equal(t, displaced[0].ID, uint64(3))
	assert.Equal(t, displaced[0].Reason, pool.Displaced)
	p.Finish(100*ms, owner("a"), 100*ms, pool.Answered)
	next := p.Tick(100 * ms)
	assert.Equal(t, next[0].ID, uint64(4))
}

// TestSheddingTargetCoolsDown: a target that sheds gets no request during its
// cooldown and is used again after it.
func TestSheddingTargetCoolsDown(t *testing.T) {
	p := newUnkeyedPool(target("a", 4, pool.SameZone))
	startedTarget(t, p.Arrive(0, request(1, 0)))
	p.Finish(10*ms, owner("a"), 10*ms, pool.Shed)
	assert.Equal(t, len(p.Arrive(10*ms, request(2, 10*ms))), 0, "the request waits")
	assert.Equal(t, len(p.Tick(50*ms)), 0)
	assert.Equal(t, startedTarget(t, p.Tick(80*ms)), "a")
}

// TestRandomlySheddingTargetsStayInUse: every target of a service sheds half of
// its requests, whether or not it has room. The number of requests sent to it
// must not drop to one at a time.
func TestRandomlySheddingTargetsStayInUse(t *testing.T) {
	p := newKeyedPool(target("a", 6, pool.SameZone), target("b", 6, pool.SameZone))
	refused := 0
	for i := range 400 {
		now := time.Duration(i) * 20 * ms
		r := request(uint64(i), now)
		r.Key = (i % 2) * 60000
		for _, a := range append(p.Arrive(now, r), p.Tick(now)...) {
			switch {
			case !a.Start:
				refused++
			case i/2%2 == 0:
				p.Finish(now+5*ms, a.Target, 5*ms, pool.Shed)
			default:
				p.Finish(now+15*ms, a.Target, 15*ms, pool.Answered)
			}
		}
	}
	assert.Assert(t, refused < 10, "%d of 400 requests refused", refused)
	assert.Equal(t, len(p.Arrive(time.Minute, request(1000, time.Minute))), 1, "no request waits for a cooldown")
}

// TestSilentTargetGetsOneRequestAtATime: a target that hangs gets one request
// at a time until it answers again.
func TestSilentTargetGetsOneRequestAtATime(t *testing.T) {
	p := newUnkeyedPool(target("a", 4, pool.SameZone))
	startedTarget(t, p.Arrive(0, request(1, 0)))
	p.Finish(time.Second, owner("a"), time.Second, pool.Silent)
	startedTarget(t, p.Arrive(2*time.Second, request(2, 2*time.Second)))
	assert.Equal(t, len(p.Arrive(2*time.Second, request(3, 2*time.Second))), 0)
}

// TestHostShareBelowOneIsPaced: with 90 hosts and one target, a host with a
// share of a quarter runs requests for a quarter of the time.
func TestHostShareBelowOneIsPaced(t *testing.T) {
	p := newKeyedPool(target("a", 6, pool.SameZone))
	p.SetOtherHostsLoad(nil, map[string]float64{"a": 0.25})
	startedCount := 0
	runningSince := time.Duration(-1)
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		r := request(uint64(now), now)
		actions := append(p.Arrive(now, r), p.Tick(now)...)
		for _, a := range actions {
			if a.Start {
				startedCount++
				runningSince = now
			}
		}
		if runningSince >= 0 && now >= runningSince+100*ms {
			p.Finish(now, owner("a"), 100*ms, pool.Answered)
			runningSince = -1
		}
	}
	assert.Assert(t, startedCount > 15 && startedCount < 35, "%d requests started", startedCount)
	assert.Assert(t, p.Demand(time.Second)["a"] > 2, "refused requests count as demand")
}

// TestRetriesOfRefusedCallersAreSpread: a key receives ten times the requests
// that its owner can run. Refused callers are told to retry when there is room
// for one more, not all at the same time.
func TestRetriesOfRefusedCallersAreSpread(t *testing.T) {
	p := newKeyedPool(target("a", 2, pool.SameZone)) // 2 slots, 150 ms: 13 requests a second
	var retryTimes []time.Duration
	for i := range 130 {
		now := time.Duration(i) * time.Second / 130
		for _, a := range p.Arrive(now, request(uint64(i), now)) {
			if !a.Start {
				retryTimes = append(retryTimes, now+a.RetryAfter)
			}
		}
	}
	assert.Assert(t, len(retryTimes) > 100)
	early := 0
	for i, at := range retryTimes {
		assert.Assert(t, i == 0 || at >= retryTimes[i-1])
		if at < 2*time.Second {
			early++
		}
	}
	assert.Assert(t, early < 2*14, "%d callers are told to retry within the first two seconds", early)
}

func TestRequestsOfMovingKeyWaitForNewOwner(t *testing.T) {
	p := newKeyedPool(target("a", 2, pool.SameZone), target("b", 2, pool.SameZone))
	m := keyrange.New("s", []keyrange.Owner{owner("a")}, []float64{1})
	m.Assign(0, 99, owner("b"))
	p.SetOwners(m.Clone())
	r := request(1, 0)
	r.Key = 5
	assert.Equal(t, len(p.Arrive(0, r)), 0)
	m.Settle(m.Ranges[0].ID())
	p.SetOwners(m.Clone())
	assert.Equal(t, startedTarget(t, p.Tick(100*ms)), "b")
	withoutOwners := request(2, 0)
	withoutOwners.Key = 5
	p.SetOwners(nil)
	assert.Equal(t, len(p.Arrive(0, withoutOwners)), 0)
	refused := p.Tick(500 * ms)
	assert.Equal(t, refused[0].Reason, pool.NoOwner)
}

// TestRequestsWaitForMoveAndAreRefusedAfterOwnerLoss: ranges move to spread a
// hot spot, which takes as long as the longest request that runs on them. Their
// requests wait while the answer can still be in time. Keys of a lost owner
// have no owner for seconds, so their callers are told to retry after that
// time.
func TestRequestsWaitForMoveAndAreRefusedAfterOwnerLoss(t *testing.T) {
	p := newKeyedPool(target("a", 2, pool.SameZone), target("b", 2, pool.SameZone))
	m := keyrange.New("s", []keyrange.Owner{owner("a")}, []float64{1})
	m.Assign(0, 99, owner("b"))
	p.SetOwners(m)
	r := request(1, 0)
	r.Goal = 1200 * ms
	assert.Equal(t, len(p.Arrive(0, r)), 0)
	assert.Equal(t, len(p.Tick(1000*ms)), 0)
	refused := p.Tick(1100 * ms)
	assert.Equal(t, refused[0].Reason, pool.NoOwner)

	p.SetTargets(0, []pool.Target{target("a", 2, pool.SameZone)}) // b is lost
	lost := pool.DefaultConfig.OwnerLossDuration
	for _, since := range []time.Duration{0, lost / 2} {
		now := 10*time.Second + since
		p.Arrive(now, request(uint64(now), now))
		refused = p.Tick(now + 400*ms)
		assert.Equal(t, refused[0].RetryAfter, lost-since)
	}
}

// TestRequestsOfMovingHotKeyAreThinned: a key with ten times the requests that
// a target can run moves. The requests that wait for the move would all reach
// the new owner at once.
func TestRequestsOfMovingHotKeyAreThinned(t *testing.T) {
	p := newKeyedPool(target("a", 6, pool.SameZone), target("b", 6, pool.SameZone))
	m := keyrange.New("s", []keyrange.Owner{owner("a")}, []float64{1})
	m.Assign(0, 99, owner("b"))
	p.SetOwners(m)
	p.SetAdmitFractions(map[string]float64{"b": 0.125})
	for i := range 100 {
		p.Arrive(0, request(uint64(i), 0))
	}
	assert.Equal(t, p.Waiting(), 12)
}

// TestSettledMoveIsServedBeforeMapIsUpdated: moves complete while the store is
// unavailable, so that no map shows it.
func TestSettledMoveIsServedBeforeMapIsUpdated(t *testing.T) {
	p := newKeyedPool(target("a", 2, pool.SameZone), target("b", 2, pool.SameZone))
	m := keyrange.New("s", []keyrange.Owner{owner("a")}, []float64{1})
	m.Assign(0, 99, owner("b"))
	p.SetOwners(m.Clone())
	p.Settle([]keyrange.ID{{From: 0, Fence: m.Ranges[0].Fence + 7}})
	assert.Equal(t, len(p.Arrive(0, request(1, 0))), 0, "another move was settled")
	p.Settle([]keyrange.ID{m.Ranges[0].ID()})
	assert.Equal(t, startedTarget(t, p.Tick(ms)), "b")
	m.Assign(0, 99, owner("a"))
	p.SetOwners(m.Clone())
	assert.Equal(t, len(p.Arrive(ms, request(2, ms))), 0, "the range moves again")
}

// TestKeysNotHeldByOwnerAreProbedRarely: all hosts were down for longer than
// grants last, and the owners in the map do not hold their keys yet. Each
// request sent to them costs a retry.
func TestKeysNotHeldByOwnerAreProbedRarely(t *testing.T) {
	p := newKeyedPool(target("a", 6, pool.SameZone))
	sent := 0
	for now := time.Duration(0); now < time.Second; now += 10 * ms {
		for _, a := range append(p.Arrive(now, request(uint64(now), now)), p.Tick(now)...) {
			if a.Start {
				sent++
				p.RecordNotHeld(now, a.Fence)
				p.Finish(now, a.Target, ms, pool.NotOwner)
			}
		}
	}
	assert.Assert(t, sent < 30, "%d requests sent in a second", sent)
}

func TestRestartedTargetIsNotOwner(t *testing.T) {
	p := newKeyedPool(target("a", 2, pool.SameZone))
	restarted := target("a", 2, pool.SameZone)
	restarted.Owner.Run = 2
	p.SetTargets(0, []pool.Target{restarted})
	r := request(1, 0)
	assert.Equal(t, len(p.Arrive(0, r)), 0)
}

// TestDrainRefusesWaitingRequests checks that a host that shuts down refuses
// its waiting requests in time, and later ones that would have to wait.
// Otherwise a request waits for the owner of its key until its host has ended,
// and is lost.
func TestDrainRefusesWaitingRequests(t *testing.T) {
	p := newKeyedPool(target("a", 1, pool.SameZone))
	startedTarget(t, p.Arrive(0, request(1, 0)))
	assert.Equal(t, len(p.Arrive(0, request(2, 0))), 0, "the request waits")
	refused := p.Drain(10 * ms)
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].ID, uint64(2))
	assert.Equal(t, refused[0].Reason, pool.Stopping)
	assert.Equal(t, p.Arrive(20*ms, request(3, 20*ms))[0].Reason, pool.Stopping)
	p.Finish(30*ms, owner("a"), 30*ms, pool.Answered)
	assert.Equal(t, startedTarget(t, p.Arrive(40*ms, request(4, 40*ms))), "a", "requests that can start still do")
}

// TestRequestsAreRefusedWithoutTargets: the requests of a service that has lost
// all its targets are refused after a short wait instead of being held until
// their deadline.
func TestRequestsAreRefusedWithoutTargets(t *testing.T) {
	p := newUnkeyedPool()
	assert.Equal(t, len(p.Arrive(0, request(1, 0))), 0, "a target may join soon")
	assert.Equal(t, len(p.Tick(100*ms)), 0)
	refused := p.Tick(500 * ms)
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].Reason, pool.NoTarget)
}

func TestLeavingTargetGetsNoRequests(t *testing.T) {
	leaving := target("a", 2, pool.SameZone)
	leaving.Leaving = true
	p := newUnkeyedPool(leaving)
	actions := p.Arrive(time.Second, request(1, 0))
	assert.Equal(t, actions[0].Reason, pool.NoTarget)
}

// TestEveryRequestIsDecidedOnce checks that under random events each request is
// started or refused once or still waits, that no target exceeds its limit, and
// that the running requests are those started and not finished.
func TestEveryRequestIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newRandomPool(t)
		decided, running, waiting := make(map[uint64]bool), make(map[string]int), make(map[uint64]bool)
		now := time.Duration(0)
		recordDecisions := func(actions []pool.Action) {
			for _, a := range actions {
				assert.Assert(t, !decided[a.ID], "request %d is decided twice", a.ID)
				decided[a.ID] = true
				delete(waiting, a.ID)
				if a.Start {
					running[a.Target.Target]++
					assert.Assert(t, running[a.Target.Target] <= 3, "more requests than the limit")
				}
			}
		}
		for i := range uint64(rapid.IntRange(1, 80).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				r := request(i, now)
				r.Key = rapid.IntRange(0, keyrange.MaxKey).Draw(t, "key")
				r.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				waiting[i] = true
				recordDecisions(p.Arrive(now, r))
			case 2:
				name := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "target"))
				if running[name] > 0 {
					running[name]--
					p.Finish(now, owner(name), 50*ms, pool.Result(rapid.IntRange(0, 7).Draw(t, "result")))
				}
			case 3:
				for id := range waiting {
					assert.Assert(t, p.Cancel(id))
					delete(waiting, id)
					break
				}
			default:
				recordDecisions(p.Tick(now))
			}
			assert.Equal(t, p.Waiting(), len(waiting))
		}
		for name, n := range p.Running() {
			assert.Equal(t, n, running[name])
		}
	})
}

func newRandomPool(t *rapid.T) *pool.Pool {
	var targets []pool.Target
	for i := range 3 {
		added := target(fmt.Sprint(i), 2, pool.Distance(i))
		added.Limit = 3
		targets = append(targets, added)
	}
	if rapid.Bool().Draw(t, "keyed") {
		return newKeyedPool(targets...)
	}
	cfg := pool.DefaultConfig
	if rapid.Bool().Draw(t, "learned") {
		learnCrossing(2)(&cfg)
	}
	p := pool.New(cfg)
	p.SetTargets(0, targets)
	return p
}
