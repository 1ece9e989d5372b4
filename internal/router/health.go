package router

import (
	"sync/atomic"
	"time"
)

// health records what the gateway itself observed of a target. Times are readings of
// the router's clock.
type health struct {
	lastAnswerAt atomic.Int64 // the last answer of any kind
	lastBrokenAt atomic.Int64 // the last connection refused or broken
	lastResetAt  atomic.Int64 // when the target last closed the monitor's connection
}

func (h *health) recordAnswer(now time.Duration) { h.lastAnswerAt.Store(int64(now)) }

func (h *health) recordBroken(now time.Duration) { h.lastBrokenAt.Store(int64(now)) }

func (h *health) recordReset(now time.Duration) { h.lastResetAt.Store(int64(now)) }

// isAlive reports whether the target answered within the suspicion time and no
// connection to it broke since.
func (h *health) isAlive(now, suspicion time.Duration) bool {
	answeredAt := time.Duration(h.lastAnswerAt.Load())
	brokenAt := time.Duration(h.lastBrokenAt.Load())
	return answeredAt > brokenAt && now-answeredAt <= suspicion
}

// wasResetNear reports whether the target's process ended within margin of the given
// time. The monitor's connection, which is never idle for long, ends with the process.
func (h *health) wasResetNear(at, margin time.Duration) bool {
	gap := time.Duration(h.lastResetAt.Load()) - at
	return h.lastResetAt.Load() != 0 && gap.Abs() <= margin
}

// wasResetSince reports whether the target's process may have ended since the given
// reading.
func (h *health) wasResetSince(at time.Duration) bool {
	return h.lastResetAt.Load() != 0 && time.Duration(h.lastResetAt.Load()) >= at
}

// untilSilent returns how much longer the target may stay silent and still count as
// alive. It is negative once that time has passed, and does not consider broken
// connections.
func (h *health) untilSilent(now, suspicion time.Duration) time.Duration {
	return time.Duration(h.lastAnswerAt.Load()) + suspicion - now + time.Millisecond
}
