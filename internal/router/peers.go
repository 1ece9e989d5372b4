package router

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
)

// servePeers accepts the streams that the routers of other hosts open.
func (r *Router) servePeers(ctx context.Context) error {
	l, err := r.listen("tcp", r.cfg.Peers)
	if err != nil {
		return errors.Wrapf(err, "listen for peers on %s", r.cfg.Peers)
	}
	server := wire.Server{
		Self:    r.cfg.Self,
		TLS:     r.cfg.ServerTLS,
		Handler: r.servePeerStream,
		Meter:   r.regions.count,
		OnDrop: func(addr string, err error) {
			r.log.Emit(evPeerDropped, "addr", addr, "error", err.Error())
		},
	}
	return server.Serve(ctx, l)
}

// servePeerStream serves a stream according to its kind.
func (r *Router) servePeerStream(ctx context.Context, s *wire.Stream) error {
	switch s.Kind {
	case pb.StreamKind_STREAM_KIND_REQUEST:
		return r.serveRequests(ctx, s)
	case pb.StreamKind_STREAM_KIND_DEDUP:
		return r.serveDedup(s)
	case pb.StreamKind_STREAM_KIND_LEARNED:
		return r.serveLearned(s)
	default:
		return nil
	}
}

// serveRequests runs the requests that another ingress sends on a stream, one after
// the other. When the ingress closes the stream, the request in flight is cancelled.
func (r *Router) serveRequests(ctx context.Context, s *wire.Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	frames := make(chan *pb.Frame)
	var recvErr error
	var reader sync.WaitGroup
	reader.Go(func() {
		defer cancel()
		recvErr = receiveFrames(ctx, s, frames)
	})
	for {
		select {
		case frame := <-frames:
			if err := r.serveForward(ctx, s, frame.GetForward()); err != nil {
				return err
			}
		case <-ctx.Done():
			_ = s.Close()
			reader.Wait()
			return recvErr
		}
	}
}

func receiveFrames(ctx context.Context, s *wire.Stream, frames chan<- *pb.Frame) error {
	for {
		frame, err := s.Recv()
		if err != nil {
			return err
		}
		select {
		case frames <- frame:
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *Router) serveForward(ctx context.Context, s *wire.Stream, f *pb.Forward) error {
	if f == nil {
		return errors.Wrap(wire.ErrInvalidMessage, "frame on a request stream holds no request")
	}
	r.gateway.answering.Add(1)
	defer r.gateway.answering.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.DeadlineMs)*time.Millisecond)
	defer cancel()
	held := r.memory.Request(nil)
	defer held.Close()
	if held.Take(ctx, int64(len(f.Body))) != nil {
		// Nothing was passed on yet.
		return s.Send(&pb.Frame{Body: &pb.Frame_Answer{Answer: refused(f.Id, reasonMemory, memoryRetryAfter)}})
	}
	a := r.handlePeerRequest(ctx, f, s)
	if a.More {
		return nil // a long answer: all its parts were already sent
	}
	return s.Send(&pb.Frame{Body: &pb.Frame_Answer{Answer: a}})
}
