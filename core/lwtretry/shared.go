package lwtretry

import "time"

// windowSlices is the number of slices into which the window of a shared budget is divided. The
// counters cover one slice more than the window, so that no window contains more retries than
// the budget allows.
const windowSlices = 10

// SharedBudgetLimits bounds the retries of all daemons together: in each window, at most Ratio
// times the number of requests plus Extra.
type SharedBudgetLimits struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// SharedBudget is one daemon's share of a retry budget of all daemons. Ratio applies to the
// requests of the daemon's own callers; Extra is divided by the number of daemons.
type SharedBudget struct {
	limits   SharedBudgetLimits
	daemons  int
	requests [windowSlices + 1]int
	retries  [windowSlices + 1]int
	slice    int64
}

// NewSharedBudget returns a budget without recorded requests, for one daemon.
func NewSharedBudget(limits SharedBudgetLimits) *SharedBudget {
	return &SharedBudget{limits: limits, daemons: 1}
}

// SetDaemonCount sets the number of daemons that share Extra. It is at least 1.
func (sharedBudget *SharedBudget) SetDaemonCount(daemons int) { sharedBudget.daemons = max(daemons, 1) }

// SetLimits sets the limits. If the window changes, the counts are dropped, because the length
// of their slices changes too.
func (sharedBudget *SharedBudget) SetLimits(limits SharedBudgetLimits) {
	if limits.Window != sharedBudget.limits.Window {
		*sharedBudget = SharedBudget{daemons: sharedBudget.daemons}
	}
	sharedBudget.limits = limits
}

// RecordRequest counts a request of a caller.
func (sharedBudget *SharedBudget) RecordRequest(now time.Time) {
	sharedBudget.advance(now)
	sharedBudget.requests[sharedBudget.slice%int64(len(sharedBudget.requests))]++
}

// Spend reports whether one more retry is within the budget, and if so counts it.
func (sharedBudget *SharedBudget) Spend(now time.Time) bool {
	sharedBudget.advance(now)
	requests, retries := 0, 0
	for i := range sharedBudget.requests {
		requests += sharedBudget.requests[i]
		retries += sharedBudget.retries[i]
	}
	allowed := sharedBudget.limits.Ratio*float64(requests) + sharedBudget.limits.Extra/float64(sharedBudget.daemons)
	if float64(retries+1) > allowed*sharedBudgetMargin {
		return false
	}
	sharedBudget.retries[sharedBudget.slice%int64(len(sharedBudget.retries))]++
	return true
}

// sharedBudgetMargin is the fraction of the budget that is used. Each daemon counts only its own
// requests and retries, so the rest is reserved for retries that no live daemon counts, such as
// those of a daemon that was killed in the same window.
const sharedBudgetMargin = 0.7

// advance moves to the slice of now and clears the slices in between.
func (sharedBudget *SharedBudget) advance(now time.Time) {
	slice := now.UnixNano() / int64(sharedBudget.limits.Window/windowSlices)
	for steps := min(slice-sharedBudget.slice, int64(len(sharedBudget.requests))); steps > 0; steps-- {
		index := (slice - steps + 1) % int64(len(sharedBudget.requests))
		sharedBudget.requests[index], sharedBudget.retries[index] = 0, 0
	}
	sharedBudget.slice = max(slice, sharedBudget.slice)
}
