package bench

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/mangopost/mangopost/internal/load"
	"github.com/mangopost/mangopost/internal/report"
	"github.com/mangopost/mangopost/internal/standin/judge"
)

// Fleet gives access to the running deployment.
type Fleet struct {
	Entries []string // IP:port of the entry hosts' listeners for callers
	// Apply configures a variant and waits until every host uses it.
	Apply func(ctx context.Context, v Variant) error
	// Runs returns the runs that the targets have recorded, and all targets.
	Runs func() ([]judge.Run, []report.Target, error)
	// TrialPause is the pause after each trial, in which the queues drain.
	Rest time.Duration
	// Progress, if set, is called after each trial.
	Progress func(Trial)
}

// Trial is one run of a variant under a scenario with a seed.
type Trial struct {
	Scenario string   `json:"scenario"`
	Variant  string   `json:"variant"`
	Seed     uint64   `json:"seed"`
	Metrics  []Metric `json:"metrics"`
}

// Metric is one measured value of a trial.
type Metric struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Run runs every trial. The order of the variants rotates with each seed, so that
// no variant always runs first.
func Run(ctx context.Context, e Experiment, fleet Fleet, name string) ([]Trial, error) {
	var trials []Trial
	for _, s := range e.Scenarios {
		for i, seed := range e.Seeds {
			for j := range e.Variants {
				v := e.Variants[(i+j)%len(e.Variants)]
				trial, err := runTrial(ctx, e, fleet, s, v, seed, fmt.Sprintf("%s-%d", name, len(trials)))
				if err != nil {
					return trials, err
				}
				trials = append(trials, trial)
			}
		}
	}
	return trials, nil
}

func runTrial(ctx context.Context, e Experiment, fleet Fleet, s Scenario, v Variant, seed uint64, run string) (Trial, error) {
	trial := Trial{Scenario: s.Name, Variant: v.Name, Seed: seed}
	if err := fleet.Apply(ctx, v); err != nil {
		return trial, err
	}
	results, err := load.Run(ctx, e.mixOf(s, seed), load.Options{Run: run, Entries: fleet.Entries})
	if err != nil {
		return trial, err
	}
	time.Sleep(fleet.Rest)
	runs, targets, err := fleet.Runs()
	if err != nil {
		return trial, err
	}
	summary := report.Summarise(run, results, time.Second)
	trialRuns := runsOf(runs, run)
	summary.AddRuns(results, trialRuns, targets, time.Second)
	trial.Metrics = metricsOf(summary, len(trialRuns), time.Duration(s.DurationMS)*time.Millisecond)
	if fleet.Progress != nil {
		fleet.Progress(trial)
	}
	return trial, nil
}

// runsOf returns the runs that belong to one load run.
func runsOf(runs []judge.Run, run string) []judge.Run {
	var matching []judge.Run
	for _, r := range runs {
		if strings.HasPrefix(r.RequestID, run+"-") {
			matching = append(matching, r)
		}
	}
	return matching
}

func metricsOf(s report.Summary, runs int, duration time.Duration) []Metric {
	var list []Metric
	add := func(value float64, format string, args ...any) {
		list = append(list, Metric{Name: fmt.Sprintf(format, args...), Value: value})
	}
	for _, service := range s.Services {
		for _, c := range service.Classes {
			add(float64(c.InTime)/duration.Seconds(), "%s %s goodput/s", service.Service, c.Class)
			add(100*float64(c.Served)/float64(c.Requests), "%s %s served %%", service.Service, c.Class)
			add(c.Latency.P50, "%s %s p50 ms", service.Service, c.Class)
			add(c.Latency.P99, "%s %s p99 ms", service.Service, c.Class)
		}
	}
	hasLoad := make(map[string]bool)
	for _, service := range s.Services {
		hasLoad[service.Service] = true
	}
	for _, i := range s.Imbalance {
		if hasLoad[i.Service] {
			add(i.Busy, "%s imbalance of busy time", i.Service)
		}
	}
	add(float64(runs)/float64(s.Requests), "runs a request")
	add(float64(s.Attempts)/float64(s.Requests), "attempts a request")
	add(float64(len(s.Broken)), "promises broken")
	return list
}
