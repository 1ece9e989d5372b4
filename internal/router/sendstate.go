package router

import (
	"net/http/httptrace"
	"sync/atomic"
)

// sendState tracks whether one request was written to a connection.
type sendState struct {
	conn          atomic.Pointer[guardedConn]
	writtenBefore atomic.Int64
	connLost      atomic.Bool // the connection broke after a part of the request was written
	allow         func() bool
}

// gotConn makes each write to the connection check that the request may still be sent.
// http.Transport may itself resend a request without a body on a new connection;
// gotConn prevents that once any part of the request was written.
func (s *sendState) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*guardedConn)
	if !ok {
		return
	}
	if s.sent() {
		s.connLost.Store(true)
		conn.canWrite.Store(&denyWrite)
		return
	}
	s.writtenBefore.Store(conn.written.Load())
	conn.canWrite.Store(&s.allow)
	s.conn.Store(conn)
}

// denyWrite never allows a write.
var denyWrite = func() bool { return false }

// sent reports whether any byte of the request may have been sent.
func (s *sendState) sent() bool {
	if s.connLost.Load() {
		return true
	}
	conn := s.conn.Load()
	return conn != nil && conn.written.Load() != s.writtenBefore.Load()
}
