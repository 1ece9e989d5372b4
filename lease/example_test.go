package lease_test

import (
	"fmt"
	"time"

	"github.com/mangopost/mangopost/lease"
)

// A gateway acquires the right to send to a target by the votes of three hosts. A
// program that embeds the package carries the envelopes between hosts and calls Tick
// with readings of its own clock.
func Example() {
	hosts := []lease.Incarnation{{Host: "kl-1", Run: 1}, {Host: "kl-2", Run: 1}, {Host: "kl-3", Run: 1}}
	cell := lease.Electorate{Cell: "kl", Record: 1, Voters: hosts}
	voters := make(map[lease.Incarnation]*lease.Voter)
	for _, id := range hosts {
		voters[id] = lease.NewVoter(lease.VoterConfig{Cell: "kl", Self: id, Timing: lease.DefaultTiming})
		voters[id].SetElectorate(0, cell)
	}
	gateway := lease.NewHolder(lease.HolderConfig{Cell: "kl", Self: hosts[0], Timing: lease.DefaultTiming})
	gateway.SetElectorate(0, cell)
	gateway.SetTargets(0, []lease.TargetClaim{{Target: "katalog-1", First: 1, Candidates: hosts}})

	carry := func(now time.Duration, out []lease.Envelope) {
		for _, request := range out {
			for _, answer := range voters[request.To].Step(now, hosts[0], request.Msg) {
				gateway.Step(now, request.To, answer.Msg)
			}
		}
	}
	const tick = 10 * time.Millisecond
	for now := time.Duration(0); now < time.Second; now += tick {
		carry(now, gateway.Tick(now))
		if epoch, until, ok := gateway.Right(now, "katalog-1"); ok {
			fmt.Printf("gateway epoch %d from %v to %v\n", epoch, now, until)
			break
		}
	}
	_, _, ok := gateway.Right(2*time.Second, "katalog-1")
	fmt.Println("after a pause:", ok)
	// Output:
	// gateway epoch 1 from 450ms to 850ms
	// after a pause: false
}
