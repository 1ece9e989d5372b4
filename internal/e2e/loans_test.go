package e2e_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/e2e"
	"github.com/mangopost/mangopost/internal/standin/judge"
)

// delayBeforeLoans exceeds the total clock skew between callers and hosts. A
// loan that is first sent this long after its shard was opened is known to be
// newer than the shard.
const delayBeforeLoans = time.Second

// TestRepeatedLoansGetFirstAnswerAfterShardMove checks that dedup state moves
// with the shards of a target that leaves as planned, behind the same gateway
// and behind another one: loans that ran before the move and are repeated after
// it get their first answers.
func TestRepeatedLoansGetFirstAnswerAfterShardMove(t *testing.T) {
	for _, checksGrants := range []bool{true, false} {
		keys := e2e.Keys(24)
		c := startCluster(t, e2e.Options{ChecksGrants: checksGrants}, keys)
		time.Sleep(delayBeforeLoans)
		loans := c.NewLoans(keys)
		for key, result := range loans.Send() {
			assert.Equal(t, result.Outcome, judge.OutcomeRan, key)
		}
		target, err := c.Owner(keys[0])
		assert.NilError(t, err)
		c.PublishTargets(map[string]bool{target: true})
		awaitReleased(t, c, target)
		unknown := 0
		for key, result := range loans.Send() {
			if result.Outcome != judge.OutcomeRan || !result.Replayed {
				t.Logf("key %s: outcome %s", key, result.Outcome)
				unknown++
			}
		}
		assert.Equal(t, unknown, 0, "checks grants: %v", checksGrants)
	}
}
