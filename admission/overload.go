package admission

import "time"

const (
	// overloadInterval is how long every start must have waited beyond its
	// limit before the queue counts as standing.
	overloadInterval = 100 * time.Millisecond
	// overloadWaitFactor limits the wait in a standing queue, in expected
	// service times.
	overloadWaitFactor = 4
	// deadlineFraction is the fraction of the time until the deadline that a
	// request may always wait. The time used is at most the budgetQuantile of
	// the recent requests' times: if each request could wait for a fraction of
	// its own time, those with late deadlines would keep the queue too long for
	// the others.
	deadlineFraction = 0.1
	budgetQuantile   = 0.25
	// budgetWindowSize is the number of arrivals whose time until the deadline
	// is kept.
	budgetWindowSize = 64
	// staleWaitFactor is the multiple of the wait limit after which a request
	// in a standing queue is refused.
	staleWaitFactor = 2
	// overloadEndFraction is the fraction of its wait limit below which every
	// start of an interval must stay for the overload to end. It is below 1, so
	// that waits held down by the limit itself do not end the overload.
	overloadEndFraction = 0.5
	// minOverloadWait is the smallest wait limit, so that requests of quick
	// routes are not refused for a negligible wait.
	minOverloadWait = 5 * time.Millisecond
)

// overloadDetector distinguishes a standing queue from a burst: in a burst some
// requests still start soon, in a standing queue none does. A standing queue
// only delays every answer without serving more requests, so it is kept short.
type overloadDetector struct {
	standing                   bool
	intervalStart              time.Duration
	intervalStarts             int
	minWaitRatio, maxWaitRatio float64 // of the interval's starts: wait divided by the wait limit
	budgets                    window  // times from arrival to deadline
}

func newOverloadDetector() overloadDetector {
	return overloadDetector{budgets: newWindow(budgetWindowSize)}
}

// recordArrival records the time between the arrival of an item and its
// deadline.
func (o *overloadDetector) recordArrival(item Item) {
	if item.Deadline > 0 {
		o.budgets.add(item.Deadline - item.Arrived)
	}
}

// waitLimit returns how long a request may wait under overload.
func (o *overloadDetector) waitLimit(item Item) time.Duration {
	budget := min(item.Deadline-item.Arrived, o.budgets.quantile(budgetQuantile))
	allowed := time.Duration(deadlineFraction * float64(budget))
	return max(overloadWaitFactor*item.Expected, minOverloadWait, allowed)
}

// recordStart records the wait of a request that starts.
func (o *overloadDetector) recordStart(now time.Duration, item Item) {
	waitRatio := float64(now-item.Arrived) / float64(o.waitLimit(item))
	if o.intervalStarts == 0 {
		o.minWaitRatio, o.maxWaitRatio = waitRatio, waitRatio
	}
	o.minWaitRatio = min(o.minWaitRatio, waitRatio)
	o.maxWaitRatio = max(o.maxWaitRatio, waitRatio)
	o.intervalStarts++
	if now-o.intervalStart >= overloadInterval {
		o.endInterval(now)
	}
}

// endInterval updates the state at the end of an interval and begins the next
// one.
func (o *overloadDetector) endInterval(now time.Duration) {
	if o.minWaitRatio > 1 {
		o.standing = true
	}
	if o.maxWaitRatio < overloadEndFraction {
		o.standing = false
	}
	o.intervalStart = now
	o.intervalStarts = 0
}
