package hotrange_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/placement/hotrange"
)

// A key suddenly gets 8.4 requests per second. After one report its rate shows
// most of that, while a single request for a cold key is not treated as a burst.
func TestBurstIsDetectedAfterOneReport(t *testing.T) {
	loads := &hotrange.Loads{}
	loads.Add(7, 0.4*8.4, windowSeconds)
	assert.Assert(t, loads.Rate(7) > 0.7*8.4, "%.1f", loads.Rate(7))
	loads.Add(9, 1, windowSeconds)
	assert.Assert(t, loads.Rate(9) < 1, "%.1f", loads.Rate(9))
	loads.Decay(3, windowSeconds)
	assert.Assert(t, loads.Rate(7) < 1, "%.1f", loads.Rate(7))
}
