package lwtretry

import "time"

// windowSlices is the number of slices of a budget's window. The budget counts
// up to one slice more than the window, so it never allows more than the window.
const windowSlices = 10

// SharedBudgetLimits are the terms of a budget that all daemons keep together: in each
// window, at most Share of the requests and Extra more are sent again.
type SharedBudgetLimits struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// SharedBudget is one daemon's part of a common budget. Requests of the daemon's own
// callers earn their share, and the extra is divided by the number of daemons.
type SharedBudget struct {
	terms    SharedBudgetLimits
	daemons  int
	requests [windowSlices + 1]int
	repeats  [windowSlices + 1]int
	slice    int64
}

// NewSharedBudget returns a budget without requests.
func NewSharedBudget(terms SharedBudgetLimits) *SharedBudget {
	return &SharedBudget{terms: terms, daemons: 1}
}

// SetDaemonCount sets the number of daemons that share the extra.
func (shared *SharedBudget) SetDaemonCount(daemons int) { shared.daemons = max(daemons, 1) }

// SetLimits sets the terms. What was counted in a window of another length is
// dropped, because its slices are of another length too.
func (shared *SharedBudget) SetLimits(terms SharedBudgetLimits) {
	if terms.Window != shared.terms.Window {
		*shared = SharedBudget{daemons: shared.daemons}
	}
	shared.terms = terms
}

// RecordRequest notes a request of a caller.
func (shared *SharedBudget) RecordRequest(now time.Time) {
	shared.advance(now)
	shared.requests[shared.slice%int64(len(shared.requests))]++
}

// Spend reports whether one more request may be sent again, and counts it.
func (shared *SharedBudget) Spend(now time.Time) bool {
	shared.advance(now)
	requests, repeats := 0, 0
	for i := range shared.requests {
		requests += shared.requests[i]
		repeats += shared.repeats[i]
	}
	allowed := shared.terms.Ratio*float64(requests) + shared.terms.Extra/float64(shared.daemons)
	if float64(repeats+1) > allowed*sharedMargin {
		return false
	}
	shared.repeats[shared.slice%int64(len(shared.repeats))]++
	return true
}

// sharedMargin keeps a part of the budget for arrivals that a daemon cannot
// count, such as those of a daemon that was killed in the same window.
const sharedMargin = 0.7

func (shared *SharedBudget) advance(now time.Time) {
	slice := now.UnixNano() / int64(shared.terms.Window/windowSlices)
	for steps := min(slice-shared.slice, int64(len(shared.requests))); steps > 0; steps-- {
		at := (slice - steps + 1) % int64(len(shared.requests))
		shared.requests[at], shared.repeats[at] = 0, 0
	}
	shared.slice = max(slice, shared.slice)
}
