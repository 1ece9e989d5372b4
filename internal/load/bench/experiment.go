// Package bench compares policies on a running fleet. It runs each variant of the
// templates under each scenario with each seed, so that the trials of one scenario
// and seed differ in the variant alone, and reports the spread over the seeds.
package bench

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/mangopost/mangopost/internal/load"
)

// Experiment is the content of an experiment file.
type Experiment struct {
	Name      string     `toml:"name"`
	About     string     `toml:"about"`
	Mix       string     `toml:"mix"` // path of the mix file, relative to the experiment file
	Seeds     []uint64   `toml:"seeds"`
	Baseline  string     `toml:"baseline"` // name of the variant that the others are compared with
	Variants  []Variant  `toml:"variant"`
	Scenarios []Scenario `toml:"scenario"`

	mix load.Mix
}

// Variant is one choice of policies. Empty fields keep the deployment's value; all
// variants of an experiment set the same fields.
type Variant struct {
	Name       string   `toml:"name"`
	Services   []string `toml:"services"`    // services whose templates are changed
	QueueOrder string   `toml:"queue_order"` // plug-in ID
	Balancer   string   `toml:"balancer"`    // plug-in ID
	DeadlineMS int64    `toml:"deadline_ms"` // maximum deadline of every route
}

// Scenario describes the load of a trial.
type Scenario struct {
	Name       string       `toml:"name"`
	Rate       float64      `toml:"rate"` // requests per second
	DurationMS int64        `toml:"duration_ms"`
	Swings     []load.Swing `toml:"swing"`
	// StragglerShare, if set, overrides the straggler share of every route.
	StragglerShare *float64 `toml:"straggler_share"`
	// Repeat, if set, overrides the mix's Repeat.
	Repeat *load.Repeat `toml:"repeat"`
	// Over is the name of the scenario that this one is compared with, seed by
	// seed.
	Over string `toml:"over"`
}

// Read reads and validates an experiment file and its mix.
func Read(path string) (Experiment, error) {
	var e Experiment
	data, err := os.ReadFile(path)
	if err != nil {
		return e, errors.Wrap(err, "reading the experiment")
	}
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&e); err != nil {
		return e, errors.Wrapf(err, "experiment %s", path)
	}
	if err := e.check(); err != nil {
		return e, errors.Wrapf(err, "experiment %s", path)
	}
	e.mix, err = load.ReadMix(filepath.Join(filepath.Dir(path), e.Mix))
	return e, err
}

// check returns all faults of the experiment, joined in one error.
func (e Experiment) check() error {
	var faults []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, errors.Newf(format, args...))
		}
	}
	require(e.Name != "", "name: is missing")
	require(e.Mix != "", "mix: is missing")
	require(len(e.Seeds) > 0, "seeds: at least one is needed")
	require(len(e.Variants) > 0, "variant: at least one is needed")
	require(len(e.Scenarios) > 0, "scenario: at least one is needed")
	variants := make(map[string]bool)
	for i, v := range e.Variants {
		require(v.Name != "" && !variants[v.Name], "variant[%d].name: is missing or duplicate", i)
		require(len(v.Services) > 0, "variant[%d].services: at least one is needed", i)
		require((v.QueueOrder == "") == (e.Variants[0].QueueOrder == ""), "variant[%d].queue_order: is set in some variants only", i)
		require((v.DeadlineMS == 0) == (e.Variants[0].DeadlineMS == 0), "variant[%d].deadline_ms: is set in some variants only", i)
		require((v.Balancer == "") == (e.Variants[0].Balancer == ""), "variant[%d].balancer: is set in some variants only", i)
		variants[v.Name] = true
	}
	require(variants[e.Baseline], "baseline: %q is not a variant", e.Baseline)
	scenarios := make(map[string]bool)
	for _, s := range e.Scenarios {
		scenarios[s.Name] = true
	}
	for i, s := range e.Scenarios {
		field := fmt.Sprintf("scenario[%d]", i)
		require(s.Name != "", "%s.name: is missing", field)
		require(s.Rate > 0, "%s.rate: must be above 0", field)
		require(s.DurationMS > 0, "%s.duration_ms: must be above 0", field)
		require(s.StragglerShare == nil || *s.StragglerShare >= 0 && *s.StragglerShare <= 1, "%s.straggler_share: must be from 0 to 1", field)
		require(s.Over == "" || scenarios[s.Over], "%s.over: %q is not a scenario", field, s.Over)
	}
	return errors.Join(faults...)
}

// mixOf returns the mix for a trial of a scenario with a seed.
func (e Experiment) mixOf(s Scenario, seed uint64) load.Mix {
	mix := e.mix
	mix.Seed = seed
	mix.Rate = s.Rate
	mix.DurationMS = s.DurationMS
	mix.Swings = s.Swings
	if s.StragglerShare != nil {
		mix.SetStragglers(*s.StragglerShare)
	}
	if s.Repeat != nil {
		mix.Repeat = *s.Repeat
	}
	return mix
}
