package e2e_test

import (
	"testing"
	"time"

	"github.com/mangopost/mangopost/internal/e2e"
)

// cutDuration is longer than a lease, its drift margin and a takeover together.
const cutDuration = time.Second

// cutScenarios returns the failures of the network between hosts.
func cutScenarios() []scenario {
	return []scenario{
		{"pair cut", (*e2e.Cluster).CutPair, cutDuration},
		{"cut from the gateway to a host", (*e2e.Cluster).CutFromGateway, cutDuration},
		{"cut from a host to the gateway", (*e2e.Cluster).CutToGateway, cutDuration},
		{"host cut from all hosts", (*e2e.Cluster).IsolateHost, cutDuration},
		{"host cut from all hosts and the platform", (*e2e.Cluster).IsolateHostAndCutPlatform, cutDuration},
		{"cut that flaps", e2e.Flapping((*e2e.Cluster).IsolateHost), 3 * cutDuration / 2},
		{"pair cut and a paused router", (*e2e.Cluster).CutPairAndPauseRouter, cutDuration},
	}
}

// TestHostAndDataCentreCuts checks the run records after cuts between hosts and
// between data centres. Its clusters run in parallel with each other, but not
// with those of other tests.
func TestHostAndDataCentreCuts(t *testing.T) {
	for _, c := range []struct {
		name string
		test func(t *testing.T)
	}{
		{"targets that check", func(t *testing.T) { runCutScenarios(t, e2e.Options{ChecksGrants: true}) }},
		{"targets that do not check", func(t *testing.T) { runCutScenarios(t, e2e.Options{}) }},
		{"a cut-off data centre keeps its keys", testCutDataCentreKeepsItsKeys},
		{"a cut-off data centre is taken over", testCutDataCentreIsTakenOver},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.test(t)
		})
	}
}

func runCutScenarios(t *testing.T, opts e2e.Options) {
	keys := e2e.Keys(12)
	opts.LinkHosts = true
	c := startCluster(t, opts, keys)
	for _, s := range cutScenarios() {
		if !t.Run(s.name, func(t *testing.T) { runScenario(t, c, keys, s) }) {
			return // later subtests check the same run records and would fail too
		}
	}
}
