package main

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/bench/table"
)

// TestMeanOfMediansUsesMatchingRowsAndCapsValues checks that only the selected rows of
// the site and policy count, and that a value above the maximum counts as the maximum.
func TestMeanOfMediansUsesMatchingRowsAndCapsValues(t *testing.T) {
	s, p := site{"library", 6}, policy{name: "fair"}
	rows := []table.Row{
		{Experiment: "stragglers", Setting: "library 6 slots, a", Policy: "fair", Metric: "ratio", Samples: []float64{2}},
		{Experiment: "stragglers", Setting: "library 6 slots, b", Policy: "fair", Metric: "ratio", Samples: []float64{0.5}},
		{Experiment: "stragglers", Setting: "library 6 slots, b", Policy: "fifo", Metric: "ratio", Samples: []float64{9}},
		{Experiment: "stragglers", Setting: "magnolia 3 slots, b", Policy: "fair", Metric: "ratio", Samples: []float64{9}},
		{Experiment: "stragglers", Setting: "library 6 slots, b", Policy: "fair", Metric: "p99 with, ms", Samples: []float64{9}},
	}
	got := meanOfMedians(rows, s, p, isBlockingRow, func(v float64) float64 { return min(1/v, 1) })
	assert.Equal(t, got, 0.75)
}

func TestIsCrestRow(t *testing.T) {
	assert.Assert(t, isCrestRow(table.Row{Experiment: "goodput", Setting: "x, 5x", Metric: "slot time in good answers, %"}))
	assert.Assert(t, !isCrestRow(table.Row{Experiment: "goodput", Setting: "x, 1x", Metric: "slot time in good answers, %"}))
	assert.Assert(t, !isCrestRow(table.Row{Experiment: "goodput", Setting: "x, 5x", Metric: "p99 short, ms"}))
	assert.Assert(t, isCrestRow(table.Row{Experiment: "shares"}))
	assert.Assert(t, !isCrestRow(table.Row{Experiment: "spike", Metric: "slow answers"}))
}
