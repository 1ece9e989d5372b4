package router

import (
	"sync"
	"time"

	"github.com/mangopost/mangopost/routing"
)

// retryBudget shares one budget between requests.
type retryBudget struct {
	mu     sync.Mutex
	budget *routing.Budget
}

func newRetryBudget() *retryBudget {
	return &retryBudget{budget: routing.NewBudget(routing.DefaultBudget)}
}

func (b *retryBudget) first() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordFirstTry()
}

func (b *retryBudget) mayRetry(now time.Duration, a routing.Attempt) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return routing.MayRetry(now, a, b.budget) == routing.RetryAllowed
}
