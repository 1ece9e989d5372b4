package wire

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/wire/pb"
)

// startSilentPeer starts a peer that accepts connections and never answers. It returns
// the peer's address and a channel with the first header of each connection.
func startSilentPeer(t *testing.T) (string, <-chan []byte) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	headers := make(chan []byte, 8)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go readHeader(conn, headers)
		}
	}()
	return l.Addr().String(), headers
}

func readHeader(conn net.Conn, headers chan<- []byte) {
	defer conn.Close()
	header := make([]byte, muxHeaderBytes)
	if _, err := io.ReadFull(conn, header); err == nil {
		headers <- header
	}
	_, _ = io.Copy(io.Discard, conn)
}

// markFailedLongAgo records a failure of a peer that is long past the redial interval.
func markFailedLongAgo(d *Dialer, addr string) {
	d.peer(addr).failedAt = time.Now().Add(-time.Hour)
}

// TestOneCallerAtATimeRetriesFailedPeer checks that other callers fail immediately while
// one retries a failed peer, so that a disconnected or frozen peer does not block all
// callers.
func TestOneCallerAtATimeRetriesFailedPeer(t *testing.T) {
	addr, headers := startSilentPeer(t)
	dialer := &Dialer{Self: alice}
	defer dialer.Close()
	markFailedLongAgo(dialer, addr)
	ctx, cancel := context.WithCancel(t.Context())
	tried := make(chan error, 1)
	go func() {
		_, err := dialer.Open(ctx, addr, pb.StreamKind_STREAM_KIND_REQUEST)
		tried <- err
	}()
	<-headers
	_, err := dialer.Open(t.Context(), addr, pb.StreamKind_STREAM_KIND_REQUEST)
	assert.Assert(t, errors.Is(err, errPeerFailedRecently), "%v", err)
	cancel()
	assert.Assert(t, errors.Is(<-tried, context.Canceled))
	assert.Assert(t, dialer.peer(addr).session == nil, "the next caller must be able to retry")
}

// TestAnswerEndsRetryingState checks that a failed peer is available to all callers
// again after it answers.
func TestAnswerEndsRetryingState(t *testing.T) {
	addr, _ := startEchoServer(t)
	dialer := &Dialer{Self: alice}
	defer dialer.Close()
	for _, try := range []func() error{
		func() error { return dialer.Ping(t.Context(), addr) },
		func() error {
			_, err := dialer.Open(t.Context(), addr, pb.StreamKind_STREAM_KIND_REQUEST)
			return err
		},
	} {
		dialer.Drop(addr)
		markFailedLongAgo(dialer, addr)
		assert.NilError(t, try())
		assert.Assert(t, !dialer.peer(addr).retrying)
		assert.Assert(t, dialer.peer(addr).failedAt.IsZero())
	}
}

// TestOpenEndsWithItsContext checks that Open returns when its context is cancelled and
// keeps the session for other callers.
func TestOpenEndsWithItsContext(t *testing.T) {
	addr, headers := startSilentPeer(t)
	dialer := &Dialer{Self: alice}
	defer dialer.Close()
	ctx, cancel := context.WithCancel(t.Context())
	opened := make(chan error, 1)
	go func() {
		_, err := dialer.Open(ctx, addr, pb.StreamKind_STREAM_KIND_REQUEST)
		opened <- err
	}()
	<-headers
	cancel()
	assert.Assert(t, errors.Is(<-opened, context.Canceled))
	assert.Assert(t, !dialer.peer(addr).session.IsClosed())
}
