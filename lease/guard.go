package lease

import (
	"fmt"
	"time"

	"github.com/mangopost/mangopost/ownership"
)

// Grant tells a target that checks grants which shards it may serve and for how long.
// The list is complete: a shard that it lacks is no longer granted.
type Grant struct {
	Gateway      GatewayEpoch
	Seq          uint64        // rises with each grant of a gateway
	Acknowledges uint64        // Seq of the newest acknowledged grant, 0 for none
	TTL          time.Duration // counts from when the target sent that acknowledgement
	Shards       []ShardEpoch
	// Same is the Seq of an acknowledged grant with the same list, so that the list
	// need not be sent again; 0 if there is none.
	Same uint64
}

// RefusalReason is a reason code of the target protocol.
type RefusalReason string

// Reasons for which a target refuses a grant or a request.
const (
	StaleGatewayEpoch RefusalReason = "stale-gateway-epoch"
	StaleOwnerEpoch   RefusalReason = "stale-owner-epoch"
	StaleSequence     RefusalReason = "stale-sequence"
	NoGrant           RefusalReason = "no-grant"
)

// Refusal is the error for a refused grant or request.
type Refusal struct {
	Reason  RefusalReason
	Gateway GatewayEpoch // highest gateway epoch that the target has seen
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (highest gateway epoch %d)", r.Reason, r.Gateway)
}

const maxAcksKept = 32

// TargetGuard is the target's side of grants, for targets that check grants and for
// stand-ins of such targets. Its zero value has received no grant and admits nothing.
// It is not safe for concurrent use.
type TargetGuard struct {
	gateway       GatewayEpoch
	seq           uint64
	listSeq       uint64 // Seq of the grant that carried the current list
	acks          map[uint64]time.Duration
	highest       map[ownership.ShardRef]ownership.Epoch
	granted       map[ownership.ShardRef]ownership.Epoch
	expires       time.Duration
	continueUntil time.Duration // end of the newest grant that had a TTL, from any gateway
	faults        faults
}

// Grant applies a grant and returns the number to acknowledge. now must be read before
// the acknowledgement is sent. The error is a *Refusal.
func (g *TargetGuard) Grant(now time.Duration, grant Grant) (ack uint64, err error) {
	if grant.Gateway < g.gateway {
		return 0, g.newRefusal(StaleGatewayEpoch)
	}
	if grant.Gateway > g.gateway || g.acks == nil {
		g.reset(grant.Gateway)
	}
	if grant.Seq <= g.seq || !g.hasListOf(grant.Same) {
		return 0, g.newRefusal(StaleSequence)
	}
	g.seq = grant.Seq
	if grant.Same == 0 {
		g.replaceList(grant.Shards)
		g.listSeq = grant.Seq
	}
	g.expires = g.expiry(now, grant)
	if grant.Acknowledges > 0 {
		g.continueUntil = g.expires
	}
	g.acknowledge(now, grant.Seq)
	return grant.Seq, nil
}

func (g *TargetGuard) reset(gateway GatewayEpoch) {
	g.gateway = gateway
	g.seq = 0
	g.listSeq = 0
	g.acks = make(map[uint64]time.Duration)
	if g.highest == nil {
		g.highest = make(map[ownership.ShardRef]ownership.Epoch)
	}
}

// hasListOf reports whether the current list is still that of grant same. A newer list
// may have arrived in a grant whose acknowledgement was lost.
func (g *TargetGuard) hasListOf(same uint64) bool {
	return same == 0 || g.listSeq > 0 && g.listSeq <= same && same <= g.seq
}

// replaceList replaces the whole list, leaving out shards whose epoch is below the
// highest one seen.
func (g *TargetGuard) replaceList(shards []ShardEpoch) {
	g.granted = make(map[ownership.ShardRef]ownership.Epoch, len(shards))
	for _, s := range shards {
		if s.Epoch >= g.highest[s.Shard] {
			g.highest[s.Shard] = s.Epoch
			g.granted[s.Shard] = s.Epoch
		}
	}
}

func (g *TargetGuard) expiry(now time.Duration, grant Grant) time.Duration {
	if g.faults.grantFromReceipt && grant.Acknowledges > 0 {
		return now + grant.TTL
	}
	sent, ok := g.acks[grant.Acknowledges]
	if !ok {
		return now
	}
	return sent + grant.TTL
}

func (g *TargetGuard) acknowledge(now time.Duration, seq uint64) {
	g.acks[seq] = now
	for old := range g.acks {
		if old+maxAcksKept <= seq {
			delete(g.acks, old)
		}
	}
}

// Admit returns nil if a request for a shard may run now; otherwise the error is a
// *Refusal.
func (g *TargetGuard) Admit(now time.Duration, gateway GatewayEpoch, s ShardEpoch) error {
	if err := g.AdmitUnkeyed(now, gateway); err != nil {
		return err
	}
	if s.Epoch < g.highest[s.Shard] {
		return g.newRefusal(StaleOwnerEpoch)
	}
	if granted, ok := g.granted[s.Shard]; !ok || granted != s.Epoch {
		return g.newRefusal(NoGrant)
	}
	return nil
}

// Continues reports whether running work of a shard may continue at now. The first
// grant of a gateway has no TTL but keeps the remaining time of the preceding gateway's
// grant for the shards that it lists, so that running work survives a handover of the
// target.
func (g *TargetGuard) Continues(now time.Duration, s ShardEpoch) bool {
	granted, ok := g.granted[s.Shard]
	return ok && granted == s.Epoch && g.ContinuesUnkeyed(now)
}

// ContinuesUnkeyed is like Continues for a service that is not sharded by key.
func (g *TargetGuard) ContinuesUnkeyed(now time.Duration) bool { return now < g.continueUntil }

// AdmitUnkeyed is like Admit for a service that is not sharded by key.
func (g *TargetGuard) AdmitUnkeyed(now time.Duration, gateway GatewayEpoch) error {
	if gateway < g.gateway {
		return g.newRefusal(StaleGatewayEpoch)
	}
	if gateway > g.gateway || now >= g.expires {
		return g.newRefusal(NoGrant)
	}
	return nil
}

func (g *TargetGuard) newRefusal(reason RefusalReason) error {
	return &Refusal{Reason: reason, Gateway: g.gateway}
}
