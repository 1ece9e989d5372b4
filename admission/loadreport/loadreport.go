// Package loadreport decides what a target's report of its load is worth at a later
// time. It is pure: reports and the current time go in, estimates come out. It is not
// safe for concurrent use.
//
// It handles these patterns:
//   - many hosts and targets: a host hears from a target every few seconds, and the
//     requests that a report counted end meanwhile;
//   - targets that are slow for fractions of a second;
//   - targets that report what is not true.
package loadreport

import (
	"math"
	"time"
)

const (
	// paceTime is the time constant with which a reported pace returns to the usual one.
	// Targets are slow for about 0.4 s; a report finds them on average half-way.
	paceTime = 250 * time.Millisecond
	// minDecayTime and maxDecayTime limit the time constant of the reported requests.
	minDecayTime = 20 * time.Millisecond
	maxDecayTime = 2 * time.Second
	// decisiveWeight is the weight from which a report alone may keep a request off a
	// target: about 0.7 times the service time after it was made.
	decisiveWeight = 0.5
	// forgottenAfter is the age, as a multiple of the longer time constant, from which a
	// report, which then counts less than a hundredth, is left out.
	forgottenAfter = 5
	// trustStep is the weight of one answer in the trust in a target's reports.
	trustStep = 0.1
	// minTrust is the trust below which reports do not count. Half of a target's answers
	// would have to be slow while it reports free slots and its usual pace.
	minTrust = 0.5
	// slowAnswer is how long an answer takes, as a multiple of the expected time, that
	// contradicts a report of free slots. Targets differ in speed by up to 2.3.
	slowAnswer = 3.0
	// usualPace is the highest pace that counts as usual.
	usualPace = 1.5
)

// Load is the load that a target reports.
type Load struct {
	Running, Waiting, Slots int     // requests of all hosts; Slots is 0 if nothing was reported
	Pace                    float64 // how long work takes at this moment, as a multiple of the usual
}

// saysFree reports whether the target claims that a request would start at once and take
// as long as usual.
func (l Load) saysFree() bool { return l.Running < l.Slots && l.Waiting == 0 && l.Pace < usualPace }

// Target is what the reports of one target are worth. The zero value has no report.
type Target struct {
	load     Load
	others   float64 // requests of other hosts, running and waiting
	at       time.Duration
	distrust float64 // smoothed part of the answers that contradict the reports
}

// Record records a report. own is the number of requests that this host has at the
// target at that time.
func (t *Target) Record(now time.Duration, load Load, own int) {
	if load.Slots <= 0 {
		return
	}
	t.load, t.at = load, now
	t.others = max(0, float64(load.Running+load.Waiting-own))
}

// Change is a change of the trust in a target's reports.
type Change uint8

const (
	// Unchanged means that the reports count or do not count as before.
	Unchanged Change = iota
	// Lost means that the reports do not count from now on.
	Lost
	// Regained means that the reports count again.
	Regained
)

// Check compares a report with the answer that it came with. took is how long the answer
// took, and expected how long one takes at a target with a free slot. A shed request and
// a long answer contradict a report of free slots.
func (t *Target) Check(load Load, shed bool, took, expected time.Duration) Change {
	if load.Slots <= 0 || !load.saysFree() {
		return Unchanged
	}
	before := t.trust()
	t.distrust *= 1 - trustStep
	if shed || took > time.Duration(slowAnswer*float64(expected)) {
		t.distrust += trustStep
	}
	switch after := t.trust(); {
	case before > 0 && after == 0:
		return Lost
	case before == 0 && after > 0:
		return Regained
	default:
		return Unchanged
	}
}

// trust returns how much the reports count, from 0 to 1.
func (t *Target) trust() float64 { return max(0, 1-t.distrust/(1-minTrust)) }

// Estimate is what is assumed of a target at a moment.
type Estimate struct {
	Others  float64 // requests of all other hosts, running and waiting
	Pace    float64 // how long work takes, as a multiple of the usual
	Decides bool    // the report is recent enough to decide alone
	Waiting bool    // with Decides: requests wait at the target
}

// At returns the estimate at now. lateOthers is what other hosts run as known without
// the report, and serviceTime how long a request takes at the target: the reported
// requests end, and the estimate returns to lateOthers.
func (t *Target) At(now time.Duration, lateOthers float64, serviceTime time.Duration) Estimate {
	e := Estimate{Others: lateOthers, Pace: 1}
	trust, age := t.trust(), max(0, now-t.at)
	constant := min(max(serviceTime, minDecayTime), maxDecayTime)
	if t.load.Slots == 0 || trust == 0 || age > forgottenAfter*max(constant, paceTime) {
		return e
	}
	weight := trust * decay(age, constant)
	e.Others += weight * (t.others - lateOthers)
	e.Pace += trust * decay(age, paceTime) * (t.load.Pace - 1)
	e.Decides = weight >= decisiveWeight
	e.Waiting = e.Decides && t.load.Waiting > 0
	return e
}

func decay(age, constant time.Duration) float64 {
	return math.Exp(-age.Seconds() / constant.Seconds())
}
