package wire

import (
	"time"

	"github.com/mangopost/mangopost/internal/wire/pb"
	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// mapAll converts every item of a slice; the result for an empty slice is nil.
func mapAll[A, B any](items []A, convert func(A) B) []B {
	if len(items) == 0 {
		return nil
	}
	out := make([]B, len(items))
	for i, item := range items {
		out[i] = convert(item)
	}
	return out
}

func toIncarnation(i lease.Incarnation) *pb.Incarnation {
	return &pb.Incarnation{Host: i.Host, Run: i.Run}
}

func fromIncarnation(i *pb.Incarnation) lease.Incarnation {
	return lease.Incarnation{Host: i.GetHost(), Run: i.GetRun()}
}

func toClaim(c lease.Claim) *pb.Claim {
	return &pb.Claim{Target: c.Target, Epoch: uint64(c.Epoch), Alive: c.Alive, Load: c.Load, Drained: c.Drained}
}

func fromClaim(c *pb.Claim) lease.Claim {
	return lease.Claim{
		Target:  c.GetTarget(),
		Epoch:   lease.GatewayEpoch(c.GetEpoch()),
		Alive:   c.GetAlive(),
		Load:    c.GetLoad(),
		Drained: c.GetDrained(),
	}
}

func toVacancy(v lease.Vacancy) *pb.Vacancy {
	return &pb.Vacancy{Target: v.Target, Epoch: uint64(v.Epoch), Silent: v.Silent}
}

func fromVacancy(v *pb.Vacancy) lease.Vacancy {
	return lease.Vacancy{Target: v.GetTarget(), Epoch: lease.GatewayEpoch(v.GetEpoch()), Silent: v.GetSilent()}
}

func toShardEpoch(s lease.ShardEpoch) *pb.ShardEpoch {
	return &pb.ShardEpoch{Service: s.Shard.Service, Shard: s.Shard.Shard, Epoch: uint64(s.Epoch)}
}

func fromShardEpoch(s *pb.ShardEpoch) lease.ShardEpoch {
	ref := ownership.ShardRef{Service: s.GetService(), Shard: s.GetShard()}
	return lease.ShardEpoch{Shard: ref, Epoch: ownership.Epoch(s.GetEpoch())}
}

func toGatewayStop(g lease.GatewayStop) *pb.GatewayStop {
	return &pb.GatewayStop{Target: g.Target, Epoch: uint64(g.Epoch), Released: g.Released, Under: uint64(g.Under)}
}

func fromGatewayStop(g *pb.GatewayStop) lease.GatewayStop {
	return lease.GatewayStop{
		Target:   g.GetTarget(),
		Epoch:    lease.GatewayEpoch(g.GetEpoch()),
		Released: g.GetReleased(),
		Under:    lease.GatewayEpoch(g.GetUnder()),
	}
}

func toShardStop(s lease.ShardStop) *pb.ShardStop {
	return &pb.ShardStop{
		Service: s.Shard.Service, Shard: s.Shard.Shard, Epoch: uint64(s.Epoch), Released: s.Released,
		Under: uint64(s.Under), To: uint64(s.To),
	}
}

func fromShardStop(s *pb.ShardStop) lease.ShardStop {
	ref := ownership.ShardRef{Service: s.GetService(), Shard: s.GetShard()}
	return lease.ShardStop{
		Shard: ref, Epoch: ownership.Epoch(s.GetEpoch()), Released: s.GetReleased(),
		Under: lease.GatewayEpoch(s.GetUnder()), To: lease.GatewayEpoch(s.GetTo()),
	}
}

func toStops(s lease.Stops) *pb.Stops {
	return &pb.Stops{Gateways: mapAll(s.Gateways, toGatewayStop), Shards: mapAll(s.Shards, toShardStop)}
}

func fromStops(s *pb.Stops) lease.Stops {
	return lease.Stops{Gateways: mapAll(s.GetGateways(), fromGatewayStop), Shards: mapAll(s.GetShards(), fromShardStop)}
}

func toVoteRequest(m lease.VoteRequest) *pb.VoteRequest {
	return &pb.VoteRequest{
		Cell:      m.Cell,
		Record:    m.Record,
		Holder:    toIncarnation(m.Holder),
		Seq:       m.Seq,
		Claims:    mapAll(m.Claims, toClaim),
		StopsSeen: m.StopsSeen,
		Serving:   mapAll(m.Serving, toShardEpoch),
		Stopped:   mapAll(m.Stopped, toShardEpoch),

		Unreleased: mapAll(m.Unreleased, toShardEpoch),
		Vacant:     mapAll(m.Vacant, toVacancy),
		Leaving:    m.Leaving,

		ClaimsVersion: m.ClaimsVersion,
		Unchanged:     m.Unchanged,
	}
}

func fromVoteRequest(m *pb.VoteRequest) lease.VoteRequest {
	return lease.VoteRequest{
		Cell:      m.GetCell(),
		Record:    m.GetRecord(),
		Holder:    fromIncarnation(m.GetHolder()),
		Seq:       m.GetSeq(),
		Claims:    mapAll(m.GetClaims(), fromClaim),
		StopsSeen: m.GetStopsSeen(),
		Serving:   mapAll(m.GetServing(), fromShardEpoch),
		Stopped:   mapAll(m.GetStopped(), fromShardEpoch),

		Unreleased: mapAll(m.GetUnreleased(), fromShardEpoch),
		Vacant:     mapAll(m.GetVacant(), fromVacancy),
		Leaving:    m.GetLeaving(),

		ClaimsVersion: m.GetClaimsVersion(),
		Unchanged:     m.GetUnchanged(),
	}
}

func toVoteReply(m lease.VoteReply) *pb.VoteReply {
	return &pb.VoteReply{
		Cell:     m.Cell,
		Record:   m.Record,
		Voter:    toIncarnation(m.Voter),
		Holder:   toIncarnation(m.Holder),
		Seq:      m.Seq,
		Granted:  mapAll(m.Granted, toClaim),
		Stops:    toStops(m.Stops),
		StopsSeq: m.StopsSeq,
		Vacant:   mapAll(m.Vacant, toVacancy),

		StoreLeftMs: m.StoreLeft.Milliseconds(),
		GrantedAll:  m.GrantedAll,
		ClaimsHeld:  m.ClaimsHeld,
	}
}

func fromVoteReply(m *pb.VoteReply) lease.VoteReply {
	return lease.VoteReply{
		Cell:     m.GetCell(),
		Record:   m.GetRecord(),
		Voter:    fromIncarnation(m.GetVoter()),
		Holder:   fromIncarnation(m.GetHolder()),
		Seq:      m.GetSeq(),
		Granted:  mapAll(m.GetGranted(), fromClaim),
		Stops:    fromStops(m.GetStops()),
		StopsSeq: m.GetStopsSeq(),
		Vacant:   mapAll(m.GetVacant(), fromVacancy),

		StoreLeft:  time.Duration(m.GetStoreLeftMs()) * time.Millisecond,
		GrantedAll: m.GetGrantedAll(),
		ClaimsHeld: m.GetClaimsHeld(),
	}
}

func toStopRequest(m lease.StopRequest) *pb.StopRequest {
	return &pb.StopRequest{
		Cell:       m.Cell,
		Record:     m.Record,
		From:       toIncarnation(m.From),
		Seq:        m.Seq,
		Stops:      toStops(m.Stops),
		IfReleased: m.IfReleased,
	}
}

func fromStopRequest(m *pb.StopRequest) lease.StopRequest {
	return lease.StopRequest{
		Cell:       m.GetCell(),
		Record:     m.GetRecord(),
		From:       fromIncarnation(m.GetFrom()),
		Seq:        m.GetSeq(),
		Stops:      fromStops(m.GetStops()),
		IfReleased: m.GetIfReleased(),
	}
}

func toStopReply(m lease.StopReply) *pb.StopReply {
	return &pb.StopReply{
		Cell:     m.Cell,
		Record:   m.Record,
		Voter:    toIncarnation(m.Voter),
		Holder:   toIncarnation(m.Holder),
		Seq:      m.Seq,
		Done:     m.Done,
		Released: mapAll(m.Released, toShardStop),

		ReleasedGateways: mapAll(m.ReleasedGateways, toGatewayStop),
	}
}

func fromStopReply(m *pb.StopReply) lease.StopReply {
	return lease.StopReply{
		Cell:     m.GetCell(),
		Record:   m.GetRecord(),
		Voter:    fromIncarnation(m.GetVoter()),
		Holder:   fromIncarnation(m.GetHolder()),
		Seq:      m.GetSeq(),
		Done:     m.GetDone(),
		Released: mapAll(m.GetReleased(), fromShardStop),

		ReleasedGateways: mapAll(m.GetReleasedGateways(), fromGatewayStop),
	}
}

func toJoinRequest(m lease.JoinRequest) *pb.JoinRequest {
	return &pb.JoinRequest{Cell: m.Cell, Record: m.Record, From: toIncarnation(m.From)}
}

func fromJoinRequest(m *pb.JoinRequest) lease.JoinRequest {
	return lease.JoinRequest{Cell: m.GetCell(), Record: m.GetRecord(), From: fromIncarnation(m.GetFrom())}
}

func toJoinReply(m lease.JoinReply) *pb.JoinReply {
	return &pb.JoinReply{
		Cell:   m.Cell,
		Record: m.Record,
		Voter:  toIncarnation(m.Voter),
		Done:   m.Done,
		Stops:  toStops(m.Stops),
		Ready:  m.Ready,
	}
}

func fromJoinReply(m *pb.JoinReply) lease.JoinReply {
	return lease.JoinReply{
		Cell:   m.GetCell(),
		Record: m.GetRecord(),
		Voter:  fromIncarnation(m.GetVoter()),
		Done:   m.GetDone(),
		Stops:  fromStops(m.GetStops()),
		Ready:  m.GetReady(),
	}
}
