package lease_test

import (
	"testing"

	"github.com/mangopost/mangopost/lease"
)

// finishingShards returns shards that the checking target must give up but is still
// granted because some of their work runs.
func (w *model) finishingShards(p *process) []lease.ShardEpoch {
	var shards []lease.ShardEpoch
	for _, l := range p.holder.Finishing(p.clock.read(w.now)) {
		if l.Target == checkingTarget && w.rng.IntN(4) > 0 {
			shards = append(shards, l.Shard)
			w.counts["grants of finishing shards"]++
		}
	}
	return shards
}

// TestExplorationWithLongRuns checks that a target that checks grants is granted the
// shards that it gives up while some of their work runs, so that no work is cut off.
func TestExplorationWithLongRuns(t *testing.T) {
	t.Parallel()
	seen := explore(t, func(w *model) { w.hasLongRuns = true })
	assertReached(t, seen, "gateway takeovers", "lost moves", "planned moves", "release calls", "grants of finishing shards")
}
