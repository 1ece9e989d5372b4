package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/dedup"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

var (
	testShardRef   = ownership.ShardRef{Service: "pinjaman", Shard: 3}
	testShardEpoch = lease.ShardEpoch{Shard: testShardRef, Epoch: 2}
	testSuccession = lease.Succession{Target: "t1", Before: 4, After: 6}
	senderLine     = lease.Line{ShardEpoch: testShardEpoch, Target: "t1", Chain: 4}
	receiverLine   = lease.Line{ShardEpoch: testShardEpoch, Target: "t1", Chain: 6, Follows: 4}
)

const testDedupBytes = 1 << 20

func testDedupRequest(key string, sent time.Time) dedup.Request {
	return dedup.Request{Shard: testShardRef, Client: "usm", Key: key, FirstSent: sent}
}

// senderTable returns the table of a gateway where i1 has run, i2 is running and i3
// is queued.
func senderTable(t *testing.T, now time.Time) *dedupTable {
	t.Helper()
	d := newDedupTable(dedup.Config{Bytes: testDedupBytes, Horizon: time.Minute})
	d.open(now.Add(-time.Minute), senderLine)
	for _, key := range []string{"i1", "i2", "i3"} {
		verdict, run := d.begin(now, testDedupRequest(key, now), senderLine)
		assert.Equal(t, verdict.Kind, dedup.Run)
		run.mayBeWritten.Store(key != "i3")
		if key == "i1" {
			d.finish(now, verdict.Ticket, &pb.Answer{Outcome: pb.Outcome_OUTCOME_RAN, Status: 201, Body: []byte("loan")})
		}
	}
	return d
}

// receiverTable returns the table of the next gateway and the recorded import results.
func receiverTable() (d *dedupTable, imported *[]bool) {
	d = newDedupTable(dedup.Config{Bytes: testDedupBytes, Horizon: time.Minute})
	imported = new([]bool)
	d.onHandover = func(_ wire.DedupTable, applied bool) { *imported = append(*imported, applied) }
	return d, imported
}

// TestDedupTableIsHandedOver checks tables that arrive before the next gateway's line
// opens and tables that arrive after.
func TestDedupTableIsHandedOver(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, late := range []bool{false, true} {
		exported := senderTable(t, now).export(testSuccession)
		assert.Equal(t, len(exported), 1)
		assert.Equal(t, len(exported[0].Export.Entries), 2, "a queued request is not exported")

		opened := now.Add(time.Second)
		next, imported := receiverTable()
		if late {
			next.open(opened, receiverLine)
			next.receive(opened, exported[0])
		} else {
			next.receive(opened, exported[0])
			next.open(opened, receiverLine)
		}
		assert.DeepEqual(t, *imported, []bool{true})
		beginRequest := func(key string) dedup.Verdict {
			verdict, _ := next.begin(opened, testDedupRequest(key, now), receiverLine)
			return verdict
		}
		assert.Equal(t, string(beginRequest("i1").Answer.Body), "loan")
		assert.Equal(t, beginRequest("i2").Reason, dedup.ReasonOutcome)
		assert.Equal(t, beginRequest("i3").Kind, dedup.Run)
		assert.Equal(t, beginRequest("met a closed listener").Kind, dedup.Run)
	}
}

// TestDedupTableOfAnotherLineIsDropped checks that a table is not imported into a line
// that does not follow directly, as other gateways may have served in between.
func TestDedupTableOfAnotherLineIsDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	exported := senderTable(t, now).export(testSuccession)[0]
	lapsed, other, later, moved := receiverLine, receiverLine, receiverLine, receiverLine
	lapsed.Follows = 0
	other.Follows = 3
	later.Chain = 7
	moved.Epoch++
	assertDropped(t, now, exported, lapsed, other, later, moved)
}

// assertDropped checks that a table is not imported into any of the lines, whether it
// arrives before they open or after.
func assertDropped(t *testing.T, now time.Time, table wire.DedupTable, lines ...lease.Line) {
	t.Helper()
	for _, line := range lines {
		for _, late := range []bool{false, true} {
			next, imported := receiverTable()
			if late {
				next.open(now, line)
			}
			next.receive(now, table)
			if !late {
				next.open(now, line)
			}
			next.expirePending(now.Add(pendingTableTTL + 1))
			assert.DeepEqual(t, *imported, []bool{false})
			verdict, _ := next.begin(now.Add(time.Second), testDedupRequest("i1", now), line)
			assert.Equal(t, verdict.Reason, dedup.ReasonBeforeTable)
		}
	}
}

func TestExportSkipsOtherLines(t *testing.T) {
	d := senderTable(t, time.Unix(1000, 0))
	for _, lines := range []lease.Succession{{Target: "t1", Before: 3, After: 6}, {Target: "t2", Before: 4, After: 6}} {
		assert.Equal(t, len(d.export(lines)), 0)
	}
}

func TestPendingTablesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	next, imported := receiverTable()
	body := make([]byte, testDedupBytes/pendingBytesDivisor)
	long := wire.DedupTable{Succession: testSuccession, Owner: testShardEpoch}
	long.Export.Entries = []dedup.ExportedEntry{{Key: "i1", Ran: true, Answer: &dedup.Answer{Body: body}}}
	next.receive(now, long)
	assert.DeepEqual(t, *imported, []bool{false})

	short := long
	short.Export.Entries = []dedup.ExportedEntry{{Key: "i1"}}
	next.receive(now, short)
	next.receive(now, short)
	assert.Equal(t, len(next.pending.tables), 1, "the same table was received twice")
	next.expirePending(now.Add(pendingTableTTL))
	assert.Equal(t, len(next.pending.tables), 1)
	next.expirePending(now.Add(pendingTableTTL + 1))
	assert.Equal(t, len(next.pending.tables), 0)
	assert.Equal(t, next.pending.bytes, int64(0))
	assert.DeepEqual(t, *imported, []bool{false, false})
}

// TestDedupTablesAreSentToPeer sends tables over the routers' own listeners.
func TestDedupTablesAreSentToPeer(t *testing.T) {
	p := startPair(t, newHeldTarget(), pairOptions{})
	table := wire.DedupTable{Succession: testSuccession, Owner: testShardEpoch} // of a shard that is not opened, so that it stays pending
	table.Export.Entries = []dedup.ExportedEntry{{Client: "usm", Key: "i1", Ran: true}}
	other := table
	other.Owner.Shard.Shard++
	other.Export.Shard = other.Owner.Shard
	addr := p.a.table.Load().firstCandidateAddr("t1")
	_, err := p.a.sendDedup(t.Context(), addr, []wire.DedupTable{table, other})
	assert.NilError(t, err)
	d := p.b.gateway.dedup
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Equal(t, len(d.pending.tables), 2)
}

func TestReleaseWaitsForTransferUpToLimit(t *testing.T) {
	began := time.Unix(1000, 0)
	sent := &handoverTransfer{startedAt: began, done: make(chan struct{}), urgent: true}
	assert.Assert(t, !sent.allowsRelease(began.Add(maxReleaseWait-1)))
	assert.Assert(t, sent.allowsRelease(began.Add(maxReleaseWait)))
	close(sent.done)
	assert.Assert(t, sent.allowsRelease(began))
	empty := &handoverTransfer{startedAt: began, done: make(chan struct{})}
	assert.Assert(t, empty.allowsRelease(began))
}
