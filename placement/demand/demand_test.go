package demand_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/placement/demand"
)

const keep = time.Second

func slots(n int) demand.Slots {
	return func(string) map[string]int { return map[string]int{"t": n, "u": n} }
}

func use(running, wanted int) map[string]demand.Use {
	return map[string]demand.Use{"s": {
		Running: map[string]int{"t": running}, Wanted: map[string]int{"t": wanted},
	}}
}

// 90 hosts have requests for one target with 6 slots. Together they may run about
// as many requests there as it has slots, each in proportion to its demand.
func TestManyHostsShareAFullTarget(t *testing.T) {
	table := demand.NewTable(keep)
	total := 0.0
	for range 2 { // in the second round all hosts have reported
		total = 0
		for h := range 90 {
			shares, _ := table.Take(0, demand.Report{Host: fmt.Sprint(h), Services: use(1, 2)}, slots(6))
			total += shares["s"].Limit["t"]
		}
	}
	assert.Assert(t, total > 6 && total < 10, "%v", total)
	busy, hosts := table.Take(0, demand.Report{Host: "0", Services: use(1, 20)}, slots(6))
	quiet, _ := table.Take(0, demand.Report{Host: "1", Services: use(0, 0)}, slots(6))
	assert.Equal(t, hosts.Count, 90)
	assert.Assert(t, busy["s"].Limit["t"] > 5*quiet["s"].Limit["t"])
	assert.Assert(t, quiet["s"].Limit["t"] > 0, "a host without requests must be able to send its first one")
}

func TestHostsAreToldOfOthersAtBusyTargetsOnly(t *testing.T) {
	table := demand.NewTable(keep)
	table.Take(0, demand.Report{Host: "a", Services: use(2, 2)}, slots(6))
	shares, _ := table.Take(0, demand.Report{Host: "b", Services: use(0, 0)}, slots(6))
	assert.Equal(t, len(shares["s"].Others), 0)
	table.Take(0, demand.Report{Host: "a", Services: use(4, 4)}, slots(6))
	shares, _ = table.Take(0, demand.Report{Host: "b", Services: use(1, 1)}, slots(6))
	assert.Equal(t, shares["s"].Others["t"], 4.0)
}

func TestReportsOfSilentHostsLapse(t *testing.T) {
	table := demand.NewTable(keep)
	table.Take(0, demand.Report{Host: "a", Services: use(9, 9)}, slots(6))
	shares, hosts := table.Take(keep+1, demand.Report{Host: "b", Services: use(0, 0)}, slots(6))
	assert.Equal(t, hosts.Count, 1)
	assert.Equal(t, len(shares), 0)
}

func TestCapacityFollowsTheTimeOfRequests(t *testing.T) {
	table := demand.NewTable(keep)
	report := func(seconds float64) {
		table.Take(0, demand.Report{Host: "a", Services: map[string]demand.Use{"s": {
			Keys: map[int]int{7: 3}, Seconds: map[string]float64{"t": seconds},
		}}}, slots(6))
	}
	report(0.1)
	assert.Equal(t, table.Capacity("s", "t", 6), 60.0)
	assert.Equal(t, table.Capacity("s", "new", 6), 60.0, "a target without reports must have the mean capacity")
	for range 50 {
		report(0.3)
	}
	assert.Assert(t, table.Capacity("s", "t", 6) < 21)
}
