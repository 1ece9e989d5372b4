package entry

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxReadAhead limits the bytes of further requests that are read from a caller's
	// connection while a request is handled.
	maxReadAhead   = 32 << 10
	readAheadChunk = 2 << 10
	// lingerTimeout is how long a closed connection of a caller is still read: if
	// unread bytes were left when it is closed, the caller could lose the last answer.
	lingerTimeout = 300 * time.Millisecond
	// maxLingering limits the number of closed connections that are still read. Beyond it,
	// connections are closed at once: their callers are a crowd.
	maxLingering = 32
)

// callerListener accepts callers' connections.
type callerListener struct {
	net.Listener
	lingering sync.WaitGroup // connections that are closed but still read
	count     atomic.Int64   // of them
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, listener: l}
	c.changed.L = &c.mu
	return c, nil
}

// awaitLingering waits until the closed connections are no longer read.
func (l *callerListener) awaitLingering() { l.lingering.Wait() }

// callerConn is a caller's connection. It notices that the caller has disconnected
// also when the caller has sent further requests before the answer to the first one:
// net/http stops watching a connection when it has received a byte of the next
// request. From then on, the connection is read ahead up to maxReadAhead.
type callerConn struct {
	net.Conn
	listener *callerListener
	cancel   context.CancelFunc // ends the contexts of the connection's requests

	mu        sync.Mutex
	changed   sync.Cond
	handling  bool   // a request that was read completely is being handled
	reading   bool   // readAhead is running
	waiting   bool   // Read waits for readAhead
	buffered  []byte // read ahead
	err       error  // of readAhead, to be returned once
	hasEnded  bool   // the caller has disconnected
	isClosing bool
	deadline  time.Time // of reads; zero for none
}

// callerConnKey is the context key of a request's callerConn.
type callerConnKey struct{}

// callerContext stores a caller's connection in the context of its requests.
func callerContext(ctx context.Context, conn net.Conn) context.Context {
	c, ok := conn.(*callerConn)
	if !ok {
		return ctx
	}
	ctx, c.cancel = context.WithCancel(ctx)
	return context.WithValue(ctx, callerConnKey{}, c)
}

// setHandling tells the connection of a request whether the request is being handled.
func setHandling(ctx context.Context, handling bool) {
	if c, ok := ctx.Value(callerConnKey{}).(*callerConn); ok {
		c.mu.Lock()
		c.handling = handling
		c.mu.Unlock()
	}
}

// Read implements net.Conn. Only one caller may read at a time.
func (c *callerConn) Read(p []byte) (int, error) {
	if n, err, ok := c.readBuffered(p); ok {
		return n, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasEnded = c.hasEnded || isDisconnect(err)
	if n > 0 && c.handling && !c.reading {
		c.reading = true
		go c.readAhead()
	}
	return n, err
}

// readBuffered returns what was read ahead, if readAhead is running or has left
// something.
func (c *callerConn) readBuffered(p []byte) (n int, err error, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = true
	for c.reading && len(c.buffered) == 0 {
		c.changed.Wait()
	}
	c.waiting = false
	switch {
	case len(c.buffered) > 0:
		n = copy(p, c.buffered)
		c.buffered = c.buffered[n:]
		return n, nil, true
	case c.err != nil:
		err, c.err = c.err, nil
		return 0, err, true
	default:
		return 0, nil, false
	}
}

// readAhead reads until the caller disconnects, a deadline passes or maxReadAhead
// bytes are buffered.
func (c *callerConn) readAhead() {
	chunk := make([]byte, readAheadChunk)
	for {
		n, err := c.Conn.Read(chunk)
		c.mu.Lock()
		c.buffered = append(c.buffered, chunk[:n]...)
		c.hasEnded = c.hasEnded || isDisconnect(err)
		isOutdated := isTimeout(err) && !c.hasExpired()
		if isDisconnect(err) || c.waiting && len(c.buffered) == 0 && !isOutdated {
			c.err = err
		} // otherwise a deadline has passed that concerns no reader
		c.reading = (err == nil || isOutdated) && len(c.buffered) < maxReadAhead
		ended, goOn := c.hasEnded, c.reading
		c.changed.Broadcast()
		c.mu.Unlock()
		if ended && c.cancel != nil {
			c.cancel()
		}
		if !goOn {
			return
		}
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

func isDisconnect(err error) bool { return err != nil && !isTimeout(err) }

// hasExpired reports whether the read deadline has passed. A read that was interrupted
// by an earlier deadline returns after a later one was set. mu is held.
func (c *callerConn) hasExpired() bool { return !c.deadline.IsZero() && !time.Now().Before(c.deadline) }

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = at
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(at time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// CloseWrite closes the sending direction.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. If the caller has not disconnected, its further bytes are
// read and discarded in the background until it does, at most for lingerTimeout.
func (c *callerConn) Close() error {
	c.mu.Lock()
	ended, again := c.hasEnded, c.isClosing
	c.isClosing = true
	c.mu.Unlock()
	if again {
		return nil
	}
	if ended || c.CloseWrite() != nil {
		return c.Conn.Close()
	}
	if c.listener.count.Add(1) > maxLingering {
		c.listener.count.Add(-1)
		return c.Conn.Close()
	}
	c.listener.lingering.Add(1)
	go func() {
		defer c.listener.lingering.Done()
		defer c.listener.count.Add(-1)
		defer c.Conn.Close()
		// An error means that the connection has ended, as is wanted.
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.Conn)
	}()
	return nil
}

// Abort closes the connection at once; what has not been sent is lost.
func (c *callerConn) Abort() {
	c.mu.Lock()
	c.hasEnded = true // nothing is read after Close
	c.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Conn.Close()
}
