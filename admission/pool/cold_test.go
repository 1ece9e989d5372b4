package pool_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/admission/coldstart"
	"github.com/mangopost/mangopost/admission/pool"
)

// coldConfig is that of the swancoast deployment.
var coldConfig = pool.ColdConfig{Limits: coldstart.Limits{Rate: 8.4, Window: 20.6}, Duration: 6 * time.Second, Host: "entry-1"}

const (
	fewHosts  = 10   // each is a sender
	manyHosts = 9000 // hardly any is a sender
	start     = time.Minute
)

func withCold(p *pool.Pool, hosts int) *pool.Pool {
	p.SetColdHosts(0, hosts)
	p.SetCold(0, coldConfig)
	return p
}

// entry returns a target as its entry of one heartbeat describes it.
func entry(name string, heartbeat uint64, coldFor time.Duration) pool.Target {
	return pool.Target{Owner: owner(name), Slots: 6, Heartbeat: heartbeat, ColdFor: coldFor}
}

// startsUntil offers a new request every 10 ms and returns the times at which requests
// were started, and the retry times of those that were refused.
func startsUntil(p *pool.Pool, from, to time.Duration, make func(id uint64, now time.Duration) pool.Request) (starts, retries []time.Duration) {
	arrived := uint64(from)
	for now := from; now < to; now += 10 * ms {
		arrived++
		for _, a := range append(p.Arrive(now, make(arrived, now)), p.Tick(now)...) {
			if a.Start {
				starts = append(starts, now)
				p.Finish(now, a.Target, 100*ms, pool.Answered)
			} else if a.Reason == pool.Cold {
				retries = append(retries, now+a.RetryAfter)
			}
		}
	}
	return starts, retries
}

// TestColdTargetGetsSpacedRequests: a target turns cold. No request goes to it at once,
// then one for each spacing; what only it could serve is refused meanwhile, with retries
// at different times.
func TestColdTargetGetsSpacedRequests(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		p := newUnkeyedPool(entry("a", 1, 0))
		if keyed {
			p = newKeyedPool(entry("a", 1, 0))
		}
		withCold(p, fewHosts)
		p.SetTargets(start, []pool.Target{entry("a", 2, 6*time.Second)})
		starts, retries := startsUntil(p, start, start+6*time.Second, request)
		spacing := coldstart.ShareOf(coldConfig.Limits, fewHosts).Spacing
		assert.Assert(t, len(starts) >= 3 && starts[0] >= start+spacing, "keyed %t: %v", keyed, starts)
		for i := range starts[1:] {
			assert.Assert(t, starts[i+1]-starts[i] >= spacing, "keyed %t: %v", keyed, starts)
		}
		assert.Assert(t, len(retries) > 400, "%d refused", len(retries))
		seen := make(map[time.Duration]int)
		for _, at := range retries {
			seen[at.Round(10*ms)]++
		}
		assert.Assert(t, len(seen) > 100, "retries at %d different times", len(seen))
		starts, _ = startsUntil(p, start+6*time.Second, start+7*time.Second, request)
		assert.Assert(t, len(starts) > 90, "warm: %d starts", len(starts))
	}
}

// TestOnlySendersSendToColdTarget guards against a fleet that is larger than the limit
// of one second: a host that is not a sender sends nothing and refuses until the target
// is warm, however the entries repeat.
func TestOnlySendersSendToColdTarget(t *testing.T) {
	p := withCold(newUnkeyedPool(entry("a", 1, 0)), manyHosts)
	p.SetTargets(start, []pool.Target{entry("a", 2, 6*time.Second)})
	assert.Assert(t, !p.ColdChanges(start)[0].IsSender)
	for now := start; now < start+6*time.Second; now += time.Second {
		p.SetTargets(now, []pool.Target{entry("a", 2, 6*time.Second)})
		starts, retries := startsUntil(p, now, now+time.Second, request)
		assert.Equal(t, len(starts), 0)
		assert.Assert(t, retries[0] >= start+6*time.Second, "retry before the target is warm")
	}
	starts, _ := startsUntil(p, start+6*time.Second, start+7*time.Second, request)
	assert.Assert(t, len(starts) > 90, "the same entry again has prolonged the coldness: %d", len(starts))
	assert.Equal(t, p.ColdChanges(start + 7*time.Second)[0].Remaining, time.Duration(0))
}

// TestFleetKeepsLimitOfColdTarget guards against the burst of all hosts at the moment at
// which they learn of a cold target: 59 hosts with unlimited demand, a third of which
// restart while the target is cold.
func TestFleetKeepsLimitOfColdTarget(t *testing.T) {
	for seed := range 20 {
		name := fmt.Sprintf("t%d", seed)
		perSlot := make(map[time.Duration]int) // starts by 10 ms
		for host := range 59 {
			cfg := coldConfig
			cfg.Host = fmt.Sprintf("entry-%d", host)
			from := start
			if host%3 == 0 {
				from = start + time.Duration(host)*50*ms
			}
			for _, life := range [][2]time.Duration{{start, from}, {from, start + 6*time.Second}} {
				p := newUnkeyedPool()
				p.SetColdHosts(0, 59)
				p.SetCold(0, cfg)
				p.SetTargets(life[0], []pool.Target{entry(name, 2, start+6*time.Second-life[0])})
				starts, _ := startsUntil(p, life[0], life[1], request)
				for _, at := range starts {
					perSlot[at]++
				}
			}
		}
		for now := start; now < start+6*time.Second; now += 10 * ms {
			sum := 0
			for at := now; at < now+time.Second; at += 10 * ms {
				sum += perSlot[at]
			}
			assert.Assert(t, float64(sum) <= coldConfig.Limits.Window, "seed %d: %d requests in the second from %s", seed, sum, now)
		}
	}
}

// TestWarmTargetsTakeRequests: while one of two targets is cold, the other serves, and
// nothing is refused because of the cold one.
func TestWarmTargetsTakeRequests(t *testing.T) {
	p := withCold(newUnkeyedPool(entry("a", 1, 0), entry("b", 1, 0)), manyHosts)
	p.SetTargets(start, []pool.Target{entry("a", 2, 6*time.Second), entry("b", 2, 0)})
	starts, retries := startsUntil(p, start, start+time.Second, request)
	assert.Equal(t, len(starts), 100)
	assert.Equal(t, len(retries), 0)
	r := request(1, start)
	r.TriedTargets = []string{"b"}
	actions := p.Arrive(start, r)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Reason, pool.Cold, "a retry is sent to a cold target")
}

// TestUrgentRequestTakesSendOfColdOwner: an urgent request waits for the next send to its
// owner. A less urgent one that arrives when the send is open does not take it.
func TestUrgentRequestTakesSendOfColdOwner(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		p := newUnkeyedPool(entry("a", 1, 0))
		if keyed {
			p = newKeyedPool(entry("a", 1, 0))
		}
		withCold(p, fewHosts)
		p.SetTargets(start, []pool.Target{entry("a", 2, 6*time.Second)})
		urgent, other := request(1, start), request(2, start)
		urgent.Goal, urgent.Deadline = start+10*time.Second, start+20*time.Second
		other.Goal, other.Deadline, other.Priority = urgent.Goal, urgent.Deadline, 1
		assert.Equal(t, len(p.Arrive(start, urgent)), 0)
		now := start + 2*coldstart.ShareOf(coldConfig.Limits, fewHosts).Spacing
		assert.Equal(t, len(p.Arrive(now, other)), 0, "keyed %t: the less urgent request starts", keyed)
		actions := p.Tick(now)
		assert.Equal(t, len(actions), 1)
		assert.Assert(t, actions[0].ID == urgent.ID && actions[0].Start && actions[0].Cold)
	}
}

// TestWaitingRequestsAreRefusedWhenOwnerTurnsCold: requests wait for a full owner that
// then turns cold. They are refused at once, not at their deadline.
func TestWaitingRequestsAreRefusedWhenOwnerTurnsCold(t *testing.T) {
	p := withCold(newKeyedPool(target("a", 1, pool.SameZone)), manyHosts)
	assert.Assert(t, p.Arrive(start, request(1, start))[0].Start)
	for id := uint64(2); id < 4; id++ {
		assert.Equal(t, len(p.Arrive(start, request(id, start))), 0)
	}
	p.SetTargets(start+10*ms, []pool.Target{entry("a", 2, 6*time.Second)})
	actions := p.Tick(start + 10*ms)
	assert.Equal(t, len(actions), 2)
	assert.Assert(t, actions[0].Reason == pool.Cold && actions[0].RetryAfter >= 5*time.Second, "%+v", actions[0])
	assert.Assert(t, actions[1].RetryAfter > actions[0].RetryAfter, "both callers return together")
}

// coldFor returns how much longer a target of the pool is cold.
func coldFor(p *pool.Pool, now time.Duration, name string) time.Duration {
	return p.ColdTargets(now)[name]
}

// TestNewRunIsColdBeforeItsEntrySaysSo: a run that appears while the host serves is
// cold from when it is seen, until a later entry of it says otherwise. The targets that
// are there when the host starts are warm.
func TestNewRunIsColdBeforeItsEntrySaysSo(t *testing.T) {
	p := withCold(newUnkeyedPool(entry("a", 9, 0)), fewHosts)
	p.SetTargets(start, []pool.Target{entry("a", 9, 0)})
	assert.Equal(t, coldFor(p, start, "a"), time.Duration(0))
	next := func(heartbeat uint64, coldFor time.Duration) []pool.Target {
		restarted := entry("a", heartbeat, coldFor)
		restarted.Owner.Run = 2
		return []pool.Target{restarted, entry("b", 9, 0)}
	}
	p.SetTargets(start, next(2, 0))
	assert.Equal(t, coldFor(p, start, "a"), coldConfig.Duration)
	assert.Equal(t, coldFor(p, start, "b"), coldConfig.Duration)
	p.SetTargets(start+time.Second, next(1, 0)) // arrives late
	assert.Equal(t, coldFor(p, start+time.Second, "a"), coldConfig.Duration-time.Second)
	p.SetTargets(start+time.Second, []pool.Target{entry("a", 10, 0)}) // entry of the run before
	p.SetTargets(start+2*time.Second, next(2, 0))
	assert.Equal(t, coldFor(p, start+2*time.Second, "a"), coldConfig.Duration-2*time.Second)
	p.SetTargets(start+3*time.Second, next(3, 0))
	assert.Equal(t, coldFor(p, start+3*time.Second, "a"), time.Duration(0))
	p.SetTargets(start+4*time.Second, next(4, 5*time.Second)) // cold again
	assert.Equal(t, coldFor(p, start+4*time.Second, "a"), 5*time.Second)
	assert.Assert(t, !startsAt(p, start+4*time.Second, "a"), "a send at the moment at which the target is cold again")
}

// startsAt reports whether a request can start at a target now.
func startsAt(p *pool.Pool, now time.Duration, name string) bool {
	for id := range uint64(20) {
		for _, a := range p.Arrive(now, request(1000+id, now)) {
			if a.Start && a.Target.Target == name {
				return true
			}
		}
	}
	return false
}

// TestFirstStartIsWarm: at the first start of the whole system targets appear one after
// the other and are warm, until there are requests.
func TestFirstStartIsWarm(t *testing.T) {
	cfg := coldConfig
	cfg.FirstStart = true
	p := pool.New(pool.DefaultConfig)
	p.SetCold(0, cfg)
	p.SetTargets(0, nil)
	p.SetTargets(time.Second, []pool.Target{entry("a", 1, 0)})
	p.SetTargets(2*time.Second, []pool.Target{entry("a", 2, 0), entry("b", 1, 0)})
	assert.Equal(t, len(p.ColdTargets(2*time.Second)), 0)
	assert.Assert(t, startsAt(p, 3*time.Second, "a"))
	p.SetTargets(4*time.Second, []pool.Target{entry("a", 2, 0), entry("b", 1, 0), entry("c", 1, 0)})
	assert.Equal(t, len(p.ColdTargets(4*time.Second)), 1)
}

// TestMarkedTargetStaysCold: an evacuation has ended, and entries from before arrive.
func TestMarkedTargetStaysCold(t *testing.T) {
	p := withCold(newUnkeyedPool(entry("a", 1, 0)), fewHosts)
	p.MarkCold(start, "a", 1, 6*time.Second, 2*time.Second)
	p.SetTargets(start+time.Second, []pool.Target{entry("a", 2, 0)})
	assert.Equal(t, coldFor(p, start+time.Second, "a"), 5*time.Second)
	p.SetTargets(start+3*time.Second, []pool.Target{entry("a", 3, 0)})
	assert.Equal(t, coldFor(p, start+3*time.Second, "a"), time.Duration(0))
}

// TestRefusedConnectionMakesTargetCold: nothing listens at a target's address. Its next
// run may be reached before its entry is known.
func TestRefusedConnectionMakesTargetCold(t *testing.T) {
	p := withCold(newUnkeyedPool(entry("a", 1, 0)), manyHosts)
	p.RecordRefused(start, "a", 1)
	assert.Assert(t, !startsAt(p, start+time.Second, "a"))
	assert.Assert(t, startsAt(p, start+6*time.Second, "a"))
}

// TestServiceWithoutColdRate: the requests to a target that has just started are not
// limited.
func TestServiceWithoutColdRate(t *testing.T) {
	p := newUnkeyedPool(entry("a", 1, 0))
	p.SetTargets(start, []pool.Target{entry("a", 2, 6*time.Second)})
	starts, _ := startsUntil(p, start, start+time.Second, request)
	assert.Equal(t, len(starts), 100)
	assert.Equal(t, len(p.ColdChanges(start)), 0)
	p.SetCold(start, coldConfig)
	assert.Equal(t, coldFor(p, start, "a"), 6*time.Second, "the limit has come into force")
	p.SetCold(start, pool.ColdConfig{})
	assert.Equal(t, len(p.ColdTargets(start)), 0)
}
