package main

import (
	"sync"

	"github.com/mangopost/mangopost/bench/table"
)

// Units of a score: the amount of each result that adds 1 before weighting.
const (
	unavailableUnitPPM  = 1000.0 // requests without an owner, per million
	overflowUnitPercent = 1.0    // percent of the requests in swings
	imbalanceUnit       = 1.0    // highest load of a target above the mean, in mean loads
	churnUnitPerMinute  = 12.0   // new epochs per minute
)

// weighting is the weight that a user gives to each unit.
type weighting struct {
	user              string
	unavailableWeight float64
	overflowWeight    float64
	imbalanceWeight   float64
	churnWeight       float64
}

// weightings returns the users' stated priorities: the library gives more weight to
// unavailable time and to service at load peaks; Magnolia to short work that waits
// behind other work, which happens at the most loaded target.
func weightings() []weighting {
	return []weighting{
		{user: "library", unavailableWeight: 4, overflowWeight: 4, imbalanceWeight: 1, churnWeight: 1},
		{user: "magnolia", unavailableWeight: 1, overflowWeight: 1, imbalanceWeight: 7, churnWeight: 1},
	}
}

func (w weighting) score(s scenario, o *outcome) float64 {
	return w.unavailableWeight*o.unavailablePPM()/unavailableUnitPPM +
		w.overflowWeight*o.overflowPercent()/overflowUnitPercent +
		w.imbalanceWeight*(o.meanImbalance()-1)/imbalanceUnit +
		w.churnWeight*o.changesPerMinute(s)/churnUnitPerMinute
}

// measurement is the outcome of a run with its scenario.
type measurement struct {
	scenario scenario
	outcome  *outcome
}

func runSeeds(s scenario, p policy, seeds int) []measurement {
	measurements := make([]measurement, seeds)
	var wg sync.WaitGroup
	for seed := range seeds {
		wg.Go(func() { measurements[seed] = measurement{s, newDriver(s, p, uint64(seed+1)).run()} })
	}
	wg.Wait()
	return measurements
}

func measurementRows(s scenario, p policy, measurements []measurement) []table.Row {
	row := func(metric string, measure func(*outcome) float64) table.Row {
		r := table.Row{Experiment: s.name, Setting: s.site.service, Policy: p.name, Metric: metric}
		for _, m := range measurements {
			r.Samples = append(r.Samples, measure(m.outcome))
		}
		return r
	}
	rows := []table.Row{
		row("imbalance, mean over time", (*outcome).meanImbalance),
		row("imbalance over the hottest key's", func(o *outcome) float64 { return o.meanImbalance() / o.minImbalance() }),
		row("imbalance, first minute", func(o *outcome) float64 { return o.firstMinuteImbalance }),
		row("worst imbalance", func(o *outcome) float64 { return o.worstImbalance }),
		row("changes a minute", func(o *outcome) float64 { return o.changesPerMinute(s) }),
		row("shards without an owner, s", func(o *outcome) float64 { return o.unownedTime.Seconds() }),
		row("requests without an owner, ppm", (*outcome).unavailablePPM),
	}
	if s.swingIntervalSeconds > 0 {
		rows = append(rows, row("beyond capacity in swings, %", (*outcome).overflowPercent))
	}
	for _, w := range weightings() {
		rows = append(rows, row("score, "+w.user, func(o *outcome) float64 { return w.score(s, o) }))
	}
	return rows
}

// totals sums the scores of each policy over all scenarios, for each user over the
// scenarios of its own site.
type totals struct {
	policyNames    []string
	scores         map[string]map[string][]float64 // sums by policy and user, one for each seed
	scenarioCounts map[string]map[string]float64   // by policy and user
}

func newTotals() *totals {
	return &totals{
		scores:         make(map[string]map[string][]float64),
		scenarioCounts: make(map[string]map[string]float64),
	}
}

func (t *totals) add(p policy, measurements []measurement) {
	if t.scores[p.name] == nil {
		t.policyNames = append(t.policyNames, p.name)
		t.scores[p.name] = make(map[string][]float64)
		t.scenarioCounts[p.name] = make(map[string]float64)
	}
	for _, w := range weightings() {
		if w.user != measurements[0].scenario.site.name {
			continue
		}
		if t.scores[p.name][w.user] == nil {
			t.scores[p.name][w.user] = make([]float64, len(measurements))
		}
		for i, m := range measurements {
			t.scores[p.name][w.user][i] += w.score(m.scenario, m.outcome)
		}
		t.scenarioCounts[p.name][w.user]++
	}
}

func (t *totals) rows() []table.Row {
	var rows []table.Row
	for _, w := range weightings() {
		for _, name := range t.policyNames {
			samples := t.scores[name][w.user]
			if len(samples) == 0 {
				continue
			}
			row := table.Row{Experiment: "scores", Setting: w.user, Policy: name, Metric: "score"}
			for _, s := range samples {
				row.Samples = append(row.Samples, s/t.scenarioCounts[name][w.user])
			}
			rows = append(rows, row)
		}
	}
	return rows
}
