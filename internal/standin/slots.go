package standin

import (
	"context"
	"sync/atomic"
)

// slots bounds the requests that a target runs at once and those that wait for a
// slot.
type slots struct {
	sem        chan struct{}
	queueLimit int64
	waiting    atomic.Int64
}

func newSlots(n, queue int) *slots {
	return &slots{sem: make(chan struct{}, n), queueLimit: int64(queue)}
}

// acquire waits for a slot and reports whether it got one.
func (s *slots) acquire(ctx context.Context) bool {
	select {
	case s.sem <- struct{}{}:
		return true
	default:
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > s.queueLimit {
		return false
	}
	select {
	case s.sem <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *slots) release() { <-s.sem }

func (s *slots) running() int { return len(s.sem) }
