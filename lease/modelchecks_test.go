package lease_test

import (
	"fmt"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// checkRun checks a run against earlier ones: epochs never fall, and one epoch has one
// owner and one gateway.
func (w *model) checkRun(r run) {
	w.checkShardRun(r)
	w.checkGatewayRun(r)
	w.lastStart[r.shard] = r.at
}

func (w *model) checkShardRun(r run) {
	key := fmt.Sprint("shard ", r.shard)
	before := w.lastRun[key]
	if r.owner < before.owner || (r.owner == before.owner && r.target != before.target) ||
		(r.at == before.at && r.owner != before.owner && r.target != before.target) {
		w.fail("two owners of %s: %+v, then %+v", key, before, r)
	}
	w.lastRun[key] = r
	w.checkKeyRun(r)
}

func (w *model) checkGatewayRun(r run) {
	key := r.target
	before := w.lastRun[key]
	if r.gateway < before.gateway || (r.at == before.at && before.gateway > 0 && r.gateway != before.gateway) {
		w.fail("two gateways of %s: %+v, then %+v", key, before, r)
	}
	if r.gateway > before.gateway && before.gateway > 0 {
		w.counts["gateway takeovers"]++
	}
	w.lastRun[key] = r
}

// checkLine checks a line that serves: since the line that it follows directly, no
// other line was active.
func (w *model) checkLine(p *process, shard ownership.ShardRef) {
	line, ok := p.holder.Line(p.clock.read(w.now), shard)
	before := w.lastLineByTarget[line.Target]
	if !ok || line.Chain <= before.Chain {
		return
	}
	if line.Follows > 0 {
		w.counts["lines that follow another"]++
		if before.Chain > line.Follows {
			w.fail("line %+v was preceded by %+v", line, before)
		}
	}
	w.lastLineByTarget[line.Target] = line
}

// recordKeyOrder records which owner epochs include the hot key, in the order in which
// they were agreed.
func (w *model) recordKeyOrder(page ownership.Page) {
	n, s := page.Lookup(hotKey)
	w.recordEpochOrder(n, s.Epoch, 2*page.Stamp.Write)
	if s.Next != nil {
		w.recordEpochOrder(n, s.Next.Epoch, 2*page.Stamp.Write+1)
	}
}

func (w *model) recordEpochOrder(shard uint32, epoch ownership.Epoch, order uint64) {
	s := lease.ShardEpoch{Shard: ref(shard), Epoch: epoch}
	if _, known := w.keyOrder[s]; !known {
		w.keyOrder[s] = order
	}
}

// checkKeyRun checks a run that may include the hot key.
func (w *model) checkKeyRun(r run) {
	order, ok := w.keyOrder[lease.ShardEpoch{Shard: ref(r.shard), Epoch: r.owner}]
	if !ok {
		return
	}
	before := w.lastKeyRun
	old := w.keyOrder[lease.ShardEpoch{Shard: ref(before.shard), Epoch: before.owner}]
	if order < old || (r.at == before.at && order != old && r.target != before.target) {
		w.fail("two owners of the hot key: %+v, then %+v", before, r)
	}
	w.lastKeyRun = r
}

func (w *model) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}
