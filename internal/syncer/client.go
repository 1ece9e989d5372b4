package syncer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/state"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
)

// Client keeps a cache up to date from another process.
type Client struct {
	Cache  *state.Cache
	Dialer *wire.Dialer
	// Router, if set, identifies this process to the server.
	Router *Router
	// OnBeat, if set, is called on each heartbeat with the time since the store last
	// answered a process that called it, and whether the server counts the store as
	// reachable.
	OnBeat func(age time.Duration, reachable bool)
	// OnCutOff, if set, is called on each heartbeat with whether the server calls the
	// store itself and gets no answer.
	OnCutOff func(cutOff bool)
	// OnApply, if set, is called with the objects that were newer than the cached ones.
	OnApply func([]platform.Object)
}

// Subscribe follows the server at addr until the stream breaks, no heartbeat arrives in
// time, or ctx ends.
func (c *Client) Subscribe(ctx context.Context, addr string) error {
	stream, err := c.Dialer.Open(ctx, addr, pb.StreamKind_STREAM_KIND_SYNC)
	if err != nil {
		return err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	if err := stream.Send(c.newDigest()); err != nil {
		return err
	}
	watchdog := time.AfterFunc(beatTimeout, func() { _ = stream.Close() })
	defer watchdog.Stop()
	for {
		frame, err := stream.Recv()
		if err != nil {
			return errors.Wrapf(err, "sync with %s", addr)
		}
		watchdog.Reset(beatTimeout)
		c.handleFrame(frame)
	}
}

func (c *Client) handleFrame(frame *pb.Frame) {
	if digest := frame.GetDigest(); digest != nil && c.OnBeat != nil {
		c.OnBeat(time.Duration(digest.StoreAgeMs)*time.Millisecond, digest.Watching)
	}
	if digest := frame.GetDigest(); digest != nil && c.OnCutOff != nil {
		c.OnCutOff(digest.CutOff)
	}
	objects := frame.GetObjects()
	if objects == nil {
		return
	}
	applied := c.Cache.Apply(decode(objects))
	if len(applied) > 0 && c.OnApply != nil {
		c.OnApply(applied)
	}
}

func (c *Client) newDigest() *pb.Frame {
	digest := &pb.Digest{}
	for name, version := range c.Cache.Versions() {
		digest.Versions = append(digest.Versions, &pb.ObjectVersion{Name: name, Version: version})
	}
	if c.Router != nil {
		digest.Router = &pb.Incarnation{Host: c.Router.Run.Host, Run: c.Router.Run.Run}
		digest.RouterAddr = c.Router.Addr
	}
	return &pb.Frame{Body: &pb.Frame_Digest{Digest: digest}}
}

func decode(in *pb.Objects) []platform.Object {
	out := make([]platform.Object, len(in.Objects))
	for i, o := range in.Objects {
		out[i] = platform.Object{Name: o.Name, Version: o.Version, Deleted: o.Deleted, Value: o.Value}
	}
	return out
}
