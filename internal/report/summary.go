// Package report summarises the results of a load run: outcomes, latencies, loads
// of targets and unserved time, in total and over time. It writes them as text,
// CSV and one self-contained HTML page; Summary can also be encoded as JSON.
package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangopost/mangopost/internal/load"
)

// Summary summarises the results of a run.
type Summary struct {
	Run       string          `json:"run,omitempty"`
	Requests  int             `json:"requests"` // first attempts
	Attempts  int             `json:"attempts"`
	Services  []ServiceReport `json:"services"`
	Targets   []TargetLoad    `json:"targets,omitempty"`
	Imbalance []Imbalance     `json:"imbalance,omitempty"`
	Timeline  []Interval      `json:"timeline"`
	Broken    []Broken        `json:"broken"` // promises that were broken
}

// ServiceReport summarises the requests to one service.
type ServiceReport struct {
	Service  string        `json:"service"`
	Outcomes []Count       `json:"outcomes"` // number of attempts by outcome
	Reasons  []Count       `json:"reasons"`  // number of attempts without outcome ran, by reason
	Wrong    int           `json:"wrong_answers"`
	Replayed int           `json:"replayed"`
	Classes  []ClassReport `json:"classes"`
	Unserved Unserved      `json:"unserved"`
}

// Count is the number of occurrences of a name.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// ClassReport summarises the first attempts of one class of a service's requests.
// Latencies are those of served attempts, measured from the intended send time.
type ClassReport struct {
	Class    string    `json:"class"`
	Requests int       `json:"requests"`
	Served   int       `json:"served"`
	InTime   int       `json:"in_time"` // served within its deadline
	Latency  Quantiles `json:"latency"`
}

// Broken is a broken promise and the number of times that it was broken.
type Broken struct {
	Promise string `json:"promise"`
	Count   int    `json:"count"`
	Example string `json:"example,omitempty"`
}

// Summarise summarises results. interval is the step of the timeline.
func Summarise(run string, results []load.Result, interval time.Duration) Summary {
	s := Summary{Run: run, Attempts: len(results)}
	byService := make(map[string][]load.Result)
	for _, r := range results {
		if r.Attempt == 0 {
			s.Requests++
		}
		byService[r.Service] = append(byService[r.Service], r)
	}
	for _, name := range sortedKeys(byService) {
		s.Services = append(s.Services, summariseService(name, byService[name]))
	}
	s.Timeline = intervalsOf(results, interval)
	s.addWrongAnswers(results)
	return s
}

func (s *Summary) addWrongAnswers(results []load.Result) {
	var broken Broken
	for _, r := range results {
		if !r.WrongAnswer {
			continue
		}
		broken.Count++
		broken.Example = r.RequestID + " was answered with " + r.EchoedID
	}
	if broken.Count > 0 {
		broken.Promise = "a caller receives the answer to its own request"
		s.Broken = append(s.Broken, broken)
	}
}

func summariseService(name string, results []load.Result) ServiceReport {
	r := ServiceReport{Service: name, Unserved: unservedOf(results)}
	outcomes, reasons := make(map[string]int), make(map[string]int)
	classes := make(map[string][]load.Result)
	for _, result := range results {
		outcomes[string(result.Outcome)]++
		if result.Outcome != load.Ran {
			reasons[reasonOf(result)]++
		}
		if result.WrongAnswer {
			r.Wrong++
		}
		if result.Replayed {
			r.Replayed++
		}
		if result.Attempt == 0 {
			class := classOf(result)
			classes[class] = append(classes[class], result)
		}
	}
	r.Outcomes, r.Reasons = sortedCounts(outcomes), sortedCounts(reasons)
	for _, class := range sortedKeys(classes) {
		r.Classes = append(r.Classes, summariseClass(class, classes[class]))
	}
	return r
}

// classOf returns the class of a result. Stragglers form a class of their own, so
// that their long service times do not count in the latencies of their class.
func classOf(r load.Result) string {
	if r.Straggler {
		return r.Class + " stragglers"
	}
	return r.Class
}

func reasonOf(r load.Result) string { return cmp.Or(r.Reason, r.Error, "none given") }

func summariseClass(class string, results []load.Result) ClassReport {
	var served []time.Duration
	inTime := 0
	for _, r := range results {
		if r.InTime() {
			inTime++
		}
		if r.Served() {
			served = append(served, r.Latency())
		}
	}
	return ClassReport{
		Class:    class,
		Requests: len(results),
		Served:   len(served),
		InTime:   inTime,
		Latency:  QuantilesOf(served),
	}
}

// sortedCounts returns the counts in descending order, then by name.
func sortedCounts(countByName map[string]int) []Count {
	list := make([]Count, 0, len(countByName))
	for name, n := range countByName {
		list = append(list, Count{Name: name, Count: n})
	}
	slices.SortFunc(list, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Name, b.Name))
	})
	return list
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
