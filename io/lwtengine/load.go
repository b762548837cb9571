package lwtengine

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtscorerouter"
)

// LoadDetail is the part of a load report that an engine may leave out.
type LoadDetail struct {
	// Role is the role in which the engine runs.
	Role lwtdeclaredstate.Role `json:"role,omitempty"`
	// Reconfiguring says that an order is being carried out.
	Reconfiguring bool `json:"changing,omitempty"`
	// WaitingByPriority splits the prompt tokens still to prefill by priority,
	// lowest first.
	WaitingByPriority []int `json:"waiting-by-priority,omitempty"`
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64 `json:"prefill-rate,omitempty"`
	// AgeMilliseconds is the time since the engine measured its load.
	AgeMilliseconds int64 `json:"age-milliseconds,omitempty"`
}

// transit is the least time from an engine's measurement to its arrival.
const transit = time.Millisecond

// LoadReport returns the load as the router takes it. Tokens whose priority is not
// reported count for every priority.
func (load Load) LoadReport(now time.Time) lwtscorerouter.LoadReport {
	report := lwtscorerouter.LoadReport{
		TakenAt:     now.Add(-transit - time.Duration(load.AgeMilliseconds)*time.Millisecond),
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
