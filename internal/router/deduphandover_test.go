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
	handedRef   = ownership.ShardRef{Service: "pinjaman", Shard: 3}
	handedOwner = lease.ShardEpoch{Shard: handedRef, Epoch: 2}
	handedLines = lease.Succession{Target: "t1", Before: 4, After: 6}
	lineBefore  = lease.Line{ShardEpoch: handedOwner, Target: "t1", Chain: 4}
	lineAfter   = lease.Line{ShardEpoch: handedOwner, Target: "t1", Chain: 6, Follows: 4}
)

const handedBytes = 1 << 20

func handedRequest(key string, sent time.Time) dedup.Request {
	return dedup.Request{Shard: handedRef, Client: "usm", Key: key, FirstSent: sent}
}

// tableBefore returns the table of a gateway where i1 has run, i2 is running and i3
// is queued.
func tableBefore(t *testing.T, now time.Time) *dedupTable {
	t.Helper()
	d := newDedupTable(dedup.Config{Bytes: handedBytes, Horizon: time.Minute})
	d.open(now.Add(-time.Minute), lineBefore)
	for _, key := range []string{"i1", "i2", "i3"} {
		verdict, run := d.begin(now, handedRequest(key, now), lineBefore)
		assert.Equal(t, verdict.Kind, dedup.Run)
		run.begun.Store(key != "i3")
		if key == "i1" {
			d.finish(now, verdict.Ticket, &pb.Answer{Outcome: pb.Outcome_OUTCOME_RAN, Status: 201, Body: []byte("loan")})
		}
	}
	return d
}

// tableAfter returns the table of the next gateway and the recorded import results.
func tableAfter() (d *dedupTable, imported *[]bool) {
	d = newDedupTable(dedup.Config{Bytes: handedBytes, Horizon: time.Minute})
	imported = new([]bool)
	d.tell = func(_ wire.DedupTable, applied bool) { *imported = append(*imported, applied) }
	return d, imported
}

// TestDedupTableIsHandedOver checks tables that arrive before the next gateway's line
// opens and tables that arrive after.
func TestDedupTableIsHandedOver(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, late := range []bool{false, true} {
		exported := tableBefore(t, now).export(handedLines)
		assert.Equal(t, len(exported), 1)
		assert.Equal(t, len(exported[0].Export.Entries), 2, "a queued request is not exported")

		opened := now.Add(time.Second)
		next, imported := tableAfter()
		if late {
			next.open(opened, lineAfter)
			next.take(opened, exported[0])
		} else {
			next.take(opened, exported[0])
			next.open(opened, lineAfter)
		}
		assert.DeepEqual(t, *imported, []bool{true})
		beginRequest := func(key string) dedup.Verdict {
			verdict, _ := next.begin(opened, handedRequest(key, now), lineAfter)
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
	exported := tableBefore(t, now).export(handedLines)[0]
	lapsed, other, later, moved := lineAfter, lineAfter, lineAfter, lineAfter
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
			next, imported := tableAfter()
			if late {
				next.open(now, line)
			}
			next.take(now, table)
			if !late {
				next.open(now, line)
			}
			next.expireHanded(now.Add(pendingTableTTL + 1))
			assert.DeepEqual(t, *imported, []bool{false})
			verdict, _ := next.begin(now.Add(time.Second), handedRequest("i1", now), line)
			assert.Equal(t, verdict.Reason, dedup.ReasonBeforeTable)
		}
	}
}

func TestExportSkipsOtherLines(t *testing.T) {
	d := tableBefore(t, time.Unix(1000, 0))
	for _, lines := range []lease.Succession{{Target: "t1", Before: 3, After: 6}, {Target: "t2", Before: 4, After: 6}} {
		assert.Equal(t, len(d.export(lines)), 0)
	}
}

func TestPendingTablesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	next, imported := tableAfter()
	body := make([]byte, handedBytes/pendingBytesDivisor)
	long := wire.DedupTable{Lines: handedLines, Owner: handedOwner}
	long.Export.Entries = []dedup.ExportedEntry{{Key: "i1", Ran: true, Answer: &dedup.Answer{Body: body}}}
	next.take(now, long)
	assert.DeepEqual(t, *imported, []bool{false})

	short := long
	short.Export.Entries = []dedup.ExportedEntry{{Key: "i1"}}
	next.take(now, short)
	next.take(now, short)
	assert.Equal(t, len(next.pending.tables), 1, "the same table was received twice")
	next.expireHanded(now.Add(pendingTableTTL))
	assert.Equal(t, len(next.pending.tables), 1)
	next.expireHanded(now.Add(pendingTableTTL + 1))
	assert.Equal(t, len(next.pending.tables), 0)
	assert.Equal(t, next.pending.bytes, int64(0))
	assert.DeepEqual(t, *imported, []bool{false, false})
}

// TestDedupTablesAreSentToPeer sends tables over the routers' own listeners.
func TestDedupTablesAreSentToPeer(t *testing.T) {
	p := startPair(t, newHeldTarget(), pairOptions{})
	table := wire.DedupTable{Lines: handedLines, Owner: handedOwner} // of a shard that is not opened, so that it stays pending
	table.Export.Entries = []dedup.ExportedEntry{{Client: "usm", Key: "i1", Ran: true}}
	other := table
	other.Owner.Shard.Shard++
	other.Export.Shard = other.Owner.Shard
	addr := p.a.table.Load().firstGateway("t1")
	_, err := p.a.sendDedup(t.Context(), addr, []wire.DedupTable{table, other})
	assert.NilError(t, err)
	d := p.b.gateway.dedup
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Equal(t, len(d.pending.tables), 2)
}

func TestReleaseWaitsForTransferUpToLimit(t *testing.T) {
	began := time.Unix(1000, 0)
	sent := &passing{began: began, ended: make(chan struct{}), urgent: true}
	assert.Assert(t, !sent.allowsRelease(began.Add(passingPatience-1)))
	assert.Assert(t, sent.allowsRelease(began.Add(passingPatience)))
	close(sent.ended)
	assert.Assert(t, sent.allowsRelease(began))
	empty := &passing{began: began, ended: make(chan struct{})}
	assert.Assert(t, empty.allowsRelease(began))
}
