package lwtengine

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtscorerouter"
)

// LoadDetail holds the optional fields of a load report.
type LoadDetail struct {
	// Role is the engine's current role.
	Role lwtdeclaredstate.Role `json:"role,omitempty"`
	// Reconfiguring is set while the engine executes an order.
	Reconfiguring bool `json:"changing,omitempty"`
	// WaitingByPriority is the number of prompt tokens still to prefill by priority, lowest
	// priority first.
	WaitingByPriority []int `json:"waiting-by-priority,omitempty"`
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64 `json:"prefill-rate,omitempty"`
	// AgeMilliseconds is the time since the engine measured its load.
	AgeMilliseconds int64 `json:"age-milliseconds,omitempty"`
}

// minTransitTime is the minimum time from an engine's measurement to the arrival of its report.
const minTransitTime = time.Millisecond

// LoadReport converts the load to the router's form. If the engine does not report tokens by
// priority, all of them get the highest priority, so that they delay requests of every
// priority.
func (load Load) LoadReport(now time.Time) lwtscorerouter.LoadReport {
	report := lwtscorerouter.LoadReport{
		TakenAt:     now.Add(-minTransitTime - time.Duration(load.AgeMilliseconds)*time.Millisecond),
		Incarnation: load.Incarnation, Role: load.Role, Reconfiguring: load.Reconfiguring,
		Running: load.Running, Waiting: load.Waiting, FreeBlocks: load.FreeBlocks, PrefillRate: load.PrefillRate,
	}
	if len(load.WaitingByPriority) == 0 {
		report.WaitingTokens[lwtscorerouter.NumPriorities-1] = load.WaitingTokens
		return report
	}
	for priority, tokens := range load.WaitingByPriority {
		report.WaitingTokens[min(priority, lwtscorerouter.NumPriorities-1)] += tokens
	}
	return report
}
