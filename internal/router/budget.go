package router

import (
	"sync"
	"time"

	"github.com/mangopost/mangopost/routing"
)

// retryBudget makes the router's retry budget safe for concurrent requests.
type retryBudget struct {
	mu     sync.Mutex
	budget *routing.Budget
}

func newRetryBudget() *retryBudget {
	return &retryBudget{budget: routing.NewBudget(routing.DefaultBudget)}
}

func (b *retryBudget) recordFirstTry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordFirstTry()
}

func (b *retryBudget) mayRetry(now time.Duration, a routing.Attempt) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return routing.MayRetry(now, a, b.budget) == routing.RetryAllowed
}
