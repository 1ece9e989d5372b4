package standin

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	chunkBytes  = 16 << 10
	chunkWindow = 256 // chunks in flight in one direction of a connection
)

// chunk holds the data of one read and the time at which it is due at the other
// end.
type chunk struct {
	data []byte
	due  time.Time
	err  error // why reading stopped; data is nil then
}

// connDirection is one direction of one connection. It is subject to the faults of
// the link's direction and to the cut of its source in that direction.
type connDirection struct {
	*direction
	sourceCut *gate
}

// waitUncut returns once neither the link nor the source is cut in this direction.
func (d connDirection) waitUncut(ctx context.Context) error {
	if err := d.cut.wait(ctx); err != nil {
		return err
	}
	return d.sourceCut.wait(ctx)
}

// pump copies data in one direction until either end closes. An EOF is propagated
// as a half-close, a reset as a reset.
func (d connDirection) pump(ctx context.Context, to, from net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	chunks := make(chan chunk, chunkWindow)
	go d.readChunks(ctx, from, chunks)
	for c := range chunks {
		if d.waitDue(ctx, c) != nil {
			reset(to)
			reset(from)
			return
		}
		if c.err != nil {
			propagateClose(to, from, c.err)
			return
		}
		if _, err := to.Write(c.data); err != nil {
			reset(from)
			return
		}
	}
}

func (d *direction) readChunks(ctx context.Context, from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		delayMS, _ := d.settings()
		due := time.Now().Add(milliseconds(delayMS))
		if n > 0 && !sendChunk(ctx, chunks, chunk{data: buf[:n], due: due}) {
			return
		}
		if err != nil {
			sendChunk(ctx, chunks, chunk{due: due, err: err})
			return
		}
	}
}

func sendChunk(ctx context.Context, chunks chan<- chunk, c chunk) bool {
	select {
	case chunks <- c:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitDue returns once a chunk may be forwarded: after its delay, when the direction
// is not cut and the rate limit allows it.
func (d connDirection) waitDue(ctx context.Context, c chunk) error {
	if err := sleep(ctx, time.Until(c.due)); err != nil {
		return err
	}
	if err := d.waitUncut(ctx); err != nil {
		return err
	}
	if _, limiter := d.settings(); limiter != nil && len(c.data) > 0 {
		return limiter.WaitN(ctx, len(c.data))
	}
	return nil
}

func propagateClose(to, from net.Conn, err error) {
	if !errors.Is(err, io.EOF) {
		reset(to)
		reset(from)
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
