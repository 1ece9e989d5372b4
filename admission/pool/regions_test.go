package pool_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/admission/pool"
	"github.com/mangopost/mangopost/ownership/keyrange"
)

// inRegion returns a target of one region; its distance follows from the host's region,
// east.
func inRegion(name string, slots int, region string) pool.Target {
	t := target(name, slots, pool.Far)
	if region == "east" {
		t.Distance = pool.SameZone
	}
	t.Region = region
	return t
}

func requestFor(id uint64, now time.Duration, regions ...string) pool.Request {
	r := request(id, now)
	r.Regions = regions
	return r
}

// fill starts requests without regions until the targets are full.
func fill(t *testing.T, p *pool.Pool, count int) {
	t.Helper()
	for i := range uint64(count) {
		startedTarget(t, p.Arrive(0, request(1000+i, 0)))
	}
}

// A request with regions must not run in another region, whatever has room there, and is
// refused at once where no target can ever run it.
func TestRequestRunsOnlyInItsRegions(t *testing.T) {
	leaving := inRegion("w", 2, "west")
	leaving.Leaving = true
	for name, c := range map[string]struct {
		targets []pool.Target
		regions []string
		tried   []string
		want    string // target, or "" if the request is refused at once
	}{
		"far region":            {[]pool.Target{inRegion("e", 2, "east"), inRegion("w", 2, "west")}, []string{"west"}, nil, "w"},
		"near region":           {[]pool.Target{inRegion("e", 2, "east"), inRegion("w", 2, "west")}, []string{"east"}, nil, "e"},
		"any region":            {[]pool.Target{inRegion("e", 2, "east"), inRegion("w", 2, "west")}, nil, nil, "e"},
		"two regions":           {[]pool.Target{inRegion("e", 2, "east"), inRegion("w", 2, "west")}, []string{"west", "east"}, []string{"e"}, "w"},
		"retry":                 {[]pool.Target{inRegion("e", 2, "east"), inRegion("w", 2, "west"), inRegion("v", 2, "west")}, []string{"west"}, []string{"w"}, "v"},
		"retry after all":       {[]pool.Target{inRegion("e", 2, "east"), inRegion("w", 2, "west")}, []string{"west"}, []string{"w"}, ""},
		"no target":             {[]pool.Target{inRegion("e", 2, "east")}, []string{"west"}, nil, ""},
		"target leaves":         {[]pool.Target{inRegion("e", 2, "east"), leaving}, []string{"west"}, nil, ""},
		"unknown region":        {[]pool.Target{inRegion("e", 2, "")}, []string{"east"}, nil, ""},
		"unknown region, empty": {[]pool.Target{inRegion("e", 2, "")}, []string{""}, nil, ""},
		"unknown region, any":   {[]pool.Target{inRegion("e", 2, "")}, nil, nil, "e"},
	} {
		t.Run(name, func(t *testing.T) {
			r := requestFor(1, 0, c.regions...)
			r.TriedTargets = c.tried
			actions := newUnkeyedPool(c.targets...).Arrive(0, r)
			assert.Equal(t, len(actions), 1, "the request must not wait")
			assert.Equal(t, actions[0].Target.Target, c.want)
			assert.Equal(t, actions[0].Start, c.want != "")
			if c.want == "" {
				assert.Equal(t, actions[0].Reason, pool.NoTarget)
				assert.Assert(t, actions[0].RetryAfter > 0)
			}
		})
	}
}

// The owner of a key is in another region: the request is refused at once. While the key
// moves into an allowed region the request waits for its new owner.
func TestKeyOwnedInAnotherRegion(t *testing.T) {
	w, e := inRegion("w", 2, "west"), inRegion("e", 2, "east")
	p := newKeyedPool(w, e)
	keys := keyrange.New("s", []keyrange.Owner{w.Owner}, []float64{1})
	p.SetOwners(keys)
	refused := p.Arrive(0, requestFor(1, 0, "east"))
	assert.Equal(t, len(refused), 1, "the request must not wait")
	assert.Equal(t, refused[0].Reason, pool.NoOwner)
	assert.Assert(t, refused[0].RetryAfter >= time.Second, "owners change rarely: %v", refused[0].RetryAfter)
	assert.Equal(t, startedTarget(t, p.Arrive(0, requestFor(2, 0, "west"))), "w")
	assert.Equal(t, p.PausedFor(0, 0, "east"), time.Duration(0))

	moved := keys.Clone()
	moved.Assign(0, keyrange.MaxKey, e.Owner)
	p.SetOwners(moved)
	assert.Equal(t, len(p.Arrive(ms, requestFor(3, ms, "east"))), 0, "the key moves into the region")
	refused = p.Arrive(ms, requestFor(4, ms, "west"))
	assert.Equal(t, len(refused), 1)
	assert.Assert(t, !refused[0].Start, "the key moves out of the region")
	p.Settle([]keyrange.ID{moved.Ranges[0].ID()})
	assert.Equal(t, startedTarget(t, p.Tick(2*ms)), "e")
}

// Requests that are not allowed at an overloaded owner must not use up what it admits of
// the others.
func TestRefusedForRegionIsNotThinned(t *testing.T) {
	p := newKeyedPool(inRegion("w", 9, "west"))
	p.SetAdmitFractions(map[string]float64{"w": 0.5})
	admitted := 0
	for id := range uint64(10) {
		assert.Equal(t, p.Arrive(0, requestFor(100+id, 0, "east"))[0].Reason, pool.NoOwner)
		if p.Arrive(0, requestFor(id, 0, "west"))[0].Start {
			admitted++
		}
	}
	assert.Equal(t, admitted, 5)
	assert.Equal(t, p.Demand(time.Second)["w"], 5+1, "five run, and five refused take less than one slot")
}

// A request of the full region must not delay those that the other region can run, nor
// the other way round, neither on arrival nor in the queue.
func TestFullRegionBlocksOnlyItsRequests(t *testing.T) {
	for _, c := range []struct{ waiting, behind []string }{
		{[]string{"east"}, nil}, {[]string{"east"}, []string{"west"}}, {[]string{"east"}, []string{"east", "west"}},
	} {
		t.Run(fmt.Sprint(c.waiting, c.behind), func(t *testing.T) {
			p := newUnkeyedPool(inRegion("e", 1, "east"))
			fill(t, p, 1)
			assert.Equal(t, len(p.Arrive(0, requestFor(1, 0, c.waiting...))), 0)
			p.SetTargets(0, []pool.Target{inRegion("e", 1, "east"), inRegion("w", 1, "west")})
			assert.Equal(t, startedTarget(t, p.Arrive(0, requestFor(2, ms, c.behind...))), "w")
			assert.Equal(t, len(p.Arrive(0, requestFor(3, 2*ms, c.behind...))), 0)
			p.Finish(10*ms, owner("w"), 10*ms, pool.Answered)
			actions := p.Tick(10 * ms)
			assert.Equal(t, startedTarget(t, actions), "w")
			assert.Equal(t, actions[0].ID, uint64(3))
			p.Finish(20*ms, owner("e"), 20*ms, pool.Answered)
			assert.Equal(t, len(p.Arrive(20*ms, requestFor(4, 20*ms, "east"))), 0, "an earlier request waits for the region")
			assert.Equal(t, p.Tick(20 * ms)[0].ID, uint64(1))
		})
	}
}

// A retry that has tried the only free target waits; requests with regions behind it must
// get that target.
func TestWaitingRetryDoesNotBlockRegions(t *testing.T) {
	p := newUnkeyedPool(inRegion("e", 1, "east"), inRegion("w", 1, "west"))
	fill(t, p, 2)
	retry := request(1, 0)
	retry.TriedTargets = []string{"w"}
	assert.Equal(t, len(p.Arrive(0, retry)), 0)
	p.Finish(ms, owner("w"), ms, pool.Answered)
	assert.Equal(t, startedTarget(t, p.Arrive(ms, requestFor(2, ms, "west"))), "w")
}

// The west is full and the east is idle: a request for the west must be told the wait
// there. Requests of the other region must not lengthen it.
func TestWaitCountsOnlyAllowedRegions(t *testing.T) {
	newPool := func() *pool.Pool {
		p := newUnkeyedPool(inRegion("w", 1, "west"))
		fill(t, p, 1)
		p.SetTargets(0, []pool.Target{inRegion("w", 1, "west"), inRegion("e", 40, "east")})
		return p
	}
	p := newPool()
	var refused []pool.Action
	for id := range uint64(20) {
		refused = append(refused, p.Arrive(0, requestFor(id, 0, "west"))...)
	}
	assert.Assert(t, len(refused) > 10, "%d of 20 are refused at one slot of 150 ms", len(refused))
	last := time.Duration(0)
	for _, a := range refused {
		assert.Equal(t, a.Reason, pool.Full)
		assert.Assert(t, a.RetryAfter >= 450*ms && a.RetryAfter >= last, "%v", a.RetryAfter)
		last = a.RetryAfter
	}
	// The refusals of the west do not delay the callers of the east.
	p = newPool()
	p.SetTargets(0, []pool.Target{inRegion("w", 1, "west"), inRegion("e", 1, "east")})
	startedTarget(t, p.Arrive(0, requestFor(100, 0, "east")))
	for id := range uint64(20) {
		p.Arrive(0, requestFor(id, 0, "west"))
	}
	assert.Equal(t, len(p.Arrive(0, requestFor(101, ms, "east"))), 0, "three fit into the latency goal")
	assert.Equal(t, len(p.Arrive(0, request(102, ms))), 0, "the queue of the west is none of its own")
	for id := range uint64(10) {
		for _, a := range p.Arrive(ms, requestFor(200+id, ms, "east")) {
			assert.Assert(t, a.RetryAfter < 2*time.Second, "the first refused caller of the east: %v", a.RetryAfter)
			return
		}
	}
	t.Fatal("no request of the east is refused")
}

// Requests that may run anywhere wait before one for the west. They take its targets only
// by their part of the capacity.
func TestOthersTakeTheirPartOfRegion(t *testing.T) {
	p := newUnkeyedPool(inRegion("w", 1, "west"), inRegion("e", 9, "east"))
	waiting := 0
	for id := range uint64(21) {
		if len(p.Arrive(0, request(id, 0))) == 0 {
			waiting++
		}
	}
	assert.Assert(t, waiting >= 6, "%d wait", waiting)
	assert.Equal(t, len(p.Arrive(0, requestFor(100, ms, "west"))), 0, "two or three run there before it")
}

// Only the west asked for a pause: its requests are refused until the end of the pause,
// although the east is free, and those of the east are not affected.
func TestPauseCountsOnlyAllowedRegions(t *testing.T) {
	p := newUnkeyedPool(inRegion("w", 2, "west"), inRegion("e", 1, "east"))
	p.Pause(0, owner("w"), 3*time.Second)
	assert.Equal(t, startedTarget(t, p.Arrive(ms, requestFor(1, ms, "east"))), "e")
	refused := p.Arrive(ms, requestFor(2, ms, "west"))
	assert.Equal(t, len(refused), 1, "must not wait")
	assert.Equal(t, refused[0].Reason, pool.Paused)
	assert.Assert(t, refused[0].RetryAfter >= 3*time.Second-ms)
	assert.Equal(t, p.PausedFor(time.Second, 0, "west"), 2*time.Second)
	assert.Equal(t, p.PausedFor(time.Second, 0, "east"), time.Duration(0))
	assert.Equal(t, p.PausedFor(time.Second, 0), time.Duration(0))
	assert.Equal(t, len(p.Arrive(ms, requestFor(3, ms, "east"))), 0, "waits for a slot in the east")
}

// A region without targets stays so for an unknown time: callers return later the longer
// it has lasted, and sooner again once it has had a target.
func TestRetryAfterGrowsWithAbsence(t *testing.T) {
	p := newUnkeyedPool(inRegion("e", 2, "east"))
	at := func(now time.Duration) time.Duration {
		a := p.Arrive(now, requestFor(uint64(now), now, "west"))
		assert.Equal(t, a[0].Reason, pool.NoTarget)
		return a[0].RetryAfter
	}
	assert.Equal(t, at(time.Second), 400*ms)
	assert.Equal(t, at(3*time.Second), 2*time.Second)
	assert.Equal(t, at(time.Minute), 5*time.Second)
	p.SetTargets(time.Minute, []pool.Target{inRegion("e", 2, "east"), inRegion("w", 2, "west")})
	p.SetTargets(time.Minute, []pool.Target{inRegion("e", 2, "east")})
	assert.Equal(t, at(2*time.Minute), 400*ms)
}

// While all data centres of a service are evacuated its requests are refused at once,
// with or without regions or a key, and start again at the end. One that remains takes
// them.
func TestEvacuatedServiceRefusesAtOnce(t *testing.T) {
	out := inRegion("e", 2, "east")
	out.Leaving, out.Evacuated = true, true
	for name, p := range map[string]*pool.Pool{"keyed": newKeyedPool(out), "unkeyed": newUnkeyedPool(out)} {
		t.Run(name, func(t *testing.T) {
			for _, r := range []pool.Request{request(1, 0), requestFor(2, 0, "east")} {
				actions := p.Arrive(0, r)
				assert.Equal(t, len(actions), 1, "request %d must not wait", r.ID)
				assert.Assert(t, !actions[0].Start && actions[0].RetryAfter > 0)
			}
			assert.Equal(t, p.Arrive(time.Minute, request(3, time.Minute))[0].RetryAfter, 5*time.Second)
			p.SetTargets(time.Minute, []pool.Target{inRegion("e", 2, "east")})
			assert.Equal(t, startedTarget(t, p.Arrive(time.Minute, request(4, time.Minute))), "e")
		})
	}
	p := newUnkeyedPool(out, inRegion("w", 1, "west"))
	assert.Equal(t, startedTarget(t, p.Arrive(0, request(1, 0))), "w")
	assert.Equal(t, len(p.Arrive(0, request(2, 0))), 0, "waits for the other data centre")
}

// A key's owner is in an evacuated data centre: requests wait for the key to move as long
// as their latency goal allows, and are told a time in which an orderly move ends.
func TestRequestsWaitForEvacuatedKey(t *testing.T) {
	out, in := inRegion("e", 2, "east"), inRegion("w", 2, "west")
	out.Leaving, out.Evacuated = true, true
	p := newKeyedPool(out, in)
	p.SetOwners(keyrange.New("s", []keyrange.Owner{out.Owner}, []float64{1}))
	r := request(1, 0)
	assert.Equal(t, len(p.Arrive(0, r)), 0)
	assert.Equal(t, len(p.Tick(440*ms)), 0, "longer than for a lost owner")
	refused := p.Tick(450 * ms)
	assert.Equal(t, len(refused), 1)
	assert.Assert(t, refused[0].RetryAfter <= time.Second, "%v", refused[0].RetryAfter)
	assert.Equal(t, len(p.Arrive(450*ms, requestFor(2, 450*ms, "east"))), 1, "no target of its region remains")
}

// A waiting request is refused when the last target of its region leaves.
func TestWaitingRequestIsRefusedWithoutRegion(t *testing.T) {
	p := newUnkeyedPool(inRegion("w", 1, "west"))
	fill(t, p, 1)
	assert.Equal(t, len(p.Arrive(0, requestFor(1, 0, "west"))), 0)
	p.MarkLeaving(owner("w"))
	actions := p.Tick(ms)
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Reason, pool.NoTarget)
}

// No sequence of events may start a request outside its regions.
func TestNoRequestStartsOutsideItsRegions(t *testing.T) {
	regions := []string{"east", "west", "south", ""}
	rapid.Check(t, func(t *rapid.T) {
		cfg := pool.DefaultConfig
		cfg.Keyed = rapid.Bool().Draw(t, "keyed")
		if rapid.Bool().Draw(t, "learned") {
			learnCrossing(2)(&cfg)
		}
		p := pool.New(cfg)
		regionOf, requests, running := make(map[string]string), make(map[uint64]pool.Request), make(map[uint64]pool.Action)
		setTargets := func(now time.Duration) {
			var targets []pool.Target
			for i := range 4 {
				next := inRegion(fmt.Sprint(i), rapid.IntRange(1, 3).Draw(t, "slots"), rapid.SampledFrom(regions).Draw(t, "region"))
				next.Distance = pool.Distance(i % 3)
				next.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
				if rapid.IntRange(0, 4).Draw(t, "gone") > 0 {
					targets = append(targets, next)
					regionOf[next.Owner.Target] = next.Region
				}
			}
			p.SetTargets(now, targets)
			owners, weights := make([]keyrange.Owner, 4), []float64{1, 1, 1, 1}
			for i := range owners {
				owners[i] = owner(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "owner")))
			}
			p.SetOwners(keyrange.New("s", owners, weights))
		}
		check := func(actions []pool.Action) {
			for _, a := range actions {
				allowed, in := requests[a.ID].Regions, regionOf[a.Target.Target]
				if !a.Start {
					assert.Assert(t, a.RetryAfter > 0)
					continue
				}
				assert.Assert(t, len(allowed) == 0 || in != "" && slices.Contains(allowed, in), "%v started in %q", allowed, in)
				running[a.ID] = a
			}
		}
		now := time.Duration(0)
		setTargets(now)
		for id := range uint64(rapid.IntRange(1, 80).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				r := requestFor(id, now, rapid.SliceOfNDistinct(rapid.SampledFrom(regions), 0, 2, rapid.ID[string]).Draw(t, "regions")...)
				r.Key = rapid.IntRange(0, keyrange.MaxKey).Draw(t, "key")
				r.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				requests[id] = r
				check(p.Arrive(now, r))
			case 3:
				for ended, a := range running {
					delete(running, ended)
					p.Finish(now, a.Target, 50*ms, pool.Result(rapid.IntRange(0, 7).Draw(t, "result")))
					if rapid.Bool().Draw(t, "retry") {
						r := requests[ended]
						r.ID, r.TriedTargets = 10_000+id, append(slices.Clip(r.TriedTargets), a.Target.Target)
						requests[r.ID] = r
						check(p.Arrive(now, r))
					}
					break
				}
			case 4:
				setTargets(now)
			default:
				check(p.Tick(now))
			}
		}
	})
}
