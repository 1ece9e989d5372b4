package router

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// shardTransfer is the transfer of a shard's dedup table to the next owner's gateway,
// in a planned move.
type shardTransfer struct {
	startedAt time.Time
	done      chan struct{}      // closed when the table has arrived or the transfer was given up
	to        lease.GatewayEpoch // line of the gateway that received it, 0 for none; set before done is closed
}

// result reports whether the shard may be released, and to which line.
func (s *shardTransfer) result(now time.Time) (to lease.GatewayEpoch, isDone bool) {
	select {
	case <-s.done:
		return s.to, true
	default:
		return 0, now.Sub(s.startedAt) >= maxReleaseWait
	}
}

// isLeaving reports whether a line is being given up and still has to be released.
func isLeaving(leaving []lease.Leaving, line lease.Line) bool {
	return slices.ContainsFunc(leaving, func(l lease.Leaving) bool { return !l.Failed && l.Shard == line.ShardEpoch })
}

// pruneShardTransfers removes the transfers of shards that are no longer being given up.
func (w *shardWatch) pruneShardTransfers(leaving []lease.Leaving) {
	if len(w.shardTransfers) == 0 {
		return
	}
	maps.DeleteFunc(w.shardTransfers, func(s lease.ShardEpoch, _ *shardTransfer) bool {
		return !slices.ContainsFunc(leaving, func(l lease.Leaving) bool { return l.Shard == s })
	})
}

// transferShard sends the dedup table of a shard that is given up to the next owner's
// gateway, and reports whether the shard may be released and which line received the
// table. No request of the shard runs or will start under the line that ends, so the
// table contains every request that ran under it.
func (w *shardWatch) transferShard(t *table, l lease.Leaving, shardCount int) (to lease.GatewayEpoch, isDone bool) {
	transfer := w.shardTransfers[l.Shard]
	if transfer == nil {
		transfer = w.startShardTransfer(t, l, shardCount)
		w.shardTransfers[l.Shard] = transfer
	}
	return transfer.result(time.Now())
}

func (w *shardWatch) startShardTransfer(t *table, l lease.Leaving, shardCount int) *shardTransfer {
	transfer := &shardTransfer{startedAt: time.Now(), done: make(chan struct{})}
	next, ok := t.nextOwner(l.Shard)
	if !ok {
		close(transfer.done)
		return transfer
	}
	table, ok := w.router.gateway.dedup.exportMovedShard(l, next, shardCount)
	if !ok {
		close(transfer.done)
		return transfer
	}
	go func() {
		defer w.wakeNow()
		defer close(transfer.done)
		transfer.to = w.router.sendMovedTable(t.targets[next.Target], table)
	}()
	return transfer
}

// nextOwner returns the owner that a shard goes to in a planned move. It returns false
// if keys of other shards move there too, as the dedup entries of those are in other
// tables.
func (t *table) nextOwner(s lease.ShardEpoch) (ownership.Assignment, bool) {
	service := t.services[s.Shard.Service]
	if service == nil {
		return ownership.Assignment{}, false
	}
	shard, ok := service.page.Shard(s.Shard.Shard)
	move := shard.Move
	if !ok || move == nil || move.From.Epoch != s.Epoch || len(move.AlsoStop) > 0 || t.targets[shard.Target] == nil {
		return ownership.Assignment{}, false
	}
	return shard.Assignment, true
}

// exportMovedShard returns the dedup table of a shard that is given up. shardCount is
// the number of shards that are given up at once; they share the size limit.
func (d *dedupTable) exportMovedShard(l lease.Leaving, next ownership.Assignment, shardCount int) (wire.DedupTable, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := d.openLines[l.Shard.Shard]
	if line.ShardEpoch != l.Shard || line.Target != l.Target {
		return wire.DedupTable{}, false
	}
	x, ok := d.table.Export(l.Shard.Shard, d.runMayBeWritten)
	return wire.DedupTable{
		Succession: lease.Succession{Target: next.Target},
		Owner:      lease.ShardEpoch{Shard: l.Shard.Shard, Epoch: next.Epoch},
		Moved:      line.Chain,
		Export:     x.KeepNewest(d.bytes / exportBytesDivisor / int64(shardCount)),
	}, ok
}

// sendMovedTable passes a moved shard's table to the gateway of its next owner, on this
// or another host, and returns the line under which that gateway received it. The
// candidate that served last is tried first.
func (r *Router) sendMovedTable(next *target, table wire.DedupTable) lease.GatewayEpoch {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTransferTimeout)
	defer cancel()
	n := len(next.candidates)
	for i := range n {
		candidate := next.candidates[(r.hints.nextCandidate(next.name, n)+i)%n]
		if to := r.sendMovedTableTo(ctx, candidate.Host, table); to > 0 {
			return to
		}
	}
	return 0
}

func (r *Router) sendMovedTableTo(ctx context.Context, host string, table wire.DedupTable) lease.GatewayEpoch {
	if host == r.cfg.Self.Host {
		return r.receiveDedup(table)
	}
	addr := r.table.Load().peers[host]
	if addr == "" {
		return 0
	}
	to, err := r.sendDedup(ctx, addr, []wire.DedupTable{table})
	if err != nil {
		r.log.Emit(evDedupNotSent, "target", table.Succession.Target, "error", err.Error())
	}
	return to
}
