package lwtretry

import "time"

const (
	// hedgeQuantile is the fraction of lookups that end before a hedge is sent.
	hedgeQuantile = 0.95
	// hedgeStep is the step of WithSample as a fraction of the delay.
	hedgeStep         = 0.02
	minHedgeDelay     = 5 * time.Millisecond
	initialHedgeDelay = 250 * time.Millisecond
)

// Hedge decides when to send an idempotent lookup to a second backend server, from the observed
// latency of lookups. It is an immutable value.
type Hedge struct{ delay time.Duration }

// NewHedge returns a Hedge without samples and with the initial delay.
func NewHedge() Hedge { return Hedge{delay: initialHedgeDelay} }

// WithSample returns the Hedge after a lookup that took the given time. The delay moves towards
// the hedgeQuantile of the samples: up by hedgeQuantile/(1-hedgeQuantile) = 19 steps if the
// lookup took longer than the delay, otherwise down by one step, but not below minHedgeDelay.
func (hedge Hedge) WithSample(took time.Duration) Hedge {
	step := float64(hedge.delay) * hedgeStep
	if took > hedge.delay {
		hedge.delay += time.Duration(step * hedgeQuantile / (1 - hedgeQuantile))
	} else {
		hedge.delay -= time.Duration(step)
	}
	hedge.delay = max(hedge.delay, minHedgeDelay)
	return hedge
}

// Delay returns how long an attempt runs before it is hedged.
func (hedge Hedge) Delay() time.Duration { return hedge.delay }

// ShouldHedge reports whether to hedge an attempt that has run for the given time, and returns
// the remaining budget. Only idempotent requests are hedged.
func (hedge Hedge) ShouldHedge(ran time.Duration, idempotent bool, budget Budget) (Budget, bool) {
	if !idempotent || ran < hedge.delay {
		return budget, false
	}
	return budget.Spend()
}
