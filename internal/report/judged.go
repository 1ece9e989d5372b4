package report

import (
	"fmt"
	"time"

	"github.com/mangopost/mangopost/internal/load"
	"github.com/mangopost/mangopost/internal/standin/judge"
)

// Target names a target whose runs were fetched.
type Target struct {
	Name    string `json:"name"`
	Service string `json:"service"`
}

// AddRuns compares the outcomes that callers received with the runs that the
// targets recorded, and adds the broken promises and the targets' loads to the
// summary. targets includes those without runs; interval must be that given to
// Summarise.
func (s *Summary) AddRuns(results []load.Result, runs []judge.Run, targets []Target, interval time.Duration) judge.Report {
	judgeReport := judge.Check(runs, responsesFromResults(results))
	s.addBroken(judgeReport)
	s.Targets = targetLoads(runs, targets)
	s.Imbalance = serviceImbalances(s.Targets)
	s.setHottest(runs)
	s.setSpans(runs)
	s.setIntervalImbalances(runs, firstIntendedUS(results), interval)
	return judgeReport
}

// responsesFromResults converts the results of all sent attempts for judge.Check.
func responsesFromResults(results []load.Result) []judge.Response {
	responses := make([]judge.Response, 0, len(results))
	for _, r := range results {
		if r.Outcome != load.NotSent {
			responses = append(responses, responseFromResult(r))
		}
	}
	return responses
}

func responseFromResult(r load.Result) judge.Response {
	outcome := judge.Outcome(r.Outcome)
	if r.Outcome == load.NoAnswer {
		outcome = judge.OutcomeNone
	}
	return judge.Response{
		RequestID:      r.RequestID,
		IdempotencyKey: r.IdempotencyKey,
		Client:         r.Client,
		Service:        r.Service,
		Idempotent:     r.Idempotent,
		Outcome:        outcome,
		Replayed:       r.Replayed,
		EchoedID:       r.EchoedID,
		Sent:           r.SentUnixUS * int64(time.Microsecond),
		Answered:       answeredUS(r) * int64(time.Microsecond),
	}
}

// addBroken adds the broken promises of a report, except for wrong answers, which
// Summarise adds.
func (s *Summary) addBroken(judgeReport judge.Report) {
	add := func(promise string, count int, example string) {
		if count > 0 {
			s.Broken = append(s.Broken, Broken{Promise: promise, Count: count, Example: example})
		}
	}
	add("a request that is not idempotent runs at most once", len(judgeReport.DuplicateRuns), exampleDuplicateRuns(judgeReport.DuplicateRuns))
	add("a key has at most one owner", len(judgeReport.Overlaps), exampleOverlap(judgeReport.Overlaps))
	add("what was told not-run was not run", len(judgeReport.NotRunButRan), exampleContradiction(judgeReport.NotRunButRan))
	add("what was told ran was run", len(judgeReport.RanWithoutRun), exampleContradiction(judgeReport.RanWithoutRun))
}

func exampleDuplicateRuns(list []judge.DuplicateRuns) string {
	if len(list) == 0 {
		return ""
	}
	d := list[0]
	return fmt.Sprintf("%s of %s at %s as %s and at %s as %s", d.IdempotencyKey, d.Service,
		d.Runs[0].Target, d.Runs[0].RequestID, d.Runs[1].Target, d.Runs[1].RequestID)
}

func exampleOverlap(list []judge.Overlap) string {
	if len(list) == 0 {
		return ""
	}
	a, b := list[0].First, list[0].Second
	return fmt.Sprintf("%s of %s at %s (epoch %d, %s) and %s (epoch %d, %s)", a.Key, a.Service,
		a.Target, a.OwnerEpoch, a.RequestID, b.Target, b.OwnerEpoch, b.RequestID)
}

func exampleContradiction(list []judge.Contradiction) string {
	if len(list) == 0 {
		return ""
	}
	c := list[0]
	return fmt.Sprintf("%s was reported as %q (echoed %q), run at %q as %q", c.Response.RequestID, c.Response.Outcome,
		c.Response.EchoedID, c.Run.Target, c.Run.RequestID)
}

func targetLoads(runs []judge.Run, targets []Target) []TargetLoad {
	loads := make(map[string]*TargetLoad)
	for _, t := range targets {
		loads[t.Name] = &TargetLoad{Target: t.Name, Service: t.Service}
	}
	for _, run := range runs {
		targetLoad, known := loads[run.Target]
		if !known {
			targetLoad = &TargetLoad{Target: run.Target, Service: run.Service}
			loads[run.Target] = targetLoad
		}
		targetLoad.addRun(run)
	}
	list := make([]TargetLoad, 0, len(loads))
	for _, name := range sortedKeys(loads) {
		list = append(list, *loads[name])
	}
	return list
}

func (t *TargetLoad) addRun(run judge.Run) {
	t.Runs++
	if run.End > run.Start {
		t.BusyMS += float64(run.End-run.Start) / float64(time.Millisecond)
	}
	switch run.Outcome {
	case judge.RunCancelled:
		t.Cancelled++
	case judge.RunCrashed:
		t.Crashed++
	}
}
