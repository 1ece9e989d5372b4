package main

import (
	"fmt"

	"github.com/mangopost/mangopost/bench/table"
)

// runOneRoute measures short work together with long work on the same route.
func runOneRoute(seeds int) []table.Row {
	var rows []table.Row
	for _, s := range sites() {
		for _, capacityFactor := range []float64{0.7, 1, 2, 5} {
			for _, p := range policies() {
				rows = append(rows, oneRouteRows(seeds, s, capacityFactor, p)...)
			}
		}
	}
	return rows
}

func oneRouteRows(seeds int, s site, capacityFactor float64, p policy) []table.Row {
	setting := fmt.Sprintf("%s %d slots, one route, %.1fx", s.name, s.slots, capacityFactor)
	var good, short, long, late, latency []float64
	for seed := range uint64(seeds) {
		o := newDriver(seed+1, p.config(s.slots), oneRouteLoad(s.slots, capacityFactor)).run()
		good = append(good, o.goodput())
		short = append(short, 100*float64(o.goodShort)/float64(o.sentShort))
		long = append(long, 100*float64(o.good-o.goodShort)/float64(o.sent-o.sentShort))
		late = append(late, 100*float64(o.sent-o.good-o.refusalCount())/float64(o.sent))
		latency = append(latency, p99(o.short))
	}
	return []table.Row{
		{Experiment: "one-route", Setting: setting, Policy: p.name, Metric: "goodput, answers/s", Samples: good},
		{Experiment: "one-route", Setting: setting, Policy: p.name, Metric: "short work answered, %", Samples: short},
		{Experiment: "one-route", Setting: setting, Policy: p.name, Metric: "long work answered, %", Samples: long},
		{Experiment: "one-route", Setting: setting, Policy: p.name, Metric: "ran and late, % of arrivals", Samples: late},
		{Experiment: "one-route", Setting: setting, Policy: p.name, Metric: "p99 short, ms", Samples: latency},
	}
}
