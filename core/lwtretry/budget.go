package lwtretry

const (
	// budgetRatio is the number of retries that each request adds to the budget. It bounds
	// retries to this fraction of requests, so that a backend server that fails under load
	// does not receive a multiple of the load.
	budgetRatio = 0.1
	// maxBudget bounds the retries that accumulate while few are needed.
	maxBudget = 20
)

// Budget bounds retries and hedges to a fraction of requests. It is an immutable value.
type Budget struct{ available float64 }

// NewBudget returns a full budget.
func NewBudget() Budget { return Budget{available: maxBudget} }

// WithRequest returns the budget after a new request.
func (budget Budget) WithRequest() Budget {
	budget.available = min(budget.available+budgetRatio, maxBudget)
	return budget
}

// Spend takes one retry from the budget. It reports false if none is available.
func (budget Budget) Spend() (Budget, bool) {
	if budget.available < 1 {
		return budget, false
	}
	budget.available--
	return budget, true
}

// Left returns the number of retries that are available now.
func (budget Budget) Left() int { return int(budget.available) }
