package e2e_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/e2e"
	"github.com/mangopost/mangopost/maintenance"
)

const (
	raceStopID = "disk"
	// startDelay is how far ahead of the announcement a stop is scheduled, so
	// that its start is still in the future when the announcement arrives.
	startDelay = 3 * time.Second
)

// command returns a mangopostctl command of an operator.
func command(operator string, args ...string) e2e.Command {
	return e2e.Command{Operator: operator, Args: args}
}

func announceArgs(id, target string) []string {
	start := time.Now().Add(startDelay).Format(time.RFC3339)
	return []string{"stop", "announce", id, "--target", target, "--start", start}
}

// assertOneCommandAccepted checks that exactly one of two operators' commands
// was accepted and that the other failed with one of the exit codes and named
// the operator who came first. It returns the operator whose command was
// accepted.
func assertOneCommandAccepted(t *testing.T, results []e2e.CommandResult, wantReason string, exits ...int) string {
	t.Helper()
	winner, loser := results[0], results[1]
	if winner.ExitCode != e2e.ExitDone {
		winner, loser = loser, winner
	}
	assert.Equal(t, winner.ExitCode, e2e.ExitDone, "%+v", results)
	assert.Assert(t, slices.Contains(exits, loser.ExitCode), "%+v", results)
	wantReason += winner.Operator
	assert.Assert(t, strings.Contains(loser.Stderr, wantReason), "error %q does not contain %q", loser.Stderr, wantReason)
	return winner.Operator
}

// TestRacingStopCommandsAcceptExactlyOne lets two operators announce, record,
// cancel and finish planned stops concurrently, under traffic. Exactly one of
// each pair of commands must be accepted, the stopped target must get no new
// work, and none of its runs may be interrupted.
func TestRacingStopCommandsAcceptExactlyOne(t *testing.T) {
	t.Parallel()
	acquireClusterSlot(t)
	c := startConfigCluster(t)
	shortTraffic := c.StartTraffic(c.keys, requestInterval, 3)
	longTraffic := c.StartTraffic(c.keys[:2], longWorkInterval, longWorkMS)
	target, err := c.Owner(c.keys[0])
	assert.NilError(t, err)

	results := c.RunConcurrently(command("ann", announceArgs("early", target)...), command("bala", announceArgs("early", target)...))
	assertOneCommandAccepted(t, results, "already announced by ", e2e.ExitConflict)
	results = c.RunConcurrently(command("ann", "stop", "cancel", "early"), command("bala", "stop", "cancel", "early"))
	assertOneCommandAccepted(t, results, "last change: cancel by ", e2e.ExitRefused)

	announced := time.Now().UnixNano()
	results = c.RunConcurrently(command("ann", announceArgs(raceStopID+"-ann", target)...), command("bala", announceArgs(raceStopID+"-bala", target)...))
	// The second operator sees the other stop either when it validates its own
	// or after it has written it.
	winner := assertOneCommandAccepted(t, results, "announced by ", e2e.ExitConflict, e2e.ExitBadInput)
	id := raceStopID + "-" + winner
	called := []string{"stop", "called", id, e2e.ClientName}
	results = c.RunConcurrently(command("ann", called...), command("bala", called...))
	assertOneCommandAccepted(t, results, "already called by ", e2e.ExitRefused)

	awaitConfirmed(t, c.Cluster, id)
	results = []e2e.CommandResult{c.applyClient(t, "late")}
	assert.Equal(t, results[0].ExitCode, e2e.ExitBadInput, "%+v", results)
	stop := awaitStop(t, c.Cluster, id, maintenance.Stopped)
	stopAndVerify(t, c.Cluster, shortTraffic, c.keys, longTraffic.Stop()...)
	runs, err := c.Runs()
	assert.NilError(t, err)
	result := stopResult{target: target, announced: announced, stopped: stoppedAt(stop), runs: runs}
	result.assertNothingRuns(t)
	failIfAny(t, "interrupted runs", e2e.InterruptedRuns(runs, target, announced, e2e.Span{}))

	finish := []string{"stop", "finish", id}
	results = c.RunConcurrently(command("ann", finish...), command("bala", finish...))
	assertOneCommandAccepted(t, results, "last change: finish by ", e2e.ExitRefused)
}

// TestKeysRecoverWhileOperatorsRace checks that keys are served again after the
// loss of a gateway and of a target while two operators change the
// configuration continuously.
func TestKeysRecoverWhileOperatorsRace(t *testing.T) {
	t.Parallel()
	acquireClusterSlot(t)
	keys := e2e.Keys(8)
	c := startCluster(t, e2e.Options{ChecksGrants: true, LinkTargets: true, Targets: 3}, keys)
	for _, s := range []scenario{
		{"router killed", e2e.Combine((*e2e.Cluster).RaceOperators, delayBeforeFailure, (*e2e.Cluster).KillRouter), failureDuration},
		{"target killed", e2e.Combine((*e2e.Cluster).RaceOperators, delayBeforeFailure, (*e2e.Cluster).KillTarget), failureDuration},
		{"leaving", (*e2e.Cluster).RaceOperators, 0},
	} {
		if !t.Run(s.name, func(t *testing.T) { runScenarioOrLeaving(t, c, keys, s) }) {
			return
		}
	}
}

func runScenarioOrLeaving(t *testing.T, c *e2e.Cluster, keys []string, s scenario) {
	if s.duration == 0 {
		runLeavingScenario(t, c, keys, leavingScenario{name: s.name, inject: s.inject})
		return
	}
	runScenario(t, c, keys, s)
}
