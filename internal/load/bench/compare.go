package bench

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Spread holds the mean and the extremes of a value over the seeds.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

// Comparison is one metric of one variant under one scenario. Ratio divides the
// variant's values by the baseline's of the same seed. Over divides them by the
// variant's own under the scenario that Scenario.Over names.
type Comparison struct {
	Scenario string `json:"scenario"`
	Metric   string `json:"metric"`
	Variant  string `json:"variant"`
	Value    Spread `json:"value"`
	Ratio    Spread `json:"ratio"`
	Over     Spread `json:"over"`
}

type metricKey struct{ scenario, metric, variant string }

// Compare computes every metric's spread and its ratios, which pair trials of the
// same seed.
func Compare(e Experiment, trials []Trial) []Comparison {
	values := make(map[metricKey]map[uint64]float64) // by seed
	var order []metricKey
	for _, t := range trials {
		for _, m := range t.Metrics {
			key := metricKey{t.Scenario, m.Name, t.Variant}
			if values[key] == nil {
				values[key] = make(map[uint64]float64)
				order = append(order, key)
			}
			values[key][t.Seed] = m.Value
		}
	}
	list := make([]Comparison, 0, len(order))
	for _, key := range order {
		base := values[metricKey{key.scenario, key.metric, e.Baseline}]
		over := values[metricKey{e.comparedWith(key.scenario), key.metric, key.variant}]
		list = append(list, Comparison{
			Scenario: key.scenario, Metric: key.metric, Variant: key.variant,
			Value: spreadOf(bySeed(e.Seeds, values[key])),
			Ratio: ratioOf(e.Seeds, values[key], base),
			Over:  ratioOf(e.Seeds, values[key], over),
		})
	}
	return list
}

// comparedWith returns the scenario that the given one is compared with, or "".
func (e Experiment) comparedWith(scenario string) string {
	for _, s := range e.Scenarios {
		if s.Name == scenario {
			return s.Over
		}
	}
	return ""
}

// bySeed returns the measured values in the order of the seeds.
func bySeed(seeds []uint64, values map[uint64]float64) []float64 {
	var list []float64
	for _, seed := range seeds {
		if value, measured := values[seed]; measured {
			list = append(list, value)
		}
	}
	return list
}

// ratioOf returns the spread of values/base over the seeds that have both.
func ratioOf(seeds []uint64, values, base map[uint64]float64) Spread {
	var ratios []float64
	for _, seed := range seeds {
		value, measured := values[seed]
		if b, hasBase := base[seed]; measured && hasBase && b != 0 {
			ratios = append(ratios, value/b)
		}
	}
	return spreadOf(ratios)
}

// spreadOf returns the spread of values, or the zero Spread if there are none.
func spreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	s := Spread{Min: math.Inf(1), Max: math.Inf(-1)}
	for _, v := range values {
		s.Mean += v / float64(len(values))
		s.Min = min(s.Min, v)
		s.Max = max(s.Max, v)
	}
	return s
}

// formatOver returns the columns of Over, which are empty when it is zero.
func (c Comparison) formatOver() string {
	if c.Over == (Spread{}) {
		return "\t\t"
	}
	return fmt.Sprintf("%.3f\t%.3f\t%.3f", c.Over.Mean, c.Over.Min, c.Over.Max)
}

// WriteTable writes the comparisons as a table.
func WriteTable(w io.Writer, list []Comparison) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "scenario\tmetric\tvariant\tmean\tfrom\tto\tratio to baseline\tfrom\tto\tover scenario\tfrom\tto")
	for _, c := range list {
		fmt.Fprintf(tab, "%s\t%s\t%s\t%.4g\t%.4g\t%.4g\t%.3f\t%.3f\t%.3f\t%s\n", c.Scenario, c.Metric, c.Variant,
			c.Value.Mean, c.Value.Min, c.Value.Max, c.Ratio.Mean, c.Ratio.Min, c.Ratio.Max, c.formatOver())
	}
	return tab.Flush()
}
