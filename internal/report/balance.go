package report

import (
	"time"

	"github.com/mangopost/mangopost/internal/standin/judge"
)

// imbalanceSpan is the length of the spans that Imbalance.Spans averages over.
const imbalanceSpan = 10 * time.Second

// Imbalance compares the loads of a service's targets: the maximum divided by the
// mean, which is 1 when all loads are equal. Runs is by number of runs, Busy by
// busy time.
type Imbalance struct {
	Service string  `json:"service"`
	Targets int     `json:"targets"`
	Runs    float64 `json:"runs"`
	Busy    float64 `json:"busy"`
	// Spans is the mean of the imbalances by runs of each span of 10 s, or 0 if there
	// are too few runs. Over the whole run, a load that moves between targets would
	// look balanced.
	Spans float64 `json:"spans,omitempty"`
	// Hottest is the least imbalance by runs that the hottest key allows, as a
	// single target serves all of its requests. It is 0 without keys.
	Hottest float64 `json:"hottest_key,omitempty"`
}

// serviceImbalances returns the imbalance of each service. Targets without runs
// count.
func serviceImbalances(targets []TargetLoad) []Imbalance {
	runs, busy := make(map[string][]float64), make(map[string][]float64)
	for _, t := range targets {
		runs[t.Service] = append(runs[t.Service], float64(t.Runs))
		busy[t.Service] = append(busy[t.Service], t.BusyMS)
	}
	list := make([]Imbalance, 0, len(runs))
	for _, service := range sortedKeys(runs) {
		list = append(list, Imbalance{
			Service: service,
			Targets: len(runs[service]),
			Runs:    maxOverMean(runs[service]),
			Busy:    maxOverMean(busy[service]),
		})
	}
	return list
}

// maxOverMean returns the maximum divided by the mean, or 0 if all loads are 0.
func maxOverMean(loads []float64) float64 {
	var sum, maximum float64
	for _, l := range loads {
		sum += l
		maximum = max(maximum, l)
	}
	if sum == 0 {
		return 0
	}
	return maximum / (sum / float64(len(loads)))
}

// setHottest sets Hottest of each service's imbalance.
func (s *Summary) setHottest(runs []judge.Run) {
	type key struct{ service, key string }
	total, hottest := make(map[string]int), make(map[string]int)
	byKey := make(map[key]int)
	for _, run := range runs {
		total[run.Service]++
		if run.Key == "" {
			continue
		}
		k := key{run.Service, run.Key}
		byKey[k]++
		hottest[run.Service] = max(hottest[run.Service], byKey[k])
	}
	for i := range s.Imbalance {
		imbalance := &s.Imbalance[i]
		if n := total[imbalance.Service]; n > 0 {
			imbalance.Hottest = float64(hottest[imbalance.Service]) / float64(n) * float64(imbalance.Targets)
		}
	}
}

// minRunsPerTarget is the mean number of runs per target below which an interval
// or span has too few runs to judge the balance.
const minRunsPerTarget = 5

// setIntervalImbalances sets each interval's maximum imbalance by the runs that
// started in it.
func (s *Summary) setIntervalImbalances(runs []judge.Run, startUS int64, interval time.Duration) {
	started := make([]map[string]int, len(s.Timeline)) // runs by target
	for _, run := range runs {
		at := time.Duration(run.Start) - time.Duration(startUS)*time.Microsecond
		i := int(at / interval)
		if at < 0 || i >= len(started) {
			continue
		}
		if started[i] == nil {
			started[i] = make(map[string]int)
		}
		started[i][run.Target]++
	}
	for i, runsByTarget := range started {
		s.Timeline[i].Imbalance = s.maxImbalance(runsByTarget)
	}
}

// maxImbalance returns the maximum imbalance of all services with enough runs.
// started holds the number of runs by target.
func (s *Summary) maxImbalance(started map[string]int) float64 {
	loads := make([]TargetLoad, 0, len(s.Targets))
	runsByService := make(map[string]int)
	for _, t := range s.Targets {
		n := started[t.Target]
		loads = append(loads, TargetLoad{Service: t.Service, Runs: n})
		runsByService[t.Service] += n
	}
	var maximum float64
	for _, i := range serviceImbalances(loads) {
		if runsByService[i.Service] >= minRunsPerTarget*i.Targets {
			maximum = max(maximum, i.Runs)
		}
	}
	return maximum
}

// setSpans sets Spans of each service's imbalance, leaving out spans with too few
// runs.
func (s *Summary) setSpans(runs []judge.Run) {
	for i := range s.Imbalance {
		imbalance := &s.Imbalance[i]
		sum, count := 0.0, 0
		for _, started := range runsBySpan(runs, imbalance.Service) {
			counts, total := s.targetRuns(imbalance.Service, started)
			if total >= minRunsPerTarget*float64(imbalance.Targets) {
				sum += maxOverMean(counts)
				count++
			}
		}
		if count > 0 {
			imbalance.Spans = sum / float64(count)
		}
	}
}

// runsBySpan counts a service's runs by span and target.
func runsBySpan(runs []judge.Run, service string) map[int64]map[string]float64 {
	spans := make(map[int64]map[string]float64)
	for _, run := range runs {
		if run.Service != service {
			continue
		}
		span := run.Start / int64(imbalanceSpan)
		if spans[span] == nil {
			spans[span] = make(map[string]float64)
		}
		spans[span][run.Target]++
	}
	return spans
}

// targetRuns returns the numbers of runs of all targets of a service, and their
// sum.
func (s *Summary) targetRuns(service string, started map[string]float64) (counts []float64, total float64) {
	for _, t := range s.Targets {
		if t.Service == service {
			counts = append(counts, started[t.Target])
			total += started[t.Target]
		}
	}
	return counts, total
}
