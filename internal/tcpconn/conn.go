// Package tcpconn tells the clean end of a TCP stream from a reset.
//
// The kernel reports a reset once: to the writer, if one is waiting when it arrives. The
// reader of the same connection then sees the end of the stream, as after a clean close.
// An answer without a length that ends with its connection looks complete then, although
// the server broke it off.
package tcpconn

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// writeResultTime limits the wait for the result of a write that a reset interrupts.
	// It returns at once, unless the processors are busy.
	writeResultTime = time.Second
	// unknownStateTime replaces writeResultTime where the state of the connection cannot
	// be read: the write may then be waiting for a server that answered early.
	unknownStateTime = 100 * time.Millisecond
	// tcpClose is the state of a connection after a reset (TCP_CLOSE of Linux).
	tcpClose = 7
)

// Conn is a TCP connection whose Read returns io.EOF only if the peer closed its side
// cleanly, and ECONNRESET after a reset. Reads and writes may be concurrent, but not two
// reads.
type Conn struct {
	*net.TCPConn

	mu       sync.Mutex
	writing  int           // writes in progress
	idle     chan struct{} // closed when the writes in progress have returned; nil if there are none
	writeErr error         // of the first write that failed other than by its deadline
}

// New returns a connection that takes over conn.
func New(conn *net.TCPConn) *Conn { return &Conn{TCPConn: conn} }

// DialContext returns a function that dials like the given dialer and returns a *Conn.
func DialContext(dialer *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			return New(tcp), nil
		}
		return conn, nil
	}
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, io.EOF) && c.wasReset() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (n int, err error) {
	c.beginWrite()
	defer func() { c.endWrite(err) }()
	return c.TCPConn.Write(p)
}

// WriteBuffers writes all buffers, with as few system calls as possible.
func (c *Conn) WriteBuffers(parts net.Buffers) (n int64, err error) {
	c.beginWrite()
	defer func() { c.endWrite(err) }()
	return parts.WriteTo(c.TCPConn)
}

// ReadFrom implements io.ReaderFrom. Without it, that of net.TCPConn would write past Write.
func (c *Conn) ReadFrom(r io.Reader) (n int64, err error) {
	c.beginWrite()
	defer func() { c.endWrite(err) }()
	return c.TCPConn.ReadFrom(r)
}

func (c *Conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing++; c.writing == 1 {
		c.idle = make(chan struct{})
	}
}

func (c *Conn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr == nil && err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeErr = err
	}
	if c.writing--; c.writing == 0 {
		close(c.idle)
		c.idle = nil
	}
}

// wasReset reports whether the peer reset the connection without having closed its side
// before. It is called when the stream has ended.
func (c *Conn) wasReset() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	wait := unknownStateTime
	switch state, ok := stateOf(raw); {
	case ok && state != tcpClose:
		return false // the peer's side is closed, and nothing was reset
	case ok:
		wait = writeResultTime
	}
	// A reset after a clean close is reported as EPIPE.
	if reset, ok := c.resetInWrite(wait); ok {
		return reset
	}
	if socketError(raw) == syscall.ECONNRESET {
		return true
	}
	reset, _ := c.resetInWrite(wait) // a write that began since may have taken the error
	return reset
}

// resetInWrite waits for the writes in progress and reports whether the first that failed
// was told of a reset. ok is false if none has failed.
func (c *Conn) resetInWrite(wait time.Duration) (reset, ok bool) {
	c.mu.Lock()
	idle := c.idle
	c.mu.Unlock()
	if idle != nil {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-idle:
		case <-t.C:
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Is(c.writeErr, syscall.ECONNRESET), c.writeErr != nil
}

// stateOf returns the kernel's state of a connection.
func stateOf(raw syscall.RawConn) (state uint8, ok bool) {
	var info *unix.TCPInfo
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); controlErr != nil || err != nil {
		return 0, false
	}
	return info.State, true
}

// socketError returns the pending error of a socket, and clears it.
func socketError(raw syscall.RawConn) error {
	var code int
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		code, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	}); controlErr != nil || err != nil || code == 0 {
		return nil
	}
	return syscall.Errno(code)
}
