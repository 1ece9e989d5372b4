package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/report"
	"github.com/mangopost/mangopost/template"
)

// spreadCommand measures how long an accepted configuration takes until every
// router uses it.
type spreadCommand struct {
	Platform string   `long:"platform" required:"true" description:"IP and port of the platform"`
	Routers  []string `long:"router" required:"true" description:"IP and port of a router's operators' listener; repeat for each"`
	Changes  int      `long:"changes" default:"10" description:"number of changes, one after the other"`
}

// Execute makes the changes and returns errBroken if any router does not use one of
// them within configTimeout.
func (c *spreadCommand) Execute([]string) error {
	var allDurations []time.Duration
	allMissing := 0
	tab := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "configuration\trouters\tp50 ms\tp99 ms\tmax ms\tlate")
	for i := range c.Changes {
		version, err := changeConfig(context.Background(), c.Platform, "spread", func(cfg template.Config, req *template.Request) {
			changeWeight(cfg, req, i)
		})
		if err != nil {
			return errors.Wrap(err, "changing the configuration")
		}
		durations, missing := c.measure(version)
		allDurations, allMissing = append(allDurations, durations...), allMissing+missing
		q := report.QuantilesOf(durations)
		fmt.Fprintf(tab, "%d\t%d\t%.0f\t%.0f\t%.0f\t%d\n", version, len(durations), q.P50, q.P99, q.Max, missing)
	}
	q := report.QuantilesOf(allDurations)
	fmt.Fprintf(tab, "all\t%d\t%.0f\t%.0f\t%.0f\t%d\n", len(allDurations), q.P50, q.P99, q.Max, allMissing)
	if err := tab.Flush(); err != nil {
		return err
	}
	if allMissing > 0 {
		return errors.Wrapf(errBroken, "configuration not in force at every router within %s", configTimeout)
	}
	return nil
}

// changeWeight changes the weight of the first client.
func changeWeight(cfg template.Config, req *template.Request, i int) {
	if len(cfg.Clients) == 0 {
		return
	}
	client := cfg.Clients[0]
	client.Weight = 1 + (client.Weight+i)%5
	req.PutClients = append(req.PutClients, client)
}

// measure returns how long each router took until it used the configuration, and
// how many routers did not use it within configTimeout.
func (c *spreadCommand) measure(version uint64) (durations []time.Duration, missing int) {
	ctx, cancel := context.WithTimeout(context.Background(), configTimeout)
	defer cancel()
	start := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, router := range c.Routers {
		wg.Go(func() {
			err := waitForVersion(ctx, router, version)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing++
				return
			}
			durations = append(durations, time.Since(start))
		})
	}
	wg.Wait()
	return durations, missing
}
