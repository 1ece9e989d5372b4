package router

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
)

// serveDedup receives the tables that another gateway hands over and acknowledges
// each.
func (r *Router) serveDedup(s *wire.Stream) error {
	limit := r.gateway.dedup.pending.limit
	var parts wire.DedupParts
	for {
		frame, err := s.Recv()
		if err != nil {
			return err
		}
		table, whole, err := parts.Add(frame.GetDedupPart())
		if err != nil {
			return err
		}
		if parts.Bytes() > limit {
			return errors.Newf("received dedup table exceeds %d bytes", limit)
		}
		if !whole {
			continue
		}
		ack := &pb.DedupTaken{To: uint64(r.receiveDedup(table))}
		if err := s.Send(&pb.Frame{Body: &pb.Frame_DedupTaken{DedupTaken: ack}}); err != nil {
			return err
		}
	}
}

// receiveDedup stores a received table. For the table of a moved shard it returns this
// router's current line to the next owner, which the table is for; 0 for none.
func (r *Router) receiveDedup(t wire.DedupTable) lease.GatewayEpoch {
	r.gateway.dedup.receive(time.Now(), t)
	if t.Moved == 0 {
		return 0
	}
	to, _ := r.leases.chain(t.Succession.Target)
	return to
}

// receive imports the table of an earlier gateway into its line, or keeps it until that
// line opens.
func (d *dedupTable) receive(now time.Time, t wire.DedupTable) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.Joins(d.openLines[t.Owner.Shard]) {
		d.onHandover(t, d.table.Import(now, t.Export))
		return
	}
	if !d.pending.add(pendingTable{DedupTable: t, receivedAt: now, bytes: t.Export.Bytes()}) {
		d.onHandover(t, false)
	}
}

// importPending imports the tables that were handed over for a line that opens. Tables
// for other lines of the shard are discarded, as those lines no longer exist.
func (d *dedupTable) importPending(now time.Time, line lease.Line) {
	for _, t := range d.pending.removeFor(line) {
		d.onHandover(t.DedupTable, d.table.Import(now, t.Export))
	}
	d.discardPending(d.pending.removeShard(line.Shard))
}

// expirePending discards tables whose line did not open in time, and reports whether
// any table is still pending.
func (d *dedupTable) expirePending(now time.Time) (hasPending bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.discardPending(d.pending.removeExpired(now))
	return len(d.pending.tables) > 0
}

func (d *dedupTable) discardPending(tables []pendingTable) {
	for _, t := range tables {
		d.onHandover(t.DedupTable, false)
	}
}

// recordDedupHandover logs and counts a table that was received from another gateway.
func (r *Router) recordDedupHandover(t wire.DedupTable, applied bool) {
	r.metrics.recordDedupHandover(applied)
	ref := t.Owner.Shard
	r.log.Emit(evDedupReceived, "service", ref.Service, "shard", ref.Shard, "target", t.Succession.Target,
		"keys", len(t.Export.Entries), "ok", applied)
}
