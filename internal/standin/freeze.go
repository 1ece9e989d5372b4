package standin

import (
	"context"
	"sync"
)

// gate blocks its users while it is closed. The zero value is open.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed when the gate opens; nil while it is open
}

func (f *gate) setClosed(closed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if closed && f.opened == nil {
		f.opened = make(chan struct{})
	}
	if !closed && f.opened != nil {
		close(f.opened)
		f.opened = nil
	}
}

// wait returns once the gate is open, or with the error of ctx.
func (f *gate) wait(ctx context.Context) error {
	f.mu.Lock()
	opened := f.opened
	f.mu.Unlock()
	if opened == nil {
		return nil
	}
	select {
	case <-opened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
