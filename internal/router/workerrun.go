package router

import (
	"context"
	"time"

	"github.com/mangopost/mangopost/admission"
	"github.com/mangopost/mangopost/internal/wire/pb"
)

// run queues a request, sends it when its turn comes and returns the answer.
func (w *worker) run(ctx context.Context, req *admitted, out sink) *pb.Answer {
	f := req.forward
	arrived := w.router.now()
	t := w.newTicket(f, arrived)
	select {
	case w.ring <- arrival{t}:
	default:
		return refused(f.Id, reasonTooBusy, time.Second)
	}
	for hasRun := false; ; hasRun = true {
		verdict := w.awaitVerdict(ctx, t)
		started := w.router.now()
		if verdict.Kind == admission.Refuse {
			return overallAnswer(w.refusal(ctx, f, verdict), hasRun)
		}
		a, result := w.attempt(ctx, req, t, out)
		result.Took = w.router.now() - started
		isPreempted := result.Kind == admission.Cancelled && t.wasPreempted()
		w.post(departure{id: t.request.ID, result: result, preempted: isPreempted})
		if !isPreempted {
			a = overallAnswer(a, hasRun)
			w.router.logRun(req, a, started-arrived, result.Took)
			return a
		}
		w.router.log.Emit(evPreempted, "request", f.Id, "target", w.name, "took_us", result.Took.Microseconds())
	}
}

// attempt sends the request to the target. Until its answer is passed on, the queue may
// cancel the run to free its slot for short requests.
func (w *worker) attempt(ctx context.Context, req *admitted, t *ticket, out sink) (*pb.Answer, admission.Result) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.setCancel(cancel)
	defer t.setCancel(nil)
	w.router.activity.record(req)
	req.attempted = true
	return w.send(ctx, req, t, out)
}

func (w *worker) newTicket(f *pb.Forward, now time.Duration) *ticket {
	t := &ticket{verdict: make(chan admission.Action, 1)}
	t.request = admission.Request{
		ID:         w.ids.Add(1),
		Client:     f.Client,
		Weight:     w.router.weight(f.Client),
		Route:      admission.RouteID(f.Route),
		Deadline:   now + time.Duration(f.DeadlineMs)*time.Millisecond,
		Idempotent: f.Idempotent,
	}
	return t
}

// wakeMonitor starts the monitor's next round at once.
func (w *worker) wakeMonitor() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// post sends an event to the duty, unless the duty has ended.
func (w *worker) post(e workerEvent) {
	select {
	case w.ring <- e:
	case <-w.done:
	}
}

// awaitVerdict waits for the queue's verdict. If the caller leaves, the request is
// withdrawn, but the verdict is still awaited, as the request may have started.
func (w *worker) awaitVerdict(ctx context.Context, t *ticket) admission.Action {
	select {
	case a := <-t.verdict:
		return a
	case <-w.done:
		return endedDutyVerdict(t)
	case <-ctx.Done():
	}
	w.post(withdrawal{t.request.ID})
	select {
	case a := <-t.verdict:
		return a
	case <-w.done:
		return endedDutyVerdict(t)
	}
}

// endedDutyVerdict refuses a request whose target's duty has ended. It was not sent.
func endedDutyVerdict(t *ticket) admission.Action {
	return admission.Action{Kind: admission.Refuse, ID: t.request.ID, Reason: admission.ReasonDraining}
}

func (w *worker) refusal(ctx context.Context, f *pb.Forward, a admission.Action) *pb.Answer {
	if ctx.Err() != nil {
		answer := notRun(f.Id, reasonDeadline)
		answer.Status = statusDeadline
		return answer
	}
	answer := refused(f.Id, reason(a.Reason.String()), a.RetryAfter)
	if a.Reason == admission.ReasonOverShare {
		answer.Status = statusOverShare
	}
	w.router.log.Emit(evRefusedAtGateway, "request", f.Id, "target", w.name, "client", f.Client, "reason", a.Reason.String())
	return answer
}
