package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/dedup"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// A gateway that lost a shard to another gateway and regained it does not know what
// the other one ran, even if the owner epoch is the same, so it must not use its
// earlier state.
func TestDedupTableForgetsEarlierLine(t *testing.T) {
	ref := ownership.ShardRef{Service: "pinjaman", Shard: 3}
	first := lease.Line{ShardEpoch: lease.ShardEpoch{Shard: ref, Epoch: 1}, Target: "t1", Chain: 4}
	second := lease.Line{ShardEpoch: lease.ShardEpoch{Shard: ref, Epoch: 1}, Target: "t1", Chain: 9}
	now := time.Unix(1000, 0)
	d := newDedupTable(dedup.Config{Bytes: 1 << 20, Horizon: time.Minute})
	d.open(now, first)

	between := dedup.Request{Shard: ref, Client: "usm", Key: "i1", FirstSent: now.Add(time.Second)}
	now = now.Add(10 * time.Second)
	verdict, _ := d.begin(now, between, second)
	assert.Equal(t, verdict.Reason, dedup.ReasonNotOpen, "the table is not open under the new line")

	d.open(now, second)
	verdict, _ = d.begin(now, between, second)
	assert.Equal(t, verdict.Kind, dedup.Unknown)
	assert.Equal(t, verdict.Reason, dedup.ReasonBeforeTable)

	fresh := dedup.Request{Shard: ref, Client: "usm", Key: "i2", FirstSent: now.Add(time.Second)}
	verdict, _ = d.begin(now.Add(time.Second), fresh, second)
	assert.Equal(t, verdict.Kind, dedup.Run)
}
