package router

import (
	"sync"
	"time"

	"github.com/mangopost/mangopost/lease"
)

const (
	// carryDelay is how long after a grant the next request carries a new one. It is
	// shorter than monitorInterval, so that a request carries the grant before the
	// monitor would send a standalone one.
	carryDelay = monitorInterval * 9 / 10
	// standaloneGrantDelay is how long after an acknowledgement in a request's answer
	// the monitor sends a standalone grant.
	standaloneGrantDelay = monitorInterval * 3 / 2
)

// targetGrants is the state of the grants to one target, which both requests and the
// monitor send. All methods are safe for concurrent use.
type targetGrants struct {
	mu             sync.Mutex
	grants         lease.Grants
	inHeaders      bool          // the target accepts grants in headers
	sentAt         time.Duration // clock reading at the newest grant
	ackedAt        time.Duration // clock reading at the newest acknowledgement
	ackedByRequest bool          // the newest acknowledgement came in a request's answer
	lastHeaderSeq  uint64        // newest grant that was sent in a header
}

// next returns the next standalone grant.
func (g *targetGrants) next(now time.Duration, gateway lease.GatewayEpoch, until time.Duration, shards []lease.ShardEpoch) lease.Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sentAt = now
	return g.grants.Next(gateway, until, shards)
}

// renewal returns the next grant to send in a header, if the target accepts it there.
func (g *targetGrants) renewal(now time.Duration, gateway lease.GatewayEpoch, until time.Duration, shards []lease.ShardEpoch) (lease.Grant, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.inHeaders {
		return lease.Grant{}, false
	}
	grant, ok := g.grants.Renewal(gateway, until, shards)
	if ok {
		g.sentAt = now
		g.lastHeaderSeq = grant.Seq
	}
	return grant, ok
}

// isDue reports whether the next request should carry a grant.
func (g *targetGrants) isDue(now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inHeaders && now-g.sentAt >= carryDelay
}

// recordAck records the acknowledgement of a grant that the monitor sent. inHeaders is
// whether the target accepts grants in headers.
func (g *targetGrants) recordAck(now time.Duration, seq uint64, inHeaders bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inHeaders = inHeaders
	g.ackedByRequest = false
	g.ackedAt = now
	g.grants.RecordAck(now, seq)
}

// recordCarriedAck records an acknowledgement in a request's answer. The target may
// have received the grant long before it answered, and the next grant, which refers to
// this one, would then expire that much earlier. Late acknowledgements are therefore
// ignored.
func (g *targetGrants) recordCarriedAck(now time.Duration, seq uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if seq != g.lastHeaderSeq || now-g.sentAt >= monitorInterval {
		return
	}
	g.ackedByRequest = true
	g.ackedAt = now
	g.grants.RecordAck(now, seq)
}

// reset makes the next grant contain the full shard list.
func (g *targetGrants) reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ackedByRequest = false
	g.inHeaders = false
	g.grants.Reset()
}

// hasDropped reports whether the target starts no more requests of a shard.
func (g *targetGrants) hasDropped(s lease.ShardEpoch) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grants.Dropped(s)
}

// standaloneAt returns the clock reading at which to send a standalone grant, if the
// newest acknowledgement came in a request's answer.
func (g *targetGrants) standaloneAt() (at time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ackedAt + standaloneGrantDelay, g.ackedByRequest
}

// isRenewal reports whether the target already has the given shard list under this
// gateway epoch.
func (g *targetGrants) isRenewal(gateway lease.GatewayEpoch, shards []lease.ShardEpoch) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.grants.Renews(gateway, shards)
}
