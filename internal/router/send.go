package router

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/admission"
	"github.com/mangopost/mangopost/internal/wire/pb"
)

// send sends an admitted request to the target and returns its answer.
func (w *worker) send(ctx context.Context, req *admitted, t *ticket, out sink) (*pb.Answer, admission.Result) {
	f := req.forward
	endWrite := w.beginWrite()
	defer endWrite()
	if req.first != nil {
		req.first.mayBeWritten.Store(true) // set before the lease is checked
	}
	if !w.router.gateway.stillAuthorized(req) {
		return notMine(f.Id, reasonNoLease), admission.Result{Kind: admission.Cancelled}
	}
	state := &sendState{allow: func() bool { return w.router.gateway.stillAuthorized(req) }}
	trace := &httptrace.ClientTrace{
		GotConn:      state.gotConn,
		WroteRequest: func(httptrace.WroteRequestInfo) { endWrite() },
	}
	request, err := w.newRequest(httptrace.WithClientTrace(ctx, trace), req)
	if err != nil {
		return notRun(f.Id, "bad-request"), admission.Result{Kind: admission.Cancelled}
	}
	response, err := w.transport.Load().RoundTrip(request)
	if err != nil {
		return w.answerFailedSend(ctx, req, state.sent(), err)
	}
	defer response.Body.Close()
	w.health.recordAnswer(w.router.now())
	w.monitor.recordCarriedAck(response)
	return w.handleResponse(ctx, req, t, response, out)
}

func (w *worker) newRequest(ctx context.Context, req *admitted) (*http.Request, error) {
	f := req.forward
	// http.Transport does not resend a body of a type that it cannot rewind. It
	// recognizes this type as in memory and sends the body together with the headers.
	var body io.Reader
	if len(f.Body) > 0 {
		body = io.NopCloser(bytes.NewReader(f.Body))
	}
	request, err := http.NewRequestWithContext(ctx, f.Method, "http://"+w.addr+f.Path, body)
	if err != nil {
		return nil, errors.Wrap(err, "target request")
	}
	request.ContentLength = int64(len(f.Body))
	request.Header = make(http.Header, len(f.Headers)+maxOwnHeaders)
	addHeaders(request.Header, f.Headers)
	own := newHeaderSetter(request.Header)
	setOwnHeaders(own, req)
	if grant := w.monitor.grantHeader(req.epoch); grant != "" {
		own.set(headerGrant, grant)
	}
	return request, nil
}

func setOwnHeaders(h *headerSetter, req *admitted) {
	f := req.forward
	h.set(headerRequestID, f.Id)
	h.set(headerClient, f.Client)
	if f.Key != "" {
		h.set(headerKey, f.Key)
	}
	if f.IdempotencyKey != "" {
		h.set(headerIdempotency, f.IdempotencyKey)
	}
	if req.sharded {
		h.set(headerShard, strconv.FormatUint(uint64(req.ref.Shard), 10))
		h.set(headerOwnerEpoch, strconv.FormatUint(uint64(req.owner), 10))
	}
	h.set(headerGatewayEpoch, strconv.FormatUint(uint64(req.epoch), 10))
	h.set(headerDeadline, strconv.FormatInt(f.DeadlineMs, 10))
}

// answerFailedSend returns the answer to a request that the target did not answer.
func (w *worker) answerFailedSend(ctx context.Context, req *admitted, sent bool, err error) (*pb.Answer, admission.Result) {
	f := req.forward
	if !sent {
		return w.answerUnsent(ctx, f, err)
	}
	failed := admission.Result{Kind: admission.Failed}
	if ctx.Err() != nil {
		return unknownDeadline(f.Id), admission.Result{Kind: admission.Cancelled}
	}
	w.recordConnFailure()
	w.router.quarantine.addCandidate(w.name, f)
	return unknown(f.Id, reasonTargetLost), failed
}

// answerUnsent returns the answer to a request of which nothing was sent.
func (w *worker) answerUnsent(ctx context.Context, f *pb.Forward, err error) (*pb.Answer, admission.Result) {
	cancelled := admission.Result{Kind: admission.Cancelled}
	switch {
	case errors.Is(err, errNoLease):
		return notMine(f.Id, reasonNoLease), cancelled
	case ctx.Err() != nil:
		a := notRun(f.Id, reasonDeadline)
		a.Status = statusDeadline
		return a, cancelled
	default:
		w.recordConnFailure()
		return notRun(f.Id, reasonTargetUnreachable), admission.Result{Kind: admission.Failed}
	}
}

// recordConnFailure records that a connection to the target was refused or broken. If
// the target was alive, its health is checked at once.
func (w *worker) recordConnFailure() {
	now := w.router.now()
	wasAlive := w.health.isAlive(now, w.router.cfg.Timing.Suspicion)
	w.health.recordBroken(now)
	if wasAlive {
		w.wakeMonitor()
	}
}
