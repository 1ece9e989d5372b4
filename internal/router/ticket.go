package router

import (
	"context"
	"sync"
	"time"

	"github.com/mangopost/mangopost/admission"
)

// ticket is one request's entry in the admission queue.
type ticket struct {
	request admission.Request
	verdict chan admission.Action // Start or Refuse; received before the next one is sent

	mu        sync.Mutex
	cancel    context.CancelFunc // cancels the run; nil while it may not be cancelled
	preempted bool
}

// setCancel sets the function that cancels the run that begins; with nil the run can no
// longer be cancelled.
func (t *ticket) setCancel(cancel context.CancelFunc) {
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

// workerEvent is an event that the worker's duty applies to its queue.
type workerEvent interface {
	apply(w *worker, now time.Duration) []admission.Action
}

type arrival struct{ ticket *ticket }

func (e arrival) apply(w *worker, now time.Duration) []admission.Action {
	w.tickets[e.ticket.request.ID] = e.ticket
	return w.queue.Arrive(now, e.ticket.request)
}

// departure is the end of a run. A preempted request stays in the queue, which later
// starts it again or refuses it.
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
	default: // it has started meanwhile; its departure follows when the run ends
	}
	return actions
}

// drainChange starts or ends a target's drain: running requests may finish, waiting and
// arriving ones are refused.
type drainChange struct{ drain bool }

func (e drainChange) apply(w *worker, now time.Duration) []admission.Action {
	if e.drain {
		return w.queue.Drain(now)
	}
	return w.queue.Resume(now)
}

type targetRestarted struct{}

func (targetRestarted) apply(w *worker, now time.Duration) []admission.Action {
	return w.queue.MarkCold(now)
}
