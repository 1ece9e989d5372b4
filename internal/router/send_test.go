package router

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// http.Transport may resend a request without a body when a reused connection breaks.
// It must not resend a request that may have run.
func TestTransportDoesNotResendSentRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	var arrived atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerOnce(conn, &arrived)
		}
	}()
	transport := newTransport(4, nil)
	defer transport.CloseIdleConnections()
	do := func() (*sendState, error) {
		state := &sendState{allow: func() bool { return true }}
		trace := &httptrace.ClientTrace{GotConn: state.gotConn}
		ctx := httptrace.WithClientTrace(t.Context(), trace)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Addr().String()+"/a", nil)
		assert.NilError(t, err)
		response, err := transport.RoundTrip(request)
		if err != nil {
			return state, err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		return state, response.Body.Close()
	}
	_, err = do()
	assert.NilError(t, err)
	state, err := do()
	assert.Assert(t, err != nil)
	assert.Assert(t, state.sent(), "sent must be true after the connection broke: %v", err)
	assert.Equal(t, arrived.Load(), int64(2), "the request was resent")
}

// answerOnce answers the first request of a connection and closes the connection after
// it has received the second.
func answerOnce(conn net.Conn, arrived *atomic.Int64) {
	defer conn.Close()
	buf := make([]byte, 4096)
	for n := 0; ; n++ {
		if _, err := conn.Read(buf); err != nil {
			return
		}
		arrived.Add(1)
		if n > 0 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func TestNothingIsWrittenWithoutLease(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := &guardedConn{Conn: near}
	right := true
	state := &sendState{allow: func() bool { return right }}
	state.gotConn(httptrace.GotConnInfo{Conn: conn})
	assert.Assert(t, !state.sent())

	right = false
	_, err := conn.Write([]byte("GET"))
	assert.Assert(t, errors.Is(err, errNoLease))
	assert.Assert(t, !state.sent())

	right = true
	go func() { _, _ = io.CopyN(io.Discard, far, 3) }()
	_, err = conn.Write([]byte("GET"))
	assert.NilError(t, err)
	assert.Assert(t, state.sent())

	// The lease ends while the request is being sent: the rest is not written, but
	// the request counts as sent.
	right = false
	_, err = conn.Write([]byte(" /a"))
	assert.Assert(t, errors.Is(err, errNoLease))
	assert.Assert(t, state.sent())

	// The next request on the connection has sent nothing yet.
	next := &sendState{allow: func() bool { return true }}
	next.gotConn(httptrace.GotConnInfo{Conn: conn})
	assert.Assert(t, !next.sent())
}
