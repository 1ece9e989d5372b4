package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/mangopost/mangopost/internal/standin/judge"
)

// Loans are non-idempotent requests, one for each key, that can be repeated
// under the same idempotency key.
type Loans struct {
	caller   *caller
	requests []requestSpec
}

// NewLoans returns one loan for each key. The first-sent time of all of them is
// now.
func (c *Cluster) NewLoans(keys []string) *Loans {
	l := &Loans{caller: newCaller(c.Hosts)}
	for _, key := range keys {
		l.requests = append(l.requests, requestSpec{
			method: http.MethodPost, path: "/loans?work_ms=1", key: key,
			idempotencyKey: fmt.Sprintf("%s%s", l.caller.prefix, key), firstSent: time.Now(),
		})
	}
	return l
}

// Send makes one more attempt of every loan and returns the results by key.
func (l *Loans) Send() map[string]judge.Response {
	var mu sync.Mutex
	results := make(map[string]judge.Response)
	var wg sync.WaitGroup
	for i := range l.requests {
		loan := &l.requests[i]
		loan.attempt++
		wg.Go(func() {
			result := l.caller.send(context.Background(), *loan)
			mu.Lock()
			defer mu.Unlock()
			results[loan.key] = result
		})
	}
	wg.Wait()
	return results
}
