package lwtentry

import (
	"sync"
	"time"

	"lacewingtide/core/lwtretry"
)

// retryBudget guards the budget for retries on engines. It is safe for concurrent use.
type retryBudget struct {
	mutex  sync.Mutex
	budget lwtretry.Budget
}

func newRetryBudget() *retryBudget { return &retryBudget{budget: lwtretry.NewBudget()} }

// recordRequest counts a new request, which adds to the budget.
func (retryBudget *retryBudget) recordRequest() {
	retryBudget.mutex.Lock()
	defer retryBudget.mutex.Unlock()
	retryBudget.budget = retryBudget.budget.WithRequest()
}

// shouldRetry reports whether another attempt may follow a failed one. If so, it spends from
// the budget.
func (retryBudget *retryBudget) shouldRetry(now time.Time, attempt lwtretry.Attempt) bool {
	retryBudget.mutex.Lock()
	defer retryBudget.mutex.Unlock()
	var retry bool
	retryBudget.budget, retry = lwtretry.ShouldRetry(now, attempt, retryBudget.budget)
	return retry
}
