package standin

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Parameters that a request may set in a header or in the query, where their names
// are lower case and without the header's prefix.
const (
	// WorkHeader sets the service time in milliseconds; query work_ms.
	WorkHeader = "Mangopost-Standin-Work-Ms"
	// CrashHeader crashes the target that runs the request; query crash=1.
	CrashHeader = "Mangopost-Standin-Crash"
	// BytesHeader sets the minimum size of the response in bytes; query bytes.
	BytesHeader = "Mangopost-Standin-Bytes"
)

// crashDelay is the time that a request with CrashHeader runs before its target
// crashes.
const crashDelay = 2 * time.Millisecond

// maxPaddingBytes bounds the value of BytesHeader.
const maxPaddingBytes = 64 << 20

func requestParam(r *http.Request, header, query string) string {
	if value := r.Header.Get(header); value != "" {
		return value
	}
	return r.URL.Query().Get(query)
}

func wantsCrash(r *http.Request) bool { return requestParam(r, CrashHeader, "crash") == "1" }

// minResponseBytes returns the minimum response size that a request asks for.
func minResponseBytes(r *http.Request) int {
	n, err := strconv.Atoi(requestParam(r, BytesHeader, "bytes"))
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxPaddingBytes)
}

// sampler draws random service times from a seed.
type sampler struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newSampler(seed int64) *sampler {
	return &sampler{rng: rand.New(rand.NewPCG(uint64(seed), 0))}
}

// draw returns a random service time in milliseconds.
func (s *sampler) draw(t ServiceTime) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	ms := t.MedianMS * math.Exp(t.Sigma*s.rng.NormFloat64())
	if s.rng.Float64()*100 < t.StragglerPercent {
		ms *= max(t.StragglerFactor, 1)
	}
	return ms
}

// serviceTime returns the run time of a request.
func (t *Target) serviceTime(r *http.Request, p *process) time.Duration {
	ms, err := strconv.ParseFloat(requestParam(r, WorkHeader, "work_ms"), 64)
	if err != nil || !(ms >= 0 && ms <= maxFaultMS) {
		ms = t.sampler.draw(t.opts.serviceTimeFor(r.URL.Path)) / t.opts.Speed
		if time.Since(p.started) < milliseconds(t.opts.ColdMS) {
			ms *= t.opts.ColdFactor
		}
	}
	if factor := t.Faults().SlowFactor; factor > 0 {
		ms *= factor
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// workCheckInterval is the interval at which a run checks whether its target is
// frozen or its grant has expired.
const workCheckInterval = 5 * time.Millisecond

// doWork simulates a run of length remaining. It returns when that time is up, ctx
// ends or allowed returns false; done reports whether the run completed. lastAdvance
// is the last clock reading at which the run was allowed and made progress. While the
// target is frozen, the run makes no progress.
func (t *Target) doWork(ctx context.Context, start time.Time, remaining time.Duration, allowed func(now time.Time) bool) (lastAdvance time.Time, done bool) {
	lastAdvance = start
	for remaining > 0 {
		step := min(remaining, workCheckInterval)
		if sleep(ctx, step) != nil || t.waitUnfrozen(ctx) != nil {
			return lastAdvance, false
		}
		now := time.Now()
		if !allowed(now) {
			return lastAdvance, false
		}
		remaining -= step
		lastAdvance = now
	}
	return lastAdvance, true
}
