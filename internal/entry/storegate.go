package entry

import (
	"sync"
	"time"
)

const (
	// gateFirst is the pause of all watches after a call to the store that failed;
	// it doubles with each further one.
	gateFirst = 200 * time.Millisecond
	// gateMost bounds the pause: with a call after it, a host is back within the
	// two seconds in which targets announce themselves again.
	gateMost = 1500 * time.Millisecond
)

// storeGate holds the calls of all duties back while the store does not answer:
// calls cost also when they fail, and hosts are many.
type storeGate struct {
	mu    sync.Mutex
	pause time.Duration
	next  time.Duration // no call before
}

// wait returns how long a call has to wait.
func (g *storeGate) wait(now time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.next - now
}

// answered notes that the store answered a call.
func (g *storeGate) answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pause, g.next = 0, 0
}

// failed notes that a call failed.
func (g *storeGate) failed(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now < g.next {
		return // calls that ran beside the one that was noted
	}
	g.pause = min(gateMost, max(gateFirst, 2*g.pause))
	g.next = now + g.pause
}
