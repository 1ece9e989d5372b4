package router

import (
	"time"

	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

const (
	// pendingBytesDivisor divides the byte limit of the dedup table; the quotient is the
	// most that tables which wait for their lines may use in addition.
	pendingBytesDivisor = 4
	// pendingTableTTL is how long a received table is kept until its line opens.
	pendingTableTTL = 5 * time.Second
)

// pendingTable is a table that was received from an earlier gateway.
type pendingTable struct {
	wire.DedupTable
	receivedAt time.Time
	bytes      int64
}

// pendingTables holds received tables whose line has not opened yet. It is not safe
// for concurrent use.
type pendingTables struct {
	limit  int64
	bytes  int64
	tables []pendingTable
}

// add stores a table, replacing an earlier one for the same line, and reports whether
// it fits into the byte limit.
func (h *pendingTables) add(t pendingTable) bool {
	h.removeIf(func(old pendingTable) bool { return old.IsForSameLine(t.DedupTable) })
	if h.bytes+t.bytes > h.limit {
		return false
	}
	h.tables = append(h.tables, t)
	h.bytes += t.bytes
	return true
}

// removeFor removes and returns the tables that are for a line.
func (h *pendingTables) removeFor(line lease.Line) []pendingTable {
	return h.removeIf(func(t pendingTable) bool { return t.Joins(line) })
}

// removeShard removes and returns the tables of a shard.
func (h *pendingTables) removeShard(ref ownership.ShardRef) []pendingTable {
	return h.removeIf(func(t pendingTable) bool { return t.Owner.Shard == ref })
}

// removeExpired removes and returns the tables whose line did not open within
// pendingTableTTL.
func (h *pendingTables) removeExpired(now time.Time) []pendingTable {
	return h.removeIf(func(t pendingTable) bool { return now.Sub(t.receivedAt) > pendingTableTTL })
}

func (h *pendingTables) removeIf(chosen func(pendingTable) bool) []pendingTable {
	var taken, kept []pendingTable
	for _, t := range h.tables {
		if chosen(t) {
			h.bytes -= t.bytes
			taken = append(taken, t)
		} else {
			kept = append(kept, t)
		}
	}
	h.tables = kept
	return taken
}
