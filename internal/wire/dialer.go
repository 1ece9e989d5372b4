package wire

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
)

const (
	// redialInterval is the minimum time between dials of an unreachable peer.
	redialInterval = 100 * time.Millisecond
	// maxIdleStreams limits the idle request streams kept for reuse per peer.
	maxIdleStreams = 256
)

// errPeerFailedRecently is returned without dialling while the peer's last failure
// is recent or another caller is retrying the peer.
var errPeerFailedRecently = errors.New("peer was unreachable recently")

// Dialer keeps one session to each peer, by address.
type Dialer struct {
	Self lease.Incarnation
	TLS  *tls.Config // nil: plain TCP
	// Source, if valid, is the local IP address of sessions.
	Source netip.Addr
	// Meter, if set, counts the frames of streams after the hello.
	Meter Meter

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is the session to a peer and the peer's state. After a failure, one caller
// at a time retries the peer; the others fail immediately, so that they can use
// another peer.
type peer struct {
	mu       sync.Mutex
	session  *yamux.Session
	failedAt time.Time // time of the last failure; zero once the peer answers
	retrying bool      // session belongs to the caller that retries the peer
	idle     []*Stream
	probing  bool
}

// Open returns a new stream to the peer at addr.
func (d *Dialer) Open(ctx context.Context, addr string, kind pb.StreamKind) (*Stream, error) {
	session, err := d.session(ctx, addr)
	if err != nil {
		return nil, err
	}
	stream, err := openStream(ctx, session, d.Self, kind)
	if err != nil {
		d.peer(addr).recordNoAnswer(session, ctx.Err() != nil)
		return nil, errors.Wrapf(err, "peer %s", addr)
	}
	d.peer(addr).recordAnswer(session)
	stream.metered = metered{meter: d.Meter, opened: true}
	return stream, nil
}

// RequestStream returns an idle request stream to addr, or a new one. The caller must
// either release the stream after a complete exchange or close it.
func (d *Dialer) RequestStream(ctx context.Context, addr string) (*Stream, error) {
	if s := d.peer(addr).takeIdle(); s != nil {
		return s, nil
	}
	return d.NewRequestStream(ctx, addr)
}

// NewRequestStream opens a request stream to addr.
func (d *Dialer) NewRequestStream(ctx context.Context, addr string) (*Stream, error) {
	return d.Open(ctx, addr, pb.StreamKind_STREAM_KIND_REQUEST)
}

// Release keeps a request stream for reuse. Its exchange must be complete.
func (d *Dialer) Release(addr string, s *Stream) {
	p := d.peer(addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= maxIdleStreams {
		_ = s.Close()
		return
	}
	p.idle = append(p.idle, s)
}

// Drop closes the session to addr, for example after a timeout.
func (d *Dialer) Drop(addr string) {
	p := d.peer(addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset()
}

// Close closes all sessions.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.peers {
		p.mu.Lock()
		p.reset()
		p.mu.Unlock()
	}
}

func (d *Dialer) peer(addr string) *peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers == nil {
		d.peers = make(map[string]*peer)
	}
	p := d.peers[addr]
	if p == nil {
		p = new(peer)
		d.peers[addr] = p
	}
	return p
}

// SourceOf returns the IP address of a listening address, for use as the source of a
// dialer. The result is not valid if the listener has no specific IP address.
func SourceOf(listen string) netip.Addr {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil || addr.Addr().Unmap().IsUnspecified() {
		return netip.Addr{}
	}
	return addr.Addr().Unmap()
}

// localAddr returns the local address for a connection to addr, or nil if the source
// cannot reach it: the two have different IP versions, or only one of them is a
// loopback address.
func (d *Dialer) localAddr(addr string) net.Addr {
	peer, err := netip.ParseAddrPort(addr)
	if err != nil || !d.Source.IsValid() {
		return nil
	}
	to := peer.Addr().Unmap()
	if to.Is4() != d.Source.Is4() || to.IsLoopback() != d.Source.IsLoopback() {
		return nil
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(d.Source, 0))
}

func (d *Dialer) session(ctx context.Context, addr string) (*yamux.Session, error) {
	return d.peer(addr).connect(ctx, dialRoute{addr: addr, localAddr: d.localAddr(addr)}, d.TLS)
}

func (p *peer) connect(ctx context.Context, to dialRoute, cfg *tls.Config) (*yamux.Session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch open := p.session != nil && !p.session.IsClosed(); {
	case open && p.retrying:
		return nil, errPeerFailedRecently
	case open:
		return p.session, nil
	case time.Since(p.failedAt) < redialInterval:
		return nil, errPeerFailedRecently
	}
	p.reset()
	session, err := dialSession(ctx, to, cfg)
	if err != nil {
		p.failedAt = time.Now()
		return nil, err
	}
	p.session = session
	p.retrying = !p.failedAt.IsZero()
	return session, nil
}

// recordAnswer records that the peer answered on a session.
func (p *peer) recordAnswer(session *yamux.Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session == session {
		p.failedAt = time.Time{}
		p.retrying = false
	}
}

// recordNoAnswer closes a session on which the peer did not answer. If the caller
// gave up first, the session is kept for other callers, unless they are blocked
// because this caller is retrying the peer.
func (p *peer) recordNoAnswer(session *yamux.Session, callerGaveUp bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != session {
		_ = session.Close()
		return
	}
	if callerGaveUp && !p.retrying {
		return
	}
	p.reset()
	p.failedAt = time.Now()
}

func (p *peer) takeIdle() *Stream {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session == nil || p.session.IsClosed() {
		return nil
	}
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	s := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return s
}

func (p *peer) reset() {
	if p.session != nil {
		_ = p.session.Close()
	}
	p.session = nil
	p.retrying = false
	p.idle = nil
}
