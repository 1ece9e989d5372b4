package lease

import (
	"slices"

	"github.com/mangopost/mangopost/ownership"
)

// moveStops returns, by cell, the epochs that a move must stop.
func (h *Holder) moveStops(ref ownership.ShardRef, move ownership.Move) map[string]Stops {
	cells := make(map[string]Stops)
	upTo := move.Stop
	if h.faults.skipNext {
		upTo = move.From.Epoch
	}
	addShardStop(cells, ref, upTo, append([]string{move.From.Cell}, move.Cells...))
	if h.faults.skipPinned {
		cells[move.From.Cell] = Stops{Shards: []ShardStop{{Shard: ref, Epoch: upTo}}}
		return cells
	}
	for _, also := range move.AlsoStop {
		other := ownership.ShardRef{Service: ref.Service, Shard: also.Shard}
		addShardStop(cells, other, also.Epoch, also.Cells)
	}
	return removeFenced(cells, &move)
}

// nextStops returns, by cell, the epochs that the agreed next owner must stop.
func nextStops(ref ownership.ShardRef, page ownership.Shard) map[string]Stops {
	cells := make(map[string]Stops)
	addShardStop(cells, ref, page.Next.Epoch-1, page.Cells())
	if page.Move == nil {
		return cells
	}
	for _, also := range page.Move.AlsoStop {
		other := ownership.ShardRef{Service: ref.Service, Shard: also.Shard}
		addShardStop(cells, other, also.Epoch, also.Cells)
	}
	return removeFenced(cells, page.Move)
}

func addShardStop(cells map[string]Stops, ref ownership.ShardRef, upTo ownership.Epoch, cellNames []string) {
	if upTo == 0 {
		return
	}
	slices.Sort(cellNames)
	for _, cellName := range slices.Compact(cellNames) {
		stops := cells[cellName]
		stops.Shards = append(stops.Shards, ShardStop{Shard: ref, Epoch: upTo})
		cells[cellName] = stops
	}
}
