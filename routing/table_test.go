package routing_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mangopost/mangopost/routing"
)

func TestATargetsWordThatNothingRanIsBelieved(t *testing.T) {
	said := routing.Reply{Sent: true, Status: http.StatusServiceUnavailable, IDMatches: true, SaysNotRun: true}
	assert.Equal(t, routing.Classify(said), routing.OutcomeNotRun)
	said.SaysNotRun = false
	assert.Equal(t, routing.Classify(said), routing.OutcomeRan, "a 503 alone may come from a run")
	said.SaysNotRun, said.Failed = true, true
	assert.Equal(t, routing.Classify(said), routing.OutcomeUnknown, "the answer was not whole")
	said.Failed, said.IDMatches = false, false
	assert.Equal(t, routing.Classify(said), routing.OutcomeUnknown, "the answer is for another request")
}

func TestTheLongestPrefixWins(t *testing.T) {
	table := routing.NewTable(1, []routing.Route{
		{Name: "a", Host: "h", Prefix: "/x/"}, {Name: "b", Host: "h", Prefix: "/x/y/"}, {Name: "c", Host: "g", Prefix: "/"},
	}, nil, routing.CallerLimits{})
	assert.Equal(t, table.Match("h", "/x/y/1").Name, "b")
	assert.Equal(t, table.Match("h", "/x/1").Name, "a")
	assert.Equal(t, table.Match("g", "/anything").Name, "c")
	assert.Assert(t, table.Match("h", "/x") == nil, "a prefix ends with its slash")
}

// Each prefix of the sequence is within one request of the weights.
func TestPartsGetTheirWeights(t *testing.T) {
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
