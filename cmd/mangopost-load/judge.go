package main

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/mangopost/mangopost/internal/load"
	"github.com/mangopost/mangopost/internal/report"
	"github.com/mangopost/mangopost/internal/standin/judge"
)

// Files that the judge command writes to the folder of the results.
const (
	runsFile     = "runs.jsonl"
	foundFile    = "found.json"
	summaryFile  = "summary.json"
	timelineFile = "timeline.csv"
	pageFile     = "report.html"
)

type judgeCommand struct {
	Results string   `long:"results" required:"true" description:"folder of the run"`
	Admins  []string `long:"admin" description:"IP and port of a target process's admin calls; repeat for each"`
	Runs    []string `long:"runs" description:"file of runs that a target process recorded; repeat for each"`
	Run     string   `long:"run" description:"name of the run in the report" default:"-"`
	JSON    bool     `long:"json" description:"print the summary as JSON"`
}

// Execute writes the reports and returns errBroken if a promise was broken.
func (c *judgeCommand) Execute([]string) error {
	results, err := c.readResults()
	if err != nil {
		return err
	}
	recs, err := c.readRecords()
	if err != nil {
		return err
	}
	summary := report.Summarise(c.Run, results, timelineStep)
	judgeReport := summary.AddRuns(results, recs.runs, recs.targets, timelineStep)
	if err := c.writeReports(summary, judgeReport, recs.runs); err != nil {
		return err
	}
	if err := c.printSummary(summary); err != nil {
		return err
	}
	if len(summary.Broken) > 0 {
		return errors.WithStack(errBroken)
	}
	return nil
}

func (c *judgeCommand) readResults() ([]load.Result, error) {
	file, err := os.Open(filepath.Join(c.Results, resultsFile))
	if err != nil {
		return nil, errors.Wrap(err, "reading the results")
	}
	defer file.Close()
	return load.ReadResults(file)
}

func (c *judgeCommand) readRecords() (records, error) {
	if len(c.Admins)+len(c.Runs) == 0 {
		return records{}, errors.New("neither --admin nor --runs is given: no records to compare the results with")
	}
	recs, err := fetch(c.Admins)
	if err != nil {
		return records{}, err
	}
	for _, path := range c.Runs {
		if err := recs.readRuns(path); err != nil {
			return records{}, err
		}
	}
	return recs, nil
}

func (c *judgeCommand) printSummary(s report.Summary) error {
	if c.JSON {
		return writeJSON(os.Stdout, s)
	}
	return report.WriteText(os.Stdout, s)
}

func writeJSON(w io.Writer, value any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(value), "encoding JSON")
}

func (c *judgeCommand) writeReports(s report.Summary, judgeReport judge.Report, runs []judge.Run) error {
	files := []struct {
		name  string
		write func(io.Writer) error
	}{
		{runsFile, func(w io.Writer) error { return writeRuns(w, runs) }},
		{foundFile, func(w io.Writer) error { return writeJSON(w, judgeReport) }},
		{summaryFile, func(w io.Writer) error { return writeJSON(w, s) }},
		{timelineFile, func(w io.Writer) error { return report.WriteCSV(w, s) }},
		{pageFile, func(w io.Writer) error { return report.WriteHTML(w, s) }},
	}
	for _, f := range files {
		if err := writeFile(filepath.Join(c.Results, f.name), f.write); err != nil {
			return err
		}
	}
	return nil
}

func writeRuns(w io.Writer, runs []judge.Run) error {
	enc := json.NewEncoder(w)
	for _, run := range runs {
		if err := enc.Encode(run); err != nil {
			return errors.Wrap(err, "writing runs")
		}
	}
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "creating a report")
	}
	defer file.Close()
	if err := write(file); err != nil {
		return errors.Wrap(err, path)
	}
	return errors.Wrap(file.Close(), path)
}
