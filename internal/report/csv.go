package report

import (
	"encoding/csv"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

var timelineHeader = []string{
	"at_ms", "rate", "served", "refused", "unknown", "p50_ms", "p99_ms", "imbalance", "unserved_keys",
}

// WriteCSV writes the timeline as CSV.
func WriteCSV(w io.Writer, s Summary) error {
	out := csv.NewWriter(w)
	rows := [][]string{timelineHeader}
	for _, i := range s.Timeline {
		rows = append(rows, i.row())
	}
	return errors.Wrap(out.WriteAll(rows), "writing the timeline")
}

func (i Interval) row() []string {
	row := []string{strconv.FormatInt(i.AtMS, 10)}
	for _, x := range []float64{i.Rate, i.Served, i.Refused, i.Unknown, i.P50MS, i.P99MS, i.Imbalance} {
		row = append(row, strconv.FormatFloat(x, 'f', 3, 64))
	}
	return append(row, strconv.Itoa(i.Unserved))
}
