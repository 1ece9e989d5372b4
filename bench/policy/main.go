// Command policy compares the queue policies of a gateway. It runs admission.Queue in
// virtual time with seeded arrivals, prints tables and, with --csv, writes a file. It
// does not model a cluster: there are one queue, one target and no network.
package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/bench/table"
)

// options are the command-line flags.
type options struct {
	Seeds int    `long:"seeds" default:"5" description:"seeds to run, starting at 1"`
	CSV   string `long:"csv" description:"file to write the rows to"`
	Only  string `long:"only" description:"run only the experiment of this name"`
}

func main() {
	var opts options
	os.Exit(table.Main("policy", &opts, func() error { return run(opts) }))
}

func run(opts options) error {
	var rows []table.Row
	for _, e := range experiments() {
		if opts.Only != "" && opts.Only != e.name {
			continue
		}
		experimentRows := e.run(opts.Seeds)
		table.Print(os.Stdout, e.name+": "+e.title, experimentRows)
		rows = append(rows, experimentRows...)
	}
	if opts.CSV == "" {
		return nil
	}
	return errors.Wrap(table.WriteCSV(opts.CSV, rows), "write CSV")
}
