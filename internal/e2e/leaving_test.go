package e2e_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mangopost/mangopost/internal/e2e"
	"github.com/mangopost/mangopost/internal/standin"
)

const (
	// failureDuration is longer than any lease.
	failureDuration = 1200 * time.Millisecond
	// lateArrivalDelay is how long requests that were held back by a failure may
	// still arrive after its end.
	lateArrivalDelay = 500 * time.Millisecond
)

// awaitReleased waits until a target owns no shard and returns the time at
// which this was observed, in Unix nanoseconds.
func awaitReleased(t *testing.T, c *e2e.Cluster, target string) int64 {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if released, err := c.HasReleasedShards(target); err != nil || !released {
			return poll.Continue("%s still owns shards, error %v", target, err)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout))
	return time.Now().UnixNano()
}

// leavingScenario is a failure during which a target leaves. A failure that
// hides the leaving from the cell is healed after failureDuration, any other
// when the target owns no shard any more.
type leavingScenario struct {
	name         string
	inject       e2e.Inject
	hidesLeaving bool
}

// runLeavingScenario marks the owner of the first key as leaving during a
// failure. Once the target owns no shard, it must not start a run, even if a
// process returns with outdated state.
func runLeavingScenario(t *testing.T, c *e2e.Cluster, keys []string, s leavingScenario) {
	t.Helper()
	traffic := c.StartTraffic(keys, requestInterval, 3)
	target, err := c.Owner(keys[0])
	assert.NilError(t, err)
	failure, err := s.inject(c, keys)
	assert.NilError(t, err)
	c.PublishTargets(map[string]bool{target: true})
	time.Sleep(failureDuration)
	var released int64
	if !s.hidesLeaving {
		released = awaitReleased(t, c, target)
	}
	assert.NilError(t, failure.Heal())
	if s.hidesLeaving {
		released = awaitReleased(t, c, target)
	}
	time.Sleep(lateArrivalDelay)
	stopAndVerify(t, c, traffic, keys)
	runs, err := c.Runs()
	assert.NilError(t, err)
	assert.Assert(t, e2e.LastRunStart(runs, target) < released, "%s started a run after it had released its shards", target)
	c.MarkAllLive()
}

func TestLeavingTargetStartsNothingAfterReleaseDespiteFailures(t *testing.T) {
	t.Parallel()
	acquireClusterSlot(t)
	keys := e2e.Keys(12)
	c := startCluster(t, e2e.Options{ChecksGrants: true, LinkTargets: true}, keys)
	for _, s := range []leavingScenario{
		{"its gateway paused", (*e2e.Cluster).PauseRouter, false},
		{"acting placer paused", (*e2e.Cluster).PauseActingPlacer, false},
		{"target paused", (*e2e.Cluster).PauseTarget, false},
		{"target cut off", (*e2e.Cluster).CutTarget, false},
		{"acting placer cut from the platform", (*e2e.Cluster).CutPlatform, false},
		{"store down", e2e.PlatformFaults(standin.PlatformFaults{Down: true}), true},
		{"store loses every answer", e2e.PlatformFaults(standin.PlatformFaults{LoseAnswerEvery: 1}), false},
		{"target crashes and returns", (*e2e.Cluster).KillTarget, false},
	} {
		if !t.Run(s.name, func(t *testing.T) { runLeavingScenario(t, c, keys, s) }) {
			return // later subtests check the same run records and would fail too
		}
	}
}
