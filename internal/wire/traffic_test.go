package wire

import (
	"context"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/wire/pb"
)

// trafficCounter sums the bytes that a meter receives.
type trafficCounter struct {
	mu  sync.Mutex
	sum map[Traffic]int // Bytes is 0 in the keys
}

func (c *trafficCounter) count(t Traffic) {
	c.mu.Lock()
	defer c.mu.Unlock()
	bytes := t.Bytes
	t.Bytes = 0
	c.sum[t] += bytes
}

func (c *trafficCounter) bytesOf(t Traffic) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sum[t]
}

// TestBothEndsMeterTheSameBytes checks that both ends of a stream count the same bytes
// under the same cause.
func TestBothEndsMeterTheSameBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	local, remote := &trafficCounter{sum: map[Traffic]int{}}, &trafficCounter{sum: map[Traffic]int{}}
	server := Server{Self: bob, Handler: echo, Meter: remote.count}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx, l) }()
	dialer := &Dialer{Self: alice, Meter: local.count}
	defer dialer.Close()
	for kind, causes := range map[pb.StreamKind][2]Cause{
		pb.StreamKind_STREAM_KIND_REQUEST: {CauseRequests, CauseAnswers},
		pb.StreamKind_STREAM_KIND_LEASE:   {CauseLeases, CauseLeases},
		pb.StreamKind_STREAM_KIND_SYNC:    {CauseSync, CauseSync},
	} {
		stream, err := dialer.Open(t.Context(), l.Addr().String(), kind)
		assert.NilError(t, err)
		stream.SetOptional(true)
		assert.NilError(t, stream.Send(&pb.Frame{Body: &pb.Frame_Forward{Forward: &pb.Forward{Id: "r1", Body: make([]byte, 1000)}}}))
		_, err = stream.Recv()
		assert.NilError(t, err)
		requestBytes := local.bytesOf(Traffic{Peer: bob.Host, Cause: causes[0], Sent: true, Optional: true})
		answerBytes := local.bytesOf(Traffic{Peer: bob.Host, Cause: causes[1], Optional: true})
		assert.Assert(t, requestBytes > 1000 && answerBytes > 0 && answerBytes < 100, "%d, %d", requestBytes, answerBytes)
		assert.Equal(t, remote.bytesOf(Traffic{Peer: alice.Host, Cause: causes[0]}), requestBytes)
		assert.Equal(t, remote.bytesOf(Traffic{Peer: alice.Host, Cause: causes[1], Sent: true}), answerBytes)
	}
}
