package standin

import (
	"context"
	"sync"
)

// gate blocks the callers of wait while it is closed. The zero value is open.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed when the gate opens; nil while it is open
}

func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if closed && g.opened == nil {
		g.opened = make(chan struct{})
	}
	if !closed && g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// wait returns once the gate is open, or with the error of ctx.
func (g *gate) wait(ctx context.Context) error {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
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
