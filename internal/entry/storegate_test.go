package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Three feeds call a store that does not answer: one probe at a time must be made,
// with short pauses. With feeds that failed in turn, each after a watch of two
// seconds, and pauses of 1.5 s a host stayed out of date for more than 4 s after
// its link had recovered.
func TestGateAllowsOneProbeWhileStoreIsDown(t *testing.T) {
	var g storeGate
	for range 3 {
		ok, probe := g.enter(0, false)
		assert.Assert(t, ok && !probe, "every call may enter while the store answers")
	}
	for range 3 {
		g.failed(0, false)
	}
	ok, _ := g.enter(minGatePause-1, false)
	assert.Assert(t, !ok)
	now := minGatePause
	for range 10 {
		ok, probe := g.enter(now, false)
		assert.Assert(t, ok && probe)
		again, _ := g.enter(now, false)
		assert.Assert(t, !again, "second probe while the first is in flight")
		now += callTimeAllowance
		g.failed(now, true)
		now += maxGatePause
	}
	ok, _ = g.enter(now, false)
	assert.Assert(t, ok)
	g.answered()
	ok, probe := g.enter(now, false)
	assert.Assert(t, ok && !probe)
	ok, _ = g.enter(now, true)
	assert.Assert(t, !ok, "a host that receives relays does not probe")
	assert.Assert(t, callTimeAllowance+maxGatePause < 2*time.Second, "a recovered link must be noticed within half of the 4 s")
}
