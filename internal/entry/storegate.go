package entry

import (
	"sync"
	"time"
)

const (
	// minGatePause is the pause of all watches after a failed call to the store.
	// It doubles with each further failure.
	minGatePause = 200 * time.Millisecond
	// maxGatePause limits the pause: including a call that hangs before it, a host
	// whose link recovers catches up well within the 4 s after which all bounds
	// apply to it again.
	maxGatePause = 700 * time.Millisecond
	// relayedGatePause is the pause of a host that receives relays: the
	// coordinator reports when the store answers again.
	relayedGatePause = 1500 * time.Millisecond
	// gateCheckInterval is how often a call that must wait checks the gate again.
	gateCheckInterval = minGatePause / 4
)

// storeGate holds back the store calls of all duties while the store does not
// answer: failed calls also cost, and there are many hosts. One probe at a time
// checks whether the store answers again.
type storeGate struct {
	mu          sync.Mutex
	pause       time.Duration // 0 while the store answers
	nextCall    time.Duration // no call before this time
	probing     bool          // a probe is in flight
	lastFailure time.Duration // time of the last failed call; 0 if none failed
}

// enter reports whether a call may be made now. The caller must then call answered
// or failed. If probe is set, the call must not wait for changes. relayed says
// whether the coordinator relays to this host.
func (g *storeGate) enter(now time.Duration, relayed bool) (ok, probe bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if relayed && g.lastFailure > 0 && now < g.lastFailure+relayedGatePause {
		return false, false
	}
	if g.pause == 0 {
		return true, false
	}
	if now < g.nextCall || g.probing {
		return false, false
	}
	g.probing = true
	return true, true
}

// isOpen reports whether the store answered the last call.
func (g *storeGate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pause == 0
}

// answered opens the gate after the store answered a call.
func (g *storeGate) answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pause, g.nextCall, g.probing = 0, 0, false
}

// failed closes the gate after a failed call. A failed call other than a probe
// began before the gate closed and does not lengthen the pause.
func (g *storeGate) failed(now time.Duration, probe bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastFailure = now
	if !probe && g.pause > 0 {
		return
	}
	g.probing = false
	g.pause = min(maxGatePause, max(minGatePause, 2*g.pause))
	g.nextCall = now + g.pause
}
