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
	// passingPatience bounds how long a target's release waits for its dedup tables.
	passingPatience = 100 * time.Millisecond
	// passingLimit bounds how long they are sent: they are of use to a gateway that
	// has begun, too.
	passingLimit = time.Second
	// sentShare is the part of the table's bytes, as a divisor, that is sent for
	// one target.
	sentShare = 8
)

// passing is the sending of a target's dedup tables, and of what its queue learned,
// to the next gateway.
type passing struct {
	lines  lease.Succession
	began  time.Time
	ended  chan struct{} // closed when they arrived or were given up
	urgent bool          // the next gateway gains by having them at once
}

// over reports whether the target may be released.
func (p *passing) over(now time.Time) bool {
	select {
	case <-p.ended:
		return true
	default:
		return !p.urgent || now.Sub(p.began) >= passingPatience
	}
}

// passedOn sends what is known of a target's shards to the first candidate of the
// new list and reports whether the target may be released. Nothing is being written
// to the target, nor will be under the line that ends, so that all that ran under
// it is in the tables.
func (w *shardWatch) passedOn(t *table, name string) bool {
	lines, ok := w.router.leases.succession(name)
	if !ok {
		return true
	}
	p := w.passing[name]
	if p == nil || p.lines != lines {
		p = w.pass(t, lines)
		w.passing[name] = p
	}
	return p.over(time.Now())
}

func (w *shardWatch) pass(t *table, lines lease.Succession) *passing {
	p := &passing{lines: lines, began: time.Now(), ended: make(chan struct{})}
	tables := w.router.gateway.dedup.export(lines)
	for _, table := range tables {
		p.urgent = p.urgent || len(table.Export.Entries) > 0
	}
	worker := w.router.gateway.worker(lines.Target)
	var learned <-chan admission.Learned
	if worker != nil {
		p.urgent = p.urgent || worker.warm()
		learned = worker.handOver()
	}
	addr := t.firstGateway(lines.Target)
	if addr == "" {
		close(p.ended)
		return p
	}
	go func() {
		defer w.hurry()
		defer close(p.ended)
		ctx, cancel := context.WithTimeout(context.Background(), passingLimit)
		defer cancel()
		if worker != nil {
			w.router.passLearned(ctx, addr, worker, lines, learned)
		}
		w.router.passDedup(ctx, addr, lines.Target, tables)
	}()
	return p
}

func (r *Router) passDedup(ctx context.Context, addr, target string, tables []wire.DedupTable) {
	if len(tables) == 0 {
		return
	}
	if _, err := r.sendDedup(ctx, addr, tables); err != nil {
		r.log.Emit(evDedupNotSent, "target", target, "error", err.Error())
	}
}

// firstGateway returns the peer address of a target's first candidate, "" if it is
// not known.
func (t *table) firstGateway(target string) string {
	dst := t.targets[target]
	if dst == nil || len(dst.candidates) == 0 {
		return ""
	}
	return t.peers[dst.candidates[0].Host]
}

// sendDedup returns once the peer has taken every table, with the line that the
// last of them is for.
func (r *Router) sendDedup(ctx context.Context, addr string, tables []wire.DedupTable) (to lease.GatewayEpoch, err error) {
	s, end, err := r.openUntil(ctx, addr, pb.StreamKind_STREAM_KIND_DEDUP)
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

// openUntil opens a stream that is closed by end, or when ctx ends.
func (r *Router) openUntil(ctx context.Context, addr string, kind pb.StreamKind) (s *wire.Stream, end func(), err error) {
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

// export returns what is known of the shards that were served under the line that
// a handover ends.
func (d *dedupTable) export(lines lease.Succession) []wire.DedupTable {
	d.mu.Lock()
	defer d.mu.Unlock()
	var tables []wire.DedupTable
	for ref, line := range d.lines {
		if line.Target != lines.Target || line.Chain != lines.Before {
			continue
		}
		if x, ok := d.table.Export(ref, d.begun); ok {
			tables = append(tables, wire.DedupTable{Lines: lines, Owner: line.ShardEpoch, Export: x})
		}
	}
	for i := range tables {
		tables[i].Export = tables[i].Export.KeepNewest(d.bytes / sentShare / int64(len(tables)))
	}
	return tables
}

// begun reports whether a run may have been written to its target.
func (d *dedupTable) begun(ticket dedup.Ticket) bool {
	run := d.running[ticket]
	return run == nil || run.begun.Load()
}
