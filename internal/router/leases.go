package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mangopost/mangopost/internal/record"
	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

const leaseRingSize = 256

// leases keep this router's leases: the duty drives the pure holder, requests
// ask it.
type leases struct {
	router *Router
	mu     sync.Mutex
	holder *record.Holder
	links  *wire.Links // to placers
	inbox  chan heard
	// changed tells the shards duty that the holder has told a change.
	changed   chan struct{}
	told      uint64        // the holder's changes that were told
	poked     chan struct{} // the holder was told something
	storeDown bool
}

type heard struct {
	from lease.Incarnation
	msg  lease.Message
}

func newLeases(r *Router) *leases {
	cfg := lease.HolderConfig{Cell: r.cfg.Cell, Self: r.cfg.Self, Timing: r.cfg.Timing}
	l := &leases{
		router: r,
		holder: record.NewHolder(cfg, r.tape),
		inbox:  make(chan heard, leaseRingSize),

		changed: make(chan struct{}, 1),
		poked:   make(chan struct{}, 1),
	}
	l.links = wire.NewLinks(r.dialer, l.deliver)
	return l
}

// right returns the gateway epoch under which this router may send to a target
// now.
func (l *leases) right(target string) (lease.GatewayEpoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	epoch, _, ok := l.holder.Right(l.router.now(), target)
	return epoch, ok
}

// serves returns the target and epoch of a shard that this router may send to
// now.
func (l *leases) serves(ref ownership.ShardRef) (string, ownership.Epoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Serves(l.router.now(), ref)
}

// claims reports whether this router is the target's gateway or is about to be.
func (l *leases) claims(target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.IsClaiming(target)
}

// doubts reports whether another router is the target's gateway and does not reach
// it.
func (l *leases) doubts(target string) bool { return slices.Contains(l.doubted(), target) }

// doubted returns the targets that other routers are the gateways of and do not
// reach.
func (l *leases) doubted() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.ReportedUnreachable()
}

// line returns the line under which this router may send to a shard now.
func (l *leases) line(ref ownership.ShardRef) (lease.Line, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Line(l.router.now(), ref)
}

// lines returns the shards that this router may send to now.
func (l *leases) lines() []lease.Line {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Lines(l.router.now())
}

// linesOf returns the shards that this router may send to a target for now.
func (l *leases) linesOf(target string) []lease.Line {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.LinesOf(l.router.now(), target)
}

// claimed returns the targets that this router is the gateway of or is about to
// be.
func (l *leases) claimed() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Claimed()
}

// until returns the reading at which the right to a target ends.
func (l *leases) until(target string) (lease.GatewayEpoch, time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Right(l.router.now(), target)
}

func (l *leases) setAlive(target string, alive bool, load uint32, drained bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.SetAlive(target, alive, load)
	l.holder.SetDrained(target, drained)
}

// leaving returns the shards that this gateway has to give up.
func (l *leases) leaving() []lease.Leaving {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Leaving()
}

// finishing returns the shards that this gateway has to give up and to which its
// right is unbroken.
func (l *leases) finishing() []lease.Leaving {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Finishing(l.router.now())
}

// release tells the voters that nothing of a shard runs any more under an
// epoch that was moved away, and which line has what is known of it.
func (l *leases) release(s lease.ShardEpoch, to lease.GatewayEpoch) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.poke()
	return l.holder.Release(l.router.now(), s.Shard, s.Epoch, to)
}

// handingOver returns the targets that another router is to be the gateway of and
// that this one has not released.
func (l *leases) handingOver() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.HandingOver()
}

// succession returns the lines that a target's handover is to join.
func (l *leases) succession(target string) (lease.Succession, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Succession(target)
}

// releaseTarget tells the voters that nothing more is sent to a target.
func (l *leases) releaseTarget(target string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.poke()
	return l.holder.ReleaseTarget(l.router.now(), target)
}

// leave asks placers to give this router's targets to others.
func (l *leases) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.SetLeaving(l.router.now())
	l.poke()
}

// fronts reports whether this router is the gateway of any target, or has still
// to tell the voters that it is not.
func (l *leases) fronts() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.IsGateway(l.router.now())
}

func (l *leases) setStoreDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if down == l.storeDown {
		return
	}
	l.storeDown = down
	l.holder.SetStoreDown(down)
	l.poke()
}

// update gives the holder what the table says.
func (l *leases) update(t *table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.router.now()
	addrs := make(map[string]string)
	for _, record := range t.records {
		l.holder.SetElectorate(now, record.Electorate())
		for _, h := range record.Hosts {
			addrs[h.Name] = h.PlacerAddr
		}
	}
	l.links.SetAddrs(addrs)
	l.holder.SetTargets(now, t.targetClaims(l.router.cfg.Cell))
	l.holder.SetShards(now, t.shardClaims(l.router.cfg.Self))
	l.tell()
	l.poke()
}

// poke makes the leases duty look at what the holder was told.
func (l *leases) poke() {
	select {
	case l.poked <- struct{}{}:
	default:
	}
}

// tell wakes the shards duty if the holder has changed. It is called under mu.
func (l *leases) tell() {
	if l.holder.Changes() == l.told {
		return
	}
	l.told = l.holder.Changes()
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// serve drives the holder until ctx ends.
func (l *leases) serve(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			l.links.Post(ctx, l.tick())
		case <-l.poked:
			l.links.Post(ctx, l.tick())
		case h := <-l.inbox:
			l.links.Post(ctx, l.step(h))
		case <-ctx.Done():
			return nil
		}
		timer.Reset(l.idleTime())
	}
}

// idleTime returns how long the duty may wait for messages.
func (l *leases) idleTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.router.now()
	return max(0, l.holder.NextTick(now)-now)
}

func (l *leases) tick() []lease.Envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.tell()
	return l.holder.Tick(l.router.now())
}

func (l *leases) step(h heard) []lease.Envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.tell()
	return l.holder.Step(l.router.now(), h.from, h.msg)
}

// tellPlacers sends a frame to every placer of the own cell.
func (l *leases) tellPlacers(ctx context.Context, frame *pb.Frame) {
	for _, record := range l.router.table.Load().records {
		if record.Cell != l.router.cfg.Cell {
			continue
		}
		for _, h := range record.Hosts {
			l.links.Offer(ctx, h.Name, frame)
		}
	}
}

func (l *leases) deliver(from lease.Incarnation, frame *pb.Frame) {
	msg, ok := wire.LeaseMessage(frame)
	if !ok {
		return
	}
	select {
	case l.inbox <- heard{from, msg}:
	default:
		l.router.metrics.leaseInboxFull.Inc()
	}
}
