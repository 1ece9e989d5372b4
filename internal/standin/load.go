package standin

import (
	"sync"
	"time"
)

// loadResponse is the body of GET /mangopost/load.
type loadResponse struct {
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

// loadHistory keeps recent load samples, so that a target can report an old load.
type loadHistory struct {
	mu      sync.Mutex
	samples []loadSample // oldest first
}

type loadSample struct {
	at      time.Time
	running int
}

// maxLoadSamples bounds the samples that are kept.
const maxLoadSamples = 256

// recordAndGet records the current load and returns the newest sample that is at
// least lag old, or the oldest sample if there is none.
func (l *loadHistory) recordAndGet(running int, now time.Time, lag time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, loadSample{at: now, running: running})
	if len(l.samples) > maxLoadSamples {
		l.samples = l.samples[1:]
	}
	delayed := l.samples[0].running
	for _, s := range l.samples {
		if now.Sub(s.at) < lag {
			break
		}
		delayed = s.running
	}
	return delayed
}
