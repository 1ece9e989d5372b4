package hotrange_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/placement/hotrange"
)

// A key suddenly gets 8.4 requests per second. After one report its rate shows
// most of that, while a single request for a cold key is not treated as a burst.
func TestABurstShowsAfterOneReport(t *testing.T) {
	loads := &hotrange.Loads{}
	loads.Add(7, 0.4*8.4, window)
	assert.Assert(t, loads.Rate(7) > 0.7*8.4, "%.1f", loads.Rate(7))
	loads.Add(9, 1, window)
	assert.Assert(t, loads.Rate(9) < 1, "%.1f", loads.Rate(9))
	loads.Decay(3, window)
	assert.Assert(t, loads.Rate(7) < 1, "%.1f", loads.Rate(7))
}
