package lease

import (
	"slices"
	"time"

	"github.com/mangopost/mangopost/ownership"
)

// SetStoreLease tells the voter until which of its own readings the cell holds the
// store lease that this host renewed: StoreLease after the accepted update was sent. 0
// means that it holds none. Call StopShards first for everything that other cells took
// over.
func (v *Voter) SetStoreLease(until time.Duration) { v.storeLeaseEnd = until }

// StopShards stops epochs that the pages no longer assign to the cell. Every holder
// receives these stops in the same reply as the store lease.
func (v *Voter) StopShards(service string, stops []ownership.ShardStop) {
	for _, s := range stops {
		ref := ownership.ShardRef{Service: service, Shard: s.Shard}
		v.stops.addShard(ShardStop{Shard: ref, Epoch: s.Epoch})
	}
}

// updateStoreLease applies the store lease reported by a voter. It counts from when the
// request was sent, because the reply may have been delayed.
func (h *Holder) updateStoreLease(now, sent time.Duration, m VoteReply) {
	if h.faults.storeFromReceipt {
		sent = now
	}
	if m.StoreLeft > 0 {
		h.storeLeaseEnd = max(h.storeLeaseEnd, sent+m.StoreLeft)
	}
}

// holdsStoreLease reports whether a shard that needs the store may be served. A target
// that checks grants may run a request until its grant ends, which is up to one vote's
// lease later.
func (h *Holder) holdsStoreLease(now time.Duration) bool {
	return now+h.cfg.Timing.Lease < h.storeLeaseEnd
}

// removeFenced removes the cells that a move lists as fenced: their voters need not be
// asked.
func removeFenced(cells map[string]Stops, move *ownership.Move) map[string]Stops {
	if move == nil {
		return cells
	}
	for cellName := range cells {
		if slices.Contains(move.Fenced, cellName) {
			delete(cells, cellName)
		}
	}
	return cells
}
