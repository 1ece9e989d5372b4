package ownership

import "slices"

// Cells returns every cell whose voters may renew the lease of an owner of the
// shard: the cell of the current owner and, during an unfinished move, the cells
// of the earlier owners.
func (s Shard) Cells() []string {
	cells := []string{s.Cell}
	if s.Move != nil {
		cells = append(cells, s.Move.From.Cell)
		cells = append(cells, s.Move.Cells...)
	}
	slices.Sort(cells)
	return slices.Compact(cells)
}

// HighestEpoch returns the highest epoch recorded for the shard, including that of
// the agreed next owner.
func (s Shard) HighestEpoch() Epoch {
	top := s.Epoch
	if s.Next != nil {
		top = max(top, s.Next.Epoch)
	}
	return top
}
