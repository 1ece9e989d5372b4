package router

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/tcpconn"
)

const (
	// reservedConnections is the part of each target's connection budget that is
	// reserved for grants and health checks.
	reservedConnections  = 2
	targetDialTimeout    = 300 * time.Millisecond
	targetIdleTimeout    = 60 * time.Second
	maxTargetHeaderBytes = 64 << 10
)

// errNoLease is returned if the lease expired between admission and sending.
var errNoLease = errors.New("no lease at the moment of sending")

// guardedConn is a connection to a target. Before each write it checks that the gateway
// may still send, so that a process that was paused at any point before sends nothing.
// It counts the bytes written, so that a request is certain not to have run if none
// were.
type guardedConn struct {
	net.Conn
	canWrite atomic.Pointer[func() bool]
	written  atomic.Int64
	onLost   func() // called when the target ended the connection; may be nil
}

// Read calls onLost if the other side ended the connection.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && c.onLost != nil && !errors.Is(err, net.ErrClosed) && !isTimeout(err) {
		c.onLost()
	}
	return n, err
}

// Write writes p if the gateway may still send, else it returns errNoLease.
func (c *guardedConn) Write(p []byte) (int, error) {
	if allow := c.canWrite.Load(); allow != nil && !(*allow)() {
		return 0, errNoLease
	}
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// newTransport returns the transport for connections to one target. onLost, if not nil,
// is called for each connection that the target ended.
func newTransport(connections int, onLost func()) *http.Transport {
	dialTCP := tcpconn.DialContext(&net.Dialer{Timeout: targetDialTimeout})
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialTCP(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn, onLost: onLost}, nil
	}
	return &http.Transport{
		DialContext:            dial,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        targetIdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxTargetHeaderBytes,
	}
}
