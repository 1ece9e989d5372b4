// Package syncer replicates the stored objects between processes. A subscriber sends the
// versions that it holds and then receives each object that is newer, as it changes.
package syncer

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/state"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
)

const (
	// beatInterval is the interval of a server's heartbeats.
	beatInterval = 250 * time.Millisecond
	// beatTimeout is how long a subscriber waits for a frame before it closes the stream.
	beatTimeout = 4 * beatInterval
	// batchBytes bounds the size of the values sent in one frame.
	batchBytes = 1 << 20
)

// Router identifies a router process that subscribed.
type Router struct {
	Run  lease.Incarnation
	Addr string // IP and port on which it accepts peers
}

// Server sends the cache's objects to subscribers.
type Server struct {
	Cache *state.Cache
	// StoreAge returns how long ago the store last answered a process that called it, and
	// whether the store counts as reachable.
	StoreAge func() (age time.Duration, reachable bool)
	// IsCutOff, if set, returns whether this process calls the store itself and gets no
	// answer.
	IsCutOff func() bool
	// BeatDue, if set, returns a channel that is closed when a heartbeat is due before the
	// next interval ends.
	BeatDue func() <-chan struct{}
	// OnRouter, if set, is called with each router that subscribes.
	OnRouter func(Router)

	interval time.Duration // between two heartbeats; 0: beatInterval
}

// Serve serves one subscriber until its stream ends.
func (s *Server) Serve(ctx context.Context, stream *wire.Stream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	digest := first.GetDigest()
	if digest == nil {
		return errors.Wrap(wire.ErrInvalidMessage, "subscription without a digest")
	}
	if digest.Router != nil && s.OnRouter != nil {
		run := lease.Incarnation{Host: digest.Router.Host, Run: digest.Router.Run}
		s.OnRouter(Router{Run: run, Addr: digest.RouterAddr})
	}
	held := make(map[string]uint64, len(digest.Versions))
	for _, v := range digest.Versions {
		held[v.Name] = v.Version
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		_, _ = stream.Recv() // the subscriber sends nothing more: Recv returns when the stream ends
	}()
	return s.push(ctx, stream, held)
}

func (s *Server) push(ctx context.Context, stream *wire.Stream, held map[string]uint64) error {
	ticker := time.NewTicker(cmp.Or(s.interval, beatInterval))
	defer ticker.Stop()
	for {
		changed, beatDue := s.Cache.Changed(), s.beatDue()
		if err := s.sendNewer(stream, held); err != nil {
			return err
		}
		if err := s.sendBeat(stream); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-beatDue:
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Server) beatDue() <-chan struct{} {
	if s.BeatDue == nil {
		return nil
	}
	return s.BeatDue()
}

func (s *Server) sendBeat(stream *wire.Stream) error {
	age, reachable := s.StoreAge()
	digest := &pb.Digest{Watching: reachable, StoreAgeMs: uint64(age.Milliseconds())}
	if s.IsCutOff != nil {
		digest.CutOff = s.IsCutOff()
	}
	return stream.Send(&pb.Frame{Body: &pb.Frame_Digest{Digest: digest}})
}

func (s *Server) sendNewer(stream *wire.Stream, held map[string]uint64) error {
	newer := s.Cache.NewerThan(held)
	for len(newer) > 0 {
		n := batchLen(newer)
		if err := stream.Send(encode(newer[:n])); err != nil {
			return err
		}
		for _, o := range newer[:n] {
			held[o.Name] = o.Version
		}
		newer = newer[n:]
	}
	return nil
}

// batchLen returns how many of the objects fit into one frame, but at least one.
func batchLen(objects []platform.Object) int {
	size := 0
	for i, o := range objects {
		size += len(o.Value) + len(o.Name)
		if size > batchBytes && i > 0 {
			return i
		}
	}
	return len(objects)
}

func encode(objects []platform.Object) *pb.Frame {
	out := &pb.Objects{}
	for _, o := range objects {
		out.Objects = append(out.Objects, &pb.Object{
			Name:    o.Name,
			Version: o.Version,
			Deleted: o.Deleted,
			Value:   o.Value,
		})
	}
	return &pb.Frame{Body: &pb.Frame_Objects{Objects: out}}
}
