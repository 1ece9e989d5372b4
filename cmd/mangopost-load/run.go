package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mangopost/mangopost/internal/load"
	"github.com/mangopost/mangopost/internal/report"
)

// resultsFile is the name of the results file in a run's output folder.
const resultsFile = "results.jsonl"

// timelineStep is the step of a summary's timeline.
const timelineStep = 250 * time.Millisecond

type runCommand struct {
	Mix        string   `long:"mix" required:"true" description:"mix file (TOML)"`
	Entries    []string `long:"entry" required:"true" description:"IP and port of a callers' listener; repeat for each"`
	Out        string   `long:"out" required:"true" description:"folder for the results"`
	Run        string   `long:"run" description:"begins every request ID; unique to the run (default: from the clock)"`
	Seed       uint64   `long:"seed" description:"in place of the mix's seed"`
	Rate       float64  `long:"rate" description:"in place of the mix's rate, requests a second"`
	DurationMS int64    `long:"duration-ms" description:"in place of the mix's duration"`
}

// Execute sends the mix, saves the results and prints a summary. The results of an
// interrupted run are saved too.
func (c *runCommand) Execute([]string) error {
	mix, err := load.ReadMix(c.Mix)
	if err != nil {
		return err
	}
	c.override(&mix)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	results, runErr := load.Run(ctx, mix, load.Options{Run: c.Run, Entries: c.Entries})
	if err := c.save(results); err != nil {
		return err
	}
	if runErr != nil {
		return errors.Wrap(runErr, "the run was stopped")
	}
	return report.WriteText(os.Stdout, report.Summarise(c.Run, results, timelineStep))
}

// override applies the flags that replace values of the mix, and sets a default
// name of the run.
func (c *runCommand) override(mix *load.Mix) {
	if c.Seed != 0 {
		mix.Seed = c.Seed
	}
	if c.Rate > 0 {
		mix.Rate = c.Rate
	}
	if c.DurationMS > 0 {
		mix.DurationMS = c.DurationMS
	}
	if c.Run == "" {
		c.Run = fmt.Sprintf("r%d", time.Now().UnixMilli())
	}
}

func (c *runCommand) save(results []load.Result) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return errors.Wrap(err, "creating the output folder")
	}
	file, err := os.Create(filepath.Join(c.Out, resultsFile))
	if err != nil {
		return errors.Wrap(err, "creating the results file")
	}
	defer file.Close()
	if err := load.WriteResults(file, results); err != nil {
		return err
	}
	return errors.Wrap(file.Close(), "closing the results file")
}
