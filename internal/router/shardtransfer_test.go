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
	nextOwnerAssignment = ownership.Assignment{Cell: "kl", Target: "t2", Epoch: 5}
	lineAfterMove       = lease.Line{
		ShardEpoch: lease.ShardEpoch{Shard: testShardRef, Epoch: nextOwnerAssignment.Epoch},
		Target:     nextOwnerAssignment.Target, Chain: 9, Moved: senderLine.Chain,
	}
	leavingShard = lease.Leaving{Shard: testShardEpoch, Target: senderLine.Target}
)

// The next owner's gateway has the moved shard's dedup state if the table arrives
// before or after its line opens, and also if it is the same gateway as before.
func TestMovedShardKeepsDedupState(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, order := range map[string]func(next *dedupTable, table wire.DedupTable){
		"early": func(next *dedupTable, table wire.DedupTable) {
			next.receive(now, table)
			next.open(now, lineAfterMove)
		},
		"late": func(next *dedupTable, table wire.DedupTable) {
			next.open(now, lineAfterMove)
			next.receive(now, table)
			next.receive(now, table)
		},
	} {
		before := senderTable(t, now)
		table, ok := before.exportMovedShard(leavingShard, nextOwnerAssignment, 1)
		assert.Assert(t, ok)
		after, _ := receiverTable()
		for _, next := range []*dedupTable{after, before} {
			order(next, table)
			begin := func(key string) dedup.Verdict {
				verdict, _ := next.begin(now, testDedupRequest(key, now), lineAfterMove)
				return verdict
			}
			assert.Equal(t, string(begin("i1").Answer.Body), "loan", name)
			assert.Equal(t, begin("i2").Reason, dedup.ReasonOutcome, name)
			assert.Equal(t, begin("met a shard that is moved").Kind, dedup.Run, name)
		}
	}
}

// A table is dropped if its line does not directly follow, as others may have served
// the shard in between.
func TestMovedShardOfAnotherLineIsDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	table, _ := senderTable(t, now).exportMovedShard(leavingShard, nextOwnerAssignment, 1)
	lost, other, later, elsewhere := lineAfterMove, lineAfterMove, lineAfterMove, lineAfterMove
	lost.Moved = 0
	other.Moved++
	later.Epoch++
	elsewhere.Target = "t3"
	assertDropped(t, now, table, lost, other, later, elsewhere)
	_, ok := senderTable(t, now).exportMovedShard(lease.Leaving{Shard: testShardEpoch, Target: "t3"}, nextOwnerAssignment, 1)
	assert.Assert(t, !ok, "the shard was open under another line")
}

// The peer answers with the line under which it is the gateway of the next owner.
func TestMovedShardIsSentToPeer(t *testing.T) {
	p := startPair(t, newHeldTarget(), pairOptions{})
	chain, ok := p.b.leases.chain("t1")
	assert.Assert(t, ok)
	table := wire.DedupTable{Succession: lease.Succession{Target: "t1"}, Owner: testShardEpoch, Moved: 3}
	next := p.a.table.Load().targets["t1"]
	assert.Equal(t, p.a.sendMovedTable(next, table), chain)
	assert.Equal(t, p.b.sendMovedTable(next, table), chain, "the router is the gateway itself")
	table.Succession.Target = "t2"
	assert.Equal(t, p.a.sendMovedTable(next, table), lease.GatewayEpoch(0), "the peer has no right to the next owner")
}

// A move that also stops other shards has no next owner to send the table to: the
// outcomes of a pinned key's requests are in the table of the shard that it comes from.
func TestNoNextOwnerWhenOtherShardsStopToo(t *testing.T) {
	move := ownership.Move{From: ownership.Assignment{Target: "t1", Epoch: testShardEpoch.Epoch}, Kind: ownership.MovePlanned, Stop: 4}
	pinned, other := move, move
	pinned.AlsoStop = []ownership.ShardStop{{Shard: 1, Epoch: 1}}
	other.From.Epoch++
	for i, m := range []*ownership.Move{&move, &pinned, &other, nil} {
		page := ownership.Page{Shards: make([]ownership.Shard, 4)}
		page.Shards[testShardRef.Shard] = ownership.Shard{Assignment: nextOwnerAssignment, Move: m}
		known := &table{
			services: map[string]*serviceTable{testShardRef.Service: {page: page}},
			targets:  map[string]*target{"t2": {name: "t2"}},
		}
		_, ok := known.nextOwner(testShardEpoch)
		assert.Equal(t, ok, i == 0)
	}
}
