package syncer

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/state"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
)

// startServer serves a cache and returns the server's address and a channel of the
// routers that subscribe.
func startServer(t *testing.T, cache *state.Cache) (string, <-chan Router) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	routers := make(chan Router, 1)
	server := &Server{
		Cache:    cache,
		StoreAge: func() (time.Duration, bool) { return 7 * time.Millisecond, true },
		OnRouter: func(r Router) { routers <- r },
	}
	peers := wire.Server{Self: lease.Incarnation{Host: "placer", Run: 1}, Handler: server.Serve}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = peers.Serve(ctx, l) }()
	return l.Addr().String(), routers
}

func newObject(i int, version uint64) platform.Object {
	value := append(append([]byte{'"'}, bytes.Repeat([]byte{'x'}, batchBytes/3)...), '"')
	return platform.Object{Name: fmt.Sprintf("%s%d", platform.StopsPrefix, i), Version: version, Value: value}
}

func TestSubscriberCatchesUpAndFollows(t *testing.T) {
	const objects = 8 // more than fit into one frame
	source, replica := state.NewCache(), state.NewCache()
	for i := range objects {
		source.Apply([]platform.Object{newObject(i, uint64(i+1))})
	}
	replica.Apply([]platform.Object{newObject(0, 1), newObject(1, 99)}) // holds the same version of one object and a newer version of another
	addr, routers := startServer(t, source)
	dialer := &wire.Dialer{Self: lease.Incarnation{Host: "router", Run: 2}}
	defer dialer.Close()
	self := Router{Run: lease.Incarnation{Host: "router", Run: 2}, Addr: "127.0.0.1:1"}
	ages := make(chan time.Duration, 1)
	client := &Client{Cache: replica, Dialer: dialer, Router: &self, OnBeat: func(age time.Duration, reachable bool) {
		select {
		case ages <- age:
		default:
		}
	}}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- client.Subscribe(ctx, addr) }()
	assert.Equal(t, <-routers, self)
	assert.Equal(t, <-ages, 7*time.Millisecond)
	waitUntil(replica, func() bool { return len(replica.Versions()) == objects })
	source.Apply([]platform.Object{newObject(2, 50)})
	waitUntil(replica, func() bool { return replica.Versions()[platform.StopsPrefix+"2"] == 50 })
	assert.Equal(t, replica.Versions()[platform.StopsPrefix+"1"], uint64(99))
	cancel()
	assert.Assert(t, <-ended != nil)
}

// TestBeatIsSentImmediatelyWhenDue: a subscriber learns that its server is cut off without
// waiting for the next interval.
func TestBeatIsSentImmediatelyWhenDue(t *testing.T) {
	var cutOff atomic.Bool
	beatDue := make(chan struct{})
	server := &Server{
		Cache:    state.NewCache(),
		StoreAge: func() (time.Duration, bool) { return 0, true },
		IsCutOff: cutOff.Load,
		BeatDue: func() <-chan struct{} {
			if cutOff.Load() {
				return nil
			}
			return beatDue
		},
		interval: time.Hour,
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	peers := wire.Server{Self: lease.Incarnation{Host: "placer", Run: 1}, Handler: server.Serve}
	go func() { _ = peers.Serve(t.Context(), l) }()
	dialer := &wire.Dialer{Self: lease.Incarnation{Host: "router", Run: 2}}
	defer dialer.Close()
	stream, err := dialer.Open(t.Context(), l.Addr().String(), pb.StreamKind_STREAM_KIND_SYNC)
	assert.NilError(t, err)
	assert.NilError(t, stream.Send(&pb.Frame{Body: &pb.Frame_Digest{Digest: &pb.Digest{}}}))
	for _, want := range []bool{false, true} {
		frame, err := stream.Recv()
		assert.NilError(t, err)
		assert.Equal(t, frame.GetDigest().GetCutOff(), want)
		if !want {
			cutOff.Store(true)
			close(beatDue)
		}
	}
}

// waitUntil returns once done is true. Otherwise the test's time limit ends the wait.
func waitUntil(c *state.Cache, done func() bool) {
	for {
		changed := c.Changed()
		if done() {
			return
		}
		<-changed
	}
}
