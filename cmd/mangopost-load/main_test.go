package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/standin"
	"github.com/mangopost/mangopost/internal/standin/judge"
)

const directMix = `
seed = 3
duration_ms = 300
rate = 300.0
[[service]]
name = "pinjaman"
weight = 1.0
clients = ["um"]
[service.keys]
count = 10
[[service.route]]
method = "POST"
path = "/loans"
weight = 1.0
work_ms = 2
`

// startTarget starts one target stand-in and its admin listener.
func startTarget(t *testing.T) (fleet *standin.Fleet, admin string) {
	t.Helper()
	opts, err := standin.Replicate(standin.TargetOptions{
		Service: "pinjaman", DataCentre: "dc", Listen: "127.0.0.1:0", Slots: 64, Queue: 1000, Speed: 1, Connections: 1000,
	}, 1)
	assert.NilError(t, err)
	fleet, err = standin.NewFleet(opts)
	assert.NilError(t, err)
	assert.NilError(t, fleet.Start())
	t.Cleanup(fleet.Stop)
	srv := httptest.NewServer(fleet.Handler(""))
	t.Cleanup(srv.Close)
	return fleet, srv.Listener.Addr().String()
}

func runCommandLine(args ...string) error {
	parser := flags.NewParser(new(commands), flags.HelpFlag)
	_, err := parser.ParseArgs(args)
	return err
}

func TestJudgeDetectsDoubledRun(t *testing.T) {
	fleet, admin := startTarget(t)
	dir := t.TempDir()
	mix := filepath.Join(dir, "mix.toml")
	assert.NilError(t, os.WriteFile(mix, []byte(directMix), 0o600))
	entry := fleet.Targets()[0].Addr()
	assert.NilError(t, runCommandLine("run", "--mix", mix, "--entry", entry, "--out", dir, "--run", "a"))
	assert.NilError(t, runCommandLine("judge", "--results", dir, "--admin", admin, "--run", "a"))
	for _, name := range []string{runsFile, foundFile, summaryFile, timelineFile, pageFile} {
		info, err := os.Stat(filepath.Join(dir, name))
		assert.NilError(t, err)
		assert.Assert(t, info.Size() > 0, name)
	}

	runFirstAgain(t, entry, filepath.Join(dir, runsFile))
	err := runCommandLine("judge", "--results", dir, "--admin", admin)
	assert.Assert(t, errors.Is(err, errBroken), "a doubled run was not found: %v", err)
	assert.Equal(t, exitStatus(err), exitBroken)
}

// runFirstAgain sends the first recorded request to the target once more, so that a
// request which is not idempotent runs twice.
func runFirstAgain(t *testing.T, entry, path string) {
	t.Helper()
	var recs records
	assert.NilError(t, recs.readRuns(path))
	first := recs.runs[0]
	req, err := http.NewRequestWithContext(context.Background(), "POST", "http://"+entry+"/loans?work_ms=1", nil)
	assert.NilError(t, err)
	req.Header.Set("Idempotency-Key", first.IdempotencyKey)
	req.Header.Set("Mangopost-Client", first.Client)
	req.Header.Set("Mangopost-Request-Id", "second")
	answer, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
}

func TestLastRecordsKeepsLastOfEachRun(t *testing.T) {
	open := judge.Run{Target: "a", Number: 1, Outcome: judge.RunOpen}
	done := judge.Run{Target: "a", Number: 1, Outcome: judge.RunComplete}
	other := judge.Run{Target: "b", Number: 1, Outcome: judge.RunOpen}
	assert.DeepEqual(t, lastRecords([]judge.Run{open, other, done}), []judge.Run{done, other})
}

func TestReplayExitStatus(t *testing.T) {
	path := filepath.Join(t.TempDir(), "t.jsonl")
	text := `{"trace":"t","about":"","promises":["p"]}
{"at_ms":0,"kind":"routing.classify","in":{"sent":false},"want":"ran"}
`
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	assert.Equal(t, exitStatus(runCommandLine("replay", path)), exitBroken)
	assert.Equal(t, exitStatus(runCommandLine("replay", path+".missing")), exitFailed)
}
