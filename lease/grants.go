package lease

import (
	"maps"
	"slices"
	"time"
)

const maxUnacknowledgedGrants = 8

// Grants is the gateway's side of the grants to one target. Its zero value has sent no
// grant. It is not safe for concurrent use.
type Grants struct {
	gateway        GatewayEpoch
	seq            uint64
	acked          uint64        // Seq of the newest acknowledged grant, 0 for none
	ackedAt        time.Duration // the gateway's reading when it received that acknowledgement
	unacknowledged []sentGrant
	accepted       sentGrant    // newest grant that the target acknowledged
	newest         []ShardEpoch // shard list of the newest grant
	newestSeq      uint64       // Seq of the newest grant
	// lastListedSeq holds, for each shard that newest lacks, the newest Seq that listed
	// it. A shard that the target has dropped since has no entry.
	lastListedSeq map[ShardEpoch]uint64
	faults        faults
}

type sentGrant struct {
	grant Grant
	until time.Duration // the gateway's reading at which the grant ends
}

// Next returns the grant to send now for a right that ends at until. Before the first
// acknowledgement the grant has no TTL and only asks for one.
func (g *Grants) Next(gateway GatewayEpoch, until time.Duration, shards []ShardEpoch) Grant {
	if gateway != g.gateway {
		g.Reset()
		g.gateway = gateway
	}
	g.seq++
	g.recordListed(shards)
	grant := Grant{Gateway: gateway, Seq: g.seq, Acknowledges: g.acked, Shards: slices.Clone(shards)}
	if g.hasList(shards) {
		grant.Same = g.accepted.grant.Seq
	}
	if g.acked > 0 {
		grant.TTL = max(0, until-g.ackedAt)
	}
	if g.faults.grantOutlivesVote {
		grant.TTL = until
	}
	g.unacknowledged = append(g.unacknowledged, sentGrant{grant: grant, until: g.ackedAt + grant.TTL})
	if len(g.unacknowledged) > maxUnacknowledgedGrants {
		g.unacknowledged = g.unacknowledged[1:]
	}
	return grant
}

// Renewal returns the next grant if it only renews the list that the target has.
// Otherwise ok is false and no sequence number is used.
func (g *Grants) Renewal(gateway GatewayEpoch, until time.Duration, shards []ShardEpoch) (grant Grant, ok bool) {
	if !g.Renews(gateway, shards) {
		return Grant{}, false
	}
	grant = g.Next(gateway, until, shards)
	grant.Same = g.accepted.grant.Seq
	return grant, true
}

// Renews reports whether the target has acknowledged the list, so that the next grant
// can extend its TTL without repeating it.
func (g *Grants) Renews(gateway GatewayEpoch, shards []ShardEpoch) bool {
	if gateway != g.gateway || g.acked == 0 {
		return false
	}
	return g.hasList(shards) || g.faults.renewAnyList
}

// hasList reports whether the target has the given list, whichever of the
// unacknowledged grants it has received.
func (g *Grants) hasList(shards []ShardEpoch) bool {
	if g.accepted.grant.Seq == 0 || !slices.Equal(g.accepted.grant.Shards, shards) {
		return false
	}
	return !slices.ContainsFunc(g.unacknowledged, func(s sentGrant) bool { return !slices.Equal(s.grant.Shards, shards) })
}

// recordListed records which grant lists each shard. Most grants repeat the list of the
// preceding one.
func (g *Grants) recordListed(shards []ShardEpoch) {
	before := g.newestSeq
	g.newestSeq = g.seq
	if slices.Equal(g.newest, shards) {
		return
	}
	if g.lastListedSeq == nil {
		g.lastListedSeq = make(map[ShardEpoch]uint64)
	}
	for _, s := range g.newest {
		g.lastListedSeq[s] = before
	}
	for _, s := range shards {
		delete(g.lastListedSeq, s)
	}
	g.newest = slices.Clone(shards)
}

// RecordAck records that the target acknowledged grant seq. now must be read after the
// acknowledgement was received.
func (g *Grants) RecordAck(now time.Duration, seq uint64) {
	i := slices.IndexFunc(g.unacknowledged, func(s sentGrant) bool { return s.grant.Seq == seq })
	if i < 0 {
		return
	}
	g.accepted = g.unacknowledged[i]
	g.unacknowledged = g.unacknowledged[i+1:]
	g.acked = seq
	g.ackedAt = now
	maps.DeleteFunc(g.lastListedSeq, func(_ ShardEpoch, listed uint64) bool { return listed < seq })
}

// Reset discards the target's acknowledgements because the target restarted or the
// gateway's epoch changed. Sequence numbers continue.
func (g *Grants) Reset() {
	g.acked = 0
	g.ackedAt = 0
	g.unacknowledged = nil
	g.accepted = sentGrant{}
}

// Covers reports whether the target has acknowledged an unexpired grant of s.
func (g *Grants) Covers(now time.Duration, s ShardEpoch) bool {
	return g.Running(now) && slices.Contains(g.accepted.grant.Shards, s)
}

// Running reports whether the target has acknowledged an unexpired grant.
func (g *Grants) Running(now time.Duration) bool {
	return g.accepted.grant.TTL > 0 && now < g.accepted.until
}

// Dropped reports whether the target starts no more work of s under this gateway's
// grants: it has acknowledged a grant that is newer than all grants that list s. Grants
// that it has not acknowledged may still be in its receive buffer.
func (g *Grants) Dropped(s ShardEpoch) bool {
	_, listed := g.lastListedSeq[s]
	return !listed && !slices.Contains(g.newest, s)
}
