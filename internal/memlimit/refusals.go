package memlimit

import (
	"sync"
	"time"
)

// logInterval is the least time between two log lines about clients that had to give
// way, however many they are.
const logInterval = time.Second

// Refusals counts the clients that had to give way since the last log line. The zero
// value is ready to use.
type Refusals struct {
	mu     sync.Mutex
	lastAt time.Time
	counts map[string]int // by reason
}

// Add counts a client. If a log line is due, it returns its fields: the counts by reason
// since the last line.
func (r *Refusals) Add(now time.Time, reason string) (fields []any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = make(map[string]int)
	}
	r.counts[reason]++
	if now.Sub(r.lastAt) < logInterval {
		return nil
	}
	for _, known := range Reasons {
		fields = append(fields, known, r.counts[known])
	}
	r.counts, r.lastAt = nil, now
	return fields
}
