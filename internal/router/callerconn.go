package router

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/mangopost/mangopost/internal/memlimit"
)

const (
	// defaultMaxConnections limits the connections of a callers' listener that
	// configures no limit.
	defaultMaxConnections = 10_000
	// callerWriteTimeout bounds one write to a caller, so that a caller that does
	// not read its answer cannot hold resources for long. The deadline is not
	// renewed at each write, so a write has at least minCallerWriteTimeout.
	callerWriteTimeout    = 10 * time.Second
	minCallerWriteTimeout = 9 * time.Second
	// maxConcurrentRejections bounds how many connections over the limit are
	// answered with 503 at the same time; further ones are closed without an answer.
	maxConcurrentRejections = 32
	rejectionTimeout        = time.Second
	maxRejectionDrainBytes  = 64 << 10
)

// Reasons for refusing a request before it was read completely.
const (
	reasonBadRequest         reason = "bad-request"
	reasonHeaderTooLarge     reason = "header-too-large"
	reasonSlowSender         reason = "slow-sender"
	reasonTooManyConnections reason = "too-many-connections"
	reasonMemory             reason = "memory"
)

const (
	headerTimeoutResponse   = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	connectionLimitResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// callerListener limits the number of connections of a callers' listener.
type callerListener struct {
	net.Listener
	router    *Router
	open      chan struct{} // one for each open connection
	rejecting chan struct{} // one for each connection that is being rejected
}

func newCallerListener(l net.Listener, r *Router, connections int) *callerListener {
	if connections <= 0 {
		connections = defaultMaxConnections
	}
	return &callerListener{
		Listener:  l,
		router:    r,
		open:      make(chan struct{}, connections),
		rejecting: make(chan struct{}, maxConcurrentRejections),
	}
}

// Accept returns the next connection within the limit and rejects those over it.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.open <- struct{}{}:
			return &callerConn{Conn: conn, listener: l}, nil
		default:
			l.reject(conn)
		}
	}
}

func (l *callerListener) reject(conn net.Conn) {
	l.router.metrics.recordRefused(reasonTooManyConnections)
	select {
	case l.rejecting <- struct{}{}:
	default:
		_ = conn.Close()
		return
	}
	go func() {
		defer func() { <-l.rejecting }()
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(rejectionTimeout))
		_, _ = conn.Write(addNotRunHeaders([]byte(connectionLimitResponse), reasonTooManyConnections))
		// Closing with unread request data would make the kernel discard the answer.
		if closeWrite(conn) == nil {
			_, _ = io.CopyN(io.Discard, conn, maxRejectionDrainBytes)
		}
	}()
}

// callerConn is a caller's connection. It adds the outcome headers to the answers
// that net/http itself writes to requests that never reach a handler.
type callerConn struct {
	net.Conn
	listener      *callerListener
	requestBegun  atomic.Bool // part of a request was read
	handled       atomic.Bool // the request reached the handler
	closed        atomic.Bool
	writeDeadline atomic.Int64 // router clock reading of the write deadline, in nanoseconds
}

// Read answers 408 to a caller whose headers are incomplete at the read timeout.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.handled.Load() {
		return n, err
	}
	if n > 0 {
		c.requestBegun.Store(true)
	}
	if err != nil && c.requestBegun.Load() && isTimeout(err) {
		_, _ = c.Write([]byte(headerTimeoutResponse))
	}
	return n, err
}

// Write writes an answer within the write timeout. It adds the outcome headers to
// answers that do not come from the handler.
func (c *callerConn) Write(p []byte) (int, error) {
	c.renewWriteDeadline(c.listener.router.now())
	if c.handled.Load() || !bytes.HasPrefix(p, []byte("HTTP/1.")) {
		return c.Conn.Write(p)
	}
	cause := refusalReason(p)
	c.listener.router.metrics.recordRefused(cause)
	c.listener.router.log.Emit(evRefusedAtIngress, "addr", c.RemoteAddr().String(), "reason", string(cause))
	if _, err := c.Conn.Write(addNotRunHeaders(p, cause)); err != nil {
		return 0, err
	}
	return len(p), nil
}

// renewWriteDeadline extends the write deadline when less than
// minCallerWriteTimeout is left. It does not do so for each write, as setting a
// deadline costs as much as a small write.
func (c *callerConn) renewWriteDeadline(now time.Duration) {
	if time.Duration(c.writeDeadline.Load())-now >= minCallerWriteTimeout {
		return
	}
	c.writeDeadline.Store(int64(now + callerWriteTimeout))
	_ = c.Conn.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
}

// SetDeadline sets both deadlines. The next Write renews the write deadline.
func (c *callerConn) SetDeadline(t time.Time) error {
	c.writeDeadline.Store(0)
	return c.Conn.SetDeadline(t)
}

// SetWriteDeadline sets the write deadline. The next Write renews it.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.Store(0)
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite closes the sending side. net/http calls it before Close, so that the
// kernel does not discard an answer to a caller that is still sending.
func (c *callerConn) CloseWrite() error { return closeWrite(c.Conn) }

func closeWrite(conn net.Conn) error {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return net.ErrClosed
}

// Close closes the connection and frees its slot in the listener.
func (c *callerConn) Close() error {
	if !c.closed.Swap(true) {
		<-c.listener.open
	}
	return c.Conn.Close()
}

// Abort closes the connection at once; what has not been sent is lost.
func (c *callerConn) Abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close()
}

// refusalReason returns why net/http refused a request, derived from the status
// line of its answer.
func refusalReason(answer []byte) reason {
	_, status, _ := bytes.Cut(answer, []byte(" "))
	switch {
	case bytes.HasPrefix(status, []byte("431")):
		return reasonHeaderTooLarge
	case bytes.HasPrefix(status, []byte("408")):
		return reasonSlowSender
	default:
		return reasonBadRequest
	}
}

// addNotRunHeaders inserts the outcome headers after the status line of an answer.
func addNotRunHeaders(answer []byte, cause reason) []byte {
	line, rest, _ := bytes.Cut(answer, []byte("\r\n"))
	headers := "\r\n" + headerOutcome + ": not-run\r\n" + headerReason + ": " + string(cause) + "\r\n"
	return append(append(bytes.Clone(line), headers...), rest...)
}

type callerConnKey struct{}

// withCallerConn stores the connection in the context of its requests.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(memlimit.WithConn(ctx, conn), callerConnKey{}, memlimit.Inner(conn))
}

// markHandled records on the connection that the handler answers this request.
func markHandled(r *http.Request) {
	if conn, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
		conn.handled.Store(true)
	}
}

// resetIdleConn resets the per-request state of a connection that became idle.
func resetIdleConn(conn net.Conn, state http.ConnState) {
	memlimit.ConnState(conn, state)
	c, ok := memlimit.Inner(conn).(*callerConn)
	if !ok || state != http.StateIdle {
		return
	}
	c.requestBegun.Store(false)
	c.handled.Store(false)
}
