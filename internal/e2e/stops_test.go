package e2e_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mangopost/mangopost/internal/e2e"
	"github.com/mangopost/mangopost/internal/standin"
	"github.com/mangopost/mangopost/internal/standin/judge"
	"github.com/mangopost/mangopost/maintenance"
)

// awaitStop waits until a stop has reached a state and returns the stop.
func awaitStop(t *testing.T, c *e2e.Cluster, id string, state maintenance.State) maintenance.Stop {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		stop, _, err := c.Stop(id)
		if err != nil || stop.State != state {
			return poll.Continue("state %s, error %v", stop.State, err)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout))
	stop, _, err := c.Stop(id)
	assert.NilError(t, err)
	return stop
}

// assertNotBegun checks for a second that a stop does not begin.
func assertNotBegun(t *testing.T, c *e2e.Cluster, id string) {
	t.Helper()
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		stop, _, err := c.Stop(id)
		assert.NilError(t, err)
		assert.Equal(t, stop.BegunMS, int64(0), "the stop began before its clients were called: %+v", stop.History)
	}
}

// runPlannedStop runs a whole planned stop under traffic and checks the run
// records. It calls injectFailure once the client calls are recorded.
func runPlannedStop(t *testing.T, injectFailure func(c *e2e.Cluster, keys []string)) judge.Report {
	keys := e2e.Keys(12)
	c := startCluster(t, e2e.Options{ChecksGrants: true}, keys)
	traffic := c.StartTraffic(keys, requestInterval, 3)
	target, err := c.Owner(keys[0])
	assert.NilError(t, err)
	assert.NilError(t, c.AnnounceStop("disk", target))
	assertNotBegun(t, c, "disk")
	assert.NilError(t, c.RecordClientCalls("disk"))
	injectFailure(c, keys)
	stop := awaitStop(t, c, "disk", maintenance.Stopped)
	stopped := time.Now().UnixNano()
	time.Sleep(delayAfterFailure)
	report := stopAndVerify(t, c, traffic, keys)
	runs, err := c.Runs()
	assert.NilError(t, err)
	assert.Assert(t, e2e.LastRunStart(runs, target) < stopped, "a run started at a stopped target")
	begun := stop.BegunMS
	for _, call := range stop.Calls {
		assert.Assert(t, call.CalledAtMS <= begun, "%s was called after the stop began", call.Client)
	}
	return report
}

func TestPlannedStopWaitsForCallsAndInterruptsNothing(t *testing.T) {
	report := runPlannedStop(t, func(*e2e.Cluster, []string) {})
	assert.Equal(t, report.Ran, report.Responses, "the stop interrupted or refused a request")
}

func TestPlannedStopSurvivesStoreOutage(t *testing.T) {
	runPlannedStop(t, func(c *e2e.Cluster, _ []string) {
		time.Sleep(100 * time.Millisecond)
		c.Platform.SetFaults(standin.PlatformFaults{Down: true})
		time.Sleep(1500 * time.Millisecond)
		c.Platform.SetFaults(standin.PlatformFaults{LoseAnswerEvery: 2})
		time.Sleep(time.Second)
		c.Platform.SetFaults(standin.PlatformFaults{})
	})
}

func TestPlannedStopSurvivesRouterLoss(t *testing.T) {
	runPlannedStop(t, func(c *e2e.Cluster, keys []string) {
		failure, err := c.KillRouter(keys)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		assert.NilError(t, failure.Heal())
	})
}
