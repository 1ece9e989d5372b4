package lease_test

import (
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// shardHandover is a shard that a router gives up together with its dedup state.
type shardHandover struct {
	router lease.Incarnation
	shard  lease.ShardEpoch
}

// releaseShard hands a shard over to the next owner's gateway, if there is one, and
// releases it after a random delay.
func (w *model) releaseShard(p *process, l lease.Leaving) {
	key := shardHandover{p.inc, l.Shard}
	if _, asked := w.handoverLines[key]; !asked {
		w.handoverLines[key] = w.nextLine(l.Shard.Shard)
	}
	if w.rng.IntN(4) > 0 {
		return
	}
	if p.holder.Release(p.clock.read(w.now), l.Shard.Shard, l.Shard.Epoch, w.handoverLines[key]) == nil {
		w.counts["release calls"]++
	}
}

// nextLine returns the line of rights that some router has to a shard's owner according
// to the store, 0 for none.
func (w *model) nextLine(ref ownership.ShardRef) lease.GatewayEpoch {
	owner := allShards(w.store.page)[ref.Shard]
	for _, h := range w.hosts {
		p := h.router
		if chain, ok := p.holder.Chain(p.clock.read(w.now), owner.Target); ok && !p.paused {
			return chain
		}
	}
	return 0
}

// checkMovedLine checks a line that serves a moved shard: the line that it claims to
// follow must be the last one that served the shard.
func (w *model) checkMovedLine(p *process, ref ownership.ShardRef) {
	line, ok := p.holder.Line(p.clock.read(w.now), ref)
	before := w.lastLineByShard[ref.Shard]
	if !ok || line == before {
		return
	}
	w.lastLineByShard[ref.Shard] = line
	if line.Moved == 0 || before.Epoch == 0 {
		return
	}
	w.counts["lines that follow a move"]++
	if before.Chain != line.Moved || before.Epoch >= line.Epoch {
		w.fail("line %+v was preceded by %+v", line, before)
	}
}
