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
	// Target is the role of a change under way; empty when there is none.
	Target lwtdeclaredstate.Role
	// Allowed are the roles that the declared state allows.
	Allowed []lwtdeclaredstate.Role
	// Group says that this planner may change the engine; it counts the
	// others as part of the fleet.
	Group bool
	// InService is false for an engine that takes no new work for another
	// reason than a change of role.
	InService bool
	// Running are the requests on the engine.
	Running int
	// ReportedAt is the time of the last report.
	ReportedAt time.Time
	// ChangedAt is the time of the last change of role.
	ChangedAt time.Time
}

// View is what a plan is made from.
type View struct {
	Engines []Engine
	// Demand is the demand of the moment.
	Demand Demand
	// Past are samples of the demand of the last minutes, which say what
	// mixes are likely to return.
	Past []Demand
	// Speeds returns the speeds of an engine under a demand.
	Speeds func(Demand) Speeds
	// StreamTime is the time of a long answer, which a drain waits for.
	StreamTime time.Duration
}

// Policy weighs goodput against role changes.
type Policy struct {
	// ChangeCost is the number of requests that a change must win.
	ChangeCost float64
	// MinDwell is the least time between two changes of one engine.
	MinDwell time.Duration
	// Now is the time for which the demand of the moment is expected to last,
	// and Later the time after it, for which the past demand is.
	Now   time.Duration
	Later time.Duration
	// Away is the time for which a change takes an engine away after its drain.
	Away time.Duration
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
		ChangeCost: changeCost, MinDwell: defaultMinDwell, Now: defaultNow, Later: defaultLater, Away: defaultAway,
		ModelError: defaultModelError,
	}
}

// Change is a wanted role of an engine. The engine is drained first.
type Change struct {
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
func Plan(now time.Time, view View, policy Policy) []Change {
	for _, engine := range view.Engines {
		if engine.Group && engine.Target != "" || engine.InService && now.Sub(engine.ReportedAt) > maxReportAge {
			return nil
		}
	}
	best, most := Change{}, policy.ChangeCost
	for _, engine := range view.candidates(now, policy) {
		for _, role := range engine.Allowed {
			if role == engine.Role || !view.keepsPhases(engine.Role, role) {
				continue
			}
			if won := view.won(engine, role, policy); won > most {
				best, most = Change{engine.Name, role}, won
			}
		}
	}
	if best.Engine == "" {
		return nil
	}
	return []Change{best}
}

// candidates returns for each role the engine of the group that may change
// and has the least to drain. Engines with different allowed roles are
// candidates of their own.
func (view View) candidates(now time.Time, policy Policy) []Engine {
	var candidates []Engine
	for _, engine := range view.Engines {
		if !engine.Group || !engine.InService || engine.Target != "" || now.Sub(engine.ChangedAt) < policy.MinDwell {
			continue
		}
		i := slices.IndexFunc(candidates, func(other Engine) bool {
			return other.Role == engine.Role && slices.Equal(other.Allowed, engine.Allowed)
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
func (view View) counts() Counts {
	var counts Counts
	for _, engine := range view.Engines {
		switch {
		case engine.Target != "":
			*counts.Of(engine.Target)++
		case engine.InService:
			*counts.Of(engine.Role)++
		}
	}
	return counts
}

// serving returns the engines in service by role, without those that change.
func (view View) serving() Counts {
	var counts Counts
	for _, engine := range view.Engines {
		if engine.Target == "" && engine.InService {
			*counts.Of(engine.Role)++
		}
	}
	return counts
}

// Of returns the count of a role.
func (counts *Counts) Of(role lwtdeclaredstate.Role) *int {
	switch role {
	case lwtdeclaredstate.RolePrefill:
		return &counts.Prefill
	case lwtdeclaredstate.RoleDecode:
		return &counts.Decode
	default:
		return &counts.Mixed
	}
}

func (counts Counts) without(role lwtdeclaredstate.Role) Counts {
	*counts.Of(role)--
	return counts
}

func (counts Counts) moved(from, to lwtdeclaredstate.Role) Counts {
	*counts.Of(from)--
	*counts.Of(to)++
	return counts
}

// keepsPhases reports whether both phases keep an engine in service during
// and after a change.
func (view View) keepsPhases(from, to lwtdeclaredstate.Role) bool {
	serving := view.serving()
	for _, counts := range []Counts{serving.without(from), serving.moved(from, to)} {
		if counts.Prefill+counts.Mixed < 1 || counts.Decode+counts.Mixed < 1 {
			return false
		}
	}
	return true
}

// won returns the requests that a change is expected to win, less those lost
// while the engine drains and is away.
func (view View) won(engine Engine, role lwtdeclaredstate.Role, policy Policy) float64 {
	before := view.counts()
	after, without := before.moved(engine.Role, role), before.without(engine.Role)
	drain := view.drain(engine)
	served := view.goodput(before, view.Demand)
	lost := (served - view.goodput(without, view.Demand)) * (policy.Away.Seconds() + drainLoss*drain.Seconds())
	gained := policy.gain(served, view.goodput(after, view.Demand)) * max(0, policy.Now-policy.Away-drain).Seconds()
	for _, past := range view.Past {
		share := policy.Later.Seconds() / float64(len(view.Past))
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

// StreamTime returns the time of a long answer, where the class with the
// longest answers has a mean of so many tokens.
func StreamTime(tokens int) time.Duration {
	return longAnswer * time.Duration(tokens) * lwtscorerouter.DefaultBetweenTokens
}

func (view View) drain(engine Engine) time.Duration {
	switch {
	case engine.Running == 0:
		return 0
	case engine.Role == lwtdeclaredstate.RolePrefill:
		return prefillDrain
	default:
		return view.StreamTime
	}
}

// goodput returns the requests per second that engines answer on time.
func (view View) goodput(counts Counts, demand Demand) float64 {
	return demand.Requests * min(1, headroom*Capacity(counts, demand, view.Speeds(demand)))
}

// Allowed returns the roles that the declared state allows for an engine.
func Allowed(engine lwtdeclaredstate.Engine) []lwtdeclaredstate.Role {
	if slices.Contains(engine.PlannerRoles, engine.Role) {
		return engine.PlannerRoles
	}
	return append(slices.Clone(engine.PlannerRoles), engine.Role)
}
