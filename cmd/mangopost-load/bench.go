package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/load/bench"
	"github.com/mangopost/mangopost/internal/report"
	"github.com/mangopost/mangopost/internal/standin/judge"
	"github.com/mangopost/mangopost/template"
)

type benchCommand struct {
	Experiment string   `long:"experiment" required:"true" description:"experiment file (TOML)"`
	Entries    []string `long:"entry" required:"true" description:"IP and port of a callers' listener; repeat for each"`
	Admins     []string `long:"admin" required:"true" description:"IP and port of a target process's admin calls; repeat for each"`
	Routers    []string `long:"router" required:"true" description:"IP and port of a router's operators' listener; repeat for each"`
	Platform   string   `long:"platform" required:"true" description:"IP and port of the platform"`
	JSON       bool     `long:"json" description:"print every trial as JSON"`
}

// Execute runs the experiment on a running fleet.
func (c *benchCommand) Execute([]string) error {
	e, err := bench.Read(c.Experiment)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	trials, err := bench.Run(ctx, e, c.fleet(), fmt.Sprintf("b%d", time.Now().UnixMilli()))
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(os.Stdout, trials)
	}
	return bench.WriteTable(os.Stdout, bench.Compare(e, trials))
}

func (c *benchCommand) fleet() bench.Fleet {
	return bench.Fleet{
		Entries: c.Entries,
		Apply:   c.applyVariant,
		Rest:    trialPause,
		Runs: func() ([]judge.Run, []report.Target, error) {
			recs, err := fetch(c.Admins)
			return recs.runs, recs.targets, err
		},
		Progress: func(t bench.Trial) {
			fmt.Fprintf(os.Stderr, "%s, %s, seed %d: done\n", t.Scenario, t.Variant, t.Seed)
		},
	}
}

// trialPause is the pause after each trial.
const trialPause = 1500 * time.Millisecond

// applyVariant changes the templates and waits until every router uses them.
func (c *benchCommand) applyVariant(ctx context.Context, variant bench.Variant) error {
	version, err := c.putVariant(ctx, variant)
	if err != nil {
		return errors.Wrapf(err, "applying variant %s", variant.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	for _, router := range c.Routers {
		if err := waitForVersion(ctx, router, version); err != nil {
			return errors.Wrapf(err, "variant %s", variant.Name)
		}
	}
	return nil
}

// putVariant changes the templates of the variant's services and returns the new
// version of the configuration.
func (c *benchCommand) putVariant(ctx context.Context, v bench.Variant) (uint64, error) {
	return changeConfig(ctx, c.Platform, "variant "+v.Name, func(cfg template.Config, req *template.Request) {
		for _, t := range cfg.Templates {
			if slices.Contains(v.Services, t.Service) {
				t.QueueOrder = cmp.Or(v.QueueOrder, t.QueueOrder)
				t.Balancer = cmp.Or(v.Balancer, t.Balancer)
				t.Routes = withDeadline(t.Routes, v.DeadlineMS)
				req.PutTemplates = append(req.PutTemplates, t)
			}
		}
	})
}

// withDeadline returns a copy of the routes with the given maximum deadline, or the
// routes themselves if it is 0.
func withDeadline(routes []template.Route, deadlineMS int64) []template.Route {
	if deadlineMS == 0 {
		return routes
	}
	changed := slices.Clone(routes)
	for i := range changed {
		changed[i].DeadlineMS = deadlineMS
	}
	return changed
}
