package e2e

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mangopost/mangopost/internal/standin/judge"
)

// Traffic sends requests for a set of keys at a constant rate, regardless of
// the outcome of earlier ones. Half of them are searches, which are idempotent.
// The others are loans, which are not; they are retried under their idempotency
// key until they have run or maxAttempts is reached.
type Traffic struct {
	caller *caller
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

const (
	maxAttempts = 4
	retryDelay  = 150 * time.Millisecond
)

// Keys returns n distinct keys.
func Keys(n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = fmt.Sprintf("isbn-%04d", i)
	}
	return keys
}

// StartTraffic sends a request for each key in every interval. Each request
// takes workMS milliseconds at the target.
func (c *Cluster) StartTraffic(keys []string, interval time.Duration, workMS int) *Traffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Traffic{caller: newCaller(c.Hosts), cancel: cancel}
	for i, key := range keys {
		offset := interval * time.Duration(i) / time.Duration(len(keys))
		t.wg.Go(func() { t.sendForKey(ctx, key, offset, interval, workMS) })
	}
	return t
}

func (t *Traffic) sendForKey(ctx context.Context, key string, offset, interval time.Duration, workMS int) {
	time.Sleep(offset)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		// Requests that have been started complete even after ctx has ended.
		t.wg.Go(func() { t.sendRequest(key, n, workMS) })
	}
}

func (t *Traffic) sendRequest(key string, n, workMS int) {
	ctx := context.Background()
	query := fmt.Sprintf("?work_ms=%d", workMS)
	if n%2 == 0 {
		t.caller.send(ctx, requestSpec{method: http.MethodGet, path: "/holdings" + query, key: key, idempotent: true})
		return
	}
	loan := requestSpec{
		method: http.MethodPost, path: "/loans" + query, key: key,
		idempotencyKey: fmt.Sprintf("%s%s-%d", t.caller.prefix, key, n), firstSent: time.Now(),
	}
	for loan.attempt = 1; loan.attempt <= maxAttempts; loan.attempt++ {
		if t.caller.send(ctx, loan).Outcome == judge.OutcomeRan {
			return
		}
		time.Sleep(retryDelay)
	}
}

// MeasuredRuns returns the runs that are measured for a failure. If f names
// hosts, these are the runs of requests that were sent through them after the
// failure began, else all runs.
func (t *Traffic) MeasuredRuns(runs []judge.Run, f Failure) []judge.Run {
	if f.MeasuredHosts == nil {
		return runs
	}
	t.caller.mu.Lock()
	defer t.caller.mu.Unlock()
	var measured []judge.Run
	for _, run := range runs {
		sent := t.caller.sent[run.RequestID]
		if sent.sentAt > f.At && slices.Contains(f.MeasuredHosts, sent.host) {
			measured = append(measured, run)
		}
	}
	return measured
}

// Stop stops sending new requests, waits for those in flight and returns the
// results of all.
func (t *Traffic) Stop() []judge.Response {
	t.cancel()
	t.wg.Wait()
	return t.caller.allResults()
}

// PoisonKey is the key of poison requests.
const PoisonKey = "isbn-poison"

// SendPoison sends a request that crashes each target that runs it. It repeats
// the request until the outcome is "not-run", at most limit times in all.
func (c *Cluster) SendPoison(limit int) []judge.Response {
	caller := newCaller(c.Hosts)
	for range limit {
		result := caller.send(context.Background(), requestSpec{
			method: http.MethodGet, path: "/holdings?crash=1&work_ms=1000", key: PoisonKey, idempotent: true,
		})
		if result.Outcome == judge.OutcomeNotRun {
			break
		}
		time.Sleep(retryDelay)
	}
	return caller.allResults()
}
