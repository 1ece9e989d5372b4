package entry

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/mangopost/mangopost/internal/tcpconn"
)

const (
	// dialTimeout limits connection setup, which takes about one round trip, at
	// most 60 ms between regions.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept when the target
	// announces no limit of its own.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from a target's own limit so that a request
	// does not cross the target's close.
	idleTimeoutMargin = time.Second
	// maxUnsafeIdle is how long after its last answer a connection may carry a
	// request that must not run twice: a target may close an idle connection
	// unnoticed, and a request lost on it counts as run.
	maxUnsafeIdle = time.Second
	// tcpUserTimeout closes a connection whose bytes are not acknowledged.
	tcpUserTimeout  = 1500 * time.Millisecond
	readBufferBytes = 4096
)

var targetKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// targetConn is a connection to a target, used for one request at a time.
type targetConn struct {
	*tcpconn.Conn
	reader      *bufio.Reader  // nil while idle
	limit       *limitedReader // below reader
	lastID      string         // ID of the last request
	idleTimeout time.Duration  // how long the connection may stay idle
	idleSince   time.Duration  // when its last answer arrived
	reused      bool
}

// connPool keeps idle connections to targets by address.
type connPool struct {
	mu   sync.Mutex
	idle map[string][]*targetConn
	dial net.Dialer
}

func newConnPool() *connPool {
	return &connPool{
		idle: make(map[string][]*targetConn),
		dial: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: targetKeepAlive, Control: setUserTimeout},
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, optErr)
}

// get returns a connection: an idle one that was used within maxIdle and is
// still open, or a new one. A connection on which the request was sent before, or whose
// last request had the same ID, is not used: a second copy of that answer could not be
// told from the answer to this one.
func (p *connPool) get(ctx context.Context, addr string, maxIdle time.Duration, o *outboundRequest) (*targetConn, error) {
	now := steadyClock()
	for c := p.pop(addr); c != nil; c = p.pop(addr) {
		if now-c.idleSince < min(c.idleTimeout, maxIdle) && c.lastID != o.id && !slices.Contains(o.sentOn, c) && c.isCleanIdle() {
			c.reused = true
			c.reader = newReader(c.limit)
			return c, nil
		}
		_ = c.Close()
	}
	conn, err := p.dial.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "connect to target")
	}
	tcp := tcpconn.New(conn.(*net.TCPConn)) // the network is tcp
	limit := &limitedReader{reader: tcp, left: math.MaxInt64}
	return &targetConn{Conn: tcp, limit: limit, reader: newReader(limit), idleTimeout: defaultIdleTimeout}, nil
}

// readerPool holds the read buffers. Idle connections have none, because a host
// has hundreds of them.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

// errHeadTooLarge reports an answer whose head has no end within maxAnswerHeadBytes.
var errHeadTooLarge = errors.Newf("head of the answer exceeds %d bytes", maxAnswerHeadBytes)

// limitedReader reads at most left bytes, then fails.
type limitedReader struct {
	reader   io.Reader
	left     int64
	hasEnded bool // the connection was closed or reset
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	l.hasEnded = l.hasEnded || errors.IsAny(err, io.EOF, syscall.ECONNRESET)
	return n, err
}

func newReader(c io.Reader) *bufio.Reader {
	r := readerPool.Get().(*bufio.Reader) // the pool holds nothing else
	r.Reset(c)
	return r
}

func (p *connPool) pop(addr string) *targetConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	conns[len(conns)-1] = nil
	p.idle[addr] = conns[:len(conns)-1]
	return c
}

// put keeps a connection for a later request.
func (p *connPool) put(addr string, c *targetConn) {
	if c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.reader.Reset(nil)
	readerPool.Put(c.reader)
	c.reader = nil
	c.idleSince = steadyClock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[addr] = append(p.idle[addr], c)
}

// closeExpired closes the connections that were idle for too long.
func (p *connPool) closeExpired() {
	now := steadyClock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now-c.idleSince < c.idleTimeout {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		clear(conns[len(kept):])
		if p.idle[addr] = kept; len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}

// isCleanIdle reports whether an idle connection is open and has received nothing:
// unsolicited bytes belong to no request.
func (c *targetConn) isCleanIdle() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	isEmpty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isEmpty = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && isEmpty
}

// reset closes the connection at once; bytes still in transit are lost.
func (c *targetConn) reset() {
	_ = c.SetLinger(0) // fails only on a connection that is already closed
	_ = c.Close()
}

// setIdleTimeout applies the value of a Keep-Alive header, such as "timeout=5".
func (c *targetConn) setIdleTimeout(header string) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if err == nil && strings.EqualFold(name, "timeout") {
			c.idleTimeout = max(time.Duration(seconds)*time.Second-idleTimeoutMargin, idleTimeoutMargin/2)
		}
	}
}
