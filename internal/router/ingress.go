package router

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/memlimit"
	"github.com/mangopost/mangopost/internal/wire/pb"
)

// ingress serves one callers' listener.
type ingress struct {
	router   *Router
	listener Listener
}

// ServeHTTP routes one caller's request to the gateway of its target and writes the
// answer.
func (in *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	markHandled(r)
	closeAfterChunkedBody(w, r)
	held := memlimit.BeginRequest(r)
	defer held.MayEnd(memlimit.AbortConn(r))
	id := in.router.requestID(r)
	t := in.router.table.Load()
	q, err := t.parse(r, in.listener, id, now)
	if err == nil {
		q.held = held
		err = q.readBody(w, r, in.listener)
	}
	if err != nil {
		limitUnreadBody(w, r)
		in.refuse(w, id, err)
		return
	}
	in.answer(w, r, q, now)
}

// closeAfterChunkedBody closes the connection after the answer to a request with a
// chunked body. An intermediary may have used a Content-Length that net/http removed,
// and consider the following bytes part of this body, so they must not be run as a
// request (RFC 9112, section 6.1).
func closeAfterChunkedBody(w http.ResponseWriter, r *http.Request) {
	if len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
}

func (in *ingress) answer(w http.ResponseWriter, r *http.Request, q *ingressRequest, began time.Time) {
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	q.forward.Fingerprint = fingerprint(q.forward)
	out := &callerSink{w: w, held: q.held, abort: memlimit.AbortConn(r)}
	a := in.router.deliver(ctx, q, out)
	in.router.logRouted(q, a, time.Since(began))
	if out.started {
		abortUnlessComplete(out.complete)
		return
	}
	a.Id = q.forward.Id
	_ = out.writeHead(a)
}

// abortUnlessComplete aborts the caller's connection when a long answer was truncated,
// so that the caller cannot mistake it for a complete one.
func abortUnlessComplete(complete bool) {
	if !complete {
		panic(http.ErrAbortHandler)
	}
}

func (in *ingress) refuse(w http.ResponseWriter, id string, err error) {
	var refused *refusal
	if !errors.As(err, &refused) {
		refused = badRequest(err.Error())
	}
	in.router.metrics.recordRefused(refused.reason)
	if refused.reason != reasonMemory { // recordHeldRefusal writes these together
		in.router.log.Emit(evRefusedAtIngress, "request", id, "status", refused.status, "reason", string(refused.reason), "detail", refused.message)
	}
	a := notRun(id, refused.reason)
	a.Status = uint32(refused.status)
	a.RetryAfterMs = refused.retryAfter().Milliseconds()
	a.Body = []byte(refused.message + "\n")
	a.Headers = []*pb.Header{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}}
	writeAnswerHead(w, a)
	_, _ = w.Write(a.Body)
}
