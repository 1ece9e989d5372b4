package placer

import (
	"sync"
	"time"
)

const (
	// WatchWait is how long a watch of the store waits for a change.
	WatchWait = time.Second
	// answerTimeout is how overdue an answer of the store may be before the store counts
	// as silent. It is longer than a slow store takes.
	answerTimeout = 700 * time.Millisecond
)

// answerMonitor distinguishes a silent store from a slow one. The store is silent when
// an answer is overdue by answerTimeout and no call has been answered since that answer
// was due. Times are readings of the placer's clock.
type answerMonitor struct {
	now func() time.Duration

	mu           sync.Mutex
	lastAnswerAt time.Duration // when the last answer arrived
	silent       bool
	silentAt     time.Duration // when the store was last found silent
	changed      chan struct{} // closed and replaced when silent changes
}

func newAnswerMonitor(now func() time.Duration) *answerMonitor {
	return &answerMonitor{now: now, lastAnswerAt: -storeReachableTimeout, changed: make(chan struct{})}
}

// trackCall registers a call whose answer is due at the given time. The caller passes
// the call's error to done when the call ends; only a nil error counts as an answer.
func (a *answerMonitor) trackCall(due time.Duration) (done func(error)) {
	timer := time.AfterFunc(due+answerTimeout-a.now(), func() { a.answerMissed(due) })
	return func(err error) {
		if err != nil {
			return
		}
		timer.Stop()
		a.answerReceived()
	}
}

func (a *answerMonitor) answerReceived() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastAnswerAt = a.now()
	a.setSilent(false)
}

// answerMissed marks the store as silent unless a call was answered since due.
func (a *answerMonitor) answerMissed(due time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastAnswerAt >= due {
		return
	}
	a.silentAt = a.now()
	a.setSilent(true)
}

// setSilent updates silent and signals a change. The caller must hold mu.
func (a *answerMonitor) setSilent(silent bool) {
	if a.silent == silent {
		return
	}
	a.silent = silent
	close(a.changed)
	a.changed = make(chan struct{})
}

// isSilentSince reports whether the store is silent and was found so after the given
// time.
func (a *answerMonitor) isSilentSince(since time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.silent && a.silentAt > since
}

// lastAnswerTime returns when the last answer arrived.
func (a *answerMonitor) lastAnswerTime() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastAnswerAt
}

// changedChan returns a channel that is closed when the store next becomes silent or
// answers again.
func (a *answerMonitor) changedChan() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}
