package router

import (
	"context"
	"sync"
	"time"

	"github.com/mangopost/mangopost/admission"
)

// ticket is one request's place in the queue.
type ticket struct {
	request admission.Request
	verdict chan admission.Action // Start or Refuse, taken before the next one comes

	mu        sync.Mutex
	cancel    context.CancelFunc // of the run, nil when it may not be cancelled
	preempted bool
}

// runs notes how to cancel the run that begins; nil ends that.
func (t *ticket) runs(cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel = cancel
	if cancel != nil {
		t.preempted = false
	}
}

// preempt cancels the run, if it may still be cancelled.
func (t *ticket) preempt() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancel == nil {
		return
	}
	t.preempted = true
	t.cancel()
}

func (t *ticket) wasPreempted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.preempted
}

// workerEvent is a step of the duty's queue.
type workerEvent interface {
	apply(w *worker, now time.Duration) []admission.Action
}

type arrival struct{ ticket *ticket }

func (e arrival) apply(w *worker, now time.Duration) []admission.Action {
	w.tickets[e.ticket.request.ID] = e.ticket
	return w.queue.Arrive(now, e.ticket.request)
}

// departure is the end of a run. A preempted request stays in the queue, which
// starts it again later or refuses it.
type departure struct {
	id        uint64
	result    admission.Result
	preempted bool
}

func (e departure) apply(w *worker, now time.Duration) []admission.Action {
	if !e.preempted {
		delete(w.tickets, e.id)
	}
	return w.queue.Done(now, e.id, e.result)
}

type withdrawal struct{ id uint64 }

func (e withdrawal) apply(w *worker, now time.Duration) []admission.Action {
	actions := w.queue.Cancel(now, e.id)
	t := w.tickets[e.id]
	if t == nil {
		return actions
	}
	select {
	case t.verdict <- admission.Action{Kind: admission.Refuse, ID: e.id}:
		delete(w.tickets, e.id)
	default: // it started meanwhile; the sender tells when it is done
	}
	return actions
}

// drainChange begins or ends a target's drain: what runs may finish, what waits
// and what arrives is refused.
type drainChange struct{ drain bool }

func (e drainChange) apply(w *worker, now time.Duration) []admission.Action {
	if e.drain {
		return w.queue.Drain(now)
	}
	return w.queue.Resume(now)
}

type restarted struct{}

func (restarted) apply(w *worker, now time.Duration) []admission.Action {
	return w.queue.MarkCold(now)
}
