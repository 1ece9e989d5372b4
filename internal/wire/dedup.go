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
	// maxDedupPartBytes is the size of a part's entries at which it is complete.
	// Only the last entry of a part may exceed it.
	maxDedupPartBytes = 256 << 10
	// maxDedupEntryBytes limits the size of an entry; a larger one is sent without
	// its answer.
	maxDedupEntryBytes = 2 << 20
)

// DedupTable is the dedup state of a shard that a gateway hands over to the shard's
// next gateway.
type DedupTable struct {
	Succession lease.Succession
	Owner      lease.ShardEpoch // shard and owner epoch at the next gateway
	// Moved is, for a shard in a planned move, the first gateway epoch of the sender's
	// line of rights, otherwise 0. If it is set, only the target of the succession
	// is set: that of the next owner.
	Moved  lease.GatewayEpoch
	Export dedup.Export
}

// Joins reports whether l is the line of rights that the table is meant for.
func (t DedupTable) Joins(l lease.Line) bool {
	if l.ShardEpoch != t.Owner {
		return false
	}
	if t.Moved > 0 {
		return l.Target == t.Succession.Target && l.Moved == t.Moved
	}
	return t.Succession.Joins(l)
}

// IsForSameLine reports whether two tables are meant for the same line of rights.
func (t DedupTable) IsForSameLine(other DedupTable) bool {
	return t.Succession == other.Succession && t.Owner == other.Owner && t.Moved == other.Moved
}

// DedupFrames encodes a table as parts, each within the size limit of a frame.
func DedupFrames(t DedupTable) []*pb.Frame {
	var frames []*pb.Frame
	part, size := toDedupPart(t), int64(0)
	for _, e := range t.Export.Entries {
		if e.Bytes(t.Owner.Shard) > maxDedupEntryBytes {
			e.Answer = nil
		}
		if size >= maxDedupPartBytes {
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

// DedupParts assembles tables from the parts received on one stream.
type DedupParts struct {
	pending *DedupTable // table that is not yet complete; nil if there is none
	bytes   int64
}

// Add adds a part and returns the table once it is complete. A part that belongs to
// another table than the preceding ones is an invalid message.
func (p *DedupParts) Add(part *pb.DedupPart) (t DedupTable, complete bool, err error) {
	if part == nil {
		return t, false, errors.Wrap(ErrInvalidMessage, "dedup stream: frame without a dedup part")
	}
	header := fromDedupPart(part)
	if p.pending == nil {
		p.pending = &header
	}
	if !p.pending.IsForSameLine(header) {
		return t, false, errors.Wrapf(ErrInvalidMessage, "dedup part of shard %v for target %s, expected shard %v for target %s",
			header.Owner.Shard, header.Succession.Target, p.pending.Owner.Shard, p.pending.Succession.Target)
	}
	for _, e := range part.GetEntries() {
		entry := fromDedupEntry(e)
		p.bytes += entry.Bytes(header.Owner.Shard)
		p.pending.Export.Entries = append(p.pending.Export.Entries, entry)
	}
	if !part.GetLast() {
		return t, false, nil
	}
	t = *p.pending
	*p = DedupParts{}
	return t, true, nil
}

// Bytes returns the size of the entries of the table that is not yet complete.
func (p *DedupParts) Bytes() int64 { return p.bytes }

func toDedupPart(t DedupTable) *pb.DedupPart {
	return &pb.DedupPart{
		Target:         t.Succession.Target,
		Before:         uint64(t.Succession.Before),
		After:          uint64(t.Succession.After),
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
		Succession: lease.Succession{
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
