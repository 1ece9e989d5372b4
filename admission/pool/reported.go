package pool

import (
	"time"

	"github.com/mangopost/mangopost/admission/loadreport"
)

// reportsInUse is how long after a target's last report the service counts as one whose
// targets report their load.
const reportsInUse = 10 * time.Second

// RecordLoad records the load that a target reported with the end of a request, and
// reports whether its reports count as before. Call it after Finish.
func (p *Pool) RecordLoad(now time.Duration, a Action, load loadreport.Load, took time.Duration, result Result) loadreport.Change {
	t := p.targets[a.Target.Target]
	if load.Slots <= 0 || t == nil || !t.Owner.SameRun(a.Target) {
		return loadreport.Unchanged
	}
	t.reports.Record(now, load, t.running)
	p.lastReport = now
	if result != Answered && result != Shed {
		return loadreport.Unchanged
	}
	return t.reports.Check(load, result == Shed, took, p.usualTime(a.Route))
}

// usualTime returns how long requests of a route take at a free slot of a target of mean
// speed.
func (p *Pool) usualTime(route string) time.Duration {
	if p.urgency.isActive() {
		return p.workOf(Request{Route: route})
	}
	return p.serviceTime.value
}

// usesReports reports whether targets of the service report their load.
func (p *Pool) usesReports(now time.Duration) bool {
	return p.lastReport > 0 && now <= p.lastReport+reportsInUse
}

// estimate returns what is assumed of the target: of the last report of other hosts'
// requests, and of the target's own reports if it sends any.
func (t *target) estimate(now time.Duration) loadreport.Estimate {
	return t.reports.At(now, t.othersRunning, t.serviceTime.value)
}

// isReportedFull reports whether a recent report of the target leaves no room for one
// more request.
func (t *target) isReportedFull(now time.Duration, capacity float64) bool {
	e := t.estimate(now)
	return e.Decides && float64(t.running+1)+e.Others > capacity
}
