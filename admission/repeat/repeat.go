// Package repeat recognises requests that callers send again after a refusal, and how
// long ago they sent them first. It is pure: the deadlines that requests carry, refusals
// and the current time go in, estimates come out. It is not safe for concurrent use.
//
// It handles this load pattern: a service is too small for a while, and callers that were
// refused return. Their latency goal has passed already, so that running them before
// requests whose goal can still be met makes both late. Nothing in a request says that it
// is sent again, but callers count down what is left of their deadline.
package repeat

import (
	"math"
	"time"
)

const (
	// raiseWeight and lowerWeight are the weights with which a longer and a shorter
	// deadline change the upper deadline: it stays near the longest ones also while most
	// requests are repeats.
	raiseWeight = 0.25
	lowerWeight = 0.005
	// repeatShare is the part of the upper deadline below which a deadline may be what is
	// left of a longer one. Callers' own settings and the time on the way differ by less.
	repeatShare = 0.8
	// minObserved is the number of requests before which nothing is decided.
	minObserved = 20
	// rateWindow is the window over which refusals and short deadlines are counted: the
	// callers of refused requests return within seconds.
	rateWindow = 5 * time.Second
	// repeatsPerRefusal is the highest number of short deadlines per refusal that can be
	// repeats; above 1 because a caller may return to another host than the one that
	// refused it.
	repeatsPerRefusal = 1.5
	// calmTime is the time without a refusal after which short deadlines are the callers'
	// own settings.
	calmTime = 10 * time.Second
	// calmWeight is the weight of one request in the share of short deadlines in calm.
	calmWeight = 0.02
	// maxCalmShare is the share of short deadlines in calm from which they are not told
	// from repeats.
	maxCalmShare = 0.1
)

// Route learns the deadlines of one route's requests at one host. The zero value is ready
// to use.
type Route struct {
	upper     float64 // seconds; near the longest deadlines
	observed  int
	calmShare float64 // smoothed share of short deadlines while nothing was refused
	refusedAt time.Duration
	refusals  average
	short     average
}

// average is an exponential sum of events over rateWindow.
type average struct {
	sum float64
	at  time.Duration
}

func (a *average) value(now time.Duration) float64 {
	return a.sum * math.Exp(-(now-a.at).Seconds()/rateWindow.Seconds())
}

func (a *average) add(now time.Duration) { a.sum, a.at = a.value(now)+1, now }

// RecordRefusal records that a request of the route was refused for lack of room.
func (r *Route) RecordRefusal(now time.Duration) {
	r.refusals.add(now)
	r.refusedAt = now
}

// Observe records the deadline of a request that arrives: how long its caller still waits.
// It returns how long ago the caller sent the request first, or 0 if it is not a repeat,
// as far as is known.
func (r *Route) Observe(now, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return 0
	}
	seconds := deadline.Seconds()
	weight := lowerWeight
	if seconds > r.upper {
		weight = raiseWeight
	}
	if r.observed++; r.observed == 1 {
		weight = 1
	}
	r.upper += weight * (seconds - r.upper)
	isShort := seconds < repeatShare*r.upper
	if isShort {
		r.short.add(now)
	}
	if r.refusedAt == 0 || now > r.refusedAt+calmTime {
		r.calmShare *= 1 - calmWeight
		if isShort {
			r.calmShare += calmWeight
		}
		return 0
	}
	mayRepeat := r.short.value(now) <= 1+repeatsPerRefusal*r.refusals.value(now)
	if !isShort || !mayRepeat || r.observed < minObserved || r.calmShare > maxCalmShare {
		return 0
	}
	return time.Duration((r.upper - seconds) * float64(time.Second))
}
