// Package table prints the results of the bench programs and writes them as CSV.
package table

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strconv"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Row holds the samples of one metric, one for each seed.
type Row struct {
	Experiment string
	Setting    string // load and target under test
	Policy     string
	Metric     string // name of the metric with its unit
	Samples    []float64
}

// Median returns the upper median of the samples.
func (r Row) Median() float64 {
	median, _, _ := r.summary()
	return median
}

func (r Row) summary() (median, lowest, highest float64) {
	sorted := slices.Sorted(slices.Values(r.Samples))
	return sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1]
}

// Print writes a title and a table of rows to w.
func Print(w io.Writer, title string, rows []Row) {
	fmt.Fprintf(w, "\n%s\n", title)
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "setting\tpolicy\tvalue\tmedian\tleast\tmost")
	for _, r := range rows {
		median, lowest, highest := r.summary()
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\n",
			r.Setting, r.Policy, r.Metric, formatValue(median), formatValue(lowest), formatValue(highest))
	}
	out.Flush()
}

// formatValue formats a number with at most three decimals.
func formatValue(v float64) string {
	if math.IsNaN(v) {
		return "none"
	}
	return strconv.FormatFloat(float64(int64(v*1000+0.5))/1000, 'f', -1, 64)
}

// WriteCSV writes rows to the named file.
func WriteCSV(name string, rows []Row) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrapf(err, "create %s", name)
	}
	w := csv.NewWriter(file)
	records := [][]string{{"experiment", "setting", "policy", "value", "median", "least", "most"}}
	for _, r := range rows {
		median, lowest, highest := r.summary()
		records = append(records, []string{
			r.Experiment, r.Setting, r.Policy, r.Metric, formatValue(median), formatValue(lowest), formatValue(highest),
		})
	}
	if err := w.WriteAll(records); err != nil {
		return errors.CombineErrors(err, file.Close())
	}
	return errors.Wrapf(file.Close(), "close %s", name)
}
