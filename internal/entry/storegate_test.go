package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Three feeds of many hosts meet a store that does not answer: one call at a time
// asks, with pauses that stay short. Found on pinjam-antara-grown, scale-2 with
// seed 505277715841 (DRAIN): three feeds that failed by turns, each after a watch
// of two seconds, and pauses of 1.5 s left a host without knowledge for more than
// 4 s after its link had healed.
func TestOneCallAsksAStoreThatDoesNotAnswer(t *testing.T) {
	var g storeGate
	for range 3 {
		ok, probe := g.enter(0, false)
		assert.Assert(t, ok && !probe, "all may call a store that answers")
	}
	for range 3 {
		g.failed(0, false)
	}
	ok, _ := g.enter(gateFirst-1, false)
	assert.Assert(t, !ok)
	now := gateFirst
	for range 10 {
		ok, probe := g.enter(now, false)
		assert.Assert(t, ok && probe)
		again, _ := g.enter(now, false)
		assert.Assert(t, !again, "a second one while the first is under way")
		now += callTime
		g.failed(now, true)
		now += gateMost
	}
	ok, _ = g.enter(now, false)
	assert.Assert(t, ok)
	g.answered()
	ok, probe := g.enter(now, false)
	assert.Assert(t, ok && !probe)
	ok, _ = g.enter(now, true)
	assert.Assert(t, !ok, "a host that hears the coordinator leaves it to that")
	assert.Assert(t, callTime+gateMost < 2*time.Second, "a link that heals is noticed in half of the time")
}
