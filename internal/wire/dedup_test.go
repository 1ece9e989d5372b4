package wire

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/dedup"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

func newDedupTable(shard uint32, entries ...dedup.ExportedEntry) DedupTable {
	ref := ownership.ShardRef{Service: "katalog", Shard: shard}
	return DedupTable{
		Succession: lease.Succession{Target: "t1", Before: 4, After: 6},
		Owner:      lease.ShardEpoch{Shard: ref, Epoch: 9},
		Export:     dedup.Export{Shard: ref, CompleteSince: time.Unix(7, 8), Entries: entries},
	}
}

// sendParts encodes and decodes the parts of a table, adds them to parts, and returns
// the completed tables and the number of frames.
func sendParts(t *testing.T, parts *DedupParts, table DedupTable) (whole []DedupTable, frames int) {
	t.Helper()
	for _, frame := range DedupFrames(table) {
		assert.Assert(t, proto.Size(frame) < MaxFrameBytes)
		stream := newStream(&bufferConn{})
		assert.NilError(t, stream.Send(frame))
		got, err := stream.Recv()
		assert.NilError(t, err)
		next, ok, err := parts.Add(got.GetDedupPart())
		assert.NilError(t, err)
		if ok {
			whole = append(whole, next)
		}
		frames++
	}
	return whole, frames
}

func TestDedupTablesRoundTrip(t *testing.T) {
	answer := &dedup.Answer{Status: 201, Headers: []dedup.Header{{Name: "A", Value: "b"}}, Body: make([]byte, 200<<10)}
	entries := []dedup.ExportedEntry{
		{Client: "usm", Key: "i1", Fingerprint: 1, Begun: time.Unix(9, 1), Ran: true, Answer: answer},
		{Client: "usm", Key: "i2", Fingerprint: 2, Begun: time.Unix(9, 2)},
		{Client: "usm", Key: "i3", Fingerprint: 3, Begun: time.Unix(9, 3), Ran: true, Answer: answer},
		{Client: "usm", Key: "i4", Fingerprint: 4, Begun: time.Unix(9, 4), Ran: true},
	}
	parts := &DedupParts{}
	for _, table := range []DedupTable{newDedupTable(1, entries...), newDedupTable(2)} {
		tables, frames := sendParts(t, parts, table)
		assert.Equal(t, len(tables), 1)
		assert.DeepEqual(t, tables[0], table)
		assert.Equal(t, frames > 1, len(table.Export.Entries) > 0)
	}
}

func TestTooLongAnswersAreOmitted(t *testing.T) {
	long := &dedup.Answer{Status: 200, Body: make([]byte, MaxFrameBytes)}
	whole, _ := sendParts(t, &DedupParts{}, newDedupTable(1, dedup.ExportedEntry{Key: "i1", Begun: time.Unix(9, 1), Ran: true, Answer: long}))
	assert.DeepEqual(t, whole[0].Export.Entries, []dedup.ExportedEntry{{Key: "i1", Begun: time.Unix(9, 1), Ran: true}})
}

func TestMixedDedupPartsAreInvalid(t *testing.T) {
	parts := &DedupParts{}
	_, whole, err := parts.Add(&pb.DedupPart{Target: "t1", Before: 1, After: 2, Shard: 3})
	assert.Assert(t, !whole)
	assert.NilError(t, err)
	_, _, err = parts.Add(&pb.DedupPart{Target: "t1", Before: 1, After: 2, Shard: 4, Last: true})
	assert.Assert(t, errors.Is(err, ErrInvalidMessage))
	_, _, err = (&DedupParts{}).Add(nil)
	assert.Assert(t, errors.Is(err, ErrInvalidMessage))
}
