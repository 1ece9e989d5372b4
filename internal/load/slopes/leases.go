package slopes

import (
	"fmt"
	"time"

	"github.com/mangopost/mangopost/internal/wire"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// streamHeaderBytes is the size of the yamux header before each write.
const streamHeaderBytes = 12

// tickInterval is the interval between ticks of a holder with messages in flight.
const tickInterval = 20 * time.Millisecond

// cell simulates one gateway of a cell and its voters. Messages between them are
// delivered immediately and in order.
type cell struct {
	now    time.Duration
	self   lease.Incarnation
	holder *lease.Holder
	voters map[lease.Incarnation]*lease.Voter
	bytes  int // total size of all messages, both ways
	frames int
	sent   []voterMessage // messages sent to voters in the last heartbeat interval
}

// voterMessage is a message from the gateway to a voter.
type voterMessage struct {
	to  lease.Incarnation
	msg lease.Message
}

// newCell returns a cell whose gateway holds the leases of all targets.
func newCell(voters, targets, shards int) *cell {
	c := &cell{self: lease.Incarnation{Host: "dc-1-host-0000", Run: 1780000000000000000}, voters: make(map[lease.Incarnation]*lease.Voter)}
	electorate := lease.Electorate{Cell: "dc-1-cell-001", Record: 1}
	for i := range voters {
		id := lease.Incarnation{Host: fmt.Sprintf("dc-1-host-%04d", i), Run: 1780000000000000000}
		electorate.Voters = append(electorate.Voters, id)
	}
	claims := newTargetClaims(c.self, targets)
	for _, id := range electorate.Voters {
		v := lease.NewVoter(lease.VoterConfig{Cell: electorate.Cell, Self: id, Timing: lease.DefaultTiming})
		v.SetElectorate(0, electorate)
		v.SetTargets(0, targetNames(claims))
		c.voters[id] = v
	}
	c.holder = lease.NewHolder(lease.HolderConfig{Cell: electorate.Cell, Self: c.self, Timing: lease.DefaultTiming})
	c.holder.SetElectorate(0, electorate)
	c.holder.SetTargets(0, claims)
	c.holder.SetShards(0, newShardClaims(claims, shards))
	for _, claim := range claims {
		c.holder.SetAlive(claim.Target, true, 100)
	}
	c.warmUp()
	return c
}

func newTargetClaims(self lease.Incarnation, n int) []lease.TargetClaim {
	claims := make([]lease.TargetClaim, n)
	for i := range claims {
		claims[i] = lease.TargetClaim{
			Target:     fmt.Sprintf("katalog-%05d", i),
			Service:    "katalog",
			First:      1,
			Candidates: []lease.Incarnation{self},
		}
	}
	return claims
}

func targetNames(claims []lease.TargetClaim) []string {
	names := make([]string, 0, len(claims))
	for _, c := range claims {
		names = append(names, c.Target)
	}
	return names
}

func newShardClaims(targets []lease.TargetClaim, perTarget int) []lease.ShardClaim {
	var claims []lease.ShardClaim
	for i, t := range targets {
		for j := range perTarget {
			claims = append(claims, lease.ShardClaim{
				Ref: ownership.ShardRef{Service: "katalog", Shard: uint32(i*perTarget + j)},
				Shard: ownership.Shard{
					Assignment: ownership.Assignment{Cell: "dc-1-cell-001", Target: t.Target, Epoch: 1},
				},
			})
		}
	}
	return claims
}

// warmUp runs ten heartbeats, after which the gateway must hold its leases.
func (c *cell) warmUp() {
	for range 10 {
		c.heartbeat()
	}
	if _, _, ok := c.holder.Right(c.now, "katalog-00000"); !ok {
		panic("slopes: the gateway holds no lease after 10 heartbeats")
	}
}

// heartbeat advances the cell by one heartbeat interval.
func (c *cell) heartbeat() {
	end := c.now + lease.DefaultTiming.Heartbeat
	c.sent = c.sent[:0]
	for c.now < end {
		c.now += tickInterval
		c.deliver(c.holder.Tick(c.now))
		for _, v := range c.voters {
			v.Tick(c.now)
		}
	}
}

func (c *cell) deliver(envelopes []lease.Envelope) {
	for _, e := range envelopes {
		c.countMessage(c.self, e.To, e.Msg)
		c.sent = append(c.sent, voterMessage{e.To, e.Msg})
		for _, reply := range c.voters[e.To].Step(c.now, c.self, e.Msg) {
			c.countMessage(e.To, c.self, reply.Msg)
			c.deliver(c.holder.Step(c.now, e.To, reply.Msg))
		}
	}
}

// countMessage adds a message to the totals.
func (c *cell) countMessage(from, to lease.Incarnation, m lease.Message) {
	size, err := wire.LeaseBytes(from, to, m)
	if err != nil {
		panic(err) // unreachable: every lease message can be encoded
	}
	c.bytes += size + streamHeaderBytes
	c.frames++
}

// heartbeatBytes returns the size of one heartbeat interval's messages, both ways.
func (c *cell) heartbeatBytes() float64 {
	before := c.bytes
	c.heartbeat()
	return float64(c.bytes - before)
}

// heartbeatCPU returns the CPU time of one heartbeat interval in nanoseconds: that
// of the holder, of every voter, and of encoding and decoding their messages.
func (c *cell) heartbeatCPU() float64 { return cpuNS(c.heartbeat) }

// Leases measures the heartbeats of one gateway and its check that it may serve a
// shard.
func Leases() []Slope {
	const voters, targets, shards = 3, 8, shardsPerTarget
	targetCounts, voterCounts, shardCounts := doubling(1, 128), []int{1, 3, 5, 7}, doubling(1, 256)
	bytesOf := func(v, t, s int) float64 { return newCell(v, t, s).heartbeatBytes() }
	cpuOf := func(v, t, s int) float64 { return newCell(v, t, s).heartbeatCPU() }
	return []Slope{
		measureSlope("heartbeat of a gateway, 3 voters", "target", "bytes, both ways", targetCounts,
			func(n int) float64 { return bytesOf(voters, n, 1) }),
		measureSlope("heartbeat of a gateway, 8 targets", "voter", "bytes, both ways", voterCounts,
			func(n int) float64 { return bytesOf(n, targets, 1) }),
		measureSlope("heartbeat of a gateway, 3 voters, 8 targets", "shard of a target", "bytes, both ways", shardCounts,
			func(n int) float64 { return bytesOf(voters, targets, n) }),
		measureSlope("heartbeat of a gateway and 3 voters", "target", "ns of CPU", targetCounts,
			func(n int) float64 { return cpuOf(voters, n, 1) }),
		measureSlope("heartbeat of a gateway, 8 targets", "voter", "ns of CPU", voterCounts,
			func(n int) float64 { return cpuOf(n, targets, 1) }),
		measureSlope("heartbeat of a gateway, 3 voters, 8 targets", "shard of a target", "ns of CPU", shardCounts,
			func(n int) float64 { return cpuOf(voters, targets, n) }),
		measureSlope("right to send, 8 targets", "shard of a target", "ns of CPU", shardCounts, func(n int) float64 {
			c := newCell(voters, targets, n)
			ref := ownership.ShardRef{Service: "katalog"}
			return cpuNS(func() { c.holder.Serves(c.now, ref) })
		}),
	}
}
