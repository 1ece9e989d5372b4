package wire

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/dedup"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

const (
	// dedupPartBytes is what the entries of one part take, but for the last of
	// them.
	dedupPartBytes = 256 << 10
	// dedupEntryBytes bounds an entry; a larger one goes without its answer.
	dedupEntryBytes = 2 << 20
)

// DedupTable is what a gateway hands to the next one of a shard.
type DedupTable struct {
	Lines lease.Succession
	Owner lease.ShardEpoch // that of the next gateway
	// Moved is, of a shard in a planned move, the first epoch of the sender's line.
	// Lines then names no more than the next owner.
	Moved  lease.GatewayEpoch
	Export dedup.Export
}

// Joins reports whether a line is the one that the table is for.
func (t DedupTable) Joins(l lease.Line) bool {
	if l.ShardEpoch != t.Owner {
		return false
	}
	if t.Moved > 0 {
		return l.Target == t.Lines.Target && l.Moved == t.Moved
	}
	return t.Lines.Joins(l)
}

// Same reports whether another table is for the same line.
func (t DedupTable) Same(other DedupTable) bool {
	return t.Lines == other.Lines && t.Owner == other.Owner && t.Moved == other.Moved
}

// DedupFrames encodes a table as parts, each within the limit of a frame.
func DedupFrames(t DedupTable) []*pb.Frame {
	var frames []*pb.Frame
	part, size := toDedupPart(t), int64(0)
	for _, e := range t.Export.Entries {
		if e.Bytes(t.Owner.Shard) > dedupEntryBytes {
			e.Answer = nil
		}
		if size >= dedupPartBytes {
			frames = append(frames, dedupFrame(part))
			part, size = toDedupPart(t), 0
		}
		part.Entries = append(part.Entries, toDedupEntry(e))
		size += e.Bytes(t.Owner.Shard)
	}
	part.Last = true
	return append(frames, dedupFrame(part))
}

func dedupFrame(part *pb.DedupPart) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_DedupPart{DedupPart: part}}
}

// DedupParts puts tables together from the parts of one stream.
type DedupParts struct {
	table *DedupTable // nil between two tables
	bytes int64
}

// Add takes a part and returns the table once it is whole. The error is ErrGarbage
// when the part belongs to another table than those before it.
func (p *DedupParts) Add(part *pb.DedupPart) (t DedupTable, whole bool, err error) {
	if part == nil {
		return t, false, errors.Wrap(ErrGarbage, "dedup stream without a part")
	}
	head := fromDedupPart(part)
	if p.table == nil {
		p.table = &head
	}
	if !p.table.Same(head) {
		return t, false, errors.Wrap(ErrGarbage, "dedup part of another table")
	}
	for _, e := range part.GetEntries() {
		entry := fromDedupEntry(e)
		p.bytes += entry.Bytes(head.Owner.Shard)
		p.table.Export.Entries = append(p.table.Export.Entries, entry)
	}
	if !part.GetLast() {
		return t, false, nil
	}
	t = *p.table
	*p = DedupParts{}
	return t, true, nil
}

// Bytes returns what the parts of the table that is not whole yet take.
func (p *DedupParts) Bytes() int64 { return p.bytes }

func toDedupPart(t DedupTable) *pb.DedupPart {
	return &pb.DedupPart{
		Target:         t.Lines.Target,
		Before:         uint64(t.Lines.Before),
		After:          uint64(t.Lines.After),
		Service:        t.Owner.Shard.Service,
		Shard:          t.Owner.Shard.Shard,
		OwnerEpoch:     uint64(t.Owner.Epoch),
		Moved:          uint64(t.Moved),
		CompleteUnixNs: t.Export.CompleteSince.UnixNano(),
	}
}

func fromDedupPart(p *pb.DedupPart) DedupTable {
	ref := ownership.ShardRef{Service: p.GetService(), Shard: p.GetShard()}
	return DedupTable{
		Lines: lease.Succession{
			Target: p.GetTarget(),
			Before: lease.GatewayEpoch(p.GetBefore()),
			After:  lease.GatewayEpoch(p.GetAfter()),
		},
		Owner:  lease.ShardEpoch{Shard: ref, Epoch: ownership.Epoch(p.GetOwnerEpoch())},
		Moved:  lease.GatewayEpoch(p.GetMoved()),
		Export: dedup.Export{Shard: ref, CompleteSince: time.Unix(0, p.GetCompleteUnixNs())},
	}
}

func toDedupEntry(e dedup.ExportedEntry) *pb.DedupEntry {
	return &pb.DedupEntry{
		Client:      e.Client,
		Key:         e.Key,
		Fingerprint: e.Fingerprint,
		BegunUnixNs: e.Begun.UnixNano(),
		Ran:         e.Ran,
		Answer:      toDedupAnswer(e.Answer),
	}
}

func fromDedupEntry(e *pb.DedupEntry) dedup.ExportedEntry {
	return dedup.ExportedEntry{
		Client:      e.GetClient(),
		Key:         e.GetKey(),
		Fingerprint: e.GetFingerprint(),
		Begun:       time.Unix(0, e.GetBegunUnixNs()),
		Ran:         e.GetRan(),
		Answer:      fromDedupAnswer(e.GetAnswer()),
	}
}

func toDedupAnswer(a *dedup.Answer) *pb.Answer {
	if a == nil {
		return nil
	}
	header := func(h dedup.Header) *pb.Header { return &pb.Header{Name: h.Name, Value: h.Value} }
	return &pb.Answer{Status: uint32(a.Status), Headers: mapAll(a.Headers, header), Body: a.Body}
}

func fromDedupAnswer(a *pb.Answer) *dedup.Answer {
	if a == nil {
		return nil
	}
	header := func(h *pb.Header) dedup.Header { return dedup.Header{Name: h.GetName(), Value: h.GetValue()} }
	return &dedup.Answer{Status: int(a.GetStatus()), Headers: mapAll(a.GetHeaders(), header), Body: a.GetBody()}
}
