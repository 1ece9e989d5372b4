package admission

import (
	"math"
	"time"
)

const (
	// failureCutFactor and slowCutFactor multiply the concurrency when requests
	// fail or the target slows down.
	failureCutFactor = 0.7
	slowCutFactor    = 0.9
	// slowFloorFraction is the fraction of the slots that remains in use if the
	// target is only slow.
	slowFloorFraction = 0.5
	// cutInterval is the minimum time between two cuts, so that one burst of
	// failures counts once.
	cutInterval = 20 * time.Millisecond
	// minProbeInterval and maxProbeInterval bound the time before one more slot
	// is tried after the target shed a request. The interval doubles with each
	// try that is shed.
	minProbeInterval = 100 * time.Millisecond
	maxProbeInterval = time.Second
	// minPause and maxPause bound the delay before the next request to a target
	// that shed its only request, or failed one while a single slot was in use.
	minPause = 10 * time.Millisecond
	maxPause = time.Second
)

// limiter learns how many slots of a target may be used. A cold target gains
// one slot with each answer. When a target sheds, the limit drops to one less
// than the number of requests it had, and later grows again one slot at a time.
type limiter struct {
	slots               int
	fixed               bool
	usable              float64 // number of slots that may be used, between 1 and slots
	cold                bool
	nextCut             time.Duration
	probeInterval       time.Duration
	nextProbe           time.Duration
	consecutiveRefusals int // requests shed or failed in a row
	pausedUntil         time.Duration
}

func newLimiter(slots int, fixed bool) limiter {
	l := limiter{slots: slots, fixed: fixed}
	l.restart()
	return l
}

// restart begins a slow start.
func (l *limiter) restart() {
	l.usable = 1
	l.cold = true
	l.consecutiveRefusals = 0
	l.probeInterval = minProbeInterval
	l.nextProbe = 0
	l.pausedUntil = 0
	if l.fixed {
		l.usable = float64(l.slots)
	}
}

func (l *limiter) setSlots(slots int) {
	l.slots = slots
	l.usable = min(l.usable, float64(slots))
	if l.fixed {
		l.usable = float64(slots)
	}
}

// allowedSlots returns the number of slots that may be used.
func (l *limiter) allowedSlots() int { return int(l.usable) }

func (l *limiter) isPaused(now time.Duration) bool { return now < l.pausedUntil }

func (l *limiter) recordCompletion(now time.Duration) {
	l.consecutiveRefusals = 0
	switch {
	case l.fixed || l.usable >= float64(l.slots):
		return
	case l.cold:
		l.usable++
	case now < l.nextProbe:
		return
	default:
		l.usable = float64(int(l.usable) + 1)
		l.nextProbe = now + l.probeInterval
	}
	if l.usable >= float64(l.slots) {
		l.usable = float64(l.slots)
		l.cold = false
	}
}

// recordShed records that the target shed a request while it had the given
// number running, the shed one included. The limit drops to at most one less
// than that number, but not below 1.
func (l *limiter) recordShed(now time.Duration, running int, retryAfter time.Duration) {
	if l.fixed {
		return
	}
	l.consecutiveRefusals++
	l.cold = false
	if now >= l.nextProbe+l.probeInterval {
		l.probeInterval = minProbeInterval
	} else {
		l.probeInterval = min(2*l.probeInterval, maxProbeInterval)
	}
	l.nextProbe = now + l.probeInterval
	l.usable = max(1, min(l.usable, float64(running-1)))
	if running <= 1 {
		l.pausedUntil = now + l.pauseDuration()
	}
	if retryAfter > 0 {
		l.pausedUntil = max(l.pausedUntil, now+min(retryAfter, maxPause))
	}
}

// recordFailure records a connection failure or a truncated answer.
func (l *limiter) recordFailure(now time.Duration) {
	if l.fixed {
		return
	}
	l.consecutiveRefusals++
	l.cold = false
	if l.allowedSlots() == 1 {
		l.pausedUntil = now + l.pauseDuration()
	}
	if now < l.nextCut {
		return
	}
	l.nextCut = now + cutInterval
	l.nextProbe = now + l.probeInterval
	l.usable = max(1, l.usable*failureCutFactor)
}

// recordSlowdown records that the target answers more slowly than its baseline.
func (l *limiter) recordSlowdown(now time.Duration) {
	floor := math.Ceil(slowFloorFraction * float64(l.slots))
	if l.fixed || l.usable <= floor || now < l.nextCut {
		return
	}
	l.nextCut = now + cutInterval
	l.nextProbe = now + l.probeInterval
	l.usable = max(floor, l.usable*slowCutFactor)
}

// pauseDuration returns the length of the next pause. It doubles with each
// consecutive refusal.
func (l *limiter) pauseDuration() time.Duration {
	pause := minPause
	for i := 1; i < l.consecutiveRefusals && pause < maxPause; i++ {
		pause *= 2
	}
	return min(pause, maxPause)
}
