package router

import (
	"time"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// deadlineMargin is how long after a request's deadline its target may still be busy
// with it.
const deadlineMargin = 200 * time.Millisecond

// beginRequest counts a request as running, so that its shard is not released
// meanwhile.
func (w *worker) beginRequest(req *admitted) { w.addRunning(req.ref, 1) }

// endRequest stops counting a request. If it was sent and its outcome is unknown it may
// still run, and it counts until its deadline, which targets enforce, has passed. A
// repeat that was not sent is answered with unknown because of the first request, which
// counts by itself.
func (w *worker) endRequest(req *admitted, a *pb.Answer) {
	if req.attempted && a.Outcome == pb.Outcome_OUTCOME_UNKNOWN {
		remaining := time.Until(req.deadline) + deadlineMargin
		time.AfterFunc(remaining, func() { w.addRunning(req.ref, -1) })
		return
	}
	w.addRunning(req.ref, -1)
}

func (w *worker) addRunning(ref ownership.ShardRef, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[ref] += n
	if w.running[ref] == 0 {
		delete(w.running, ref)
	}
}

// canReleaseShard reports whether no request of a shard runs and the target starts no
// more of them.
func (w *worker) canReleaseShard(s lease.ShardEpoch) bool {
	if !w.isIdle(s.Shard) {
		return false
	}
	if !w.monitor.hasDropped(s) {
		w.wakeMonitor()
		return false
	}
	return true
}

// isIdle reports whether no request of a shard runs or waits.
func (w *worker) isIdle(ref ownership.ShardRef) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running[ref] == 0
}
