package wire

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
)

// serveJoinReplies starts a placer that answers each frame with a join reply and
// returns its address.
func serveJoinReplies(t *testing.T, self lease.Incarnation) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := Server{Self: self, Handler: func(_ context.Context, s *Stream) error {
		for {
			if _, err := s.Recv(); err != nil {
				return err
			}
			reply, err := LeaseFrame(lease.JoinReply{Cell: "c", Voter: self, Done: true})
			if err != nil {
				return err
			}
			if err := s.Send(reply); err != nil {
				return err
			}
		}
	}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx, l) }()
	return l.Addr().String()
}

// TestLinkFollowsChangedAddress checks that frames for a replaced host are sent to its
// new address and no longer to the old one.
func TestLinkFollowsChangedAddress(t *testing.T) {
	old, replaced := lease.Incarnation{Host: "kl-1", Run: 1}, lease.Incarnation{Host: "kl-1", Run: 2}
	receivedFrom := make(chan lease.Incarnation, 8)
	dialer := &Dialer{Self: alice}
	defer dialer.Close()
	links := NewLinks(dialer, func(from lease.Incarnation, _ *pb.Frame) { receivedFrom <- from })
	request := []lease.Envelope{{To: old, Msg: lease.JoinRequest{Cell: "c", From: alice}}}
	links.Post(t.Context(), request) // the host is unknown: the message is lost
	links.SetAddrs(map[string]string{"kl-1": serveJoinReplies(t, old)})
	links.Post(t.Context(), request)
	assert.Equal(t, <-receivedFrom, old)
	links.SetAddrs(map[string]string{"kl-1": serveJoinReplies(t, replaced)})
	links.Post(t.Context(), request)
	assert.Equal(t, <-receivedFrom, replaced)
	links.SetAddrs(nil)
	assert.Equal(t, len(links.links), 0)
}
