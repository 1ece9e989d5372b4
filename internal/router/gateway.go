package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// gateway runs requests on the targets that this router holds a lease for.
type gateway struct {
	router  *Router
	dedup   *dedupTable
	mu      sync.RWMutex
	workers map[string]*runningWorker // by target
	learned learnedInbox

	answering atomic.Int64 // requests of peers whose answer is not sent yet
	stopping  atomic.Bool  // new requests are refused
}

// admitted is a request together with the gateway and owner epochs under which it was
// admitted.
type admitted struct {
	forward *pb.Forward
	sharded bool
	ref     ownership.ShardRef
	owner   ownership.Epoch
	epoch   lease.GatewayEpoch
	line    lease.Line // of a sharded request
	first   *firstRun  // of a request that must run at most once
	worker  *worker

	deadline  time.Time
	sent      time.Time // local clock reading, not later than when the ingress sent the request
	attempted bool      // an attempt was made to send it to its target
}

// handle runs one request, or returns an answer that says why it did not. sent is a
// reading of the local clock that is not later than when the ingress sent the request.
func (g *gateway) handle(ctx context.Context, f *pb.Forward, sent time.Time, out sink) *pb.Answer {
	if g.stopping.Load() {
		return notMine(f.Id, reasonStopping)
	}
	g.router.quarantine.awaitPending(ctx, f.Fingerprint)
	isRefused, isProbe := g.router.quarantine.checkRequest(f)
	if isRefused {
		g.router.log.Emit(evQuarantined, "request", f.Id, "service", f.Service, "key", f.Key)
		return notRun(f.Id, reasonQuarantined)
	}
	a := g.execute(ctx, f, sent, out)
	if isProbe {
		g.router.quarantine.recordProbeEnd(f, a)
	}
	return a
}

// execute runs a request that is not quarantined.
func (g *gateway) execute(ctx context.Context, f *pb.Forward, sent time.Time, out sink) *pb.Answer {
	req, a := g.authorize(f)
	if a != nil {
		return a
	}
	req.sent = sent
	req.worker.beginRequest(req)
	a = g.runAuthorized(ctx, req, out)
	req.worker.endRequest(req, a)
	return a
}

// runAuthorized runs a request that is already counted as running at its worker.
func (g *gateway) runAuthorized(ctx context.Context, req *admitted, out sink) *pb.Answer {
	f := req.forward
	if !g.stillAuthorized(req) {
		return notMine(f.Id, reasonNoOwner)
	}
	if f.Idempotent || f.IdempotencyKey == "" {
		return req.worker.run(ctx, req, out)
	}
	return g.runAtMostOnce(ctx, req, out)
}

// authorize finds the right under which a request may run: that of the shard's owner
// for a sharded request, else that of the named target.
func (g *gateway) authorize(f *pb.Forward) (*admitted, *pb.Answer) {
	req := &admitted{forward: f, sharded: f.OwnerEpoch > 0}
	req.deadline = time.Now().Add(time.Duration(f.DeadlineMs) * time.Millisecond)
	name := f.Target
	if req.sharded {
		req.ref = ownership.ShardRef{Service: f.Service, Shard: f.Shard}
		line, ok := g.router.leases.line(req.ref)
		if !ok {
			return nil, notMine(f.Id, reasonNoOwner)
		}
		// The table is loaded after the line was read, so it is never older than the
		// page that the line comes from.
		if !g.router.table.Load().lineOwnsKey(f, line) {
			return nil, notMine(f.Id, reasonNoOwner)
		}
		name = line.Target
		req.owner = line.Epoch
		req.line = line
	}
	epoch, ok := g.router.leases.right(name)
	if !ok {
		return nil, notMine(f.Id, reasonNoLease)
	}
	req.epoch = epoch
	req.worker = g.worker(name)
	if req.worker == nil {
		return nil, notMine(f.Id, reasonNotGateway)
	}
	return req, nil
}

// lineOwnsKey reports whether a request's key belongs to the shard of a line, at the
// line's epoch. The ingress may have an older page, from before the key was pinned or
// unpinned.
func (t *table) lineOwnsKey(f *pb.Forward, line lease.Line) bool {
	s := t.services[f.Service]
	if s == nil || !s.hasPage {
		return false
	}
	key, sharded := shardKey(s, f)
	if !sharded {
		return false
	}
	number, shard := s.page.Lookup(key)
	isAgreedNext := shard.Next != nil && shard.Next.Epoch == line.Epoch
	return number == line.Shard.Shard && (shard.Epoch == line.Epoch || isAgreedNext)
}

// stillAuthorized reads the clock again and reports whether the right under which a
// request was admitted is still valid.
func (g *gateway) stillAuthorized(req *admitted) bool {
	epoch, ok := g.router.leases.right(req.worker.name)
	if !ok || epoch != req.epoch {
		return false
	}
	if !req.sharded {
		return true
	}
	owner, shardEpoch, ok := g.router.leases.serves(req.ref)
	return ok && owner == req.worker.name && shardEpoch == req.owner
}
