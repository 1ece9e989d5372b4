package ownership

import "slices"

// SupersededStops returns the epochs of a page's shards that a cell may no longer
// serve, whether or not its voters were asked to stop them: every epoch below
// the owner's or, during a planned move, below that of the earlier owner that
// has not released the shard yet. The cell must stop these epochs before it may
// acquire its store lease again.
func SupersededStops(page Page, cell string) []ShardStop {
	var stops []ShardStop
	for n := range uint32(len(page.Shards) + len(page.Pins)) {
		s, _ := page.Shard(n)
		if top := s.supersededEpoch(); top > 0 {
			stops = append(stops, ShardStop{Shard: n, Epoch: top, Cells: []string{cell}})
		}
		stops = append(stops, s.stopsOfOtherShards(cell)...)
	}
	return stops
}

// supersededEpoch returns the highest epoch of the shard that is superseded, or
// 0 if none is.
func (s Shard) supersededEpoch() Epoch {
	top := s.Epoch
	if s.Move != nil && s.Move.Kind == MovePlanned {
		top = min(top, s.Move.From.Epoch)
	}
	if top == 0 {
		return 0
	}
	return top - 1
}

// stopsOfOtherShards returns the epochs of other shards that an unfinished lost
// move of this shard stops in the cell.
func (s Shard) stopsOfOtherShards(cell string) []ShardStop {
	if s.Move == nil || s.Move.Kind != MoveLost {
		return nil
	}
	var stops []ShardStop
	for _, also := range s.Move.AlsoStop {
		if slices.Contains(also.Cells, cell) {
			stops = append(stops, ShardStop{Shard: also.Shard, Epoch: also.Epoch, Cells: []string{cell}})
		}
	}
	return stops
}
