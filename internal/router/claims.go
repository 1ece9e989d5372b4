package router

import (
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
	"github.com/mangopost/mangopost/template"
)

// targetClaims returns the targets of a cell. This router may be the gateway of any of
// them, or may have been and has to hand it over.
func (t *table) targetClaims(cell string) []lease.TargetClaim {
	var claims []lease.TargetClaim
	for _, dst := range t.targets {
		if dst.cell != cell {
			continue
		}
		claims = append(claims, lease.TargetClaim{
			Target:     dst.name,
			Service:    dst.service,
			First:      dst.firstEpoch,
			Candidates: dst.candidates,
		})
	}
	return claims
}

// shardClaims returns the shards that are relevant for this router.
func (t *table) shardClaims(self lease.Incarnation) []lease.ShardClaim {
	var claims []lease.ShardClaim
	for name, s := range t.services {
		for n := range len(s.page.Shards) + len(s.page.Pins) {
			shard, _ := s.page.Shard(uint32(n))
			if !t.isShardRelevant(shard, self) {
				continue
			}
			ref := ownership.ShardRef{Service: name, Shard: uint32(n)}
			needsStore := s.template.WhenCut == template.CutMove
			claims = append(claims, lease.ShardClaim{Ref: ref, Shard: shard, NeedsStore: needsStore})
		}
	}
	return claims
}

// isShardRelevant reports whether this router is a gateway candidate of the shard's
// owner, of the agreed next owner, or of the previous owner in an unfinished move.
func (t *table) isShardRelevant(shard ownership.Shard, self lease.Incarnation) bool {
	if t.mayBeGateway(shard.Target, self) {
		return true
	}
	if shard.Next != nil && t.mayBeGateway(shard.Next.Target, self) {
		return true
	}
	return shard.Move != nil && t.mayBeGateway(shard.Move.From.Target, self)
}

func (t *table) mayBeGateway(name string, self lease.Incarnation) bool {
	dst := t.targets[name]
	return dst != nil && dst.isCandidate(self)
}
