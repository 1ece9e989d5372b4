package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
)

// TestGoneGatewayIsReplacedWithoutSuspicion checks that a takeover skips the suspicion
// time, but none of the wait, when a majority believes that the gateway's process
// ended.
func TestGoneGatewayIsReplacedWithoutSuspicion(t *testing.T) {
	timing := lease.DefaultTiming
	n, lost := newServingNetwork(t)
	n.down["a"] = true
	for _, name := range []string{"b", "c"} {
		assert.Assert(t, n.voters[name].SetGone(lost, router("a")))
	}
	took := n.awaitTakeover(t, lost)
	assert.Assert(t, took >= timing.Wait(), "%v", took)
	assert.Assert(t, took <= timing.Wait()+2*timing.Heartbeat, "%v", took)
}

// TestGoneHintOfOneVoterDoesNotSpeedTakeover checks that a single voter's hint has no
// effect: a broken link between two hosts does not show that a process ended.
func TestGoneHintOfOneVoterDoesNotSpeedTakeover(t *testing.T) {
	timing := lease.DefaultTiming
	n, now := newServingNetwork(t)
	for end := now + time.Second; now < end; now += 10 * ms {
		n.voters["b"].SetGone(now, router("a"))
		n.tick(now, cellNames...)
		_, _, ok := n.holders["a"].Serves(now, firstRef)
		assert.Assert(t, ok, "%v", now)
	}
	n.down["a"] = true
	n.voters["b"].SetGone(now, router("a"))
	took := n.awaitTakeover(t, now)
	assert.Assert(t, took >= timing.Suspicion-timing.Heartbeat+timing.Wait(), "%v", took)
}

// TestRequestOfHolderClearsGone checks that a hint older than the holder's last request
// is ignored, and that each request clears the hint.
func TestRequestOfHolderClearsGone(t *testing.T) {
	n, now := newServingNetwork(t)
	voter := n.voters["b"]
	assert.Assert(t, !voter.SetGone(now-time.Second, router("a")), "it sent a request since")
	assert.Assert(t, !voter.SetGone(now, router("d")), "the holder is unknown")
	assert.Assert(t, voter.SetGone(now, router("a")))
	assert.Equal(t, len(voter.Vacant(now)), 1)
	for end := now + lease.DefaultTiming.Heartbeat; now <= end; now += 10 * ms {
		n.tick(now, "a")
	}
	assert.Equal(t, len(voter.Vacant(now)), 0)
}

// TestExplorationOfGoneHints checks that placers that believe at any time, rightly or
// wrongly, that a router's process ended may cost service but never cause a second
// owner.
func TestExplorationOfGoneHints(t *testing.T) {
	t.Parallel()
	seen := explore(t, func(w *model) { w.sendsGoneHints = true })
	assertReached(t, seen, "gone hints", "gateway takeovers", "handovers")
}

// injectGoneHint sometimes makes one placer believe that a router's process ended.
func (w *model) injectGoneHint() {
	if !w.sendsGoneHints || w.noFailures || w.rng.IntN(10) > 0 {
		return
	}
	p := w.hosts[w.rng.IntN(len(w.hosts))].placer
	holder := w.hosts[w.rng.IntN(len(w.hosts))].router.inc
	if !p.paused && p.voter.SetGone(p.clock.read(w.now), holder) {
		w.counts["gone hints"]++
	}
}
