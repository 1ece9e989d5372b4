package bench

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/internal/report"
	"github.com/mangopost/mangopost/internal/standin"
	"github.com/mangopost/mangopost/internal/standin/judge"
)

const mixText = `
duration_ms = 1
rate = 1.0
[[service]]
name = "pinjaman"
weight = 1.0
clients = ["um"]
[[service.route]]
method = "GET"
path = "/loans"
weight = 1.0
idempotent = true
work_ms = 1
`

const experimentText = `
name = "t"
mix = "mix.toml"
seeds = [1, 2]
baseline = "a"
[[variant]]
name = "a"
services = ["pinjaman"]
queue_order = "queue.fair"
[[variant]]
name = "b"
services = ["pinjaman"]
queue_order = "queue.fifo"
[[scenario]]
name = "1x"
rate = 200.0
duration_ms = 100
`

func writeExperiment(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "mix.toml"), []byte(mixText), 0o600))
	path := filepath.Join(dir, "experiment.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestReadReportsEveryFault(t *testing.T) {
	_, err := Read(writeExperiment(t, "baseline = \"x\"\n[[scenario]]\n"))
	for _, want := range []string{"name:", "mix:", "seeds:", "variant:", `"x" is not a variant`, "scenario[0].rate"} {
		assert.ErrorContains(t, err, want)
	}
	_, err = Read(writeExperiment(t, "nam = 1\n"))
	assert.Assert(t, err != nil)
}

func TestRunRotatesVariants(t *testing.T) {
	e, err := Read(writeExperiment(t, experimentText))
	assert.NilError(t, err)
	opts, err := standin.Replicate(standin.TargetOptions{Service: "pinjaman", Listen: "127.0.0.1:0", Slots: 8, Queue: 99, Connections: 99, Speed: 1}, 1)
	assert.NilError(t, err)
	fleet, err := standin.NewFleet(opts)
	assert.NilError(t, err)
	assert.NilError(t, fleet.Start())
	defer fleet.Stop()
	var applied []string
	trials, err := Run(context.Background(), e, Fleet{
		Entries: []string{fleet.Targets()[0].Addr()},
		Apply:   func(_ context.Context, v Variant) error { applied = append(applied, v.Name); return nil },
		Runs: func() ([]judge.Run, []report.Target, error) {
			return fleet.Runs(), []report.Target{{Name: "pinjaman--1", Service: "pinjaman"}}, nil
		},
	}, "t")
	assert.NilError(t, err)
	assert.DeepEqual(t, applied, []string{"a", "b", "b", "a"})
	list := Compare(e, trials)
	var out bytes.Buffer
	assert.NilError(t, WriteTable(&out, list))
	assert.Assert(t, strings.Contains(out.String(), "pinjaman /loans p99 ms"))
	for _, c := range list {
		if strings.Contains(c.Metric, "served") {
			assert.Equal(t, c.Value, Spread{100, 100, 100})
			assert.Equal(t, c.Ratio, Spread{1, 1, 1})
		}
	}
}

func TestComparePairsTrialsBySeed(t *testing.T) {
	e := Experiment{Seeds: []uint64{1, 2}, Baseline: "a"}
	trial := func(v string, seed uint64, value float64) Trial {
		return Trial{Scenario: "s", Variant: v, Seed: seed, Metrics: []Metric{{"m", value}}}
	}
	list := Compare(e, []Trial{trial("a", 1, 10), trial("a", 2, 100), trial("b", 1, 20), trial("b", 2, 100)})
	assert.DeepEqual(t, list[1].Ratio, Spread{Mean: 1.5, Min: 1, Max: 2})
	assert.DeepEqual(t, list[1].Value, Spread{Mean: 60, Min: 20, Max: 100})
}

// A scenario with over must be compared with the named scenario, seed by seed, and
// override only the fields that it sets.
func TestScenarioIsComparedWithNamedScenario(t *testing.T) {
	e, err := Read(writeExperiment(t, experimentText+"[[scenario]]\nname = \"2\"\nover = \"1x\"\nrate = 200.0\nduration_ms = 100\nstraggler_share = 0.5\n[scenario.repeat]\nmost = 2\n"))
	assert.NilError(t, err)
	mix := e.mixOf(e.Scenarios[1], 1)
	assert.Equal(t, mix.Services[0].Routes[0].StragglerShare, 0.5)
	assert.Equal(t, mix.Repeat.Most, 2)
	assert.Equal(t, e.mixOf(e.Scenarios[0], 1).Services[0].Routes[0].StragglerShare, 0.0)
	trial := func(s, v string, seed uint64, value float64) Trial {
		return Trial{Scenario: s, Variant: v, Seed: seed, Metrics: []Metric{{"m", value}}}
	}
	list := Compare(e, []Trial{
		trial("1x", "a", 1, 10), trial("1x", "a", 2, 20), trial("1x", "b", 1, 1),
		trial("2", "a", 1, 20), trial("2", "a", 2, 60), trial("2", "b", 1, 7),
	})
	assert.DeepEqual(t, list[2].Over, Spread{Mean: 2.5, Min: 2, Max: 3})
	assert.DeepEqual(t, list[3].Over, Spread{Mean: 7, Min: 7, Max: 7})
	assert.DeepEqual(t, list[0].Over, Spread{})
	_, err = Read(writeExperiment(t, experimentText+"[[scenario]]\nname = \"2\"\nover = \"x\"\nrate = 1.0\nduration_ms = 1\n"))
	assert.ErrorContains(t, err, `scenario[1].over: "x" is not a scenario`)
}

// Every committed experiment file must be valid.
func TestCommittedExperimentsAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../../experiments/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		_, err := Read(path)
		assert.NilError(t, err)
	}
}
