package lease_test

import (
	"testing"

	"github.com/mangopost/mangopost/lease"
)

// maxMutantPlans is the number of plans that may be run to catch a disabled rule.
const maxMutantPlans = 200

// mutant disables one rule. The plan is the first that catches it; if the model has
// changed since, others are run too.
type mutant struct {
	name   string
	faults lease.Faults
	plan   int
}

var mutants = []mutant{
	{name: "a new holder does not wait", faults: lease.SkipWait, plan: 62},
	{name: "a restarted voter votes at once", faults: lease.JoinWithoutWait, plan: 98},
	{name: "a new voter ignores the stops of old voters", faults: lease.JoinWithoutStops, plan: 744},
	{name: "a vote counts from its receipt", faults: lease.AnchorAtReceipt, plan: 106},
	{name: "a paused gateway continues to send", faults: lease.SendAfterPause, plan: 106},
	{name: "a voter votes for omitted claims whichever list it holds", faults: lease.AcceptAnyClaims, plan: 0},
	{name: "a grant renews the target's list even if other shards are served", faults: lease.RenewAnyList, plan: 72},
	{name: "a line follows any release mark", faults: lease.FollowAnyMark, plan: 8},
	{name: "a line accepts the release mark of another line", faults: lease.AcceptAnyMoveMark, plan: 142},
}

// TestMutants checks that the exploration finds two owners or two gateways when a rule
// is disabled.
func TestMutants(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			if m.isCaught(t, m.plan) {
				return
			}
			for plan := range maxMutantPlans {
				if m.isCaught(t, plan) {
					return
				}
			}
			t.Errorf("not caught by %d plans", maxMutantPlans)
		})
	}
}

func (m mutant) isCaught(t *testing.T, number int) bool {
	p := plans.Example(number)
	w := newModel(p.Seed, m.faults)
	p.run(w)
	if w.violation == "" {
		return false
	}
	t.Logf("caught by plan %d: %s", number, w.violation)
	return true
}
