package wire

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/admission"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
)

func TestTargetLearnedRoundTrip(t *testing.T) {
	const ms = time.Millisecond
	sent := TargetLearned{
		Succession: lease.Succession{Target: "t1", Before: 4, After: 6},
		CapturedAt: time.Unix(9, 1),
		Learned: admission.Learned{
			Concurrency: 5, Cold: true, All: []time.Duration{ms, 2 * ms}, Stragglers: []time.Duration{9 * ms},
			Routes: []admission.LearnedRoute{{Samples: []time.Duration{3 * ms}, Baseline: ms, Arrivals: 2.5}},
			Held:   []admission.HeldSlot{{Left: 7 * ms, Long: true}},
		},
		RouteNames: []RouteName{{Method: "GET", Path: "/holdings"}},
	}
	got, ok := DecodeLearned(LearnedFrame(sent))
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, sent)
	_, ok = DecodeLearned(&pb.Frame{})
	assert.Assert(t, !ok)
}
