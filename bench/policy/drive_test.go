package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDriverAnswersAllRequestsWithinSlots checks for every policy that a run answers or
// refuses all requests and uses all slots of the target but no more.
func TestDriverAnswersAllRequestsWithinSlots(t *testing.T) {
	for _, p := range policies() {
		t.Run(p.name, func(t *testing.T) {
			l := mixedLoad(3, 2)
			l.length = 4 * time.Second
			l.stragglerShare, l.stragglerFactor = 0.02, 50
			d := newDriver(1, p.config(3), l)
			o := d.run()
			assert.Equal(t, len(d.pending), 0)
			assert.Assert(t, o.peakRunning == 3, "peak %d", o.peakRunning)
			assert.Assert(t, o.good > 0 && o.good <= o.sent)
		})
	}
}
