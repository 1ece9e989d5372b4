package standin

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// Link relays TCP connections from a listening address to an upstream and
// injects faults. All methods are safe for concurrent use.
type Link struct {
	name     string
	upstream string
	ctx      context.Context
	cancel   context.CancelFunc
	up, down direction

	mu       sync.Mutex
	addr     string
	listener net.Listener // nil while connections are refused
	conns    map[net.Conn]struct{}
	sources  map[netip.Addr]*sourceState
}

// direction holds the faults of one direction of a link, shared by all its
// connections.
type direction struct {
	cut     gate
	mu      sync.Mutex
	delayMS int64
	limiter *rate.Limiter
}

// NewLink returns a link that relays from listen to upstream until Close. Port 0
// in listen picks a free port.
func NewLink(name, listen, upstream string) (*Link, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		name: name, upstream: upstream, ctx: ctx, cancel: cancel,
		addr: listen, conns: make(map[net.Conn]struct{}), sources: make(map[netip.Addr]*sourceState),
	}
	if err := l.listen(); err != nil {
		cancel()
		return nil, err
	}
	return l, nil
}

// Addr returns the IP and port on which the link listens.
func (l *Link) Addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// Close ends the link and all its connections.
func (l *Link) Close() {
	l.cancel()
	l.disconnect()
}

// SetFaults replaces the link's faults, also on open connections.
func (l *Link) SetFaults(faults LinkFaults) error {
	l.up.setFaults(faults.CutUp, faults)
	l.down.setFaults(faults.CutDown, faults)
	if faults.Refuse {
		l.disconnect()
		return nil
	}
	return l.listen()
}

func (d *direction) setFaults(cut bool, faults LinkFaults) {
	d.mu.Lock()
	d.delayMS = faults.DelayMS
	d.limiter = nil
	if faults.BytesPerSecond > 0 {
		d.limiter = rate.NewLimiter(rate.Limit(faults.BytesPerSecond), max(faults.BytesPerSecond, chunkBytes))
	}
	d.mu.Unlock()
	d.cut.setClosed(cut)
}

func (d *direction) settings() (delayMS int64, limiter *rate.Limiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delayMS, d.limiter
}

func (l *Link) listen() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", l.addr)
	if err != nil {
		return errors.Wrapf(err, "link %s", l.name)
	}
	l.listener, l.addr = listener, listener.Addr().String()
	go l.accept(listener)
	return nil
}

func (l *Link) disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		l.listener.Close()
		l.listener = nil
	}
	for conn := range l.conns {
		reset(conn)
	}
	clear(l.conns)
}

// reset closes a connection with a TCP reset and discards unsent data.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

func (l *Link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if l.track(conn, listener) {
			go l.relay(conn, l.sourceForConn(conn))
		}
	}
}

// track registers a connection and reports whether it may be relayed. It resets
// the connection if its listener was closed meanwhile or its source is refused.
func (l *Link) track(conn net.Conn, listener net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != listener || l.sourceForConnLocked(conn).refused {
		reset(conn)
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *Link) untrack(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// relay waits until the upstream direction is not cut, connects to the upstream
// and copies data in both directions.
func (l *Link) relay(conn net.Conn, source *sourceState) {
	defer l.untrack(conn)
	defer conn.Close()
	up, down := connDirection{&l.up, &source.upCut}, connDirection{&l.down, &source.downCut}
	if up.waitUncut(l.ctx) != nil {
		return
	}
	var dialer net.Dialer
	upstream, err := dialer.DialContext(l.ctx, "tcp", l.upstream)
	if err != nil {
		reset(conn)
		return
	}
	defer upstream.Close()
	var pumps sync.WaitGroup
	pumps.Go(func() { up.pump(l.ctx, upstream, conn) })
	pumps.Go(func() { down.pump(l.ctx, conn, upstream) })
	pumps.Wait()
}
