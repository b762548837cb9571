// Package lwtroleplanner chooses the roles of the engines of a group.
package lwtroleplanner

import (
	"slices"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtscorerouter"
)

// Engine is one engine as the planner sees it.
type Engine struct {
	Name string
	// Role is the role last reported.
	Role lwtdeclaredstate.Role
	// TargetRole is the role of a change under way; empty when there is none.
	TargetRole lwtdeclaredstate.Role
	// AllowedRoles are the roles that the declared state allows.
	AllowedRoles []lwtdeclaredstate.Role
	// InGroup says that this planner may change the engine; it counts the
	// others as part of the fleet.
	InGroup bool
	// InService is false for an engine that takes no new work for another
	// reason than a change of role.
	InService bool
	// Running are the requests on the engine.
	Running int
	// ReportedAt is the time of the last report.
	ReportedAt time.Time
	// RoleChangedAt is the time of the last change of role.
	RoleChangedAt time.Time
}

// PlanInput is what a plan is made from.
type PlanInput struct {
	Engines []Engine
	// Demand is the demand of the moment.
	Demand Demand
	// PastDemand are samples of the demand of the last minutes, which say what
	// mixes are likely to return.
	PastDemand []Demand
	// ThroughputFor returns the speeds of an engine under a demand.
	ThroughputFor func(Demand) Throughput
	// LongStreamTime is the time of a long answer, which a drain waits for.
	LongStreamTime time.Duration
}

// Policy weighs goodput against role changes.
type Policy struct {
	// RoleChangeCost is the number of requests that a change must win.
	RoleChangeCost float64
	// MinDwell is the least time between two changes of one engine.
	MinDwell time.Duration
	// CurrentDemandHorizon is the time for which the demand of the moment is expected to last,
	// and Later the time after it, for which the past demand is.
	CurrentDemandHorizon time.Duration
	PastDemandHorizon    time.Duration
	// ChangeDowntime is the time for which a change takes an engine away after its drain.
	ChangeDowntime time.Duration
	// ModelError is the share of the goodput by which estimates are wrong: a
	// change must win more than it.
	ModelError float64
}

// Defaults of a policy.
const (
	defaultMinDwell = time.Minute
	defaultNow      = time.Minute
	defaultLater    = 4 * time.Minute
	defaultAway     = 5 * time.Second
	// defaultModelError was measured; see docs/measurements/routing.md.
	defaultModelError = 0.015
)

// DefaultPolicy returns a policy with a given cost per change.
func DefaultPolicy(changeCost float64) Policy {
	return Policy{
		RoleChangeCost: changeCost, MinDwell: defaultMinDwell, CurrentDemandHorizon: defaultNow, PastDemandHorizon: defaultLater, ChangeDowntime: defaultAway,
		ModelError: defaultModelError,
	}
}

// RoleChange is a wanted role of an engine. The engine is drained first.
type RoleChange struct {
	Engine string
	Role   lwtdeclaredstate.Role
}

const (
	// maxReportAge is the age from which a report is not acted upon.
	maxReportAge = 5 * time.Second
	// headroom is the share of the capacity that can be used on time; queues
	// grow beyond the deadlines above it.
	headroom = 0.95
	// drainLoss is the share of its work that an engine loses on average
	// while it drains.
	drainLoss = 0.5
	// prefillDrain is the time in which a prefill engine drains.
	prefillDrain = time.Second
)

// Plan returns the changes to make now: at most one, so that each change is
// judged by what the one before it did. It returns none while an engine of the
// group changes, or when an engine in service has no fresh report.
func Plan(now time.Time, view PlanInput, policy Policy) []RoleChange {
	for _, engine := range view.Engines {
		if engine.InGroup && engine.TargetRole != "" || engine.InService && now.Sub(engine.ReportedAt) > maxReportAge {
			return nil
		}
	}
	best, most := RoleChange{}, policy.RoleChangeCost
	for _, engine := range view.candidates(now, policy) {
		for _, role := range engine.AllowedRoles {
			if role == engine.Role || !view.keepsPhases(engine.Role, role) {
				continue
			}
			if won := view.won(engine, role, policy); won > most {
				best, most = RoleChange{engine.Name, role}, won
			}
		}
	}
	if best.Engine == "" {
		return nil
	}
	return []RoleChange{best}
}

// candidates returns for each role the engine of the group that may change
// and has the least to drain. Engines with different allowed roles are
// candidates of their own.
func (view PlanInput) candidates(now time.Time, policy Policy) []Engine {
	var candidates []Engine
	for _, engine := range view.Engines {
		if !engine.InGroup || !engine.InService || engine.TargetRole != "" || now.Sub(engine.RoleChangedAt) < policy.MinDwell {
			continue
		}
		i := slices.IndexFunc(candidates, func(other Engine) bool {
			return other.Role == engine.Role && slices.Equal(other.AllowedRoles, engine.AllowedRoles)
		})
		switch {
		case i < 0:
			candidates = append(candidates, engine)
		case engine.Running < candidates[i].Running:
			candidates[i] = engine
		}
	}
	return candidates
}

// counts returns the engines by role, with changes under way counted as done.
func (view PlanInput) counts() RoleCounts {
	var counts RoleCounts
	for _, engine := range view.Engines {
		switch {
		case engine.TargetRole != "":
			*counts.ForRole(engine.TargetRole)++
		case engine.InService:
			*counts.ForRole(engine.Role)++
		}
	}
	return counts
}

// serving returns the engines in service by role, without those that change.
func (view PlanInput) serving() RoleCounts {
	var counts RoleCounts
	for _, engine := range view.Engines {
		if engine.TargetRole == "" && engine.InService {
			*counts.ForRole(engine.Role)++
		}
	}
	return counts
}

// ForRole returns the count of a role.
func (counts *RoleCounts) ForRole(role lwtdeclaredstate.Role) *int {
	switch role {
	case lwtdeclaredstate.RolePrefill:
		return &counts.Prefill
	case lwtdeclaredstate.RoleDecode:
		return &counts.Decode
	default:
		return &counts.Mixed
	}
}

func (counts RoleCounts) without(role lwtdeclaredstate.Role) RoleCounts {
	*counts.ForRole(role)--
	return counts
}

func (counts RoleCounts) moved(from, to lwtdeclaredstate.Role) RoleCounts {
	*counts.ForRole(from)--
	*counts.ForRole(to)++
	return counts
}

// keepsPhases reports whether both phases keep an engine in service during
// and after a change.
func (view PlanInput) keepsPhases(from, to lwtdeclaredstate.Role) bool {
	serving := view.serving()
	for _, counts := range []RoleCounts{serving.without(from), serving.moved(from, to)} {
		if counts.Prefill+counts.Mixed < 1 || counts.Decode+counts.Mixed < 1 {
			return false
		}
	}
	return true
}

// won returns the requests that a change is expected to win, less those lost
// while the engine drains and is away.
func (view PlanInput) won(engine Engine, role lwtdeclaredstate.Role, policy Policy) float64 {
	before := view.counts()
	after, without := before.moved(engine.Role, role), before.without(engine.Role)
	drain := view.drain(engine)
	served := view.goodput(before, view.Demand)
	lost := (served - view.goodput(without, view.Demand)) * (policy.ChangeDowntime.Seconds() + drainLoss*drain.Seconds())
	gained := policy.gain(served, view.goodput(after, view.Demand)) * max(0, policy.CurrentDemandHorizon-policy.ChangeDowntime-drain).Seconds()
	for _, past := range view.PastDemand {
		share := policy.PastDemandHorizon.Seconds() / float64(len(view.PastDemand))
		gained += policy.gain(view.goodput(before, past), view.goodput(after, past)) * share
	}
	return gained - lost
}

// gain returns the requests per second that a change is sure to win.
func (policy Policy) gain(before, after float64) float64 {
	return after - before*(1+policy.ModelError)
}

// longAnswer is the length of a long answer as a multiple of the mean of the
// class with the longest answers.
const longAnswer = 2

// LongStreamTime returns the time of a long answer, where the class with the
// longest answers has a mean of so many tokens.
func LongStreamTime(tokens int) time.Duration {
	return longAnswer * time.Duration(tokens) * lwtscorerouter.DefaultInterTokenLatency
}

func (view PlanInput) drain(engine Engine) time.Duration {
	switch {
	case engine.Running == 0:
		return 0
	case engine.Role == lwtdeclaredstate.RolePrefill:
		return prefillDrain
	default:
		return view.LongStreamTime
	}
}

// goodput returns the requests per second that engines answer on time.
func (view PlanInput) goodput(counts RoleCounts, demand Demand) float64 {
	return demand.Requests * min(1, headroom*Capacity(counts, demand, view.ThroughputFor(demand)))
}

// AllowedRoles returns the roles that the declared state allows for an engine.
func AllowedRoles(engine lwtdeclaredstate.Engine) []lwtdeclaredstate.Role {
	if slices.Contains(engine.PlannerRoles, engine.Role) {
		return engine.PlannerRoles
	}
	return append(slices.Clone(engine.PlannerRoles), engine.Role)
}
