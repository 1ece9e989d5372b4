package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// TestPlannedMoveFromLostGatewayIsForced checks that, whatever the phase of the
// gateways' heartbeats, the new owner learns that the gateway that was to release the
// shard is gone.
func TestPlannedMoveFromLostGatewayIsForced(t *testing.T) {
	for seed := range uint64(40) {
		w := newModel(seed, lease.NoFault)
		w.noFailures = true
		assert.Assert(t, w.advance(2*time.Second, func() bool { return w.lastStart[0] > 0 && w.lastStart[1] > 0 }))
		w.moveShard(ownership.MovePlanned)
		for _, h := range w.hosts {
			w.sync(h, w.store.record, w.store.page)
		}
		w.store.down = true
		w.restartRouter(w.host("b"))
		gap := w.longestGap(2*time.Second, 1)
		assert.Equal(t, w.violation, "")
		assert.Assert(t, gap <= time.Second, "seed %d: gap %v\n%s", seed, gap, w.describe())
	}
}
