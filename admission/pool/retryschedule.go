package pool

import "time"

// retrySchedule spreads the retries of refused callers over time, at the rate
// at which there is room, so that they are not refused again together.
type retrySchedule struct {
	lastRetry time.Duration // time of the latest scheduled retry
}

const (
	// maxRetryAfter bounds how far ahead retries are scheduled: callers wait
	// only for part of their time, and a target is seldom full for longer.
	maxRetryAfter = 5 * time.Second
	// minRetryRate is the lowest rate used, in requests per second.
	minRetryRate = 0.2
)

// nextRetry returns the delay until the next caller should retry, which is at
// least wait. The rate is the number of requests per second for which there is
// room.
func (r *retrySchedule) nextRetry(now, wait time.Duration, rate float64) time.Duration {
	gap := time.Duration(float64(time.Second) / max(rate, minRetryRate))
	r.lastRetry = min(max(now+wait, r.lastRetry+gap), now+max(wait, maxRetryAfter))
	return r.lastRetry - now
}
