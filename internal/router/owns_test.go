package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/template"
)

// An ingress with an older page sends a key that has been pinned since to the shard of
// its hash range. The gateway serves that shard at a newer epoch, without the key.
func TestPinnedKeyIsOwnedOnlyByItsPin(t *testing.T) {
	const key = "isbn-1"
	home := ownership.ShardOf(key, testShards)
	before := testPage()
	pinned, err := ownership.Pin(before, key, ownership.Place{Cell: "kl", Target: "t2"}, ownership.Change{})
	assert.NilError(t, err)
	table := &table{services: map[string]*serviceTable{
		"katalog": {template: template.Template{Service: "katalog", Keyed: true}, page: pinned, hasPage: true},
	}}
	line := func(n uint32, epoch ownership.Epoch) lease.Line {
		ref := ownership.ShardRef{Service: "katalog", Shard: n}
		return lease.Line{ShardEpoch: lease.ShardEpoch{Shard: ref, Epoch: epoch}}
	}
	forward := &pb.Forward{Service: "katalog", Key: key}
	parent := pinned.Shards[home].Epoch
	assert.Assert(t, !table.lineOwnsKey(forward, line(home, parent)), "the key belongs to its pin")
	assert.Assert(t, !table.lineOwnsKey(forward, line(home, before.Shards[home].Epoch)))
	assert.Assert(t, table.lineOwnsKey(forward, line(testShards, pinned.Pins[0].Epoch)))
	other := &pb.Forward{Service: "katalog", Key: keyInSameShard(key)}
	assert.Assert(t, table.lineOwnsKey(other, line(home, parent)))
	assert.Assert(t, !table.lineOwnsKey(other, line(home, parent-1)), "the line is of an older page")
}

// keyInSameShard returns another key of the same hash range.
func keyInSameShard(key string) string {
	other := key
	for {
		other += "x"
		if ownership.ShardOf(other, testShards) == ownership.ShardOf(key, testShards) {
			return other
		}
	}
}
