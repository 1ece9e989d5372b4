package lease_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

func shardList(n uint32) []lease.ShardEpoch {
	return []lease.ShardEpoch{{Shard: ownership.ShardRef{Service: "katalog", Shard: n}, Epoch: 1}}
}

// TestUnchangedShardListIsNotResent checks that a grant refers to an acknowledged one
// with the same list, and that the target keeps that list.
func TestUnchangedShardListIsNotResent(t *testing.T) {
	var gateway lease.Grants
	var target lease.TargetGuard
	for i := range 4 {
		now := time.Duration(i+1) * 100 * time.Millisecond
		grant := gateway.Next(1, now+400*time.Millisecond, shardList(1))
		assert.Equal(t, grant.Same > 0, i > 0)
		if grant.Same > 0 {
			grant.Shards = nil // as it is sent
		}
		ack, err := target.Grant(now, grant)
		assert.NilError(t, err)
		gateway.RecordAck(now, ack)
		if i > 0 {
			assert.NilError(t, target.Admit(now, 1, shardList(1)[0]))
		}
	}
}

// TestGrantAfterLostAcknowledgementSendsFullList covers a lost acknowledgement of a
// grant with another list, followed by a grant with the earlier list.
func TestGrantAfterLostAcknowledgementSendsFullList(t *testing.T) {
	var gateway lease.Grants
	var target lease.TargetGuard
	until := time.Second
	first := gateway.Next(1, until, shardList(1))
	ack, err := target.Grant(0, first)
	assert.NilError(t, err)
	gateway.RecordAck(0, ack)
	_, err = target.Grant(1, gateway.Next(1, until, shardList(2)))
	assert.NilError(t, err) // its acknowledgement is lost
	repeated := gateway.Next(1, until, shardList(1))
	assert.Equal(t, repeated.Same, uint64(0), "the full list must be sent")
	stale := repeated
	stale.Same = first.Seq // as a gateway that ignored the unacknowledged grant would send it
	_, err = target.Grant(2, stale)
	var refusal *lease.Refusal
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Reason, lease.StaleSequence)
	_, err = target.Grant(2, repeated)
	assert.NilError(t, err)
	assert.Assert(t, target.Admit(2, 1, shardList(2)[0]) != nil)
}

// TestRestartedTargetRefusesGrantWithoutList checks that a restarted target, which has
// no earlier grant, refuses one that refers to an earlier list.
func TestRestartedTargetRefusesGrantWithoutList(t *testing.T) {
	var gateway lease.Grants
	gateway.RecordAck(0, gateway.Next(1, time.Second, shardList(1)).Seq)
	var restarted lease.TargetGuard
	_, err := restarted.Grant(0, gateway.Next(1, time.Second, shardList(1)))
	assert.Assert(t, err != nil)
}
