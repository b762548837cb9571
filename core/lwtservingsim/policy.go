package lwtservingsim

import (
	"time"

	"lacewingtide/core/lwtroleplanner"
	"lacewingtide/core/lwtscorerouter"
)

// Policy selects how requests are placed and how roles are planned.
type Policy struct {
	Name string
	// Baseline selects a placement that counts requests and admits all of them. It
	// is empty for policies that use lwtscorerouter and lwtadmission.
	Baseline Baseline
	Strategy lwtscorerouter.Strategy
	// Planner is ignored when NoPlanner is set.
	Planner   lwtroleplanner.Policy
	NoPlanner bool
	// Clairvoyant makes the policy an upper bound: all daemons share one view
	// without lag and know the true answer lengths, and roles change instantly to
	// match the arrivals of the near future.
	Clairvoyant bool
}

// Baseline names a placement that only counts requests.
type Baseline string

// The baselines.
const (
	RoundRobin       Baseline = "round-robin"
	LeastOutstanding Baseline = "least-outstanding"
)

// Timing of the simulated engines and of the messages between daemons.
const (
	// roleChangeTime is how long a role change makes an engine unavailable.
	roleChangeTime = 5 * time.Second
	// reportInterval is the time between two load snapshots of an engine.
	reportInterval = 200 * time.Millisecond
	// reportDelay is the time from sending a request until the engine's load report
	// arrives with the response.
	reportDelay = 2 * time.Millisecond
	// pollInterval is the time between two polls of an engine by a daemon.
	pollInterval = time.Second
	// propagationDelay is the time until all daemons have received a role change.
	propagationDelay = 500 * time.Millisecond
	// planInterval is the time between two plans of a group.
	planInterval = time.Second
	// eventGapFraction is the fraction of reads of cache events that miss events.
	eventGapFraction = 0.02
	// connectBackoff is how long a daemon avoids an engine that refused a
	// connection.
	connectBackoff = time.Second
)

// Policies returns the policies to compare for a deployment.
func Policies(deployment Deployment) []Policy {
	return []Policy{
		{Name: "round-robin", Baseline: RoundRobin, NoPlanner: true},
		{Name: "least-outstanding", Baseline: LeastOutstanding, NoPlanner: true},
		{Name: "lacewingtide", Planner: lwtroleplanner.DefaultPolicy(deployment.RoleChangeCost)},
		{Name: "clairvoyant", Strategy: lwtscorerouter.StrategyLeastWork, NoPlanner: true, Clairvoyant: true},
	}
}
