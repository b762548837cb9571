// Package lwtroleplanner plans the roles (prefill, decode or mixed) of the engines
// in a group, by comparing the expected goodput before and after a role change.
package lwtroleplanner

import (
	"slices"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtscorerouter"
)

// Engine is the status of one engine.
type Engine struct {
	Name string
	// Role is the role last reported.
	Role lwtdeclaredstate.Role
	// TargetRole is the new role of a role change in progress, or empty.
	TargetRole lwtdeclaredstate.Role
	// AllowedRoles are the roles that the declared state allows.
	AllowedRoles []lwtdeclaredstate.Role
	// InGroup says that the engine is in the planned group. Other engines are not
	// changed, but count in the fleet's capacity.
	InGroup bool
	// InService is false for an engine that accepts no new requests for a reason
	// other than a role change.
	InService bool
	// Running is the number of requests on the engine.
	Running int
	// ReportedAt is the time of the last report.
	ReportedAt time.Time
	// RoleChangedAt is the time of the last role change.
	RoleChangedAt time.Time
}

// PlanInput holds the inputs of Plan.
type PlanInput struct {
	Engines []Engine
	// Demand is the current demand.
	Demand Demand
	// PastDemand holds samples of the demand of the last minutes, which are likely
	// to recur.
	PastDemand []Demand
	// ThroughputFor returns the throughput of an engine under a demand.
	ThroughputFor func(Demand) Throughput
	// LongStreamTime is the duration of a long answer, for which a drain waits.
	LongStreamTime time.Duration
}

// Policy weighs goodput against role changes.
type Policy struct {
	// RoleChangeCost is the number of additional requests served on time that
	// justify a role change.
	RoleChangeCost float64
	// MinDwell is the minimum time between two role changes of one engine.
	MinDwell time.Duration
	// CurrentDemandHorizon is how long the current demand is expected to last.
	// PastDemandHorizon is the time after it, in which past demand is expected to
	// recur.
	CurrentDemandHorizon time.Duration
	PastDemandHorizon    time.Duration
	// ChangeDowntime is how long a role change makes an engine unavailable after
	// its drain.
	ChangeDowntime time.Duration
	// ModelError is the relative error of goodput estimates. A smaller relative
	// gain does not count.
	ModelError float64
}

// Defaults of Policy.
const (
	defaultMinDwell             = time.Minute
	defaultCurrentDemandHorizon = time.Minute
	defaultPastDemandHorizon    = 4 * time.Minute
	defaultChangeDowntime       = 5 * time.Second
	// See docs/measurements/routing.md.
	defaultModelError = 0.015
)

// DefaultPolicy returns the default policy with the given RoleChangeCost.
func DefaultPolicy(changeCost float64) Policy {
	return Policy{
		RoleChangeCost: changeCost, MinDwell: defaultMinDwell, CurrentDemandHorizon: defaultCurrentDemandHorizon,
		PastDemandHorizon: defaultPastDemandHorizon, ChangeDowntime: defaultChangeDowntime,
		ModelError: defaultModelError,
	}
}

// RoleChange is a planned role of an engine. The engine is drained before it
// changes.
type RoleChange struct {
	Engine string
	Role   lwtdeclaredstate.Role
}

const (
	// maxReportAge is the age beyond which a report is too old to plan with.
	maxReportAge = 5 * time.Second
	// maxUtilization is the fraction of the capacity up to which requests are
	// answered on time. Above it queueing delays exceed the deadlines.
	maxUtilization = 0.95
	// drainLossFraction is the fraction of its throughput that an engine loses on
	// average while it drains.
	drainLossFraction = 0.5
	// prefillDrainTime is how long a prefill engine takes to drain.
	prefillDrainTime = time.Second
)

// Plan returns the role changes to make now. There is at most one, so that the
// effect of a change shows in the reports before the next one. There is none
// while an engine of the group is changing its role, or when the last report of
// an engine in service is too old.
func Plan(now time.Time, input PlanInput, policy Policy) []RoleChange {
	for _, engine := range input.Engines {
		if engine.InGroup && engine.TargetRole != "" || engine.InService && now.Sub(engine.ReportedAt) > maxReportAge {
			return nil
		}
	}
	best, bestGain := RoleChange{}, policy.RoleChangeCost
	for _, engine := range input.candidates(now, policy) {
		for _, role := range engine.AllowedRoles {
			if role == engine.Role || !input.keepsBothPhases(engine.Role, role) {
				continue
			}
			if gain := input.netGain(engine, role, policy); gain > bestGain {
				best, bestGain = RoleChange{engine.Name, role}, gain
			}
		}
	}
	if best.Engine == "" {
		return nil
	}
	return []RoleChange{best}
}

// candidates returns, for each combination of role and allowed roles, the engine of
// the group that may change and has the fewest requests to drain.
func (input PlanInput) candidates(now time.Time, policy Policy) []Engine {
	var candidates []Engine
	for _, engine := range input.Engines {
		if !engine.InGroup || !engine.InService || engine.TargetRole != "" ||
			now.Sub(engine.RoleChangedAt) < policy.MinDwell {
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

// targetCounts counts the engines by role as if all role changes in progress were
// complete.
func (input PlanInput) targetCounts() RoleCounts {
	var counts RoleCounts
	for _, engine := range input.Engines {
		switch {
		case engine.TargetRole != "":
			*counts.ForRole(engine.TargetRole)++
		case engine.InService:
			*counts.ForRole(engine.Role)++
		}
	}
	return counts
}

// servingCounts counts the engines in service by role, without those that are
// changing.
func (input PlanInput) servingCounts() RoleCounts {
	var counts RoleCounts
	for _, engine := range input.Engines {
		if engine.TargetRole == "" && engine.InService {
			*counts.ForRole(engine.Role)++
		}
	}
	return counts
}

// ForRole returns a pointer to the count of a role.
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

// keepsBothPhases reports whether prefill and decode both have an engine in service
// during and after a role change.
func (input PlanInput) keepsBothPhases(from, to lwtdeclaredstate.Role) bool {
	serving := input.servingCounts()
	for _, counts := range []RoleCounts{serving.without(from), serving.moved(from, to)} {
		if counts.Prefill+counts.Mixed < 1 || counts.Decode+counts.Mixed < 1 {
			return false
		}
	}
	return true
}

// netGain returns the number of additional requests that a role change is expected
// to serve on time, minus those lost while the engine drains and changes.
func (input PlanInput) netGain(engine Engine, role lwtdeclaredstate.Role, policy Policy) float64 {
	before := input.targetCounts()
	after, without := before.moved(engine.Role, role), before.without(engine.Role)
	drainTime := input.drainTime(engine)
	served := input.goodput(before, input.Demand)
	lost := (served - input.goodput(without, input.Demand)) *
		(policy.ChangeDowntime.Seconds() + drainLossFraction*drainTime.Seconds())
	gained := policy.certainGain(served, input.goodput(after, input.Demand)) *
		max(0, policy.CurrentDemandHorizon-policy.ChangeDowntime-drainTime).Seconds()
	for _, past := range input.PastDemand {
		share := policy.PastDemandHorizon.Seconds() / float64(len(input.PastDemand))
		gained += policy.certainGain(input.goodput(before, past), input.goodput(after, past)) * share
	}
	return gained - lost
}

// certainGain returns the gain in goodput, in requests per second, that exceeds the
// model error.
func (policy Policy) certainGain(before, after float64) float64 {
	return after - before*(1+policy.ModelError)
}

// longStreamFactor is the length of a long answer as a multiple of the mean length
// of the class with the longest answers.
const longStreamFactor = 2

// LongStreamTime returns the duration of a long answer, given the mean length in
// tokens of the class with the longest answers.
func LongStreamTime(tokens int) time.Duration {
	return longStreamFactor * time.Duration(tokens) * lwtscorerouter.DefaultInterTokenLatency
}

func (input PlanInput) drainTime(engine Engine) time.Duration {
	switch {
	case engine.Running == 0:
		return 0
	case engine.Role == lwtdeclaredstate.RolePrefill:
		return prefillDrainTime
	default:
		return input.LongStreamTime
	}
}

// goodput returns the requests per second that the engines answer on time.
func (input PlanInput) goodput(counts RoleCounts, demand Demand) float64 {
	return demand.Requests * min(1, maxUtilization*Capacity(counts, demand, input.ThroughputFor(demand)))
}

// AllowedRoles returns the roles that the declared state allows for an engine.
func AllowedRoles(engine lwtdeclaredstate.Engine) []lwtdeclaredstate.Role {
	if slices.Contains(engine.PlannerRoles, engine.Role) {
		return engine.PlannerRoles
	}
	return append(slices.Clone(engine.PlannerRoles), engine.Role)
}
