package memlimit

import (
	"bytes"
	"context"
	"math"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// fieldBytes is the memory, in bytes, that one header field takes in addition to its
	// text: its entries in the header map and in copies of that map. 360 heads with
	// 2,700 fields each took 95 to 135 MB, 100 to 140 bytes for a field.
	fieldBytes = 250
	// filesReserved is the number of descriptors that are left for files.
	filesReserved = 200
	// connectionBytes is what a connection takes without a request: buffers, goroutines
	// and what is read ahead. It is not taken from the Limit; it limits the number of
	// connections to a share of the memory.
	connectionBytes      = 20 << 10
	connectionShare      = 0.125
	clientShare          = 0.4 // of the descriptors, for clients' connections
	operatorShare        = 0.0625
	minConnections       = 8
	maxOperatorConns     = 64
	connectionSlackParts = 8 // one in so many connections may be open beyond the limit while others close
	// idleDiscount is how much less the idle time of a connection counts that has carried
	// a request: such a client is an ordinary one.
	idleDiscount = 16
	// writeTimeout bounds one write, and minWriteRate, in bytes per second, what is
	// added for its length.
	writeTimeout = 10 * time.Second
	minWriteRate = 64 << 10
)

// Connections holds how many connections each kind of listener may have.
type Connections struct {
	Clients   int // of the listeners for clients
	Operators int // of each listener for readiness or metrics
}

// ConnectionsOf returns the numbers for a process with the given memory in bytes that
// may open the given number of descriptors. With 0 bytes, memory is no limit.
func ConnectionsOf(processBytes int64, files int) Connections {
	sockets := float64(files - filesReserved)
	byMemory := math.Inf(1)
	if processBytes > 0 {
		byMemory = connectionShare * float64(processBytes) / connectionBytes
	}
	return Connections{
		Clients:   int(max(minConnections, min(clientShare*sockets, byMemory))),
		Operators: int(max(minConnections, min(operatorShare*sockets, maxOperatorConns))),
	}
}

// Listener limits the number of connections and counts what their heads take in
// memory. ConnState must be set as the hook of the http.Server that serves it.
type Listener struct {
	net.Listener
	limit *Limit
	max   int
	open  atomic.Int64

	noneAt time.Time // when endSlowest last found no connection; protected by limit.mu
}

// NewListener returns a listener for at most max connections.
func NewListener(l net.Listener, limit *Limit, max int) *Listener {
	return &Listener{Listener: l, limit: limit, max: max}
}

// Open returns the number of open connections.
func (l *Listener) Open() int { return int(l.open.Load()) }

// Accept returns the next connection. If there are too many, the one that has been
// slowest gives way; if none does, the new one is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		excess := int(l.open.Load()) - l.max
		if excess >= 0 && (!l.endSlowest() || excess > l.max/connectionSlackParts) {
			l.limit.onRefusal(ReasonConnections)
			_ = conn.Close() // nothing was read from it
			continue
		}
		l.open.Add(1)
		c := &Conn{Conn: conn, listener: l}
		c.holder = l.limit.add(&Holder{limit: l.limit, end: c.abort, conn: c})
		return c, nil
	}
}

// endSlowest ends the connection that has made no progress for longest. It reports
// false if none has to give way.
func (l *Listener) endSlowest() bool {
	limit := l.limit
	limit.mu.Lock()
	defer limit.mu.Unlock()
	now := time.Now()
	if now.Sub(l.noneAt) < scanInterval {
		return false
	}
	slowest := limit.slowest(func(h *Holder) float64 {
		if h.conn == nil || h.conn.listener != l {
			return 0
		}
		since := now.Sub(h.progressAt)
		if since < grace {
			return 0
		}
		if h.isIdle && h.hasServed {
			since /= idleDiscount
		}
		return since.Seconds()
	})
	if slowest == nil {
		l.noneAt = now
		return false
	}
	limit.endHolder(slowest, ReasonDescriptors)
	return true
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	holder   *Holder
	inBody   atomic.Bool // the head of the request has been read
	isClosed atomic.Bool

	writeDeadline time.Time // of the last Write; Write is called by one goroutine at a time
}

// Read implements net.Conn. While a head is read, what it takes is counted.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.inBody.Load() && c.holder.Take(context.Background(), headBytes(p[:n])) != nil {
		c.abort()
		return 0, net.ErrClosed
	}
	return n, err
}

// headBytes returns what a part of a head takes in memory.
func headBytes(part []byte) int64 {
	return int64(len(part)) + fieldBytes*int64(bytes.Count(part, []byte{'\n'}))
}

// Write implements net.Conn. A client that does not read loses its connection after
// writeTimeout and the time that a slow one needs.
func (c *Conn) Write(p []byte) (int, error) {
	now := time.Now()
	limit := writeTimeout + time.Duration(len(p))*time.Second/minWriteRate
	// The deadline is not renewed at each short write, which would cost as much as the
	// write itself.
	if c.writeDeadline.Sub(now) < limit-time.Second {
		c.writeDeadline = now.Add(limit)
		_ = c.Conn.SetWriteDeadline(c.writeDeadline) // an error shows at the write
	}
	return c.Conn.Write(p)
}

// CloseWrite closes the sending direction.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return net.ErrClosed
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if !c.isClosed.Swap(true) {
		c.listener.open.Add(-1)
		c.holder.Close()
	}
	return c.Conn.Close()
}

// abort closes the connection at once; what has not been sent is lost, so that no
// answer looks complete that is not.
func (c *Conn) abort() {
	if a, ok := c.Conn.(interface{ Abort() }); ok {
		a.Abort()
		return
	}
	abort(c.Conn)
}

// abort closes a connection at once and discards what has not been sent.
func abort(conn net.Conn) {
	if linger, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = linger.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close()
}

// Inner returns the connection below, if conn is one of a Listener, and else conn.
func Inner(conn net.Conn) net.Conn {
	if c, ok := conn.(*Conn); ok {
		return c.Conn
	}
	return conn
}

type connKey struct{}

// WithConn is to be called by the http.Server's ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// ConnState is the http.Server's hook of the same name.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok || state != http.StateIdle {
		return
	}
	c.inBody.Store(false)
	c.holder.becomeIdle(c.abort)
}

// BeginRequest returns the holder for what a request takes, which is that of its
// connection, or nil if it has none. The bytes are returned when the request ends.
// Until Keep is called, the request may have to give way: its body then cannot be read
// any further, and it has to be refused.
func BeginRequest(r *http.Request) *Holder {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		return nil
	}
	c.inBody.Store(true)
	c.holder.beginRequest(func() {
		// Ends the read, so that the client can be answered.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	})
	return c.holder
}

// AbortConn returns a function that closes the connection of a request at once, so that
// its answer cannot look complete.
func AbortConn(r *http.Request) func() {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		return func() {}
	}
	return c.abort
}

func (h *Holder) beginRequest(end func()) {
	h.limit.mu.Lock()
	defer h.limit.mu.Unlock()
	h.isIdle, h.end, h.progressAt = false, end, time.Now()
}

func (h *Holder) becomeIdle(end func()) {
	h.limit.mu.Lock()
	defer h.limit.mu.Unlock()
	h.returnAll()
	h.isIdle, h.hasServed, h.end, h.progressAt = true, true, end, time.Now()
}

// OpenFiles returns the number of descriptors that the process has open, or 0 if the
// system does not tell.
func OpenFiles() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(entries) - 1 // without that of the directory itself
}

// Files returns the number of descriptors that the process may open: the given one, or
// that of its resource limit if that is lower or none is given.
func Files(configured int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		limit.Cur = math.MaxInt32
	}
	if configured > 0 {
		return min(configured, int(limit.Cur))
	}
	return int(limit.Cur)
}
