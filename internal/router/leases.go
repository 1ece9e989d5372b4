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

// leases keeps this router's leases: its duty drives the holder, a state machine
// without I/O, and requests query the holder.
type leases struct {
	router *Router
	mu     sync.Mutex
	holder *record.Holder
	links  *wire.Links // to placers
	inbox  chan receivedMessage
	// changed signals the shards duty that the holder's state has changed.
	changed         chan struct{}
	notifiedChanges uint64        // holder's change count at the last signal
	wake            chan struct{} // signals that the holder has new input
	storeDown       bool
}

type receivedMessage struct {
	from lease.Incarnation
	msg  lease.Message
}

func newLeases(r *Router) *leases {
	cfg := lease.HolderConfig{Cell: r.cfg.Cell, Self: r.cfg.Self, Timing: r.cfg.Timing}
	l := &leases{
		router: r,
		holder: record.NewHolder(cfg, r.recorder),
		inbox:  make(chan receivedMessage, leaseRingSize),

		changed: make(chan struct{}, 1),
		wake:    make(chan struct{}, 1),
	}
	l.links = wire.NewLinks(r.dialer, l.deliver)
	return l
}

// right returns the gateway epoch under which this router may send to a target now.
func (l *leases) right(target string) (lease.GatewayEpoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	epoch, _, ok := l.holder.Right(l.router.now(), target)
	return epoch, ok
}

// serves returns the target and epoch of a shard if this router may send to it now.
func (l *leases) serves(ref ownership.ShardRef) (string, ownership.Epoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Serves(l.router.now(), ref)
}

// isClaiming reports whether this router is the target's gateway or is about to be.
func (l *leases) isClaiming(target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.IsClaiming(target)
}

// isReportedUnreachable reports whether another router is the target's gateway and does
// not reach it.
func (l *leases) isReportedUnreachable(target string) bool {
	return slices.Contains(l.reportedUnreachable(), target)
}

// reportedUnreachable returns the targets whose gateways are other routers that do not
// reach them.
func (l *leases) reportedUnreachable() []string {
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

// claimed returns the targets that this router is the gateway of or is about to be.
func (l *leases) claimed() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Claimed()
}

// rightUntil returns the gateway epoch of a target and the clock reading at which the
// right to send to it ends.
func (l *leases) rightUntil(target string) (lease.GatewayEpoch, time.Duration, bool) {
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

// finishing returns the shards that this gateway has to give up and for which its right
// has not been interrupted.
func (l *leases) finishing() []lease.Leaving {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Finishing(l.router.now())
}

// release tells the voters that no request of a shard runs any more under an epoch that
// was moved away, and which line received its dedup table.
func (l *leases) release(s lease.ShardEpoch, to lease.GatewayEpoch) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.wakeHolder()
	return l.holder.Release(l.router.now(), s.Shard, s.Epoch, to)
}

// handingOver returns the targets that another router is to become the gateway of and
// that this one has not released yet.
func (l *leases) handingOver() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.HandingOver()
}

// succession returns the lines before and after the handover of a target.
func (l *leases) succession(target string) (lease.Succession, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder.Succession(target)
}

// releaseTarget tells the voters that this router sends nothing more to a target.
func (l *leases) releaseTarget(target string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.wakeHolder()
	return l.holder.ReleaseTarget(l.router.now(), target)
}

// leave asks the placers to give this router's targets to other routers.
func (l *leases) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.SetLeaving(l.router.now())
	l.wakeHolder()
}

// isGateway reports whether this router is the gateway of any target, or has yet to
// tell the voters that it no longer is.
func (l *leases) isGateway() bool {
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
	l.wakeHolder()
}

// update passes a new routing table to the holder.
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
	l.notifyChanges()
	l.wakeHolder()
}

// wakeHolder makes the leases duty tick the holder, which has new input.
func (l *leases) wakeHolder() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// notifyChanges wakes the shards duty if the holder has changed. The caller holds mu.
func (l *leases) notifyChanges() {
	if l.holder.Changes() == l.notifiedChanges {
		return
	}
	l.notifiedChanges = l.holder.Changes()
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
		case <-l.wake:
			l.links.Post(ctx, l.tick())
		case h := <-l.inbox:
			l.links.Post(ctx, l.step(h))
		case <-ctx.Done():
			return nil
		}
		timer.Reset(l.untilNextTick())
	}
}

// untilNextTick returns how long the duty may wait for messages.
func (l *leases) untilNextTick() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.router.now()
	return max(0, l.holder.NextTick(now)-now)
}

func (l *leases) tick() []lease.Envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.notifyChanges()
	return l.holder.Tick(l.router.now())
}

func (l *leases) step(received receivedMessage) []lease.Envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.notifyChanges()
	return l.holder.Step(l.router.now(), received.from, received.msg)
}

// sendToPlacers sends a frame to every placer of this router's cell.
func (l *leases) sendToPlacers(ctx context.Context, frame *pb.Frame) {
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
	msg, ok := wire.DecodeLeaseMessage(frame)
	if !ok {
		return
	}
	select {
	case l.inbox <- receivedMessage{from, msg}:
	default:
		l.router.metrics.leaseInboxFull.Inc()
	}
}
