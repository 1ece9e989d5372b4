package e2e_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mangopost/mangopost/internal/e2e"
	"github.com/mangopost/mangopost/internal/standin"
	"github.com/mangopost/mangopost/internal/standin/judge"
)

// scenario is a failure that is injected, lasts for duration and is healed.
type scenario struct {
	name     string
	inject   e2e.Inject
	duration time.Duration
}

const (
	requestInterval    = 50 * time.Millisecond
	delayBeforeFailure = 500 * time.Millisecond
	delayAfterFailure  = 1000 * time.Millisecond
)

// runScenario injects one failure under traffic and checks all run records
// since the start of the cluster.
func runScenario(t *testing.T, c *e2e.Cluster, keys []string, s scenario) {
	t.Helper()
	traffic := c.StartTraffic(keys, requestInterval, 3)
	time.Sleep(delayBeforeFailure)
	failure, err := s.inject(c, keys)
	assert.NilError(t, err)
	time.Sleep(s.duration)
	assert.NilError(t, failure.Heal())
	time.Sleep(delayAfterFailure)
	stopAndVerify(t, c, traffic, keys)
}

func TestFailuresWithGrantCheckingTargets(t *testing.T) {
	keys := e2e.Keys(12)
	c := startCluster(t, e2e.Options{ChecksGrants: true, LinkTargets: true}, keys)
	for _, s := range []scenario{
		{"router killed", (*e2e.Cluster).KillRouter, 1500 * time.Millisecond},
		{"router paused", (*e2e.Cluster).PauseRouter, 1500 * time.Millisecond},
		{"placer killed", (*e2e.Cluster).KillActingPlacer, 1500 * time.Millisecond},
		{"target killed", (*e2e.Cluster).KillTarget, 1500 * time.Millisecond},
		{"target paused", (*e2e.Cluster).PauseTarget, 1500 * time.Millisecond},
		{"target cut off", (*e2e.Cluster).CutTarget, 1500 * time.Millisecond},
		{"acting placer cut from the store", (*e2e.Cluster).CutPlatform, 1500 * time.Millisecond},
		{"store down", e2e.PlatformFaults(standin.PlatformFaults{Down: true}), 1500 * time.Millisecond},
		{
			"router killed while the store loses answers",
			e2e.Combine(e2e.PlatformFaults(standin.PlatformFaults{LoseAnswerEvery: 2}), delayBeforeFailure, (*e2e.Cluster).KillRouter),
			1500 * time.Millisecond,
		},
	} {
		if !t.Run(s.name, func(t *testing.T) { runScenario(t, c, keys, s) }) {
			return // later subtests check the same run records and would fail too
		}
	}
}

func TestFailuresWithNonCheckingTargets(t *testing.T) {
	keys := e2e.Keys(12)
	c := startCluster(t, e2e.Options{}, keys)
	for _, s := range []scenario{
		{"router killed", (*e2e.Cluster).KillRouter, 1500 * time.Millisecond},
		{"router paused", (*e2e.Cluster).PauseRouter, 1500 * time.Millisecond},
		{"host killed", (*e2e.Cluster).KillHost, 1500 * time.Millisecond},
		{"target killed", (*e2e.Cluster).KillTarget, 1500 * time.Millisecond},
	} {
		if !t.Run(s.name, func(t *testing.T) { runScenario(t, c, keys, s) }) {
			return
		}
	}
}

// maxCrashesBeforeQuarantine is how many targets a request may crash before it
// must be quarantined.
const maxCrashesBeforeQuarantine = 2

func TestPoisonRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	keys := e2e.Keys(8)
	c := startCluster(t, e2e.Options{ChecksGrants: true, RestartMS: 100}, keys)
	traffic := c.StartTraffic(keys, requestInterval, 3)
	const maxSends = 12
	results := c.SendPoison(maxSends)
	report := stopAndVerify(t, c, traffic, keys, results...)
	runs, err := c.Runs()
	assert.NilError(t, err)
	crashed := e2e.CountPoisonRuns(runs)
	t.Logf("sent %d times, ran %d times, %d repeats refused", len(results), crashed, len(report.RefusedRepeats))
	assert.Assert(t, crashed > 0 && crashed <= maxCrashesBeforeQuarantine, crashed)
	assert.Equal(t, results[len(results)-1].Outcome, judge.OutcomeNotRun)
}

func TestLeavingTargetIsDrained(t *testing.T) {
	t.Parallel()
	keys := e2e.Keys(12)
	c := startCluster(t, e2e.Options{ChecksGrants: true}, keys)
	traffic := c.StartTraffic(keys, requestInterval, 3)
	target, _, err := c.MarkLeaving(keys)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if left, err := c.OwnedShards(target); err != nil || left > 0 {
			return poll.Continue("target still owns %d shards, error %v", left, err)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout))
	time.Sleep(delayAfterFailure)
	drained := time.Now().UnixNano()
	time.Sleep(delayAfterFailure)
	report := stopAndVerify(t, c, traffic, keys)
	assert.Equal(t, report.Ran, report.Responses, "a planned move interrupted or refused a request")
	runs, err := c.Runs()
	assert.NilError(t, err)
	assert.Assert(t, e2e.LastRunStart(runs, target) < drained)
}

func TestPlacersReportStoreOutageAndRecovery(t *testing.T) {
	t.Parallel()
	keys := e2e.Keys(4)
	c := startCluster(t, e2e.Options{ChecksGrants: true}, keys)
	awaitStoreReachable(t, c, true)
	c.Platform.SetFaults(standin.PlatformFaults{Down: true})
	awaitStoreReachable(t, c, false)
	c.Platform.SetFaults(standin.PlatformFaults{})
	awaitStoreReachable(t, c, true)
}

// awaitStoreReachable waits until the placers of all hosts report the wanted
// reachability of the store.
func awaitStoreReachable(t *testing.T, c *e2e.Cluster, want bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, h := range c.Hosts {
			if h.IsStoreReachable() != want {
				return poll.Continue("store reachable from %s: %v", h.Name, !want)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout))
}
