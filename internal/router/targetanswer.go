package router

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/admission"
	"github.com/mangopost/mangopost/internal/memlimit"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/routing"
)

// outcomeOf classifies a target's answer to the request with the given ID.
func outcomeOf(response *http.Response, id string, refusesFirst bool) routing.Outcome {
	return routing.Classify(routing.Reply{
		Sent:         true,
		Status:       response.StatusCode,
		Refused:      routing.Refused(response.Header.Get(headerRefused)),
		IDMatches:    response.Header.Get(headerRequestID) == id,
		RefusesFirst: refusesFirst,
	})
}

// isValidHead reports whether a status line is that of an HTTP/1 answer. net/http also
// accepts statuses below 100 and other versions. A switch of protocols is no answer
// either, as no request asks for one.
func isValidHead(response *http.Response) bool {
	return response.ProtoMajor == 1 && response.StatusCode >= http.StatusOK
}

// handleResponse returns the answer for a target's response. An answer that is too long
// to be buffered is streamed to out, either complete or visibly truncated.
func (w *worker) handleResponse(ctx context.Context, req *admitted, t *ticket, response *http.Response, out sink) (*pb.Answer, admission.Result) {
	f := req.forward
	if !isValidHead(response) {
		// The connection may be idle already and hold bytes that belong to no request.
		w.transport.Load().CloseIdleConnections()
		w.router.log.Emit(evAnswerInvalid, "request", f.Id, "target", w.name, "protocol", response.Proto, "status", response.StatusCode)
		return unknown(f.Id, reasonAnswerBroken), admission.Result{Kind: admission.Failed}
	}
	switch outcomeOf(response, f.Id, w.template.Load().RefusesFirst) {
	case routing.OutcomeNotRun:
		return w.refusedByTarget(f, response)
	case routing.OutcomeUnknown:
		w.router.log.Emit(evAnswerMismatch, "request", f.Id, "target", w.name)
		return unknown(f.Id, reasonAnswerMismatch), admission.Result{Kind: admission.Failed}
	}
	a := &pb.Answer{
		Id:      f.Id,
		Outcome: pb.Outcome_OUTCOME_RAN,
		Status:  uint32(response.StatusCode),
		Headers: endToEndHeaders(response.Header),
	}
	body, err := w.router.readAnswer(ctx, response)
	if err != nil {
		return w.brokenAnswer(ctx, f, err)
	}
	if len(body) <= maxBufferedAnswerBytes {
		w.router.quarantine.recordRun(f)
		a.Body = body
		return a, admission.Result{Kind: admission.Completed}
	}
	t.setCancel(nil)
	return w.streamAnswer(ctx, f, a, body, response.Body, out)
}

func (w *worker) brokenAnswer(ctx context.Context, f *pb.Forward, err error) (*pb.Answer, admission.Result) {
	if ctx.Err() != nil {
		return unknownDeadline(f.Id), admission.Result{Kind: admission.Cancelled}
	}
	if !errors.Is(err, memlimit.ErrRefused) {
		// The target may have ended with the request, whatever it had sent by then.
		w.router.quarantine.addCandidate(w.name, f)
	}
	return unknown(f.Id, reasonAnswerBroken), admission.Result{Kind: admission.Failed}
}

// refusedByTarget returns the answer for a request that the target refused before
// running any of it.
func (w *worker) refusedByTarget(f *pb.Forward, response *http.Response) (*pb.Answer, admission.Result) {
	cause := response.Header.Get(headerRefused)
	if cause == "" {
		cause = response.Status
	}
	shed := admission.Result{Kind: admission.Shed, RetryAfter: retryAfter(response.Header)}
	a := refused(f.Id, reasonTargetRefused, shed.RetryAfter)
	if strings.HasPrefix(cause, "stale") || cause == "no-grant" {
		a = notMine(f.Id, reasonNoLease)
		shed.Kind = admission.Cancelled
	}
	w.router.log.Emit(evTargetRefused, "request", f.Id, "target", w.name, "reason", cause)
	return a, shed
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// streamAnswer writes a long answer to out in parts. The last part is marked as such
// only if the target's answer ended cleanly.
func (w *worker) streamAnswer(ctx context.Context, f *pb.Forward, a *pb.Answer, first []byte, rest io.Reader, out sink) (*pb.Answer, admission.Result) {
	a.More = true
	a.Body = first
	if err := out.writeHead(a); err != nil {
		return a, admission.Result{Kind: admission.Cancelled}
	}
	buf := make([]byte, chunkBytes)
	for {
		n, err := rest.Read(buf)
		last := errors.Is(err, io.EOF)
		if err != nil && !last {
			if ctx.Err() == nil {
				w.router.quarantine.addCandidate(w.name, f)
			}
			return a, admission.Result{Kind: admission.Failed}
		}
		if sendErr := out.writeChunk(buf[:n], last); sendErr != nil {
			return a, admission.Result{Kind: admission.Cancelled}
		}
		if last {
			w.router.quarantine.recordRun(f)
			return a, admission.Result{Kind: admission.Completed}
		}
	}
}
