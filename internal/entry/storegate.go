package entry

import (
	"sync"
	"time"
)

const (
	// gateFirst is the pause of all watches after a call to the store that failed;
	// it doubles with each further one.
	gateFirst = 200 * time.Millisecond
	// gateMost bounds the pause: with a call that hangs before it, a host whose link
	// heals knows what it missed well within the 4 s after which all bounds hold for
	// it again.
	gateMost = 700 * time.Millisecond
	// gateRelayed is the pause of a host to which the coordinator relays what it has:
	// it will tell when the store answers.
	gateRelayed = 1500 * time.Millisecond
	// gateCheck is how often a call that must wait looks again.
	gateCheck = gateFirst / 4
)

// storeGate holds the calls of all duties back while the store does not answer:
// calls cost also when they fail, and hosts are many. One call at a time then
// asks whether it does.
type storeGate struct {
	mu      sync.Mutex
	pause   time.Duration // 0: the store answers
	next    time.Duration // no call before
	probing bool          // a call is under way
	failure time.Duration // when a call failed last; 0: never
}

// enter reports whether a call may be made now. It is followed by answered or
// failed. While probe is set, the call must not wait for changes. relayed says that
// the coordinator relays to this host.
func (g *storeGate) enter(now time.Duration, relayed bool) (ok, probe bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if relayed && g.failure > 0 && now < g.failure+gateRelayed {
		return false, false
	}
	if g.pause == 0 {
		return true, false
	}
	if now < g.next || g.probing {
		return false, false
	}
	g.probing = true
	return true, true
}

// answered notes that the store answered a call.
func (g *storeGate) answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pause, g.next, g.probing = 0, 0, false
}

// failed notes that a call failed. One that is no probe began before the gate
// closed.
func (g *storeGate) failed(now time.Duration, probe bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failure = now
	if !probe && g.pause > 0 {
		return
	}
	g.probing = false
	g.pause = min(gateMost, max(gateFirst, 2*g.pause))
	g.next = now + g.pause
}
