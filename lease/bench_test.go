package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangopost/mangopost/lease"
	"github.com/mangopost/mangopost/ownership"
)

// newBusyCell returns a holder with many active targets and shards, and a function that
// exchanges its messages with the cell's three voters.
func newBusyCell(targets, shards int) (holder *lease.Holder, round func(now time.Duration)) {
	hosts := []lease.Incarnation{router("a"), router("b"), router("c")}
	electorate := lease.Electorate{Cell: "x", Record: 1, Voters: hosts}
	voters := make(map[lease.Incarnation]*lease.Voter)
	for _, id := range hosts {
		voters[id] = lease.NewVoter(lease.VoterConfig{Cell: "x", Self: id, Timing: lease.DefaultTiming})
		voters[id].SetElectorate(0, electorate)
	}
	holder = lease.NewHolder(lease.HolderConfig{Cell: "x", Self: hosts[0], Timing: lease.DefaultTiming})
	holder.SetElectorate(0, electorate)
	var claims []lease.TargetClaim
	for i := range targets {
		claims = append(claims, lease.TargetClaim{Target: fmt.Sprint("t", i), First: 1, Candidates: hosts})
	}
	holder.SetTargets(0, claims)
	var owned []lease.ShardClaim
	for i := range shards {
		place := ownership.Place{Cell: "x", Target: fmt.Sprint("t", i%targets)}
		owned = append(owned, lease.ShardClaim{Ref: ref(uint32(i)), Shard: ownership.Shard{Assignment: place.At(1)}})
	}
	holder.SetShards(0, owned)
	round = func(now time.Duration) {
		for _, request := range holder.Tick(now) {
			for _, answer := range voters[request.To].Step(now, hosts[0], request.Msg) {
				holder.Step(now, request.To, answer.Msg)
			}
		}
	}
	for now := time.Duration(0); now < time.Second; now += 10 * ms {
		round(now)
	}
	return holder, round
}

// BenchmarkHeartbeat measures one heartbeat of a holder to three voters and back, all
// on one core.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []struct{ targets, shards int }{{10, 100}, {20, 200}, {40, 400}, {80, 800}} {
		b.Run(fmt.Sprintf("%d targets %d shards", size.targets, size.shards), func(b *testing.B) {
			_, round := newBusyCell(size.targets, size.shards)
			now := time.Second
			b.ReportAllocs()
			for b.Loop() {
				now += lease.DefaultTiming.Heartbeat
				round(now)
			}
		})
	}
}

// BenchmarkServes measures the check that a gateway makes before each send.
func BenchmarkServes(b *testing.B) {
	holder, _ := newBusyCell(20, 200)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, ok := holder.Serves(time.Second, ref(7)); !ok {
			b.Fatal("the shard is not served")
		}
	}
}

// BenchmarkIdleTick measures a tick of a holder with nothing to do.
func BenchmarkIdleTick(b *testing.B) {
	holder, _ := newBusyCell(20, 200)
	b.ReportAllocs()
	for b.Loop() {
		holder.Tick(time.Second)
	}
}

// BenchmarkRenewal renews a grant of 16 shards and applies its acknowledgement.
func BenchmarkRenewal(b *testing.B) {
	var shards []lease.ShardEpoch
	for n := range uint32(16) {
		shards = append(shards, lease.ShardEpoch{Shard: ref(n), Epoch: 1})
	}
	var g lease.Grants
	g.RecordAck(0, g.Next(1, time.Second, shards).Seq)
	for b.Loop() {
		grant, _ := g.Renewal(1, time.Second, shards)
		g.RecordAck(0, grant.Seq)
	}
}
