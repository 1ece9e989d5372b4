package e2e_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/e2e"
	"github.com/mangopost/mangopost/internal/standin/judge"
)

// startTimeout fails a test whose cluster does not start to serve. It does not
// limit the speed of the start.
const startTimeout = 30 * time.Second

var binaries e2e.Binaries

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "mangopost-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if binaries, err = e2e.Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

func startCluster(t *testing.T, opts e2e.Options, keys []string) *e2e.Cluster {
	t.Helper()
	dir, err := os.MkdirTemp("", "mangopost-cell")
	assert.NilError(t, err)
	c, err := e2e.NewCluster(binaries, dir, opts)
	t.Cleanup(func() {
		if t.Failed() {
			logProcessTails(t, c)
		}
		c.Remove()
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	assert.NilError(t, c.WaitServing(ctx, keys))
	return c
}

const logTailBytes = 1500

func logProcessTails(t *testing.T, c *e2e.Cluster) {
	for _, h := range c.Hosts {
		t.Logf("%s router:\n%s", h.Name, h.Router.LogTail(logTailBytes))
		t.Logf("%s placer:\n%s", h.Name, h.Placer.LogTail(logTailBytes))
	}
}

// stopAndVerify stops the traffic, waits until every key is served again, and
// fails the test if the run records violate a guarantee.
func stopAndVerify(t *testing.T, c *e2e.Cluster, traffic *e2e.Traffic, keys []string, results ...judge.Response) judge.Report {
	t.Helper()
	results = append(results, traffic.Stop()...)
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	assert.NilError(t, c.WaitServing(ctx, keys))
	runs, err := c.Runs()
	assert.NilError(t, err)
	report := judge.Check(runs, results)
	t.Logf("%d runs, %d responses: %d ran, %d not-run, %d unknown", report.Runs, report.Responses, report.Ran, report.NotRun, report.Unknown)
	failIfAny(t, "duplicate runs", report.DuplicateRuns)
	failIfAny(t, "overlaps", report.Overlaps)
	failIfAny(t, "answered not-run but ran", report.NotRunButRan)
	failIfAny(t, "wrong answers", report.WrongAnswers)
	failIfAny(t, "answered ran but never ran", report.RanWithoutRun)
	return report
}

func failIfAny[T any](t *testing.T, label string, found []T) {
	t.Helper()
	if len(found) > 0 {
		t.Errorf("%s: %d, first %+v", label, len(found), found[0])
	}
}

func TestAllRequestsRunWithoutFailures(t *testing.T) {
	keys := e2e.Keys(12)
	c := startCluster(t, e2e.Options{ChecksGrants: true}, keys)
	traffic := c.StartTraffic(keys, 50*time.Millisecond, 2)
	time.Sleep(2 * time.Second)
	report := stopAndVerify(t, c, traffic, keys)
	assert.Equal(t, report.Ran, report.Responses)
}
