package kernel

import "sync/atomic"

// Ring is a bounded queue between two duties. When it is full, new items are
// dropped and counted.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// NewRing returns a ring that holds up to size items.
func NewRing[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds an item and reports whether there was room.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// C returns the receiving side.
func (r *Ring[T]) C() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Dropped returns the number of items dropped because the queue was full.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
