package standin

import (
	"net"
	"sync"
	"time"
)

// connLimiter is a net.Listener that bounds the number of open connections and
// accepts each after a delay. It closes connections beyond the bound.
type connLimiter struct {
	net.Listener
	sem   chan struct{}
	delay time.Duration
}

func newConnLimiter(listener net.Listener, n int, delay time.Duration) net.Listener {
	return &connLimiter{Listener: listener, sem: make(chan struct{}, n), delay: delay}
}

// Accept implements net.Listener.
func (l *connLimiter) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.sem <- struct{}{}:
			time.Sleep(l.delay)
			return &limitedConn{Conn: conn, sem: l.sem}, nil
		default:
			conn.Close()
		}
	}
}

// limitedConn frees its slot in the connection limit when it is closed.
type limitedConn struct {
	net.Conn
	sem         chan struct{}
	releaseOnce sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.releaseOnce.Do(func() { <-c.sem })
	return c.Conn.Close()
}
