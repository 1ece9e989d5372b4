package wire

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

var (
	alice = lease.Incarnation{Host: "alice", Run: 1}
	bob   = lease.Incarnation{Host: "bob", Run: 2}
)

// bufferConn is a connection that reads from and writes to memory.
type bufferConn struct {
	net.Conn
	bytes.Buffer
}

func (c *bufferConn) Read(p []byte) (int, error)  { return c.Buffer.Read(p) }
func (c *bufferConn) Write(p []byte) (int, error) { return c.Buffer.Write(p) }

func TestLeaseMessagesRoundTrip(t *testing.T) {
	ref := ownership.ShardRef{Service: "katalog", Shard: 7}
	stops := lease.Stops{
		Gateways: []lease.GatewayStop{{Target: "t1", Epoch: 3}, {Target: "t2", Epoch: 3, Released: true, Under: 2}},
		Shards:   []lease.ShardStop{{Shard: ref, Epoch: 9, Released: true}},
	}
	claims := []lease.Claim{{Target: "t1", Epoch: 4, Alive: true, Load: 5, Drained: true}}
	messages := []lease.Message{
		lease.VoteRequest{Cell: "c", Record: 1, Holder: alice, Seq: 2, Claims: claims, StopsSeen: 3, Serving: []lease.ShardEpoch{{Shard: ref, Epoch: 8}}, Stopped: []lease.ShardEpoch{{Shard: ref, Epoch: 9}}, Unreleased: []lease.ShardEpoch{{Shard: ref, Epoch: 10}}, Vacant: []lease.Vacancy{{Target: "t3", Epoch: 2, Silent: true}}, ClaimsVersion: 6},
		lease.VoteRequest{Cell: "c", Record: 1, Holder: alice, Seq: 3, ClaimsVersion: 6, Unchanged: true},
		lease.VoteReply{Cell: "c", Record: 1, Voter: bob, Holder: alice, Seq: 2, Granted: claims, Stops: stops, StopsSeq: 4, StoreLeft: 11 * time.Second, Vacant: []lease.Vacancy{{Target: "t2", Epoch: 1, Silent: true}}, ClaimsHeld: 5},
		lease.VoteReply{Cell: "c", Record: 1, Voter: bob, Holder: alice, Seq: 3, GrantedAll: true, ClaimsHeld: 6},
		lease.StopRequest{Cell: "c", Record: 1, From: alice, Seq: 5, Stops: stops, IfReleased: true},
		lease.StopReply{Cell: "c", Record: 1, Voter: bob, Holder: alice, Seq: 5, Done: true, Released: stops.Shards},
		lease.JoinRequest{Cell: "c", Record: 2, From: alice},
		lease.JoinReply{Cell: "c", Record: 2, Voter: bob, Done: true, Stops: stops, Ready: 1},
	}
	for _, m := range messages {
		frame, err := LeaseFrame(m)
		assert.NilError(t, err)
		stream := newStream(&bufferConn{})
		assert.NilError(t, stream.Send(frame))
		got, err := stream.Recv()
		assert.NilError(t, err)
		back, ok := DecodeLeaseMessage(got)
		assert.Assert(t, ok)
		assert.DeepEqual(t, back, m)
	}
}

func TestInvalidFramesAreDetected(t *testing.T) {
	huge := binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)
	junk := append(binary.BigEndian.AppendUint32(nil, 3), 0xff, 0xff, 0xff)
	for name, raw := range map[string][]byte{"huge": huge, "junk": junk} {
		conn := &bufferConn{}
		conn.Buffer.Write(raw)
		_, err := newStream(conn).Recv()
		assert.Assert(t, errors.Is(err, ErrInvalidMessage), "%s: %v", name, err)
	}
}

func TestUnknownMessageIsIgnored(t *testing.T) {
	later := []byte{0xfa, 0x01, 0x01, 'x'} // field 31, of a later protocol version
	conn := &bufferConn{}
	conn.Buffer.Write(binary.BigEndian.AppendUint32(nil, uint32(len(later))))
	conn.Buffer.Write(later)
	frame, err := newStream(conn).Recv()
	assert.NilError(t, err)
	_, ok := DecodeLeaseMessage(frame)
	assert.Assert(t, !ok)
}

// startEchoServer starts a peer that answers each request with its ID, and returns its
// address and the errors for which it dropped sessions.
func startEchoServer(t *testing.T) (string, <-chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	dropped := make(chan error, 16)
	server := Server{
		Self:    bob,
		Handler: echo,
		OnDrop:  func(_ string, err error) { dropped <- err },
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(ctx, l)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return l.Addr().String(), dropped
}

func echo(_ context.Context, s *Stream) error {
	for {
		frame, err := s.Recv()
		if err != nil {
			return err
		}
		answer := &pb.Answer{Id: frame.GetForward().GetId()}
		if err := s.Send(&pb.Frame{Body: &pb.Frame_Answer{Answer: answer}}); err != nil {
			return err
		}
	}
}

func TestRequestStreamsAreReused(t *testing.T) {
	addr, _ := startEchoServer(t)
	dialer := &Dialer{Self: alice}
	defer dialer.Close()
	first, err := dialer.RequestStream(t.Context(), addr)
	assert.NilError(t, err)
	assert.Equal(t, first.From, bob)
	assert.NilError(t, first.Send(&pb.Frame{Body: &pb.Frame_Forward{Forward: &pb.Forward{Id: "r1"}}}))
	frame, err := first.Recv()
	assert.NilError(t, err)
	assert.Equal(t, frame.GetAnswer().GetId(), "r1")
	dialer.Release(addr, first)
	second, err := dialer.RequestStream(t.Context(), addr)
	assert.NilError(t, err)
	assert.Assert(t, second == first)
	assert.NilError(t, dialer.Ping(t.Context(), addr))
}

func TestSessionIsDroppedAfterInvalidMessage(t *testing.T) {
	addr, dropped := startEchoServer(t)
	dialer := &Dialer{Self: alice}
	defer dialer.Close()
	stream, err := dialer.Open(t.Context(), addr, pb.StreamKind_STREAM_KIND_REQUEST)
	assert.NilError(t, err)
	// The peer may have dropped the connection before the write returns.
	_, _ = stream.conn.Write([]byte{0, 0, 0, 2, 0xff, 0xff})
	assert.Assert(t, errors.Is(<-dropped, ErrInvalidMessage))
	_, err = stream.Recv()
	assert.Assert(t, err != nil)
}

func TestProbeDropsUnresponsivePeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	dialer := &Dialer{Self: alice}
	session, err := dialSession(t.Context(), dialRoute{addr: l.Addr().String()}, nil)
	assert.NilError(t, err)
	p := dialer.peer(l.Addr().String())
	p.session = session
	dialer.Probe(l.Addr().String(), 20*time.Millisecond) // the listener never accepts, so there is no answer
	assert.Assert(t, session.IsClosed())
}

func FuzzStream(f *testing.F) {
	frame, _ := LeaseFrame(lease.JoinRequest{Cell: "c", Record: 1, From: alice})
	conn := &bufferConn{}
	_ = newStream(conn).Send(frame)
	f.Add(conn.Bytes())
	f.Fuzz(func(t *testing.T, raw []byte) {
		conn := &bufferConn{}
		conn.Buffer.Write(raw)
		stream := newStream(conn)
		for {
			frame, err := stream.Recv()
			if err != nil {
				return
			}
			if m, ok := DecodeLeaseMessage(frame); ok {
				_, err := LeaseFrame(m)
				assert.NilError(t, err)
			}
		}
	})
}

// TestCloseUnblocksReader checks that Close unblocks a reader whose peer does not
// answer, for example because it is frozen.
func TestCloseUnblocksReader(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := Server{Self: bob, Handler: func(context.Context, *Stream) error {
		<-release
		return nil
	}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx, l) }()
	dialer := &Dialer{Self: alice}
	defer dialer.Close()
	stream, err := dialer.Open(t.Context(), l.Addr().String(), pb.StreamKind_STREAM_KIND_REQUEST)
	assert.NilError(t, err)
	recvErr := make(chan error, 1)
	go func() {
		_, err := stream.Recv()
		recvErr <- err
	}()
	assert.NilError(t, stream.Close())
	assert.Assert(t, <-recvErr != nil)
}

// TestMessagesShareNoReadBuffer checks that a message shares no memory with the buffer
// into which the stream reads the next one.
func TestMessagesShareNoReadBuffer(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	sender, receiver := newStream(near), newStream(far)
	body := func(fill byte) *pb.Frame {
		return &pb.Frame{Body: &pb.Frame_Answer{Answer: &pb.Answer{Id: string([]byte{fill}), Body: bytes.Repeat([]byte{fill}, 100)}}}
	}
	sent := make(chan error, 2)
	go func() {
		sent <- sender.Send(body('a'))
		sent <- sender.Send(body('b'))
	}()
	first, err := receiver.Recv()
	assert.NilError(t, err)
	second, err := receiver.Recv()
	assert.NilError(t, err)
	assert.DeepEqual(t, first.GetAnswer().Body, body('a').GetAnswer().Body)
	assert.Equal(t, first.GetAnswer().Id, "a")
	assert.DeepEqual(t, second.GetAnswer().Body, body('b').GetAnswer().Body)
	assert.NilError(t, <-sent)
	assert.NilError(t, <-sent)
}
