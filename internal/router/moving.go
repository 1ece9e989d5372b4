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

// moving is the sending of a shard's dedup table to the next owner's gateway, in a
// planned move.
type moving struct {
	began time.Time
	ended chan struct{}      // closed when it arrived or was given up
	to    lease.GatewayEpoch // line of the gateway that has it, 0 for none; set before ended is closed
}

// over reports whether the shard may be released, and to which line.
func (m *moving) over(now time.Time) (to lease.GatewayEpoch, over bool) {
	select {
	case <-m.ended:
		return m.to, true
	default:
		return 0, now.Sub(m.began) >= passingPatience
	}
}

// leaves reports whether a line is one that is given up and still to be released.
func leaves(leaving []lease.Leaving, line lease.Line) bool {
	return slices.ContainsFunc(leaving, func(l lease.Leaving) bool { return !l.Failed && l.Shard == line.ShardEpoch })
}

// dropMoving forgets what is given up no more.
func (w *shardWatch) dropMoving(leaving []lease.Leaving) {
	if len(w.moving) == 0 {
		return
	}
	maps.DeleteFunc(w.moving, func(s lease.ShardEpoch, _ *moving) bool {
		return !slices.ContainsFunc(leaving, func(l lease.Leaving) bool { return l.Shard == s })
	})
}

// movedOn sends what is known of a shard that is given up to the next owner's
// gateway, and reports whether the shard may be released and which line has it.
// Nothing of the shard runs or will start under the line that ends, so that all
// that ran under it is in the table.
func (w *shardWatch) movedOn(t *table, l lease.Leaving, number int) (to lease.GatewayEpoch, over bool) {
	m := w.moving[l.Shard]
	if m == nil {
		m = w.move(t, l, number)
		w.moving[l.Shard] = m
	}
	return m.over(time.Now())
}

func (w *shardWatch) move(t *table, l lease.Leaving, number int) *moving {
	m := &moving{began: time.Now(), ended: make(chan struct{})}
	next, ok := t.nextOwner(l.Shard)
	if !ok {
		close(m.ended)
		return m
	}
	table, ok := w.router.gateway.dedup.exportMoved(l, next, number)
	if !ok {
		close(m.ended)
		return m
	}
	go func() {
		defer w.hurry()
		defer close(m.ended)
		m.to = w.router.passMoved(t.targets[next.Target], table)
	}()
	return m
}

// nextOwner returns the owner that a shard goes to in a planned move, unless keys
// of other shards go there too: what is known of those is elsewhere.
func (t *table) nextOwner(s lease.ShardEpoch) (ownership.Assignment, bool) {
	service := t.services[s.Shard.Service]
	if service == nil {
		return ownership.Assignment{}, false
	}
	shard, ok := service.page.Shard(s.Shard.Shard)
	m := shard.Move
	if !ok || m == nil || m.From.Epoch != s.Epoch || len(m.AlsoStop) > 0 || t.targets[shard.Target] == nil {
		return ownership.Assignment{}, false
	}
	return shard.Assignment, true
}

// exportMoved returns what is known of a shard that is given up, as one of a number
// of them.
func (d *dedupTable) exportMoved(l lease.Leaving, next ownership.Assignment, number int) (wire.DedupTable, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := d.lines[l.Shard.Shard]
	if line.ShardEpoch != l.Shard || line.Target != l.Target {
		return wire.DedupTable{}, false
	}
	x, ok := d.table.Export(l.Shard.Shard, d.begun)
	return wire.DedupTable{
		Lines:  lease.Succession{Target: next.Target},
		Owner:  lease.ShardEpoch{Shard: l.Shard.Shard, Epoch: next.Epoch},
		Moved:  line.Chain,
		Export: x.KeepNewest(d.bytes / sentShare / int64(number)),
	}, ok
}

// passMoved gives a moved shard's table to the gateway of its next owner, here or on
// another host, and returns the line under which that has it. The candidate that
// served last is asked first.
func (r *Router) passMoved(next *target, table wire.DedupTable) lease.GatewayEpoch {
	ctx, cancel := context.WithTimeout(context.Background(), passingLimit)
	defer cancel()
	n := len(next.candidates)
	for i := range n {
		candidate := next.candidates[(r.hints.candidate(next.name, n)+i)%n]
		if to := r.passMovedTo(ctx, candidate.Host, table); to > 0 {
			return to
		}
	}
	return 0
}

func (r *Router) passMovedTo(ctx context.Context, host string, table wire.DedupTable) lease.GatewayEpoch {
	if host == r.cfg.Self.Host {
		return r.takeDedup(table)
	}
	addr := r.table.Load().peers[host]
	if addr == "" {
		return 0
	}
	to, err := r.sendDedup(ctx, addr, []wire.DedupTable{table})
	if err != nil {
		r.log.Emit(evDedupNotSent, "target", table.Lines.Target, "error", err.Error())
	}
	return to
}
