package load

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Options configures a run.
type Options struct {
	Run     string   // prefix of every request ID; unique to the run
	Entries []string // IP:port of the entry hosts' listeners for callers
}

// Run sends the requests of the mix and returns the result of each attempt in the
// order of completion. It returns once the mix's duration is over and the last
// requests and their repeats have ended. When ctx ends, requests in flight are
// cancelled.
func Run(ctx context.Context, mix Mix, opts Options) ([]Result, error) {
	if len(opts.Entries) == 0 {
		return nil, errors.New("no entry hosts given")
	}
	r := newRunner(mix, opts)
	defer r.caller.close()
	r.dispatch(ctx, NewPlan(mix, opts.Run, len(opts.Entries)))
	r.wg.Wait()
	return r.results, ctx.Err()
}

type runner struct {
	mix    Mix
	caller *caller
	slots  chan struct{}
	wg     sync.WaitGroup

	mu      sync.Mutex
	results []Result
}

func newRunner(mix Mix, opts Options) *runner {
	timeout := time.Duration(mix.TimeoutMS) * time.Millisecond
	return &runner{
		mix:    mix,
		caller: newCaller(opts.Entries, timeout, opts.Run),
		slots:  make(chan struct{}, mix.MaxInFlight),
	}
}

// dispatch starts each request at its intended time, without waiting for the
// answers to earlier ones.
func (r *runner) dispatch(ctx context.Context, plan *Plan) {
	start := time.Now()
	for {
		req, ok := plan.Next()
		if !ok {
			return
		}
		intended := start.Add(req.At)
		if !sleepUntil(ctx, intended) {
			return
		}
		r.startRequest(ctx, req, intended)
	}
}

// startRequest sends a request in the background, or records it as not sent when
// MaxInFlight requests are in flight.
func (r *runner) startRequest(ctx context.Context, req Request, intended time.Time) {
	select {
	case r.slots <- struct{}{}:
	default:
		result := r.caller.newResult(req, 0, intended)
		result.Outcome = NotSent
		r.addResult(result)
		return
	}
	r.wg.Go(func() {
		defer func() { <-r.slots }()
		r.sendWithRepeats(ctx, req, intended)
	})
}

// sendWithRepeats sends the first attempt and the caller's repeats.
func (r *runner) sendWithRepeats(ctx context.Context, req Request, intended time.Time) {
	firstSent := intended
	for n := 0; ; n++ {
		result := r.caller.attempt(ctx, req, n, intended, firstSent)
		r.addResult(result)
		if n >= r.mix.Repeat.Most || !shouldRepeat(req, result, n) {
			return
		}
		intended = time.Now().Add(time.Duration(r.mix.Repeat.DelayMS) * time.Millisecond)
		if !sleepUntil(ctx, intended) {
			return
		}
	}
}

// shouldRepeat reports whether the caller sends the request again after attempt
// n. A served request is repeated at most once.
func shouldRepeat(req Request, result Result, n int) bool {
	if result.Served() {
		return req.RepeatIfServed && n == 0
	}
	return req.RepeatIfFailed
}

func (r *runner) addResult(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

// sleepUntil waits until the given time. It returns false if ctx ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
