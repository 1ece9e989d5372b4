package demand_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/placement/demand"
)

const reportLifetime = time.Second

func slotsOfTargets(n int) demand.Slots {
	return func(string) map[string]int { return map[string]int{"t": n, "u": n} }
}

func usesOfTarget(running, wanted int) map[string]demand.ServiceUse {
	return map[string]demand.ServiceUse{"s": {
		Running: map[string]int{"t": running}, Wanted: map[string]int{"t": wanted},
	}}
}

// 90 hosts have requests for one target with 6 slots. Together they may run about
// as many requests there as it has slots, each in proportion to its demand.
func TestManyHostsShareFullTarget(t *testing.T) {
	table := demand.NewTable(reportLifetime)
	total := 0.0
	for range 2 { // in the second round all hosts have reported
		total = 0
		for h := range 90 {
			shares, _ := table.AddReport(0, demand.Report{Host: fmt.Sprint(h), Services: usesOfTarget(1, 2)}, slotsOfTargets(6))
			total += shares["s"].Limit["t"]
		}
	}
	assert.Assert(t, total > 6 && total < 10, "%v", total)
	busy, hosts := table.AddReport(0, demand.Report{Host: "0", Services: usesOfTarget(1, 20)}, slotsOfTargets(6))
	quiet, _ := table.AddReport(0, demand.Report{Host: "1", Services: usesOfTarget(0, 0)}, slotsOfTargets(6))
	assert.Equal(t, hosts.Count, 90)
	assert.Assert(t, busy["s"].Limit["t"] > 5*quiet["s"].Limit["t"])
	assert.Assert(t, quiet["s"].Limit["t"] > 0, "a host without requests must be able to send its first one")
}

func TestOthersAreSentForBusyTargetsOnly(t *testing.T) {
	table := demand.NewTable(reportLifetime)
	table.AddReport(0, demand.Report{Host: "a", Services: usesOfTarget(2, 2)}, slotsOfTargets(6))
	shares, _ := table.AddReport(0, demand.Report{Host: "b", Services: usesOfTarget(0, 0)}, slotsOfTargets(6))
	assert.Equal(t, len(shares["s"].Others), 0)
	table.AddReport(0, demand.Report{Host: "a", Services: usesOfTarget(4, 4)}, slotsOfTargets(6))
	shares, _ = table.AddReport(0, demand.Report{Host: "b", Services: usesOfTarget(1, 1)}, slotsOfTargets(6))
	assert.Equal(t, shares["s"].Others["t"], 4.0)
}

func TestReportsOfSilentHostsExpire(t *testing.T) {
	table := demand.NewTable(reportLifetime)
	table.AddReport(0, demand.Report{Host: "a", Services: usesOfTarget(9, 9)}, slotsOfTargets(6))
	shares, hosts := table.AddReport(reportLifetime+1, demand.Report{Host: "b", Services: usesOfTarget(0, 0)}, slotsOfTargets(6))
	assert.Equal(t, hosts.Count, 1)
	assert.Equal(t, len(shares), 0)
}

func TestCapacityFollowsRequestDuration(t *testing.T) {
	table := demand.NewTable(reportLifetime)
	report := func(seconds float64) {
		table.AddReport(0, demand.Report{Host: "a", Services: map[string]demand.ServiceUse{"s": {
			Keys: map[int]int{7: 3}, Seconds: map[string]float64{"t": seconds},
		}}}, slotsOfTargets(6))
	}
	report(0.1)
	assert.Equal(t, table.Capacity("s", "t", 6), 60.0)
	assert.Equal(t, table.Capacity("s", "new", 6), 60.0, "a target without reports must have the mean capacity")
	for range 50 {
		report(0.3)
	}
	assert.Assert(t, table.Capacity("s", "t", 6) < 21)
}
