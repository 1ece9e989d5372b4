package router

import (
	"context"
	"time"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/kernel"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/placement/topk"
)

const (
	activityInterval = time.Second
	activityRingSize = 8192
	// activityBatchDelay is the pause after a batch was counted. It lets further
	// requests gather in the ring, so that the duty is not woken for each one.
	activityBatchDelay = 5 * time.Millisecond
	// hotKeyCounters bounds the number of keys tracked in each service's sketch.
	hotKeyCounters = 256
	// maxReportedHotKeys bounds the number of keys of each service in a report.
	maxReportedHotKeys = 8
)

// countedRequest is a request that is about to be sent to a target.
type countedRequest struct {
	ref ownership.ShardRef
	key string
}

// activity is the duty that counts the requests of each shard and key that this gateway
// sends to targets and reports the counts to the cell's placers.
type activity struct {
	router *Router
	ring   *kernel.Ring[countedRequest]
	shards map[ownership.ShardRef]uint32
	keys   map[string]*topk.Sketch // by service
}

func newActivity(r *Router) *activity {
	return &activity{
		router: r,
		ring:   kernel.NewRing[countedRequest](activityRingSize),
		shards: make(map[ownership.ShardRef]uint32),
		keys:   make(map[string]*topk.Sketch),
	}
}

// record queues a request to be counted. If the ring is full the request is not
// counted, which only makes the report less exact.
func (a *activity) record(req *admitted) {
	if req.sharded {
		a.ring.Offer(countedRequest{ref: req.ref, key: req.forward.Key})
	}
}

func (a *activity) serve(ctx context.Context) error {
	ticker := time.NewTicker(activityInterval)
	defer ticker.Stop()
	for {
		select {
		case u := <-a.ring.C():
			a.count(u)
			a.countQueued()
			sleep(ctx, activityBatchDelay)
		case <-ticker.C:
			a.router.leases.sendToPlacers(ctx, &pb.Frame{Body: &pb.Frame_Activity{Activity: a.report()}})
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *activity) countQueued() {
	for range a.ring.Len() {
		a.count(<-a.ring.C())
	}
}

func (a *activity) count(u countedRequest) {
	a.shards[u.ref]++
	if u.key == "" {
		return
	}
	sketch := a.keys[u.ref.Service]
	if sketch == nil {
		sketch = topk.New(hotKeyCounters)
		a.keys[u.ref.Service] = sketch
	}
	sketch.Add(u.key, 1)
}

// report returns the counts since the last report and resets them.
func (a *activity) report() *pb.Activity {
	self := a.router.cfg.Self
	out := &pb.Activity{Gateway: &pb.Incarnation{Host: self.Host, Run: self.Run}}
	for ref, n := range a.shards {
		out.Shards = append(out.Shards, &pb.ShardLoad{Service: ref.Service, Shard: ref.Shard, Requests: n})
	}
	for service, sketch := range a.keys {
		for _, item := range sketch.Top(maxReportedHotKeys) {
			out.Hot = append(out.Hot, &pb.KeyLoad{Service: service, Key: item.Key, Requests: uint32(item.Count - item.Error)})
		}
	}
	clear(a.shards)
	clear(a.keys)
	return out
}
