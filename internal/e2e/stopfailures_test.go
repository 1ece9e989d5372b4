package e2e_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/mangopost/mangopost/internal/e2e"
	"github.com/mangopost/mangopost/internal/standin"
	"github.com/mangopost/mangopost/internal/standin/judge"
	"github.com/mangopost/mangopost/maintenance"
)

const (
	// stopDeadlineMS is the request deadline in the tests of planned stops.
	stopDeadlineMS = 1500
	// longWorkMS is the duration of a request that is still running when a stop
	// begins, longerWorkMS of one that is still running when its gateway has
	// been replaced.
	longWorkMS   = 600
	longerWorkMS = 1100
	// runEndTolerance bounds how much the recorded end of an interrupted run
	// precedes the interruption: a record holds the time at which the run last
	// made progress.
	runEndTolerance  = 50 * time.Millisecond
	longWorkInterval = 800 * time.Millisecond
)

// stopResult describes a planned stop of the first key's owner during which a
// failure was injected.
type stopResult struct {
	target    string
	announced int64 // Unix nanoseconds
	failure   e2e.Span
	stopped   time.Time
	runs      []judge.Run
}

func stopID(s scenario) string { return strings.ReplaceAll(s.name, " ", "-") }

// runStopThroughFailure runs a planned stop from its announcement until the
// target is stopped, and injects a failure once the stop is confirmed.
func runStopThroughFailure(t *testing.T, c *e2e.Cluster, keys []string, s scenario) stopResult {
	t.Helper()
	id := stopID(s)
	target, err := c.Owner(keys[0])
	assert.NilError(t, err)
	announced := time.Now().UnixNano()
	assert.NilError(t, c.AnnounceStop(id, target))
	assert.NilError(t, c.RecordClientCalls(id))
	awaitConfirmed(t, c, id)
	failure, err := s.inject(c, keys)
	assert.NilError(t, err)
	time.Sleep(s.duration)
	assert.NilError(t, failure.Heal())
	span := e2e.Span{From: failure.At - runEndTolerance.Nanoseconds(), To: time.Now().UnixNano()}
	stop := awaitStop(t, c, id, maintenance.Stopped)
	time.Sleep(longerWorkMS * time.Millisecond) // a run left open ends by then
	runs, err := c.Runs()
	assert.NilError(t, err)
	return stopResult{target: target, announced: announced, failure: span, stopped: stoppedAt(stop), runs: runs}
}

// awaitConfirmed waits until a stop prevents new work at its targets.
func awaitConfirmed(t *testing.T, c *e2e.Cluster, id string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		stop, _, err := c.Stop(id)
		if err != nil || len(maintenance.Effects(stop)) == 0 {
			return poll.Continue("state %s, error %v", stop.State, err)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout), poll.WithDelay(5*time.Millisecond))
}

// stoppedAt returns when a placer recorded that the targets were drained.
func stoppedAt(s maintenance.Stop) time.Time {
	i := slices.IndexFunc(s.History, func(e maintenance.Entry) bool { return e.State == maintenance.Stopped })
	return time.UnixMilli(s.History[i].AtMS)
}

// assertNothingRuns fails the test if anything was running or started at the
// target after it was reported as stopped, when operators may switch it off.
func (r stopResult) assertNothingRuns(t *testing.T) {
	t.Helper()
	failIfAny(t, "runs in progress at a stopped target", e2e.RunsInProgress(r.runs, r.target, r.stopped))
	assert.Assert(t, e2e.LastRunStart(r.runs, r.target) < r.stopped.UnixNano(), "a run started at a stopped target")
}

func TestPlannedStopInterruptsNothingDespiteFailures(t *testing.T) {
	t.Parallel()
	acquireClusterSlot(t)
	keys := e2e.Keys(12)
	c := startCluster(t, e2e.Options{ChecksGrants: true, LinkTargets: true, DeadlineMS: stopDeadlineMS}, keys)
	for _, f := range []struct {
		scenario
		sparesTarget bool // whether the target and its gateway are unaffected
	}{
		{scenario{"acting placer paused", (*e2e.Cluster).PauseActingPlacer, failureDuration}, true},
		{scenario{"store loses answers", e2e.PlatformFaults(standin.PlatformFaults{LoseAnswerEvery: 1}), failureDuration}, true},
		{scenario{"gateway paused", (*e2e.Cluster).PauseRouter, failureDuration}, false},
		{scenario{"target paused", (*e2e.Cluster).PauseTarget, failureDuration}, false},
		{scenario{"target cut off", (*e2e.Cluster).CutTarget, failureDuration}, false},
		{scenario{"target crashes and returns", (*e2e.Cluster).KillTarget, failureDuration}, false},
	} {
		ok := t.Run(f.name, func(t *testing.T) {
			shortTraffic := c.StartTraffic(keys, requestInterval, 3)
			longTraffic := c.StartTraffic(keys[:2], longWorkInterval, longWorkMS)
			stop := runStopThroughFailure(t, c, keys, f.scenario)
			if f.sparesTarget {
				stop.failure = e2e.Span{}
			}
			stopAndVerify(t, c, shortTraffic, keys, longTraffic.Stop()...)
			stop.assertNothingRuns(t)
			failIfAny(t, "interrupted runs", e2e.InterruptedRuns(stop.runs, stop.target, stop.announced, stop.failure))
			assert.NilError(t, c.FinishStop(stopID(f.scenario)))
		})
		if !ok {
			return // later subtests check the same run records and would fail too
		}
	}
}

// TestStopEndsOnlyWhenNothingRuns checks that a stop ends only when all runs of
// the target have ended. A target that does not check grants continues its runs
// if its gateway is lost or it is cut off.
func TestStopEndsOnlyWhenNothingRuns(t *testing.T) {
	t.Parallel()
	acquireClusterSlot(t)
	keys := e2e.Keys(12)
	c := startCluster(t, e2e.Options{LinkTargets: true, DeadlineMS: stopDeadlineMS}, keys)
	for _, s := range []scenario{
		{"gateway paused", (*e2e.Cluster).PauseRouter, failureDuration},
		{"target cut off", (*e2e.Cluster).CutTarget, failureDuration},
	} {
		t.Run(s.name, func(t *testing.T) {
			longTraffic := c.StartTraffic(keys[:6], longWorkInterval, longerWorkMS)
			result := runStopThroughFailure(t, c, keys, s)
			longTraffic.Stop()
			result.assertNothingRuns(t)
			assert.NilError(t, c.FinishStop(stopID(s)))
		})
	}
}
