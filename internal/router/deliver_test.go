package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/wire/pb"
)

func TestOverallOutcome(t *testing.T) {
	const ran, notRan, uncertain = pb.Outcome_OUTCOME_RAN, pb.Outcome_OUTCOME_NOT_RUN, pb.Outcome_OUTCOME_UNKNOWN
	cases := []struct {
		last       pb.Outcome
		mayHaveRun bool
		want       pb.Outcome
	}{
		{ran, false, ran},
		{ran, true, ran},
		{notRan, false, notRan},
		{notRan, true, uncertain},
		{uncertain, true, uncertain},
	}
	for _, c := range cases {
		got := overallAnswer(&pb.Answer{Id: "r1", Outcome: c.last, RetryAfterMs: 5}, c.mayHaveRun)
		assert.Equal(t, got.Outcome, c.want, "%v after a try that may have run: %v", c.last, c.mayHaveRun)
		assert.Equal(t, got.Id, "r1")
		assert.Equal(t, got.RetryAfterMs, int64(5))
	}
}
