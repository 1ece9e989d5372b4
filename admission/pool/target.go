package pool

import (
	"math"
	"time"

	"github.com/mangopost/mangopost/admission/loadreport"
)

const (
	// smoothingFactor is the weight of a new sample in an exponential average:
	// about the last ten samples count.
	smoothingFactor = 0.1
	// initialSmoothingFactor is the weight of the first samples, so that a
	// wrong initial value is corrected quickly.
	initialSmoothingFactor = 0.34
	// windowShrinkFactor multiplies the window when a target sheds.
	windowShrinkFactor = 0.6
	// failureCostFactor weighs the failure rate in the expected cost of a
	// target, because a failed request is sent again or lost.
	failureCostFactor = 8
	// arbitrarySheddingThreshold is the fraction of requests shed at targets
	// with room from which shedding is not attributed to a lack of room.
	arbitrarySheddingThreshold = 0.25
	// coldFactor multiplies the expected service time of a target that has just
	// started.
	coldFactor = 2
	// evenShareFactor limits the requests of a host at a target, as a multiple
	// of an even share among all hosts, while the host does not know what the
	// others run.
	evenShareFactor = 4
	// unreachablePause is how long no request is sent to a target after a
	// connection attempt failed.
	unreachablePause = 300 * time.Millisecond
	// silentPause is how long no request is sent to a target after a request
	// that was not answered in time.
	silentPause = 500 * time.Millisecond
)

// smoothedDuration is an exponential average of durations.
type smoothedDuration struct {
	value   time.Duration
	samples int
}

func (s *smoothedDuration) reset(initial time.Duration) { *s = smoothedDuration{value: initial} }

func (s *smoothedDuration) add(d time.Duration) {
	weight := max(smoothingFactor, initialSmoothingFactor/float64(1+s.samples/3))
	s.samples++
	s.value += time.Duration(weight * float64(d-s.value))
}

// target is the state of one target at this host.
type target struct {
	Target
	running             int           // requests of this host
	othersRunning       float64       // requests of all other hosts, as last reported
	hostShare           float64       // this host's share of the target's concurrent requests; 0: no limit
	nextStart           time.Duration // with a hostShare below one: earliest time of the next start
	admitFraction       float64       // fraction of the requests for its keys that may be sent; 0: all
	admitCredit         float64       // accumulated fraction; a request is admitted when it reaches 1
	refusedFull         int           // requests for its keys refused because it was full
	retrySchedule       retrySchedule // of those requests
	window              float64       // maximum number of concurrent requests of this host
	serviceTime         smoothedDuration
	unloadedServiceTime smoothedDuration // of requests that found a free slot
	failureRate         float64          // smoothed fraction of requests that failed
	sheddingRate        float64          // smoothed fraction of requests that were shed although a slot seemed free
	coolUntil           time.Duration    // no request is sent before this time
	coldUntil           time.Duration
	pausedUntil         time.Duration // the target wants no request from this host before this time
	cold                *coldRunState // nil if the requests to cold targets are not limited

	reports          loadreport.Target
	nameHash         uint64
	reserveRank      float64          // place in the order in which targets are reserved
	slotsBefore      float64          // slots of the targets before it in that order
	slowness         smoothedDuration // time of requests as a multiple of their work: a second is 1
	unloadedSlowness smoothedDuration // of requests that found a free slot

	othersMean float64 // othersRunning, averaged over the last reports
}

func newTarget(t Target, initialServiceTime time.Duration) *target {
	created := &target{Target: t, window: float64(max(1, t.Slots)), nameHash: hashOf(t.Owner.Target)}
	created.serviceTime.reset(initialServiceTime)
	created.unloadedServiceTime.reset(initialServiceTime)
	return created
}

func (t *target) update(now time.Duration, info Target) {
	t.Target = info
	t.coldUntil = now + info.ColdFor
}

// capacity returns the number of requests that all hosts together may have at
// the target.
func (t *target) capacity(backlog float64) float64 {
	return float64(max(1, t.Slots)) * (1 + backlog)
}

// hasRoom reports whether one more request may be sent. A host without running
// requests may always send one, because reports of what other hosts run arrive
// late; a cooldown, the connection limit or the host's share can still prevent
// it.
func (t *target) hasRoom(now time.Duration, backlog float64, hosts int) bool {
	if t.isColdClosed(now) || now < t.coolUntil || now < t.pausedUntil || t.Limit > 0 && t.running >= t.Limit {
		return false
	}
	if t.hostShare > 0 {
		return t.running < max(1, int(t.hostShare)) && now >= t.nextStart
	}
	if t.running == 0 {
		return !t.isReportedFull(now, t.capacity(backlog))
	}
	running := float64(t.running + 1)
	if capacity := t.capacity(backlog); hosts > 1 && running > max(1, math.Ceil(evenShareFactor*capacity/float64(hosts))) {
		return false
	}
	return running <= t.window && running+t.estimate(now).Others <= t.capacity(backlog)
}

// admitNext reports whether one more request for the target's keys may be sent.
// If the target receives more than it can serve, requests are admitted at
// regular intervals so that admitFraction of them is sent. needed is the credit that this
// request needs; all use up the same.
func (t *target) admitNext(phase, needed float64) bool {
	if t.admitFraction <= 0 || t.admitFraction >= 1 {
		t.admitCredit = phase
		return true
	}
	t.admitCredit += t.admitFraction
	t.admitCredit = min(t.admitCredit, pastGoalAdmitCost)
	if t.admitCredit < needed {
		return false
	}
	t.admitCredit = max(t.admitCredit-usualAdmitCost, -maxAdmitDebt)
	return true
}

// recordStart records a start. With a hostShare below one, the next request
// must wait until this one has used its part of the time.
func (t *target) recordStart(now, serviceTime time.Duration) {
	if t.hostShare > 0 && t.hostShare < 1 {
		t.nextStart = now + time.Duration(float64(serviceTime)/t.hostShare)
	}
}

// serviceRate returns the number of requests per second that this host can
// complete at the target.
func (t *target) serviceRate(backlog float64) float64 {
	share := max(1, min(t.window, t.capacity(backlog)-t.othersRunning))
	share = min(share, float64(max(1, t.Slots)))
	if t.hostShare > 0 {
		share = t.hostShare
	}
	return share / max(t.serviceTime.value.Seconds(), 0.001)
}

// expectedCost returns the expected time to an answer, in seconds, increased
// for the risk of failure and for the distance.
func (t *target) expectedCost(now time.Duration, cfg Config) float64 {
	slots := float64(max(1, t.Slots))
	e := t.estimate(now)
	load := (float64(t.running) + e.Others) / slots
	serviceTime := t.serviceTime.value.Seconds() * e.Pace
	if now < t.coldUntil && t.serviceTime.samples < 3 {
		serviceTime *= coldFactor
	}
	cost := serviceTime * (1 + 0.4*load)
	if load >= 1 {
		cost += serviceTime * (load - 1 + 1/slots)
	}
	cost *= 1 + failureCostFactor*t.failureRate
	return cost + cfg.DistancePenalty[t.Distance].Seconds()
}

// hasFreeSlot reports whether a slot seems to be free, as far as this host
// knows.
func (t *target) hasFreeSlot() bool {
	return t.hostShare == 0 && float64(t.running)+t.othersRunning < float64(max(1, t.Slots))
}

// recordShedding records whether a request that found a free slot was shed.
func (t *target) recordShedding(shed bool) {
	t.sheddingRate *= 1 - smoothingFactor
	if shed {
		t.sheddingRate += smoothingFactor
	}
}

// recordResult records how a request ended. If arbitrary is set, the target
// sheds whether or not it has room, so sending fewer requests would not help
// and the window is kept.
func (t *target) recordResult(now, took time.Duration, result Result, arbitrary bool, cfg Config) {
	switch result {
	case Answered:
		t.failureRate *= 1 - smoothingFactor
		t.serviceTime.add(took)
		if float64(t.running)+t.othersRunning < float64(t.Slots) {
			t.unloadedServiceTime.add(took)
		}
		t.window = min(t.window+1/max(t.window, 1), 2*float64(max(1, t.Slots)))
		return
	case Abandoned, NotOwner:
		return
	case Shed:
		if arbitrary {
			break
		}
		t.window = max(1, windowShrinkFactor*t.window)
		t.coolUntil = max(t.coolUntil, now+cfg.Cooldown)
	case Unreachable:
		t.coolUntil = max(t.coolUntil, now+unreachablePause)
	case Silent:
		t.window = 1
		t.coolUntil = max(t.coolUntil, now+silentPause)
	case Failed, Broken:
	}
	t.failureRate += smoothingFactor * (1 - t.failureRate)
}
