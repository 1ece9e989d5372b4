package router

import (
	"context"
	"net/http"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangopost/mangopost/admission"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/template"
)

const (
	workerRingSize     = 4096
	workerTickInterval = 5 * time.Millisecond
)

// worker is the duty of one target at a router that is a candidate for its gateway: it
// owns the target's admission queue and its connections.
type worker struct {
	router    *Router
	name      string
	addr      string
	template  atomic.Pointer[template.Template]
	transport atomic.Pointer[http.Transport]
	ring      chan workerEvent
	done      chan struct{} // closed when the duty has ended
	wake      chan struct{} // starts the monitor's next round at once
	ids       atomic.Uint64

	monitor  *targetMonitor
	health   health
	draining atomic.Bool // according to the membership record

	mu            sync.Mutex
	running       map[ownership.ShardRef]int // requests from authorize to the answer; the zero ShardRef counts those of services without keys
	pendingWrites int                        // requests that may still be written

	// Owned by the duty's goroutine; others may only load stats.
	queue     *admission.Queue
	tickets   map[uint64]*ticket
	isTicking bool // the ticker runs
	stats     atomic.Pointer[admission.Stats]
}

func newWorker(r *Router, t *target, tmpl template.Template) *worker {
	w := &worker{
		router:  r,
		name:    t.name,
		addr:    t.addr,
		ring:    make(chan workerEvent, workerRingSize),
		done:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
		running: make(map[ownership.ShardRef]int),
		tickets: make(map[uint64]*ticket),
		queue:   admission.New(queueConfig(tmpl, newOrder(tmpl.QueueOrder))),
	}
	w.monitor = newTargetMonitor(w)
	w.template.Store(&tmpl)
	w.transport.Store(newTransport(tmpl.Connections-reservedConnections, nil))
	w.publishStats()
	return w
}

func queueConfig(tmpl template.Template, order admission.Order) admission.Config {
	return admission.Config{
		Slots:       tmpl.Slots,
		Connections: tmpl.Connections - reservedConnections,
		Limit:       tmpl.QueueLimit,
		Order:       order,
		Preempt:     true,
	}
}

// configure applies a changed template. Running requests are not affected.
func (w *worker) configure(tmpl template.Template) {
	old := w.template.Swap(&tmpl)
	if reflect.DeepEqual(*old, tmpl) {
		return
	}
	if old.Connections != tmpl.Connections {
		oldTransport := w.transport.Swap(newTransport(tmpl.Connections-reservedConnections, nil))
		oldTransport.CloseIdleConnections()
	}
	change := reconfigured{config: queueConfig(tmpl, nil)}
	if old.QueueOrder != tmpl.QueueOrder {
		change.config.Order = newOrder(tmpl.QueueOrder)
	}
	w.post(change)
}

type reconfigured struct{ config admission.Config }

func (e reconfigured) apply(w *worker, now time.Duration) []admission.Action {
	return w.queue.Reconfigure(now, e.config)
}

// serve runs the duty until ctx ends.
func (w *worker) serve(ctx context.Context) {
	defer close(w.done)
	defer func() { w.transport.Load().CloseIdleConnections() }()
	ticker := time.NewTicker(workerTickInterval)
	defer ticker.Stop()
	w.isTicking = true
	for {
		w.updateTicker(ticker)
		select {
		case e := <-w.ring:
			w.applyActions(e.apply(w, w.router.now()))
		case <-ticker.C:
			w.applyActions(w.queue.Tick(w.router.now()))
		case <-ctx.Done():
			w.applyActions(w.queue.Drain(w.router.now()))
			return
		}
		w.publishStats()
	}
}

// updateTicker runs the ticker only while requests wait or run.
func (w *worker) updateTicker(ticker *time.Ticker) {
	busy := w.queue.Waiting()+w.queue.Running() > 0
	switch {
	case busy && !w.isTicking:
		ticker.Reset(workerTickInterval)
	case !busy && w.isTicking:
		ticker.Stop()
	}
	w.isTicking = busy
}

func (w *worker) publishStats() {
	stats := w.queue.Stats()
	w.stats.Store(&stats)
}

// applyActions carries out the queue's actions.
func (w *worker) applyActions(actions []admission.Action) {
	for _, a := range actions {
		t := w.tickets[a.ID]
		if t == nil {
			continue
		}
		switch a.Kind {
		case admission.Preempt:
			t.preempt()
		case admission.Refuse:
			delete(w.tickets, a.ID)
			t.verdict <- a
		case admission.Start:
			t.verdict <- a
		}
	}
}

// setDraining applies the membership record's state: a draining target takes no new
// requests.
func (w *worker) setDraining(drain bool) {
	if w.draining.Swap(drain) != drain {
		w.post(drainChange{drain})
	}
}

// isDrained reports whether the target is draining, runs nothing, and cannot still be
// running a request with an unknown outcome.
func (w *worker) isDrained() bool {
	stats := w.stats.Load()
	return stats.Draining && stats.Running == 0 && w.hasNoRunningRequests()
}

// hasNoRunningRequests reports whether no request is between authorize and its answer.
func (w *worker) hasNoRunningRequests() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running) == 0
}
