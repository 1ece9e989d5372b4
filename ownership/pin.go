package ownership

import "github.com/cockroachdb/errors"

// Lookup returns the number and the ownership of the shard of a key.
func (p Page) Lookup(key string) (uint32, Shard) {
	if n, ok := p.pinNumber(key); ok {
		return n, *p.shard(n)
	}
	n := ShardOf(key, uint32(len(p.Shards)))
	return n, p.Shards[n]
}

// Shard returns the shard with the given number, which may be that of a pin.
func (p Page) Shard(n uint32) (Shard, bool) {
	if s := p.shard(n); s != nil {
		return *s, true
	}
	return Shard{}, false
}

// pinNumber returns the shard number of a pinned key.
func (p Page) pinNumber(key string) (uint32, bool) {
	for i, s := range p.Pins {
		if s.PinnedTo == key && key != "" {
			return uint32(len(p.Shards) + i), true
		}
	}
	return 0, false
}

// Pin gives a hot key a shard of its own at place to. Gateways that have only
// the previous page would still serve the key as part of its hash-range shard.
// That shard therefore gets a new epoch too, and both shards wait until its old
// epoch is released.
func Pin(page Page, key string, to Place, change Change) (Page, error) {
	page = page.clone(change)
	if _, pinned := page.pinNumber(key); pinned || key == "" {
		return Page{}, errors.Wrapf(ErrPinned, "key %q", key)
	}
	n := ShardOf(key, uint32(len(page.Shards)))
	parent := &page.Shards[n]
	if parent.Move != nil {
		return Page{}, errors.Wrapf(ErrMoving, "shard %d", n)
	}
	from := parent.Assignment
	cells := parent.Cells()
	parent.beginMove(from.Place(), MovePlanned, change)
	pin := page.freePin()
	*pin = Shard{
		Assignment: to.At(pin.HighestEpoch() + 1),
		Move: &Move{
			From:     from,
			Kind:     MovePlanned,
			AlsoStop: []ShardStop{{Shard: n, Epoch: parent.Move.Stop, Cells: cells}},
		},
		SinceMS:  change.NowMS,
		Reason:   change.Reason,
		PinnedTo: key,
	}
	return page, nil
}

// freePin returns a free pin without an unfinished move, or appends a new one.
func (p *Page) freePin() *Shard {
	for i := range p.Pins {
		if p.Pins[i].PinnedTo == "" && p.Pins[i].Move == nil {
			return &p.Pins[i]
		}
	}
	p.Pins = append(p.Pins, Shard{})
	return &p.Pins[len(p.Pins)-1]
}

// Unpin returns a pinned key to its hash-range shard. That shard gets a new
// epoch, which waits until the pin is released.
func Unpin(page Page, key string, change Change) (Page, error) {
	page = page.clone(change)
	n, pinned := page.pinNumber(key)
	if !pinned {
		return Page{}, errors.Wrapf(ErrPinned, "key %q", key)
	}
	pin := page.shard(n)
	home := ShardOf(key, uint32(len(page.Shards)))
	parent := &page.Shards[home]
	if pin.Move != nil || parent.Move != nil {
		return Page{}, errors.Wrapf(ErrMoving, "key %q", key)
	}
	cells := pin.Cells()
	pin.beginMove(Place{}, MovePlanned, change)
	pin.PinnedTo = ""
	parent.beginMove(parent.Place(), MovePlanned, change)
	parent.Move.AlsoStop = []ShardStop{{Shard: n, Epoch: pin.Move.Stop, Cells: cells}}
	return page, nil
}
