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
func (p *pendingTables) add(t pendingTable) bool {
	p.removeIf(func(old pendingTable) bool { return old.IsForSameLine(t.DedupTable) })
	if p.bytes+t.bytes > p.limit {
		return false
	}
	p.tables = append(p.tables, t)
	p.bytes += t.bytes
	return true
}

// removeFor removes and returns the tables that are for a line.
func (p *pendingTables) removeFor(line lease.Line) []pendingTable {
	return p.removeIf(func(t pendingTable) bool { return t.Joins(line) })
}

// removeShard removes and returns the tables of a shard.
func (p *pendingTables) removeShard(ref ownership.ShardRef) []pendingTable {
	return p.removeIf(func(t pendingTable) bool { return t.Owner.Shard == ref })
}

// removeExpired removes and returns the tables whose line did not open within
// pendingTableTTL.
func (p *pendingTables) removeExpired(now time.Time) []pendingTable {
	return p.removeIf(func(t pendingTable) bool { return now.Sub(t.receivedAt) > pendingTableTTL })
}

func (p *pendingTables) removeIf(match func(pendingTable) bool) []pendingTable {
	var removed, kept []pendingTable
	for _, t := range p.tables {
		if match(t) {
			p.bytes -= t.bytes
			removed = append(removed, t)
		} else {
			kept = append(kept, t)
		}
	}
	p.tables = kept
	return removed
}
