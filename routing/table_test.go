package routing_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/routing"
)

func TestClassifyTrustsNotRunStatement(t *testing.T) {
	reply := routing.Reply{Sent: true, Status: http.StatusServiceUnavailable, IDMatches: true, SaysNotRun: true}
	assert.Equal(t, routing.Classify(reply), routing.OutcomeNotRun)
	reply.SaysNotRun = false
	assert.Equal(t, routing.Classify(reply), routing.OutcomeRan, "a 503 alone may come from a run")
	reply.SaysNotRun, reply.Failed = true, true
	assert.Equal(t, routing.Classify(reply), routing.OutcomeUnknown, "the answer was not complete")
	reply.Failed, reply.IDMatches = false, false
	assert.Equal(t, routing.Classify(reply), routing.OutcomeUnknown, "the answer is for another request")
}

func TestMatchPicksLongestPrefix(t *testing.T) {
	table := routing.NewTable(1, []routing.Route{
		{Name: "a", Host: "h", Prefix: "/x/"}, {Name: "b", Host: "h", Prefix: "/x/y/"}, {Name: "c", Host: "g", Prefix: "/"},
	}, nil, routing.CallerLimits{})
	assert.Equal(t, table.Match("h", "/x/y/1").Name, "b")
	assert.Equal(t, table.Match("h", "/x/1").Name, "a")
	assert.Equal(t, table.Match("g", "/anything").Name, "c")
	assert.Assert(t, table.Match("h", "/x") == nil, "a prefix includes its final slash")
}

// TestSplitterFollowsWeights checks that each prefix of the sequence is within
// two requests of the weights.
func TestSplitterFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 2, 4).Draw(t, "weights")
		r := &routing.Route{Name: "r"}
		total := 0
		for i, w := range weights {
			r.Parts = append(r.Parts, routing.Part{Service: string(rune('a' + i)), Weight: w})
			total += w
		}
		if total == 0 {
			return
		}
		s := routing.NewSplitter()
		got := make(map[string]int)
		for n := 1; n <= 300; n++ {
			got[s.Next(r)]++
			for _, p := range r.Parts {
				want := float64(n*p.Weight) / float64(total)
				assert.Assert(t, float64(got[p.Service]) < want+2 && float64(got[p.Service]) > want-2, "%v after %d", got, n)
			}
		}
	})
}
