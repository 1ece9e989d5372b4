package hotrange_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/placement/hotrange"
)

// Pattern: a key gets eight requests a second from one moment to the next. One report
// shows most of that, and a single request more of a cold key shows nothing.
func TestABurstShowsAfterOneReport(t *testing.T) {
	loads := &hotrange.Loads{}
	loads.Add(7, 0.4*8.4, window)
	assert.Assert(t, loads.Rate(7) > 0.7*8.4, "%.1f", loads.Rate(7))
	loads.Add(9, 1, window)
	assert.Assert(t, loads.Rate(9) < 1, "%.1f", loads.Rate(9))
	loads.Decay(3, window)
	assert.Assert(t, loads.Rate(7) < 1, "%.1f", loads.Rate(7))
}
