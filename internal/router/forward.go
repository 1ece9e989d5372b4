package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
)

const (
	// peerProbeDelay is how long an exchange may take before the peer is probed. A frozen
	// peer must not hold requests until their deadlines.
	peerProbeDelay   = 150 * time.Millisecond
	peerProbeTimeout = 150 * time.Millisecond
)

// sendToGateway sends a request to the gateway of a target, on this host or another.
func (r *Router) sendToGateway(ctx context.Context, t *table, dst *target, q *ingressRequest, out *callerSink) *pb.Answer {
	f := q.forward
	if len(dst.candidates) == 0 {
		return notRun(f.Id, reasonNoOwner)
	}
	i := r.hints.nextCandidate(dst.name, len(dst.candidates))
	a := r.sendToCandidate(ctx, t, dst, i, q, out)
	if isNotRun(a) && isRedirect(a) {
		r.hints.recordRedirect(dst.name, i)
		return a
	}
	r.hints.recordServed(dst.name)
	return a
}

// sendToCandidate sends a request to one gateway candidate, through a relay host if the
// candidate may be unreachable only from this host.
func (r *Router) sendToCandidate(ctx context.Context, t *table, dst *target, i int, q *ingressRequest, out *callerSink) *pb.Answer {
	host := dst.candidates[i].Host
	if host == r.cfg.Self.Host {
		return r.gateway.handle(ctx, q.forward, time.Now(), out)
	}
	a := r.sendToPeer(ctx, t.peers[host], q.forward, q.optional, out)
	if !isUnsent(a) || !r.hints.mayBeCutOff(dst.name, host, len(dst.candidates)) {
		return a
	}
	return r.sendViaRelay(ctx, t, dst, host, q, out)
}

// sendToPeer sends a request to a gateway on another host. If the gateway answers that
// the stream is older than its dedup state, the request is sent again on a new stream,
// which proves that it is not an old one.
func (r *Router) sendToPeer(ctx context.Context, addr string, f *pb.Forward, optional bool, out sink) *pb.Answer {
	a := r.sendOnStream(ctx, addr, r.dialer.RequestStream, f, optional, out)
	if isNotRun(a) && reason(a.Reason) == reasonOldStream {
		a = r.sendOnStream(ctx, addr, r.dialer.NewRequestStream, f, optional, out)
	}
	return a
}

// openStreamFunc opens or reuses a request stream to a peer.
type openStreamFunc func(ctx context.Context, addr string) (*wire.Stream, error)

// sendOnStream sends a request to a gateway on another host. If no stream could be
// opened, the request did not run; after any later failure its outcome is unknown.
func (r *Router) sendOnStream(ctx context.Context, addr string, open openStreamFunc, f *pb.Forward, optional bool, out sink) *pb.Answer {
	if addr == "" {
		return notRun(f.Id, reasonPeerUnreachable)
	}
	probe := time.AfterFunc(peerProbeDelay, func() { r.dialer.Probe(addr, peerProbeTimeout) })
	defer probe.Stop()
	stream, err := open(ctx, addr)
	if err != nil {
		return notRun(f.Id, reasonPeerUnreachable)
	}
	stream.SetOptional(optional)
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	a, err := r.exchange(stream, f, out)
	reusable := stop() && err == nil && reason(a.Reason) != reasonOldStream
	if reusable {
		r.dialer.Release(addr, stream)
	} else {
		_ = stream.Close()
	}
	if err != nil {
		return failedExchangeAnswer(ctx, f, err)
	}
	return a
}

func (r *Router) exchange(stream *wire.Stream, f *pb.Forward, out sink) (*pb.Answer, error) {
	if err := stream.Send(&pb.Frame{Body: &pb.Frame_Forward{Forward: f}}); err != nil {
		return nil, err
	}
	frame, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	a := frame.GetAnswer()
	if a == nil || a.Id != f.Id {
		return nil, errors.Wrap(wire.ErrInvalidMessage, "answer to another request")
	}
	if !a.More {
		return a, nil
	}
	return a, relayParts(stream, a, out)
}

// relayParts copies the parts of a long answer from the stream to out.
func relayParts(stream *wire.Stream, a *pb.Answer, out sink) error {
	if err := out.writeHead(a); err != nil {
		return err
	}
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		part := frame.GetChunk()
		if part == nil {
			return errors.Wrap(wire.ErrInvalidMessage, "expected a further part of a long answer")
		}
		if err := out.writeChunk(part.Data, part.Last); err != nil {
			return err
		}
		if part.Last {
			return nil
		}
	}
}

func failedExchangeAnswer(ctx context.Context, f *pb.Forward, err error) *pb.Answer {
	switch {
	case ctx.Err() == context.DeadlineExceeded:
		return unknownDeadline(f.Id)
	case ctx.Err() != nil:
		return unknown(f.Id, reasonCancelled)
	case errors.Is(err, wire.ErrInvalidMessage):
		return unknown(f.Id, reasonAnswerMismatch)
	default:
		return unknown(f.Id, reasonPeerLost)
	}
}
