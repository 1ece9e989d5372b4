package router

import (
	"context"
	"time"

	"github.com/mangopost/mangopost/admission"
	"github.com/mangopost/mangopost/dedup"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
)

const (
	// maxReleaseWait bounds how long a target's release waits for the transfer of its
	// dedup tables.
	maxReleaseWait = 100 * time.Millisecond
	// handoverTransferTimeout bounds the transfer itself. It is longer, as the tables
	// are also useful to a gateway that has already started.
	handoverTransferTimeout = time.Second
	// exportBytesDivisor divides the byte limit of the dedup table; the quotient is the
	// most that is exported for one target.
	exportBytesDivisor = 8
)

// handoverTransfer is the transfer of a target's dedup tables, and of the state that its
// queue has learned about it, to the next gateway.
type handoverTransfer struct {
	succession lease.Succession
	startedAt  time.Time
	done       chan struct{} // closed when the transfer has succeeded or failed
	urgent     bool          // the release waits for it, as the next gateway can use the state at once
}

// allowsRelease reports whether the target may be released.
func (h *handoverTransfer) allowsRelease(now time.Time) bool {
	select {
	case <-h.done:
		return true
	default:
		return !h.urgent || now.Sub(h.startedAt) >= maxReleaseWait
	}
}

// ensureTransferred starts, if necessary, the transfer of the state of a target's shards
// to the first candidate of the new list, and reports whether the target may be
// released. The caller ensures that nothing is or will be written to the target under
// the line that ends, so the tables contain everything that ran under it.
func (w *shardWatch) ensureTransferred(t *table, name string) bool {
	lines, ok := w.router.leases.succession(name)
	if !ok {
		return true
	}
	transfer := w.handoverTransfers[name]
	if transfer == nil || transfer.succession != lines {
		transfer = w.startHandoverTransfer(t, lines)
		w.handoverTransfers[name] = transfer
	}
	return transfer.allowsRelease(time.Now())
}

func (w *shardWatch) startHandoverTransfer(t *table, lines lease.Succession) *handoverTransfer {
	transfer := &handoverTransfer{succession: lines, startedAt: time.Now(), done: make(chan struct{})}
	tables := w.router.gateway.dedup.export(lines)
	for _, table := range tables {
		transfer.urgent = transfer.urgent || len(table.Export.Entries) > 0
	}
	worker := w.router.gateway.worker(lines.Target)
	var learned <-chan admission.Learned
	if worker != nil {
		transfer.urgent = transfer.urgent || worker.isWarm()
		learned = worker.beginHandover()
	}
	addr := t.firstCandidateAddr(lines.Target)
	if addr == "" {
		close(transfer.done)
		return transfer
	}
	go func() {
		defer w.wakeNow()
		defer close(transfer.done)
		ctx, cancel := context.WithTimeout(context.Background(), handoverTransferTimeout)
		defer cancel()
		if worker != nil {
			w.router.transferLearned(ctx, addr, worker, lines, learned)
		}
		w.router.sendDedupTables(ctx, addr, lines.Target, tables)
	}()
	return transfer
}

func (r *Router) sendDedupTables(ctx context.Context, addr, target string, tables []wire.DedupTable) {
	if len(tables) == 0 {
		return
	}
	if _, err := r.sendDedup(ctx, addr, tables); err != nil {
		r.log.Emit(evDedupNotSent, "target", target, "error", err.Error())
	}
}

// firstCandidateAddr returns the peer address of a target's first gateway candidate, or
// "" if it is unknown.
func (t *table) firstCandidateAddr(target string) string {
	dst := t.targets[target]
	if dst == nil || len(dst.candidates) == 0 {
		return ""
	}
	return t.peers[dst.candidates[0].Host]
}

// sendDedup sends tables to a peer and waits until it has acknowledged each. It
// returns the line that the peer reported for the last one.
func (r *Router) sendDedup(ctx context.Context, addr string, tables []wire.DedupTable) (to lease.GatewayEpoch, err error) {
	s, end, err := r.openWithContext(ctx, addr, pb.StreamKind_STREAM_KIND_DEDUP)
	if err != nil {
		return 0, err
	}
	defer end()
	for _, table := range tables {
		for _, frame := range wire.DedupFrames(table) {
			if err := s.Send(frame); err != nil {
				return 0, err
			}
		}
	}
	for range tables {
		frame, err := s.Recv()
		if err != nil {
			return 0, err
		}
		to = lease.GatewayEpoch(frame.GetDedupTaken().GetTo())
	}
	return to, nil
}

// openWithContext opens a stream that is closed when end is called or ctx ends.
func (r *Router) openWithContext(ctx context.Context, addr string, kind pb.StreamKind) (s *wire.Stream, end func(), err error) {
	s, err = r.dialer.Open(ctx, addr, kind)
	if err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	return s, func() {
		stop()
		_ = s.Close()
	}, nil
}

// export returns the dedup state of the shards that were served under the line that a
// handover ends.
func (d *dedupTable) export(lines lease.Succession) []wire.DedupTable {
	d.mu.Lock()
	defer d.mu.Unlock()
	var tables []wire.DedupTable
	for ref, line := range d.openLines {
		if line.Target != lines.Target || line.Chain != lines.Before {
			continue
		}
		if x, ok := d.table.Export(ref, d.runMayBeWritten); ok {
			tables = append(tables, wire.DedupTable{Succession: lines, Owner: line.ShardEpoch, Export: x})
		}
	}
	for i := range tables {
		tables[i].Export = tables[i].Export.KeepNewest(d.bytes / exportBytesDivisor / int64(len(tables)))
	}
	return tables
}

// runMayBeWritten reports whether the request of a ticket may have been written to its
// target.
func (d *dedupTable) runMayBeWritten(ticket dedup.Ticket) bool {
	run := d.running[ticket]
	return run == nil || run.mayBeWritten.Load()
}
