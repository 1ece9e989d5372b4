package lease_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
)

func reasonOf(err error) lease.RefusalReason {
	var refusal *lease.Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	return ""
}

// grantRound sends a gateway's grant and acknowledges it at once.
func grantRound(t *testing.T, now time.Duration, g *lease.Grants, guard *lease.TargetGuard, gateway lease.GatewayEpoch, until time.Duration, shards ...lease.ShardEpoch) {
	t.Helper()
	ack, err := guard.Grant(now, g.Next(gateway, until, shards))
	assert.NilError(t, err)
	g.RecordAck(now, ack)
}

func TestGuardAdmitsOnlyGrantedShards(t *testing.T) {
	var gateway lease.Grants
	var guard lease.TargetGuard
	s := lease.ShardEpoch{Shard: ref(1), Epoch: 7}
	assert.Equal(t, reasonOf(guard.Admit(0, 1, s)), lease.NoGrant)

	grantRound(t, 10*ms, &gateway, &guard, 2, 400*ms, s)
	assert.Equal(t, reasonOf(guard.Admit(10*ms, 2, s)), lease.NoGrant, "the first grant only asks for an acknowledgement")
	assert.Assert(t, !gateway.Covers(10*ms, s))
	grantRound(t, 20*ms, &gateway, &guard, 2, 400*ms, s)
	assert.NilError(t, guard.Admit(20*ms, 2, s))
	assert.NilError(t, guard.AdmitUnkeyed(20*ms, 2))
	assert.Assert(t, gateway.Covers(20*ms, s) && !gateway.Dropped(s))

	cases := []struct {
		name    string
		now     time.Duration
		gateway lease.GatewayEpoch
		shard   lease.ShardEpoch
		want    lease.RefusalReason
	}{
		{"an older gateway", 30 * ms, 1, s, lease.StaleGatewayEpoch},
		{"a newer gateway without a grant", 30 * ms, 3, s, lease.NoGrant},
		{"an older owner", 30 * ms, 2, lease.ShardEpoch{Shard: ref(1), Epoch: 6}, lease.StaleOwnerEpoch},
		{"a newer owner", 30 * ms, 2, lease.ShardEpoch{Shard: ref(1), Epoch: 8}, lease.NoGrant},
		{"another shard", 30 * ms, 2, lease.ShardEpoch{Shard: ref(2), Epoch: 7}, lease.NoGrant},
		{"after the right's end", 400 * ms, 2, s, lease.NoGrant},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, reasonOf(guard.Admit(c.now, c.gateway, c.shard)), c.want)
		})
	}

	grantRound(t, 40*ms, &gateway, &guard, 2, 430*ms)
	assert.Equal(t, reasonOf(guard.Admit(40*ms, 2, s)), lease.NoGrant, "a shard missing from the list is no longer granted")
	assert.Assert(t, gateway.Dropped(s))
}

func TestGuardRefusesOldGateway(t *testing.T) {
	var old, next lease.Grants
	var guard lease.TargetGuard
	s := lease.ShardEpoch{Shard: ref(1), Epoch: 7}
	grantRound(t, 10*ms, &old, &guard, 1, 400*ms, s)
	grantRound(t, 20*ms, &old, &guard, 1, 400*ms, s)
	late := old.Next(1, 420*ms, []lease.ShardEpoch{s})
	grantRound(t, 30*ms, &next, &guard, 2, 430*ms, s)
	assert.Equal(t, reasonOf(guard.Admit(30*ms, 1, s)), lease.StaleGatewayEpoch)
	_, err := guard.Grant(31*ms, late)
	assert.Equal(t, reasonOf(err), lease.StaleGatewayEpoch)
}

func TestGuardRefusesRepeatedGrants(t *testing.T) {
	var gateway lease.Grants
	var guard lease.TargetGuard
	first := gateway.Next(1, 400*ms, nil)
	_, err := guard.Grant(0, first)
	assert.NilError(t, err)
	_, err = guard.Grant(1*ms, first)
	assert.Equal(t, reasonOf(err), lease.StaleSequence)
}

// A restarted target has acknowledged nothing, so a grant to its earlier run must give
// it no right.
func TestRestartedTargetNeedsNewAcknowledgement(t *testing.T) {
	var gateway lease.Grants
	var before, after lease.TargetGuard
	s := lease.ShardEpoch{Shard: ref(1), Epoch: 7}
	grantRound(t, 10*ms, &gateway, &before, 1, 400*ms, s)
	grantRound(t, 20*ms, &gateway, &before, 1, 400*ms, s)
	_, err := after.Grant(5*ms, gateway.Next(1, 400*ms, []lease.ShardEpoch{s}))
	assert.Equal(t, reasonOf(err), lease.StaleSequence, "it refers to a list that this run never had")
	assert.Equal(t, reasonOf(after.Admit(6*ms, 1, s)), lease.NoGrant)
	gateway.Reset()
	grantRound(t, 7*ms, &gateway, &after, 1, 400*ms, s)
	assert.Equal(t, reasonOf(after.Admit(8*ms, 1, s)), lease.NoGrant)
	grantRound(t, 9*ms, &gateway, &after, 1, 400*ms, s)
	assert.NilError(t, after.Admit(10*ms, 1, s))
}

// A grant that the target has not acknowledged may still be in its receive buffer, so
// the target has not dropped a shard that such a grant lists.
func TestUnacknowledgedGrantIsNotDropped(t *testing.T) {
	var gateway lease.Grants
	var guard lease.TargetGuard
	s := lease.ShardEpoch{Shard: ref(1), Epoch: 7}
	grantRound(t, 10*ms, &gateway, &guard, 1, 400*ms)
	withShard := gateway.Next(1, 400*ms, []lease.ShardEpoch{s})
	assert.Assert(t, !gateway.Dropped(s))
	withoutShard := gateway.Next(1, 400*ms, nil)
	assert.Assert(t, !gateway.Dropped(s))
	_, err := guard.Grant(20*ms, withShard)
	assert.NilError(t, err)
	gateway.RecordAck(20*ms, withShard.Seq)
	assert.Assert(t, !gateway.Dropped(s))
	ack, err := guard.Grant(30*ms, withoutShard)
	assert.NilError(t, err)
	gateway.RecordAck(30*ms, ack)
	assert.Assert(t, gateway.Dropped(s))
}

// Work that runs when a target is handed over continues under the next gateway's
// grants; new work starts only after the second of them.
func TestRunsContinueUnderNextGateway(t *testing.T) {
	const ttl = 400 * time.Millisecond
	kept := lease.ShardEpoch{Shard: ref(0), Epoch: 1}
	dropped := lease.ShardEpoch{Shard: ref(1), Epoch: 1}
	var g lease.TargetGuard
	applyGrant := func(now time.Duration, grant lease.Grant) {
		_, err := g.Grant(now, grant)
		assert.NilError(t, err)
	}
	applyGrant(0, lease.Grant{Gateway: 1, Seq: 1, Shards: []lease.ShardEpoch{kept, dropped}})
	assert.Assert(t, !g.Continues(0, kept), "the first grant has no TTL")
	applyGrant(10*ms, lease.Grant{Gateway: 1, Seq: 2, Acknowledges: 1, TTL: ttl, Shards: []lease.ShardEpoch{kept, dropped}})
	applyGrant(100*ms, lease.Grant{Gateway: 2, Seq: 1, Shards: []lease.ShardEpoch{kept}})
	assert.Assert(t, g.Continues(100*ms, kept))
	assert.Assert(t, !g.Continues(100*ms, dropped))
	assert.Assert(t, g.Admit(100*ms, 1, kept) != nil, "the preceding gateway")
	assert.Assert(t, g.Admit(100*ms, 2, kept) != nil, "the new gateway's first grant has no TTL")
	assert.Assert(t, !g.Continues(ttl, kept), "the preceding gateway's grant has ended")
	applyGrant(110*ms, lease.Grant{Gateway: 2, Seq: 2, Acknowledges: 1, TTL: ttl, Shards: []lease.ShardEpoch{kept}})
	assert.NilError(t, g.Admit(110*ms, 2, kept))
	assert.Assert(t, g.Continues(ttl, kept))
}
