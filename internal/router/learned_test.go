package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mangopost/mangopost/admission"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/lease"
)

// The gateway whose line follows adopts learned state that arrives over the routers'
// own listeners, with the route IDs of its own template.
func TestLearnedStateIsAdopted(t *testing.T) {
	p := startPair(t, newHeldTarget(), pairOptions{slots: 6})
	chain, ok := p.b.leases.chain("t1")
	assert.Assert(t, ok)
	w := p.b.gateway.worker("t1")
	routes := w.template.Load().Routes
	samples := []time.Duration{8: 20 * time.Millisecond}
	sent := wire.TargetLearned{
		Succession: lease.Succession{Target: "t1", Before: 1, After: chain},
		CapturedAt: time.Now(),
		Learned: admission.Learned{Concurrency: 5, Routes: []admission.LearnedRoute{
			{Samples: samples}, {Samples: samples},
		}},
		RouteNames: []wire.RouteName{{Method: "PUT", Path: "/gone"}, {Method: routes[1].Method, Path: routes[1].Path}},
	}
	numbered := w.withLocalRouteIDs(sent, time.Second)
	assert.Equal(t, len(numbered.Routes), 1)
	assert.Equal(t, numbered.Routes[0].Route, admission.RouteID(1))
	_, names := w.withRouteNames(numbered)
	assert.DeepEqual(t, names, sent.RouteNames[1:])

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if w.health.isAlive(p.b.now(), time.Second) {
			return poll.Success()
		}
		return poll.Continue("the target has not answered yet")
	})
	assert.NilError(t, p.a.sendLearned(t.Context(), p.a.table.Load().firstCandidateAddr("t1"), sent))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if w.stats.Load().Concurrency == 5 {
			return poll.Success()
		}
		return poll.Continue("%+v", w.stats.Load())
	})
}

// Learned state is dropped if it is too old, is for another line, or is of a target
// that may have restarted or does not answer. It waits if its line is yet to begin.
func TestUnusableLearnedStateIsDropped(t *testing.T) {
	p := startPair(t, newHeldTarget(), pairOptions{slots: 6})
	chain, ok := p.b.leases.chain("t1")
	assert.Assert(t, ok)
	w := p.b.gateway.worker("t1")
	now := time.Now()
	learned := wire.TargetLearned{
		Succession: lease.Succession{Target: "t1", Before: 1, After: chain}, CapturedAt: now,
		Learned: admission.Learned{Concurrency: 5},
	}
	before, next, old, early := learned, learned, learned, learned
	before.Succession.After = chain - 1
	next.Succession.After = chain + 1
	old.CapturedAt = now.Add(-maxLearnedAge - dedupSkew - 1)
	early.CapturedAt = now.Add(dedupSkew + 1)
	for _, l := range []wire.TargetLearned{before, old, early} {
		assert.Assert(t, p.b.gateway.learned.add(l))
		assert.Assert(t, !p.b.gateway.adoptLearned(now))
	}
	assert.Assert(t, p.b.gateway.learned.add(next))
	assert.Assert(t, p.b.gateway.adoptLearned(now))
	assert.Assert(t, !p.b.gateway.adoptLearned(now.Add(maxLearnedAge+dedupSkew+1)))

	w.health.recordAnswer(p.b.now())
	w.health.recordReset(p.b.now())
	assert.Assert(t, p.b.gateway.learned.add(learned))
	assert.Assert(t, !p.b.gateway.adoptLearned(now))
	assert.Equal(t, w.stats.Load().Concurrency, 1)
}

func TestLearnedInboxIsBounded(t *testing.T) {
	var b learnedInbox
	for i := range maxLearnedTargets {
		assert.Assert(t, b.add(wire.TargetLearned{Succession: lease.Succession{Target: string(rune('a' + i))}}))
	}
	assert.Assert(t, !b.add(wire.TargetLearned{}))
	assert.Assert(t, b.add(wire.TargetLearned{Succession: lease.Succession{Target: "a"}}))
}
