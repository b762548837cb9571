package lwtentry

import (
	"sync"
	"time"

	"lacewingtide/core/lwtretry"
)

// retries owns the budget of repeated attempts at engines.
type retries struct {
	mutex  sync.Mutex
	budget lwtretry.Budget
}

func newRetries() *retries { return &retries{budget: lwtretry.NewBudget()} }

// request counts a new request.
func (retries *retries) request() {
	retries.mutex.Lock()
	defer retries.mutex.Unlock()
	retries.budget = retries.budget.WithRequest()
}

// again decides whether another attempt may follow one that has ended.
func (retries *retries) again(now time.Time, ended lwtretry.Attempt) bool {
	retries.mutex.Lock()
	defer retries.mutex.Unlock()
	var retry bool
	retries.budget, retry = lwtretry.ShouldRetry(now, ended, retries.budget)
	return retry
}
