package balance

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/kernel"
	"github.com/mangopost/mangopost/routing"
)

func newBalancer(t assert.TestingT, id kernel.PluginID) routing.Balancer {
	balancer, ok := New(id)
	assert.Assert(t, ok)
	return balancer
}

func TestLocality(t *testing.T) {
	near := routing.Candidate{Target: "near", Local: true, SameRegion: true, Weight: 3}
	region := routing.Candidate{Target: "region", SameRegion: true, Weight: 3}
	far := routing.Candidate{Target: "far", Weight: 3, LinkOpen: true}
	busy := func(c routing.Candidate) routing.Candidate { c.Outstanding = 6; return c }
	linkClosed := func(c routing.Candidate) routing.Candidate { c.LinkOpen = false; return c }
	tests := []struct {
		name string
		from []routing.Candidate
		want string
	}{
		{"data centre first", []routing.Candidate{far, region, near}, "near"},
		{"region when the data centre is busy", []routing.Candidate{far, region, busy(near)}, "region"},
		{"link when the region is busy", []routing.Candidate{far, busy(region), busy(near)}, "far"},
		{"near when the link has no budget", []routing.Candidate{linkClosed(far), busy(region), busy(near)}, "near"},
		{"link without budget when there is no other candidate", []routing.Candidate{linkClosed(far)}, "far"},
		{"near when all are busy", []routing.Candidate{busy(far), busy(region), busy(near)}, "near"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			pick := newBalancer(t, Locality).Pick(random, tt.from)
			assert.Equal(t, tt.from[pick].Target, tt.want)
		})
	}
}

func TestLeastOutstandingUsesWeights(t *testing.T) {
	candidates := []routing.Candidate{
		{Outstanding: 2, Weight: 1}, {Outstanding: 5, Weight: 6}, {Outstanding: 0, Weight: 1, Full: true},
	}
	pick := newBalancer(t, LeastOutstanding).Pick(rand.New(rand.NewPCG(1, 1)), candidates)
	assert.Equal(t, pick, 1)
}

func TestRoundRobinPicksInTurn(t *testing.T) {
	balancer := newBalancer(t, RoundRobin)
	candidates := make([]routing.Candidate, 3)
	for i := range 7 {
		assert.Equal(t, balancer.Pick(nil, candidates), i%3)
	}
}

// TestEveryBalancerPicksAValidCandidate checks that every balancer picks one of
// the candidates, whatever they are, and none if there are none.
func TestEveryBalancerPicksAValidCandidate(t *testing.T) {
	ids := kernel.Plugins("balance")
	rapid.Check(t, func(t *rapid.T) {
		balancer := newBalancer(t, rapid.SampledFrom(ids).Draw(t, "balancer"))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		candidates := make([]routing.Candidate, rapid.IntRange(0, 6).Draw(t, "candidates"))
		for i := range candidates {
			candidates[i] = routing.Candidate{
				Outstanding: rapid.IntRange(0, 9).Draw(t, "outstanding"),
				Weight:      rapid.IntRange(0, 6).Draw(t, "weight"),
				Local:       rapid.Bool().Draw(t, "local"),
				SameRegion:  rapid.Bool().Draw(t, "region"),
				LinkOpen:    rapid.Bool().Draw(t, "link"),
				Full:        rapid.Bool().Draw(t, "full"),
			}
		}
		pick := balancer.Pick(random, candidates)
		if len(candidates) == 0 {
			assert.Equal(t, pick, routing.NoCandidate)
			return
		}
		assert.Assert(t, pick >= 0 && pick < len(candidates))
	})
}

// TestPowerOfTwoSpreadsLoad checks that two choices keep the most loaded target
// close to the mean, and one choice does not.
func TestPowerOfTwoSpreadsLoad(t *testing.T) {
	maxOutstanding := func(id kernel.PluginID) int {
		balancer := newBalancer(t, id)
		random := rand.New(rand.NewPCG(7, 1))
		candidates := make([]routing.Candidate, 8)
		for range 800 {
			candidates[balancer.Pick(random, candidates)].Outstanding++
		}
		top := 0
		for _, c := range candidates {
			top = max(top, c.Outstanding)
		}
		return top
	}
	assert.Assert(t, maxOutstanding(PowerOfTwo) <= 104, "power of two: %d", maxOutstanding(PowerOfTwo))
	assert.Assert(t, maxOutstanding(RandomTarget) > maxOutstanding(PowerOfTwo))
}

func BenchmarkPick(b *testing.B) {
	candidates := make([]routing.Candidate, 20)
	for i := range candidates {
		candidates[i] = routing.Candidate{Outstanding: i % 7, Weight: 3, Local: i%4 == 0, SameRegion: i%2 == 0}
	}
	for _, id := range kernel.Plugins("balance") {
		b.Run(string(id), func(b *testing.B) {
			balancer := newBalancer(b, id)
			random := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				balancer.Pick(random, candidates)
			}
		})
	}
}
