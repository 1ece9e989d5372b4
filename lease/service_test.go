package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/ownership"
)

// longestGap lets time pass and returns the longest time for which a shard was not run.
func (w *model) longestGap(d time.Duration, shard uint32) time.Duration {
	var longest time.Duration
	for end := w.now + d; w.now < end; {
		w.step()
		longest = max(longest, w.now-w.lastStart[shard])
	}
	return longest
}

func newFailureFreeModel(t *testing.T) *model {
	w := newModel(1, lease.NoFault)
	w.noFailures = true
	assert.Assert(t, w.advance(2*time.Second, func() bool {
		return w.lastStart[0] > 0 && w.lastStart[1] > 0
	}))
	return w
}

func TestServiceThroughFailures(t *testing.T) {
	cases := []struct {
		name string
		fail func(w *model)
		gap  time.Duration // in the model's time
	}{
		{"a voter restarts", func(w *model) { w.restartPlacer(w.host("a")) }, 100 * time.Millisecond},
		{"the voter of the gateway's host restarts", func(w *model) { w.restartPlacer(w.host("b")) }, 100 * time.Millisecond},
		{"a voter is cut off", func(w *model) { w.isolate(w.host("c")) }, 50 * time.Millisecond},
		{"the store is down", func(w *model) { w.store.down = true }, 50 * time.Millisecond},
		{"the gateway is renewed", func(w *model) { w.putRenewedGateway("b", "a", "c") }, 100 * time.Millisecond},
		{"the target is handed over to another gateway", func(w *model) { w.putRenewedGateway("c", "a", "b") }, 300 * time.Millisecond},
		{"the gateway's router restarts", func(w *model) { w.restartRouter(w.host("b")) }, time.Second},
		{"the gateway's host is cut off", func(w *model) { w.isolate(w.host("b")) }, time.Second},
		{"the gateway's host is cut off while the store is down", func(w *model) { w.store.down = true; w.isolate(w.host("b")) }, time.Second},
		{"the shard is moved as planned", func(w *model) { w.moveShard(ownership.MovePlanned) }, 300 * time.Millisecond},
		{"a planned move while the old gateway's router restarts", func(w *model) {
			w.restartRouter(w.host("b"))
			w.moveShard(ownership.MovePlanned)
		}, time.Second},
		{"a planned move, then the store goes down and the old gateway's router restarts", func(w *model) {
			w.moveShard(ownership.MovePlanned)
			for _, h := range w.hosts {
				w.sync(h, w.store.record, w.store.page)
			}
			w.store.down = true
			w.restartRouter(w.host("b"))
		}, time.Second},
		{"a planned move whose old epoch was stopped, then the store goes down", func(w *model) {
			w.moveShard(ownership.MovePlanned)
			for _, h := range w.hosts {
				w.sync(h, w.store.record, w.store.page)
				stop := lease.Stops{Shards: []lease.ShardStop{{Shard: ref(1), Epoch: 1}}}
				h.placer.voter.Step(h.placer.clock.read(w.now), h.router.inc, lease.StopRequest{Cell: cell, Record: 1, From: h.router.inc, Stops: stop})
			}
			w.store.down = true
		}, time.Second},
		{"the shard is moved as lost", func(w *model) { w.moveShard(ownership.MoveLost) }, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newFailureFreeModel(t)
			c.fail(w)
			gap := w.longestGap(4*time.Second, 1)
			t.Log("longest gap:", gap, w.counts)
			assert.Equal(t, w.violation, "")
			assert.Assert(t, gap <= c.gap, "gap %v\n%s", gap, w.describe())
			assert.Equal(t, w.counts["floors"], 0)
		})
	}
}

func (w *model) putRenewedGateway(names ...string) {
	var routers []lease.Incarnation
	for _, name := range names {
		routers = append(routers, w.host(name).router.inc)
	}
	w.putRecord(w.host("a"))(membership.RenewGateway(w.store.record, plainTarget, routers, w.stamp(w.host("a"))))
}

func (w *model) moveShard(kind ownership.MoveKind) {
	a := w.host("a")
	page, err := ownership.BeginMove(w.store.page, 1, ownership.Place{Cell: cell, Target: checkingTarget}, kind, nil, w.change(a))
	w.putPage(a, page, err)
}
