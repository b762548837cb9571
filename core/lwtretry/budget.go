package lwtretry

// Shares of the retry budget.
const (
	// budgetShare is the number of retries that each request adds. Retries
	// stay below this share of requests, so that a backend server that fails
	// under load does not receive a multiple of the load.
	budgetShare = 0.1
	// budgetMost bounds the retries saved up in quiet times.
	budgetMost = 20
)

// Budget bounds retries and hedges to a share of requests. It is a value.
type Budget struct{ earned float64 }

// NewBudget returns a full budget.
func NewBudget() Budget { return Budget{earned: budgetMost} }

// WithRequest returns the budget after a new request.
func (budget Budget) WithRequest() Budget {
	budget.earned = min(budget.earned+budgetShare, budgetMost)
	return budget
}

// Spend takes one retry from the budget. It reports false when there is none.
func (budget Budget) Spend() (Budget, bool) {
	if budget.earned < 1 {
		return budget, false
	}
	budget.earned--
	return budget, true
}

// Left returns the number of retries that can be made now.
func (budget Budget) Left() int { return int(budget.earned) }
