package standin

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// grantGuard decides which requests a target that checks grants may run. Its state
// is lost when the target restarts.
type grantGuard struct {
	mu     sync.Mutex
	grants lease.TargetGuard
	start  time.Time
}

func newGrantGuard() *grantGuard { return &grantGuard{start: time.Now()} }

// accept records a grant. It reads the clock before the acknowledgement is sent.
func (g *grantGuard) accept(grant Grant) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, err := g.grants.Grant(time.Since(g.start), grant.leaseGrant())
	return err
}

// claim holds the shard and the epochs that a request states in its headers.
type claim struct {
	keyed   bool
	shard   lease.ShardEpoch
	gateway lease.GatewayEpoch
}

// check returns why a request may not run at the given time, or RefusedNone. The
// caller must use the same clock reading as the start of the run.
func (g *grantGuard) check(c claim, at time.Time) Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := at.Sub(g.start)
	err := g.grants.AdmitUnkeyed(now, c.gateway)
	if c.keyed {
		err = g.grants.Admit(now, c.gateway, c.shard)
	}
	return refusalReason(err)
}

// mayContinue reports whether a run with the given claim may continue at the given
// time.
func (g *grantGuard) mayContinue(c claim, at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := at.Sub(g.start)
	if c.keyed {
		return g.grants.Continues(now, c.shard)
	}
	return g.grants.ContinuesUnkeyed(now)
}

func refusalReason(err error) Refusal {
	var refusal *lease.Refusal
	if errors.As(err, &refusal) {
		return Refusal(refusal.Reason)
	}
	return RefusedNone
}

func (g Grant) leaseGrant() lease.Grant {
	grant := lease.Grant{
		Gateway:      lease.GatewayEpoch(g.GatewayEpoch),
		Seq:          g.Seq,
		Acknowledges: g.Acknowledges,
		TTL:          milliseconds(g.TTLMS),
		Same:         g.SameAs,
	}
	for _, s := range g.Shards {
		ref := ownership.ShardRef{Service: s.Service, Shard: s.Shard}
		grant.Shards = append(grant.Shards, lease.ShardEpoch{Shard: ref, Epoch: s.Epoch})
	}
	return grant
}
