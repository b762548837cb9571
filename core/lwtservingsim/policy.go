package lwtservingsim

import (
	"time"

	"lacewingtide/core/lwtroleplanner"
	"lacewingtide/core/lwtscorerouter"
)

// Policy is a way to place requests and to set roles.
type Policy struct {
	Name string
	// Baseline places by counting alone and admits everything. It is empty for
	// the policies that use lwtscorerouter and lwtadmission.
	Baseline Baseline
	Strategy lwtscorerouter.Strategy
	// Planner is used unless NoPlanner is set.
	Planner   lwtroleplanner.Policy
	NoPlanner bool
	// Clairvoyant gives all daemons one view without lag, the true lengths of
	// the answers, and role changes that take no time and follow the arrivals
	// of the near future.
	Clairvoyant bool
}

// Baseline names a placement by counting.
type Baseline string

// The placements by counting.
const (
	RoundRobin       Baseline = "round-robin"
	LeastOutstanding Baseline = "least-outstanding"
)

// Times of the engines and of the spread of information in the model.
const (
	// changeTime is the time for which a change of role takes an engine away.
	changeTime = 5 * time.Second
	// reportInterval is the time between two load snapshots of an engine.
	reportInterval = 200 * time.Millisecond
	// answerDelay is the time from a request to the report that comes back.
	answerDelay = 2 * time.Millisecond
	// idlePoll is the time after which a daemon polls an engine.
	idlePoll = time.Second
	// spreadDelay is the time until all daemons know a wanted role.
	spreadDelay = 500 * time.Millisecond
	// planInterval is the time between two plans of a group.
	planInterval = time.Second
	// gapShare is the share of reads of cache events that miss events.
	gapShare = 0.02
	// downTime is the time for which a daemon avoids an engine that refused a
	// connection.
	downTime = time.Second
)

// Policies returns the policies that are compared for a deployment.
func Policies(deployment Deployment) []Policy {
	return []Policy{
		{Name: "round-robin", Baseline: RoundRobin, NoPlanner: true},
		{Name: "least-outstanding", Baseline: LeastOutstanding, NoPlanner: true},
		{Name: "lacewingtide", Planner: lwtroleplanner.DefaultPolicy(deployment.RoleChangeCost)},
		{Name: "clairvoyant", Strategy: lwtscorerouter.StrategyLeastWork, NoPlanner: true, Clairvoyant: true},
	}
}
