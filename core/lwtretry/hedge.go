package lwtretry

import "time"

// Bounds of hedging.
const (
	// hedgeQuantile is the share of lookups that end before a hedge is sent.
	hedgeQuantile = 0.95
	// hedgeStep is the weight of one sample of the estimate.
	hedgeStep    = 0.02
	hedgeLeast   = 5 * time.Millisecond
	hedgeInitial = 250 * time.Millisecond
)

// Hedge says when to send an idempotent lookup to a second backend server. It
// is a value that follows the latency of lookups.
type Hedge struct{ delay time.Duration }

// NewHedge returns a rule without samples.
func NewHedge() Hedge { return Hedge{delay: hedgeInitial} }

// WithSample returns the rule after a lookup that took the given time. The
// delay moves towards the hedgeQuantile of the samples: up by a step when a
// sample is above it, down by a small share of the step otherwise.
func (hedge Hedge) WithSample(took time.Duration) Hedge {
	step := float64(hedge.delay) * hedgeStep
	if took > hedge.delay {
		hedge.delay += time.Duration(step * hedgeQuantile / (1 - hedgeQuantile))
	} else {
		hedge.delay -= time.Duration(step)
	}
	hedge.delay = max(hedge.delay, hedgeLeast)
	return hedge
}

// Delay returns the time after which to hedge.
func (hedge Hedge) Delay() time.Duration { return hedge.delay }

// ShouldHedge reports whether to hedge an attempt that has run for the given time,
// and returns the budget that is left.
func (hedge Hedge) ShouldHedge(ran time.Duration, idempotent bool, budget Budget) (Budget, bool) {
	if !idempotent || ran < hedge.delay {
		return budget, false
	}
	return budget.Spend()
}
