// Package lwtplanner chooses the roles of the engines of a group.
package lwtplanner

import (
	"slices"
	"time"

	"lacewingtide/core/lwtstate"
)

// Engine is one engine as the planner sees it.
type Engine struct {
	Name string
	Role lwtstate.Role
	// Allowed are the roles that the declared state allows.
	Allowed []lwtstate.Role
	// Group says that this planner may change the engine; it counts the
	// others as part of the fleet.
	Group bool
	// InService is false for an engine that takes no new work.
	InService bool
	// Changing says that a change of role is under way.
	Changing bool
	Running  int
	// ReportedAt is the time of the last report.
	ReportedAt time.Time
	// ChangedAt is the time of the last change of role.
	ChangedAt time.Time
}

// View is what a plan is made from.
type View struct {
	Engines []Engine
	Demand  Demand
	Speeds  Speeds
}

// Policy weighs goodput against role changes.
type Policy struct {
	// ChangeCost is the number of requests that a change must win.
	ChangeCost float64
	// MinDwell is the least time between two changes of one engine.
	MinDwell time.Duration
	// Horizon is the time over which a change is expected to pay.
	Horizon time.Duration
	// Away is the time for which a change takes an engine away after its drain.
	Away time.Duration
	// StreamTime is the expected time of the longest running stream, which
	// the drain waits for.
	StreamTime time.Duration
}

// Defaults of a policy.
const (
	defaultMinDwell   = time.Minute
	defaultHorizon    = time.Minute
	defaultAway       = 5 * time.Second
	defaultStreamTime = 10 * time.Second
)

// DefaultPolicy returns a policy with a given cost per change.
func DefaultPolicy(changeCost float64) Policy {
	return Policy{
		ChangeCost: changeCost, MinDwell: defaultMinDwell, Horizon: defaultHorizon,
		Away: defaultAway, StreamTime: defaultStreamTime,
	}
}

// Change is a wanted role of an engine. The engine is drained first.
type Change struct {
	Engine string
	Role   lwtstate.Role
}

const (
	// maxReportAge is the age from which a report is not acted upon.
	maxReportAge = 5 * time.Second
	// headroom is the share of the capacity that can be used on time; queues
	// grow beyond the deadlines above it.
	headroom = 0.85
)

// Plan returns the changes to make now: at most one, so that each change is
// judged by what the one before it did. It returns none while a change is
// under way, or when an engine of the fleet in service has no fresh report.
func Plan(now time.Time, view View, policy Policy) []Change {
	for _, engine := range view.Engines {
		if engine.Changing || engine.InService && now.Sub(engine.ReportedAt) > maxReportAge {
			return nil
		}
	}
	counts := view.counts()
	var best Change
	var most float64
	for _, engine := range view.Engines {
		for _, role := range engine.Allowed {
			if !engine.mayChange(now, role, policy) || !keepsPhases(counts, engine.Role, role) {
				continue
			}
			won := view.won(counts, engine, role, policy)
			if won > policy.ChangeCost && won > most {
				best, most = Change{engine.Name, role}, won
			}
		}
	}
	if most == 0 {
		return nil
	}
	return []Change{best}
}

func (engine Engine) mayChange(now time.Time, role lwtstate.Role, policy Policy) bool {
	return engine.Group && engine.InService && role != engine.Role &&
		now.Sub(engine.ChangedAt) >= policy.MinDwell
}

func (view View) counts() Counts {
	var counts Counts
	for _, engine := range view.Engines {
		if engine.InService {
			*counts.Of(engine.Role)++
		}
	}
	return counts
}

// Of returns the count of a role.
func (counts *Counts) Of(role lwtstate.Role) *int {
	switch role {
	case lwtstate.RolePrefill:
		return &counts.Prefill
	case lwtstate.RoleDecode:
		return &counts.Decode
	default:
		return &counts.Mixed
	}
}

func (counts Counts) moved(from, to lwtstate.Role) Counts {
	*counts.Of(from)--
	*counts.Of(to)++
	return counts
}

// keepsPhases reports whether both phases keep an engine in service during
// and after a change.
func keepsPhases(counts Counts, from, to lwtstate.Role) bool {
	during := counts
	*during.Of(from)--
	after := counts.moved(from, to)
	for _, counts := range []Counts{during, after} {
		if counts.Prefill+counts.Mixed < 1 || counts.Decode+counts.Mixed < 1 {
			return false
		}
	}
	return true
}

// won returns the requests that a change is expected to win over the horizon,
// less those lost while the engine drains and is away.
func (view View) won(counts Counts, engine Engine, role lwtstate.Role, policy Policy) float64 {
	without := counts
	*without.Of(engine.Role)--
	before := view.goodput(counts)
	after := view.goodput(counts.moved(engine.Role, role))
	away := policy.Away.Seconds() + policy.drain(engine).Seconds()
	return (after-before)*(policy.Horizon.Seconds()-away) - (before-view.goodput(without))*away
}

func (policy Policy) drain(engine Engine) time.Duration {
	if engine.Running == 0 {
		return 0
	}
	return policy.StreamTime
}

// goodput returns the requests per second that engines answer on time.
func (view View) goodput(counts Counts) float64 {
	return view.Demand.Requests * min(1, headroom*Capacity(counts, view.Demand, view.Speeds))
}

// Allowed returns the roles that the declared state allows for an engine.
func Allowed(engine lwtstate.Engine) []lwtstate.Role {
	if slices.Contains(engine.PlannerRoles, engine.Role) {
		return engine.PlannerRoles
	}
	return append(slices.Clone(engine.PlannerRoles), engine.Role)
}
