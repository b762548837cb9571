package lwtdaemon

import (
	"context"
	"maps"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtroleplanner"
	"lacewingtide/core/lwtscorerouter"
	"lacewingtide/io/lwteventloop"
	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtsetting"
)

const (
	planInterval = time.Second
	// Plans take the past demand into account, with maxPastSamples samples at
	// intervals of demandSampleInterval.
	demandSampleInterval = 20 * time.Second
	maxPastSamples       = 18
	// roleRequestTTL is the time after which a role request without effect expires.
	roleRequestTTL = 5 * time.Minute
)

// groupLeases provides the group leases of this daemon and accepts role requests.
type groupLeases interface {
	// HoldsLease reports whether this daemon holds the lease of a group.
	HoldsLease(now time.Time, group string) bool
	// RequestRole requests a role for an engine, which is drained before the change.
	RequestRole(ctx context.Context, engine string, role lwtdeclaredstate.Role)
}

// planner plans the roles of the engine groups whose lease this daemon holds.
type planner struct {
	router       *router
	groups       groupLeases
	policy       lwtroleplanner.Policy
	daemonCount  func() int
	logger       log.Logger
	started      time.Time
	sampledAt    time.Time
	pastDemand   []lwtroleplanner.Demand
	roleRequests map[string]roleRequest
}

type roleRequest struct {
	role        lwtdeclaredstate.Role
	requestedAt time.Time
	done        bool
}

func newPlanner(
	router *router, groups groupLeases, settings lwtsetting.Planner, daemonCount func() int, logger log.Logger,
) *planner {
	policy := lwtroleplanner.DefaultPolicy(settings.RoleChangeCost)
	policy.MinDwell = settings.MinDwell.Std()
	return &planner{
		router: router, groups: groups, policy: policy, daemonCount: daemonCount, logger: logger,
		started: time.Now(), roleRequests: map[string]roleRequest{},
	}
}

// Serve implements suture.Service.
func (planner *planner) Serve(ctx context.Context) error {
	return lwteventloop.Tick(ctx, planInterval, func(now time.Time) { planner.tick(ctx, now) })
}

// String returns the name of the service in logs.
func (planner *planner) String() string { return "planner" }

func (planner *planner) tick(ctx context.Context, now time.Time) {
	daemonCount := planner.daemonCount()
	planner.router.SetDaemons(daemonCount)
	statuses, demand, longStreamTime := planner.router.planInput(now)
	state, _ := planner.router.syncer.State()
	// Callers are spread evenly over the daemons, so that the total demand is the
	// demand at this daemon times the number of daemons. The engines in statuses
	// serve a share of it in proportion to their number.
	demand = demand.Scale(float64(daemonCount) * float64(len(statuses)) / float64(max(1, len(state.Engines))))
	if now.Sub(planner.sampledAt) >= demandSampleInterval {
		planner.sampledAt = now
		planner.pastDemand = append(planner.pastDemand, demand)
		planner.pastDemand = planner.pastDemand[max(0, len(planner.pastDemand)-maxPastSamples):]
	}
	groups := map[string]bool{}
	for _, engine := range state.Engines {
		if engine.Group != "" && len(engine.PlannerRoles) > 0 {
			groups[engine.Group] = planner.groups.HoldsLease(now, engine.Group)
		}
	}
	planner.router.setPlannedGroups(maps.Clone(groups))
	for _, status := range statuses {
		group := status.Declared.Group
		if !groups[group] {
			continue
		}
		groups[group] = false
		planner.plan(ctx, now, group, lwtroleplanner.PlanInput{
			Engines: planner.engines(now, statuses, group), Demand: demand, PastDemand: planner.pastDemand,
			ThroughputFor: throughputOf(statuses), LongStreamTime: longStreamTime,
		})
	}
}

func (planner *planner) plan(ctx context.Context, now time.Time, group string, input lwtroleplanner.PlanInput) {
	for _, change := range lwtroleplanner.Plan(now, input, planner.policy) {
		lwtlog.Info(planner.logger, "role-wanted", "group", group, "engine", change.Engine, "role", change.Role)
		planner.roleRequests[change.Engine] = roleRequest{role: change.Role, requestedAt: now}
		planner.groups.RequestRole(ctx, change.Engine, change.Role)
	}
}

// engines returns the input of lwtroleplanner about the engines, to plan one group.
func (planner *planner) engines(
	now time.Time, statuses []lwtscorerouter.EngineStatus, group string,
) []lwtroleplanner.Engine {
	engines := make([]lwtroleplanner.Engine, 0, len(statuses))
	for _, status := range statuses {
		engine := lwtroleplanner.Engine{
			Name: status.Name, Role: status.Role, AllowedRoles: lwtroleplanner.AllowedRoles(status.Declared),
			InGroup: status.Declared.Group == group, InService: status.InService, Running: status.Running,
			ReportedAt: status.ReportedAt, RoleChangedAt: planner.started,
		}
		if request, found := planner.trackRequest(now, status); found {
			engine.RoleChangedAt = request.requestedAt
			if !request.done {
				engine.TargetRole = request.role
			}
		} else if planner.router.isDraining(status.Declared) {
			engine.InService = false
		}
		engines = append(engines, engine)
	}
	return engines
}

// trackRequest returns the last role request for an engine, if any, after updating
// whether the engine has taken the role. A request without effect expires after
// roleRequestTTL.
func (planner *planner) trackRequest(now time.Time, status lwtscorerouter.EngineStatus) (roleRequest, bool) {
	request, found := planner.roleRequests[status.Name]
	if !found || request.done {
		return request, found
	}
	if now.Sub(request.requestedAt) > roleRequestTTL {
		delete(planner.roleRequests, status.Name)
		return roleRequest{}, false
	}
	request.done = status.Role == request.role && !planner.router.isDraining(status.Declared)
	planner.roleRequests[status.Name] = request
	return request, true
}

// throughputOf returns a function that estimates the throughput of an engine for a
// demand. The engine has the mean memory of the given engines.
func throughputOf(statuses []lwtscorerouter.EngineStatus) func(lwtroleplanner.Demand) lwtroleplanner.Throughput {
	memoryBlocks := 0
	for _, status := range statuses {
		memoryBlocks += status.Declared.MemoryBlocks
	}
	memoryTokens := float64(memoryBlocks*lwtscorerouter.BlockTokens) / float64(max(1, len(statuses)))
	return func(demand lwtroleplanner.Demand) lwtroleplanner.Throughput {
		return lwtroleplanner.NewThroughput(lwtscorerouter.DefaultCostModel(), memoryTokens, demand)
	}
}

// planInput returns the engine statuses, the demand and the duration of long streams,
// from which roles are planned.
func (router *router) planInput(now time.Time) ([]lwtscorerouter.EngineStatus, lwtroleplanner.Demand, time.Duration) {
	statuses := router.statuses(now)
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return statuses, router.demandMeter.Demand(now), lwtroleplanner.LongStreamTime(router.lengthEstimator.LongestMean())
}

// HoldsLease implements groupLeases.
func (controller *groupController) HoldsLease(now time.Time, group string) bool {
	controller.mutex.RLock()
	defer controller.mutex.RUnlock()
	return !controller.stopping && controller.groups[group].lease.Lease().Valid(now)
}
