package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/dedup"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

var (
	movedTo   = ownership.Assignment{Cell: "kl", Target: "t2", Epoch: 5}
	movedLine = lease.Line{
		ShardEpoch: lease.ShardEpoch{Shard: handedRef, Epoch: movedTo.Epoch},
		Target:     movedTo.Target, Chain: 9, Moved: lineBefore.Chain,
	}
	leavingShard = lease.Leaving{Shard: handedOwner, Target: lineBefore.Target}
)

// TestMovedShardIsHandedOver to the next owner's gateway, before its line opens and
// after, and behind the same gateway.
func TestMovedShardIsHandedOver(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, order := range map[string]func(next *dedupTable, table wire.DedupTable){
		"early": func(next *dedupTable, table wire.DedupTable) {
			next.take(now, table)
			next.open(now, movedLine)
		},
		"late": func(next *dedupTable, table wire.DedupTable) {
			next.open(now, movedLine)
			next.take(now, table)
			next.take(now, table)
		},
	} {
		before := tableBefore(t, now)
		table, ok := before.exportMoved(leavingShard, movedTo, 1)
		assert.Assert(t, ok)
		after, _ := tableAfter()
		for _, next := range []*dedupTable{after, before} {
			order(next, table)
			ask := func(key string) dedup.Verdict {
				verdict, _ := next.begin(now, handedRequest(key, now), movedLine)
				return verdict
			}
			assert.Equal(t, string(ask("i1").Answer.Body), "loan", name)
			assert.Equal(t, ask("i2").Reason, dedup.ReasonOutcome, name)
			assert.Equal(t, ask("met a shard that is moved").Kind, dedup.Run, name)
		}
	}
}

// TestMovedShardOfAnotherLineIsDropped: others may have served it in between.
func TestMovedShardOfAnotherLineIsDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	table, _ := tableBefore(t, now).exportMoved(leavingShard, movedTo, 1)
	lost, other, later, elsewhere := movedLine, movedLine, movedLine, movedLine
	lost.Moved = 0
	other.Moved++
	later.Epoch++
	elsewhere.Target = "t3"
	assertDropped(t, now, table, lost, other, later, elsewhere)
	_, ok := tableBefore(t, now).exportMoved(lease.Leaving{Shard: handedOwner, Target: "t3"}, movedTo, 1)
	assert.Assert(t, !ok, "the shard was open under another line")
}

// TestMovedShardReachesThePeer, which answers with its line to the next owner.
func TestMovedShardReachesThePeer(t *testing.T) {
	p := startPair(t, newHeldTarget(), pairOptions{})
	chain, ok := p.b.leases.chain("t1")
	assert.Assert(t, ok)
	table := wire.DedupTable{Lines: lease.Succession{Target: "t1"}, Owner: handedOwner, Moved: 3}
	next := p.a.table.Load().targets["t1"]
	assert.Equal(t, p.a.passMoved(next, table), chain)
	assert.Equal(t, p.b.passMoved(next, table), chain, "it is the gateway itself")
	table.Lines.Target = "t2"
	assert.Equal(t, p.a.passMoved(next, table), lease.GatewayEpoch(0), "the peer has no right to the next owner")
}

// TestKeysOfOtherShardsAreNotKnown: what becomes of a pinned key's requests is known
// in the shard that it comes from.
func TestKeysOfOtherShardsAreNotKnown(t *testing.T) {
	move := ownership.Move{From: ownership.Assignment{Target: "t1", Epoch: handedOwner.Epoch}, Kind: ownership.MovePlanned, Stop: 4}
	pinned, other := move, move
	pinned.AlsoStop = []ownership.ShardStop{{Shard: 1, Epoch: 1}}
	other.From.Epoch++
	for i, m := range []*ownership.Move{&move, &pinned, &other, nil} {
		page := ownership.Page{Shards: make([]ownership.Shard, 4)}
		page.Shards[handedRef.Shard] = ownership.Shard{Assignment: movedTo, Move: m}
		known := &table{
			services: map[string]*serviceTable{handedRef.Service: {page: page}},
			targets:  map[string]*target{"t2": {name: "t2"}},
		}
		_, ok := known.nextOwner(handedOwner)
		assert.Equal(t, ok, i == 0)
	}
}
