package pool

import "time"

// returns plans when callers that were refused come back: one after the other, at
// the rate at which there is room, so that they are not refused again together.
type returns struct {
	last time.Duration // moment that the caller refused last was given
}

const (
	// maxReturn bounds how far ahead returns are planned: callers wait for a part of
	// their time only, and what made the target full seldom lasts longer.
	maxReturn = 5 * time.Second
	// minRate is the least rate, in requests a second, that is planned with.
	minRate = 0.2
)

// next returns when the next caller is to come back, not before wait is over. rate
// is the number of requests a second that there is room for.
func (r *returns) next(now, wait time.Duration, rate float64) time.Duration {
	gap := time.Duration(float64(time.Second) / max(rate, minRate))
	r.last = min(max(now+wait, r.last+gap), now+max(wait, maxReturn))
	return r.last - now
}
