package placer

import (
	"context"
	"time"

	"github.com/mangopost/mangopost/internal/platform"
	"github.com/mangopost/mangopost/internal/syncer"
	"github.com/mangopost/mangopost/membership"
	"github.com/mangopost/mangopost/ownership"
)

const (
	membersInterval = 100 * time.Millisecond
	routerQueueSize = 16
	// settleTimeout is longer than a change of voters takes.
	settleTimeout = 2 * time.Second
)

// unsettledRecord is the unsettled record that a joining host is waiting for.
type unsettledRecord struct {
	number uint64
	since  time.Duration
}

// serveMembers keeps this host in its cell's record, records its router there
// and completes changes of voters.
func (p *Placer) serveMembers(ctx context.Context) error {
	return runEvery(ctx, membersInterval, p.reconcileMembers)
}

func (p *Placer) reconcileMembers(ctx context.Context) {
	record, known := p.cache.View().Records[p.cfg.Cell]
	if !p.watch.isStoreReachable() {
		return
	}
	if !known || !p.isMember(record.Value) {
		p.logUpdateError("join", p.join(ctx))
		return
	}
	p.recoverLostStops(ctx, record.Value)
	p.settle(ctx, record.Value)
	p.recordRouters(ctx)
}

func (p *Placer) isMember(r membership.Record) bool {
	for _, h := range r.Hosts {
		if h.Voter() == p.cfg.Self {
			return true
		}
	}
	return false
}

func (p *Placer) recordName() string { return platform.CellPrefix + p.cfg.Cell }

func (p *Placer) selfHost() membership.Host {
	return membership.Host{
		Name:       p.cfg.Self.Host,
		PlacerRun:  p.cfg.Self.Run,
		PlacerAddr: p.cfg.advertisedAddr(),
	}
}

// join makes this process a voter by a conditional update of the cell's record.
func (p *Placer) join(ctx context.Context) error {
	return update(ctx, p, p.recordName(), isOwnRecordWrite, func(r membership.Record, s ownership.Stamp) (membership.Record, error) {
		if r.Number == 0 {
			return membership.NewRecord(p.cfg.Cell, p.cfg.DataCentre, p.cfg.Region, p.selfHost(), s), nil
		}
		if p.isMember(r) {
			return r, errNoChange
		}
		host := p.selfHost()
		host.RouterRun, host.RouterAddr = recordedRouter(r, host.Name)
		next, err := p.addHost(r, host, s)
		if err == nil {
			p.log.Emit(evJoined, "cell", r.Cell, "record", next.Number, "host", host.Name)
		}
		return next, err
	})
}

// addHost adds the host to the record. It waits while the last change of voters is not
// settled. After settleTimeout it forces the join, as every voter that could have settled
// the change was restarted.
func (p *Placer) addHost(r membership.Record, host membership.Host, s ownership.Stamp) (membership.Record, error) {
	if r.Settled {
		p.unsettled = unsettledRecord{}
		return membership.Join(r, host, s)
	}
	if p.unsettled.number != r.Number {
		p.unsettled = unsettledRecord{number: r.Number, since: p.now()}
	}
	if p.now()-p.unsettled.since < settleTimeout {
		return r, errNoChange
	}
	return membership.ForceJoin(r, host, s)
}

// recordedRouter returns the run and the address of a host's router in the record. The
// router keeps running when the placer beside it restarts.
func recordedRouter(r membership.Record, host string) (run uint64, addr string) {
	for _, h := range r.Hosts {
		if h.Name == host {
			return h.RouterRun, h.RouterAddr
		}
	}
	return 0, ""
}

// settle marks the record as settled once its voters have taken over.
func (p *Placer) settle(ctx context.Context, r membership.Record) {
	if r.Settled || !p.voting.isSettled() {
		return
	}
	err := update(ctx, p, p.recordName(), isOwnRecordWrite, func(current membership.Record, s ownership.Stamp) (membership.Record, error) {
		if current.Settled || current.Number != r.Number {
			return current, errNoChange
		}
		p.log.Emit(evSettled, "cell", current.Cell, "record", current.Number)
		return membership.Settle(current, r.Number, s)
	})
	p.logUpdateError("settle", err)
}

// enqueueRouter queues a router that subscribed here for the members duty. When the
// queue is full the router is dropped.
func (p *Placer) enqueueRouter(r syncer.Router) {
	select {
	case p.routerQueue <- r:
	default:
	}
}

func (p *Placer) recordRouters(ctx context.Context) {
	for {
		select {
		case r := <-p.routerQueue:
			p.logUpdateError("record router", p.setRouter(ctx, r))
		default:
			return
		}
	}
}

func (p *Placer) setRouter(ctx context.Context, router syncer.Router) error {
	return update(ctx, p, p.recordName(), isOwnRecordWrite, func(r membership.Record, s ownership.Stamp) (membership.Record, error) {
		run, addr := recordedRouter(r, router.Run.Host)
		if run > router.Run.Run || run == router.Run.Run && addr == router.Addr {
			return r, errNoChange
		}
		p.log.Emit(evRouterRecorded, "host", router.Run.Host, "run", router.Run.Run)
		return membership.SetRouter(r, router.Run.Host, router.Run.Run, router.Addr, s)
	})
}

// logUpdateError logs an update that was not accepted, if err is not nil.
func (p *Placer) logUpdateError(operation string, err error) {
	if err != nil {
		p.log.Emit(evUpdateFailed, "what", operation, "error", err.Error())
	}
}
