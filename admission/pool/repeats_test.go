package pool_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/ownership/keyrange"
)

// repeated returns a request whose goal passed before it arrived.
func repeated(r pool.Request) pool.Request {
	r.Goal = r.Arrived - ms
	return r
}

// A service is too small: callers that were refused return and would take the room of
// requests whose goal can still be met. They are refused while such requests are, and
// served once these have room.
func TestRepeatsGiveWayWhileOthersLackRoom(t *testing.T) {
	p := newUnkeyedPool(target("a", 1, pool.SameZone))
	id := uint64(0)
	next := func() uint64 { id++; return id }
	startedTarget(t, p.Arrive(0, request(next(), 0)))
	refused := false
	for range 50 { // fills the queue until one is refused
		if a := p.Arrive(0, request(next(), 0)); len(a) > 0 {
			refused = true
			assert.Equal(t, a[0].Reason, pool.Full)
			break
		}
	}
	assert.Assert(t, refused)
	a := p.Arrive(ms, repeated(request(next(), ms)))
	assert.Equal(t, len(a), 1)
	assert.Equal(t, a[0].Reason, pool.PastGoal)
	assert.Assert(t, a[0].RetryAfter >= 900*ms, "%v", a[0].RetryAfter)

	for now := 10 * ms; p.Waiting() > 0 || now < 1200*ms; now += 10 * ms { // the others are served
		p.Finish(now, owner("a"), 10*ms, pool.Answered)
		p.Tick(now)
	}
	p.Finish(1300*ms, owner("a"), 10*ms, pool.Answered)
	assert.Equal(t, startedTarget(t, p.Arrive(1300*ms, repeated(request(next(), 1300*ms)))), "a")
}

// Of waiting requests of one priority those start first whose goal can still be met.
func TestWaitingRepeatsStartLast(t *testing.T) {
	p := newUnkeyedPool(target("a", 1, pool.SameZone))
	startedTarget(t, p.Arrive(0, request(1, 0)))
	assert.Equal(t, len(p.Arrive(ms, repeated(request(2, ms)))), 0, "waits: nobody was refused")
	assert.Equal(t, len(p.Arrive(2*ms, request(3, 2*ms))), 0)
	p.Finish(20*ms, owner("a"), 20*ms, pool.Answered)
	started := p.Tick(20 * ms)
	assert.Equal(t, len(started), 1)
	assert.Equal(t, started[0].ID, uint64(3))
}

// All hosts together get more requests for an owner's keys than it can run: those whose
// goal has passed use only the part that others leave.
func TestThinnedOwnerPrefersRequestsInTime(t *testing.T) {
	p := newKeyedPool(target("a", 200, pool.SameZone))
	p.SetAdmitFractions(map[string]float64{"a": 0.5})
	sent := map[bool]int{}
	for id := range uint64(200) {
		r := request(id, ms)
		r.Key = int(id) % keyrange.MaxKey
		if id%2 == 0 {
			r = repeated(r)
		}
		for _, a := range p.Arrive(ms, r) {
			if a.Start {
				sent[id%2 == 0]++
			}
		}
	}
	assert.Assert(t, sent[false] >= 98 && sent[true] <= 2, "%v", sent)
	for id := range uint64(100) {
		for _, a := range p.Arrive(ms, repeated(request(1000+id, ms))) {
			if a.Start {
				sent[true]++
			}
		}
	}
	assert.Assert(t, sent[true] >= 48, "%v: repeats alone get the whole part", sent)
}

// A request whose goal has passed waits behind others until it could not be answered within
// a third of its time. It must be refused then, and not be held until its deadline.
func TestOvertakenRepeatIsNotHeldUntilDeadline(t *testing.T) {
	p := newUnkeyedPool(target("a", 1, pool.SameZone))
	startedTarget(t, p.Arrive(0, request(1, 0)))
	assert.Equal(t, len(p.Arrive(ms, request(2, ms))), 0)
	late := repeated(request(3, 2*ms))
	late.Deadline = 3002 * ms
	assert.Equal(t, len(p.Arrive(2*ms, late)), 0)
	for now := 10 * ms; now < late.Deadline; now += 10 * ms {
		for _, a := range p.Tick(now) {
			if a.ID == 3 {
				assert.Equal(t, a.Reason, pool.PastGoal)
				assert.Assert(t, now <= 1002*ms, "held for %v", now)
				return
			}
		}
	}
	t.Fatal("not refused")
}
