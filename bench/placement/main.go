// Command placement compares the shard planner with simpler planners. It calls
// placement.Plan for every second of several load scenarios and applies the plans to
// an ownership.Page. It does not model a cluster: there are no hosts, leases, messages
// or queues, and a move takes as long as between real processes.
package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/bench/table"
)

// options are the command-line flags.
type options struct {
	Seeds  int    `long:"seeds" default:"5" description:"seeds to run, starting at 1"`
	CSV    string `long:"csv" description:"file to write the rows to"`
	Only   string `long:"only" description:"run only the scenario of this name"`
	Policy string `long:"policy" description:"run only the policy of this name"`
	Brief  bool   `long:"brief" description:"print only the scores"`
}

func main() {
	var opts options
	os.Exit(table.Main("placement", &opts, func() error { return run(opts) }))
}

func run(opts options) error {
	totals := newTotals()
	var rows []table.Row
	for _, s := range scenarios() {
		if opts.Only != "" && opts.Only != s.name {
			continue
		}
		var scenarioRows []table.Row
		for _, p := range policies() {
			if opts.Policy != "" && opts.Policy != p.name {
				continue
			}
			outcomes := runSeeds(s, p, opts.Seeds)
			scenarioRows = append(scenarioRows, measurementRows(s, p, outcomes)...)
			totals.add(p, outcomes)
		}
		if !opts.Brief {
			table.Print(os.Stdout, s.name+": "+s.title, scenarioRows)
		}
		rows = append(rows, scenarioRows...)
	}
	totalRows := totals.rows()
	table.Print(os.Stdout, "scores: means over all scenarios, lower is better", totalRows)
	rows = append(rows, totalRows...)
	if opts.CSV == "" {
		return nil
	}
	return errors.Wrap(table.WriteCSV(opts.CSV, rows), "write CSV")
}
