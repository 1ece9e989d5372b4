package wire

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
)

const (
	dialTimeout       = 500 * time.Millisecond
	helloTimeout      = 2 * time.Second
	writeTimeout      = 2 * time.Second
	streamOpenTimeout = 5 * time.Second
	acceptBacklog     = 4096
	keepAliveInterval = 10 * time.Second
)

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = streamOpenTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// Handler serves one stream that a peer opened. The stream is closed when it
// returns; returning an invalid message error drops the whole session.
type Handler func(ctx context.Context, s *Stream) error

// Server accepts sessions from peers.
type Server struct {
	Self    lease.Incarnation
	TLS     *tls.Config // nil: plain TCP
	Handler Handler
	// OnDrop, if set, is called for each session that ended because of a fault of the
	// peer.
	OnDrop func(addr string, err error)
	// Meter, if set, counts the frames of streams after the hello.
	Meter Meter
}

// Serve accepts sessions on l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept peer")
		}
		go s.serveConn(ctx, conn)
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	if s.TLS != nil {
		conn = tls.Server(conn, s.TLS)
	}
	batched := newBatchConn(conn)
	session, err := yamux.Server(batched, sessionConfig())
	if err != nil {
		_ = batched.Close()
		return
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	for {
		accepted, err := session.Accept()
		if err != nil {
			s.reportDrop(conn, err)
			return
		}
		go s.serveStream(ctx, session, accepted)
	}
}

func (s *Server) serveStream(ctx context.Context, session *yamux.Session, conn net.Conn) {
	stream := newStream(conn)
	defer stream.Close()
	err := s.acceptHello(stream)
	if err == nil {
		stream.metered = metered{meter: s.Meter}
		err = s.handle(ctx, stream)
	}
	if errors.IsAny(err, ErrInvalidMessage, errHandlerPanic) {
		s.reportDrop(conn, err)
		_ = session.Close()
	}
}

// errHandlerPanic reports an unexpected error of the handler. It ends the peer's
// session, not the process: the message that caused it may come again.
var errHandlerPanic = errors.New("unexpected error while a message was handled")

// maxStackBytes limits the stack in the report of an unexpected error.
const maxStackBytes = 4 << 10

// handle runs the handler and turns a panic into an error with its stack.
func (s *Server) handle(ctx context.Context, stream *Stream) (err error) {
	defer func() {
		if p := recover(); p != nil {
			stack := debug.Stack()
			err = errors.Wrapf(errHandlerPanic, "%v\n%s", p, stack[:min(len(stack), maxStackBytes)])
		}
	}()
	return s.Handler(ctx, stream)
}

func (s *Server) acceptHello(stream *Stream) error {
	_ = stream.conn.SetDeadline(time.Now().Add(helloTimeout))
	if err := stream.recvHello(); err != nil {
		return err
	}
	stream.HelloReceivedAt = time.Now()
	if err := stream.sendHello(s.Self, stream.Kind); err != nil {
		return err
	}
	return stream.conn.SetDeadline(time.Time{})
}

func (s *Server) reportDrop(conn net.Conn, err error) {
	if s.OnDrop == nil || errors.Is(err, io.EOF) || errors.Is(err, yamux.ErrSessionShutdown) {
		return
	}
	s.OnDrop(conn.RemoteAddr().String(), err)
}

// dialRoute is the remote and the local address of a session.
type dialRoute struct {
	addr      string
	localAddr net.Addr // nil: chosen by the system
}

// dialSession connects to a peer.
func dialSession(ctx context.Context, to dialRoute, tlsConfig *tls.Config) (*yamux.Session, error) {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: to.localAddr}
	conn, err := dialer.DialContext(ctx, "tcp", to.addr)
	if err != nil {
		return nil, errors.Wrapf(err, "dial peer %s", to.addr)
	}
	if tlsConfig != nil {
		conn = tls.Client(conn, tlsConfig)
	}
	batched := newBatchConn(conn)
	session, err := yamux.Client(batched, sessionConfig())
	if err != nil {
		_ = batched.Close()
		return nil, errors.Wrapf(err, "open session to %s", to.addr)
	}
	return session, nil
}

// openStream opens a stream and exchanges hellos. It fails when ctx ends.
func openStream(ctx context.Context, session *yamux.Session, self lease.Incarnation, kind pb.StreamKind) (*Stream, error) {
	conn, err := session.Open()
	if err != nil {
		return nil, errors.Wrap(err, "open stream")
	}
	stream := newStream(conn)
	_ = conn.SetDeadline(time.Now().Add(helloTimeout))
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	err = stream.exchangeHellos(self, kind)
	if !stop() {
		return nil, errors.Wrap(ctx.Err(), "open stream")
	}
	if err != nil {
		_ = stream.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return stream, nil
}

func (s *Stream) exchangeHellos(self lease.Incarnation, kind pb.StreamKind) error {
	if err := s.sendHello(self, kind); err != nil {
		return err
	}
	if err := s.recvHello(); err != nil {
		return err
	}
	s.Kind = kind
	return nil
}
