package pool

import (
	"strings"
	"time"
)

// repeatHold is how long after the refusal of a request whose goal could still have been
// met no request starts whose goal has passed: the room that it would take is what the
// other lacked. A service that is too small refuses several requests a second at each
// host, so that it has none to spare until the refusals end.
const repeatHold = time.Second

// isPastGoal reports whether the request's goal had passed when it arrived: its caller
// sends it again.
func (r Request) isPastGoal() bool { return r.Goal < r.Arrived }

// compareGoals orders requests whose goal has passed after the others: running them first
// would make others late too.
func compareGoals(a, b Request) int {
	switch {
	case a.isPastGoal() == b.isPastGoal():
		return 0
	case b.isPastGoal():
		return -1
	default:
		return 1
	}
}

// recordRefusal records a refusal for lack of room of a request whose goal could still
// have been met.
func (p *Pool) recordRefusal(now time.Duration, r Request, reason Reason) {
	if r.isPastGoal() || reason != Full && reason != Reserved && reason != Late {
		return
	}
	p.refusedInTime[strings.Join(r.Regions, ",")] = now
}

// refuseRepeat refuses a request of an unkeyed service whose goal has passed while the
// targets that it may use lack room for others.
func (p *Pool) refuseRepeat(now time.Duration, r Request) (Action, bool) {
	if p.cfg.Keyed || !r.isPastGoal() || len(r.TriedTargets) > 0 {
		return Action{}, false
	}
	refusedAt, ok := p.refusedInTime[strings.Join(r.Regions, ",")]
	if !ok || now >= refusedAt+repeatHold {
		return Action{}, false
	}
	return p.refuse(now, r, PastGoal, max(refusedAt+repeatHold-now, p.expectedWait(r))), true
}

// refuseOvertaken refuses a waiting request whose goal has passed once it could not be
// answered within a third of its time: requests that arrive later start before it.
func (p *Pool) refuseOvertaken(now time.Duration, r Request) (Action, bool) {
	if !r.isPastGoal() || now+p.expectedTime(r) <= r.latestAnswer() {
		return Action{}, false
	}
	return p.refuse(now, r, PastGoal, p.expectedWait(r)), true
}

const (
	// usualAdmitCost is the credit that a request for the keys of an overloaded owner
	// needs to be sent, and uses up.
	usualAdmitCost = 1
	// pastGoalAdmitCost is the credit that a request needs whose goal has passed: it is
	// sent only while few others arrive.
	pastGoalAdmitCost = 2
	// maxAdmitDebt limits the credit that more urgent requests use in advance.
	maxAdmitDebt = 3
)

// admitCost returns the credit that a request needs to be sent to an overloaded owner.
func (p *Pool) admitCost(r Request) float64 {
	switch {
	case p.urgency.isActive() && r.Priority < p.urgency.least:
		return -maxAdmitDebt
	case r.isPastGoal():
		return pastGoalAdmitCost
	default:
		return usualAdmitCost
	}
}
