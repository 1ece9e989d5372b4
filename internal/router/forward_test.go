package router

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http/httptest"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
)

// startPeer starts a peer that answers one request per stream with the frames that
// answer returns and then closes the stream.
func startPeer(t *testing.T, answer func(f *pb.Forward) []*pb.Frame) string {
	t.Helper()
	return serveStreams(t, func(_ context.Context, s *wire.Stream) error {
		frame, err := s.Recv()
		if err != nil {
			return err
		}
		for _, reply := range answer(frame.GetForward()) {
			if err := s.Send(reply); err != nil {
				return err
			}
		}
		return nil
	})
}

// startRouterPeer serves the peer streams of a router whose Run is not called.
func startRouterPeer(t *testing.T, r *Router) string {
	t.Helper()
	return serveStreams(t, r.servePeerStream)
}

// serveStreams serves streams with handler until the test ends and returns the address.
func serveStreams(t *testing.T, handler func(context.Context, *wire.Stream) error) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := wire.Server{Self: gatewayRun, Handler: handler}
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
	return l.Addr().String()
}

func frameOf(a *pb.Answer) *pb.Frame { return &pb.Frame{Body: &pb.Frame_Answer{Answer: a}} }

func chunkOf(data string, last bool) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Chunk{Chunk: &pb.Chunk{Data: []byte(data), Last: last}}}
}

func TestExchangeWithPeer(t *testing.T) {
	ranAnswer := func(id string, more bool) *pb.Answer {
		return &pb.Answer{Id: id, Outcome: pb.Outcome_OUTCOME_RAN, Status: 200, Body: []byte("a"), More: more}
	}
	cases := []struct {
		name    string
		answer  func(f *pb.Forward) []*pb.Frame
		outcome pb.Outcome
		reason  reason
		whole   bool // an answer in parts was complete
	}{
		{"answer", func(f *pb.Forward) []*pb.Frame { return []*pb.Frame{frameOf(ranAnswer(f.Id, false))} }, pb.Outcome_OUTCOME_RAN, "", false},
		{"answer to another request", func(*pb.Forward) []*pb.Frame { return []*pb.Frame{frameOf(ranAnswer("r2", false))} }, pb.Outcome_OUTCOME_UNKNOWN, reasonAnswerMismatch, false},
		{"no answer", func(*pb.Forward) []*pb.Frame { return []*pb.Frame{chunkOf("a", true)} }, pb.Outcome_OUTCOME_UNKNOWN, reasonAnswerMismatch, false},
		{"lost", func(*pb.Forward) []*pb.Frame { return nil }, pb.Outcome_OUTCOME_UNKNOWN, reasonPeerLost, false},
		{"parts", func(f *pb.Forward) []*pb.Frame {
			return []*pb.Frame{frameOf(ranAnswer(f.Id, true)), chunkOf("b", false), chunkOf("c", true)}
		}, pb.Outcome_OUTCOME_RAN, "", true},
		{"parts that break off", func(f *pb.Forward) []*pb.Frame {
			return []*pb.Frame{frameOf(ranAnswer(f.Id, true)), chunkOf("b", false)}
		}, pb.Outcome_OUTCOME_UNKNOWN, reasonPeerLost, false},
	}
	for _, c := range cases {
		r := New(Config{Self: ingressRun}, nil, hclog.NewNullLogger())
		written := httptest.NewRecorder()
		out := &callerSink{w: written}
		q := &ingressRequest{forward: &pb.Forward{Id: "r1"}}
		a := r.sendToPeer(t.Context(), startPeer(t, c.answer), q.forward, false, out)
		assert.Equal(t, a.Outcome, c.outcome, c.name)
		assert.Equal(t, reason(a.Reason), c.reason, c.name)
		assert.Equal(t, a.Id, "r1", c.name)
		assert.Equal(t, out.complete, c.whole, c.name)
		if c.whole {
			assert.Equal(t, written.Body.String(), "abc")
		}
		r.dialer.Close()
	}
	r := New(Config{Self: ingressRun}, nil, hclog.NewNullLogger())
	a := r.sendToPeer(t.Context(), refusingAddr, &pb.Forward{Id: "r1"}, false, &callerSink{w: httptest.NewRecorder()})
	assert.Equal(t, reason(a.Reason), reasonPeerUnreachable)
	assert.Assert(t, isNotRun(a))
}

// yamuxTypePing is the type of yamux's ping frames.
const yamuxTypePing = 2

// readUntilPing reads yamux frames until a ping arrives. It skips the bodies of data
// frames, which are short.
func readUntilPing(conn net.Conn) error {
	r := bufio.NewReader(conn)
	for {
		header := make([]byte, 12)
		if _, err := io.ReadFull(r, header); err != nil {
			return err
		}
		switch header[1] {
		case yamuxTypePing:
			return nil
		case 0:
			if _, err := r.Discard(int(binary.BigEndian.Uint32(header[8:]))); err != nil {
				return err
			}
		}
	}
}

// TestPeerThatDoesNotAnswerHelloIsProbed checks that requests to a peer that is cut off
// or frozen do not wait until its hello is overdue. The kernel of such a peer may still
// accept connections.
func TestPeerThatDoesNotAnswerHelloIsProbed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	r := New(Config{Self: ingressRun}, nil, hclog.NewNullLogger())
	defer r.dialer.Close()
	answered := make(chan *pb.Answer, 1)
	go func() {
		q := &ingressRequest{forward: &pb.Forward{Id: "r1"}}
		answered <- r.sendToPeer(t.Context(), l.Addr().String(), q.forward, false, &callerSink{w: httptest.NewRecorder()})
	}()
	conn, err := l.Accept()
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, readUntilPing(conn))
	a := <-answered
	assert.Assert(t, isNotRun(a))
	assert.Equal(t, reason(a.Reason), reasonPeerUnreachable)
}
