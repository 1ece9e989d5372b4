package main

import (
	"strings"

	"github.com/mangopost/mangopost/bench/table"
)

// weighting is the weight that a user gives to each result. The weights add up to 1.
type weighting struct {
	crestWeight    float64 // service at the peak of a load swing
	blockingWeight float64 // short work delayed by long work
}

// siteWeighting returns the weighting of a site's owner. It has no weight for the time
// a key is unavailable, as the order of a queue doesn't affect that.
func siteWeighting(s site) weighting {
	if s.name == "magnolia" {
		return weighting{crestWeight: 1. / 3, blockingWeight: 2. / 3}
	}
	return weighting{crestWeight: 2. / 3, blockingWeight: 1. / 3}
}

// runScores scores the policies with the weights of each site's owner. Crest is the
// mean of the slot time in good answers at 5 times the capacity, the answers during a
// spike and the answers to light clients, each as a share of the possible maximum.
// Blocking is the mean of the p99 of short work without stragglers divided by that
// with stragglers.
func runScores(seeds int) []table.Row {
	var measured []table.Row
	for _, run := range []func(int) []table.Row{runGoodput, runSpike, runShares, runStragglers} {
		measured = append(measured, run(seeds)...)
	}
	var rows []table.Row
	for _, s := range sites() {
		for _, p := range policies() {
			crest := meanOfMedians(measured, s, p, isCrestRow, func(v float64) float64 { return min(v/100, 1) })
			blocking := meanOfMedians(measured, s, p, isBlockingRow, func(v float64) float64 { return min(1/v, 1) })
			w := siteWeighting(s)
			rows = append(rows,
				table.Row{Experiment: "score", Setting: s.name, Policy: p.name, Metric: "crest, %", Samples: []float64{100 * crest}},
				table.Row{Experiment: "score", Setting: s.name, Policy: p.name, Metric: "blocking, %", Samples: []float64{100 * blocking}},
				table.Row{Experiment: "score", Setting: s.name, Policy: p.name, Metric: "weighed, %", Samples: []float64{100 * (w.crestWeight*crest + w.blockingWeight*blocking)}})
		}
	}
	return rows
}

func isCrestRow(r table.Row) bool {
	switch r.Experiment {
	case "goodput":
		return strings.HasSuffix(r.Setting, " 5x") && strings.HasPrefix(r.Metric, "slot time")
	case "spike":
		return strings.HasPrefix(r.Metric, "goodput")
	default:
		return r.Experiment == "shares"
	}
}

func isBlockingRow(r table.Row) bool { return r.Experiment == "stragglers" && r.Metric == "ratio" }

// meanOfMedians returns the mean of the normalised medians of the rows of a site and
// policy that wanted selects.
func meanOfMedians(rows []table.Row, s site, p policy, wanted func(table.Row) bool, normalise func(float64) float64) float64 {
	sum, n := 0.0, 0.0
	for _, r := range rows {
		if r.Policy == p.name && strings.HasPrefix(r.Setting, s.name+" ") && wanted(r) {
			sum += normalise(r.Median())
			n++
		}
	}
	return sum / n
}
