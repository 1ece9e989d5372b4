package lease_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// TestNewPinIsNotReportedUnreleased checks that a pinned key's gateway, which has
// nothing of the pin to give up, does not report the pin as unreleased. Otherwise the
// move is forced at once, which stops the key's old shard before it was released.
func TestNewPinIsNotReportedUnreleased(t *testing.T) {
	n, now := newServingNetwork(t)
	first := ownership.Shard{Assignment: ownership.Assignment{Cell: "x", Target: "t1", Epoch: 1}}
	page := ownership.Page{Service: firstRef.Service, Shards: []ownership.Shard{first}}
	page, err := ownership.Pin(page, "hot", first.Place(), ownership.Change{})
	assert.NilError(t, err)
	pinRef := ownership.ShardRef{Service: firstRef.Service, Shard: 1}
	claims := []lease.ShardClaim{{Ref: firstRef, Shard: page.Shards[0]}, {Ref: pinRef, Shard: page.Pins[0]}}
	a := n.holders["a"]
	a.SetShards(now, claims)
	_, _, unreleased := a.FreshReports(now)
	assert.Equal(t, len(unreleased), 0)
	assert.Equal(t, len(a.Leaving()), 1)

	assert.NilError(t, a.Release(now, firstRef, 1, 0))
	for end := now + lease.DefaultTiming.Heartbeat; now <= end; now += 10 * ms {
		n.tick(now, cellNames...)
	}
	for _, claim := range claims {
		_, epoch, ok := a.Serves(now, claim.Ref)
		assert.Assert(t, ok, "%+v", a.Shards(now))
		assert.Equal(t, epoch, claim.Shard.Epoch)
	}
}
