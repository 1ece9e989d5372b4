package wire

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/kernel"
	"github.com/mangopost/mangopost/lease"
)

const (
	linkRingSize       = 64
	linkRedialInterval = 50 * time.Millisecond
	linkOpenTimeout    = 500 * time.Millisecond
	// linkProbeTimeout is the time within which a peer must answer a probe after a
	// stream could not be opened; otherwise its session is dropped.
	linkProbeTimeout = 100 * time.Millisecond
	// linkAnswerTimeout is how long frames may be unanswered before the session is
	// dropped: on a broken network path they may be lost for minutes without an
	// error.
	linkAnswerTimeout = time.Second
)

// Link carries lease messages to one peer. Messages are lost while its ring is
// full and late if they wait for a new connection; the lease protocol tolerates
// both.
type Link struct {
	dialer          *Dialer
	addr            string
	ring            *kernel.Ring[*pb.Frame]
	onRecv          func(from lease.Incarnation, f *pb.Frame)
	unansweredSince atomic.Int64 // send time of the oldest unanswered frame, in Unix nanoseconds; 0 for none
}

// NewLink returns a link to the peer at addr; onRecv is called with each frame from
// the peer.
func NewLink(d *Dialer, addr string, onRecv func(lease.Incarnation, *pb.Frame)) *Link {
	return &Link{dialer: d, addr: addr, ring: kernel.NewRing[*pb.Frame](linkRingSize), onRecv: onRecv}
}

// Offer queues a frame and reports whether there was room.
func (l *Link) Offer(f *pb.Frame) bool { return l.ring.Offer(f) }

// Serve keeps the link connected until ctx ends.
func (l *Link) Serve(ctx context.Context) {
	for ctx.Err() == nil {
		l.runStream(ctx)
		sleep(ctx, linkRedialInterval)
	}
}

// runStream opens a stream and sends queued frames on it until it fails.
func (l *Link) runStream(ctx context.Context) {
	openCtx, cancel := context.WithTimeout(ctx, linkOpenTimeout)
	stream, err := l.dialer.Open(openCtx, l.addr, pb.StreamKind_STREAM_KIND_LEASE)
	cancel()
	if err != nil {
		l.dialer.Probe(l.addr, linkProbeTimeout)
		return
	}
	defer stream.Close()
	broken := make(chan struct{})
	go l.receive(stream, broken)
	l.unansweredSince.Store(0)
	silenceCheck := time.NewTicker(linkAnswerTimeout / 4)
	defer silenceCheck.Stop()
	for {
		select {
		case frame := <-l.ring.C():
			l.unansweredSince.CompareAndSwap(0, time.Now().UnixNano())
			if stream.Send(frame) != nil {
				return
			}
		case <-silenceCheck.C:
			if l.isSilent() {
				l.dialer.Drop(l.addr)
				return
			}
		case <-broken:
			return
		case <-ctx.Done():
			return
		}
	}
}

// isSilent reports whether a frame has been unanswered for longer than
// linkAnswerTimeout.
func (l *Link) isSilent() bool {
	since := l.unansweredSince.Load()
	return since != 0 && time.Since(time.Unix(0, since)) > linkAnswerTimeout
}

func (l *Link) receive(stream *Stream, broken chan<- struct{}) {
	defer close(broken)
	for {
		frame, err := stream.Recv()
		if err != nil {
			return
		}
		l.unansweredSince.Store(0)
		l.onRecv(stream.From, frame)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
