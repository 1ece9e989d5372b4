package router

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// handoverTimeout bounds how long a stopping router waits for other routers to
	// become the gateways of its targets.
	handoverTimeout      = time.Second
	handoverPollInterval = 10 * time.Millisecond
)

// handOverTargets releases the targets that another router is to become the gateway of,
// once no request to them is being written. The next gateway can then start without
// waiting for a lease to expire. Requests that already run at a target continue and are
// answered through this router. It reports whether targets remain to be released.
func (w *shardWatch) handOverTargets(t *table) (isReleasing bool) {
	handingOver := w.router.leases.handingOver()
	for _, name := range handingOver {
		w.releaseTarget(t, name)
	}
	maps.DeleteFunc(w.handoverTransfers, func(name string, _ *handoverTransfer) bool { return !slices.Contains(handingOver, name) })
	if !slices.Equal(handingOver, w.handingOver) {
		w.router.gateway.pruneHandedOver(t)
	}
	w.handingOver = handingOver
	return len(handingOver) > 0
}

func (w *shardWatch) releaseTarget(t *table, name string) {
	worker := w.router.gateway.worker(name)
	if worker != nil && worker.hasPendingWrites() || !w.ensureTransferred(t, name) {
		return
	}
	err := w.router.leases.releaseTarget(name)
	w.router.log.Emit(evTargetHandedOver, "target", name, "ok", err == nil)
}

// awaitHandover waits until this router is not the gateway of any target, for at most
// handoverTimeout: while the store is down, no other gateway can be named.
func (r *Router) awaitHandover() {
	for waited := time.Duration(0); waited < handoverTimeout && r.leases.isGateway(); waited += handoverPollInterval {
		time.Sleep(handoverPollInterval)
	}
}

// beginWrite counts a request as being written, before the last check that this router
// may still send it. The returned function ends that and may be called more than once.
func (w *worker) beginWrite() (endWrite func()) {
	w.addPendingWrites(1)
	return sync.OnceFunc(func() { w.addPendingWrites(-1) })
}

func (w *worker) addPendingWrites(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pendingWrites += n
}

// hasPendingWrites reports whether a request that passed the check may still be written
// to the target.
func (w *worker) hasPendingWrites() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pendingWrites > 0
}
