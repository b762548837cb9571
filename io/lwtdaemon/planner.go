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
	// sampleInterval and pastSamples bound the past demand that plans go by.
	sampleInterval = 20 * time.Second
	pastSamples    = 18
	// wantedTime is the time after which a request that had no effect is forgotten.
	wantedTime = 5 * time.Minute
)

// groupAuthority says which groups this daemon may change, and takes requests for roles.
type groupAuthority interface {
	// Holds reports whether this daemon holds the lease of a group.
	Holds(now time.Time, group string) bool
	// WantRole asks for a role of an engine. The engine is drained first.
	WantRole(ctx context.Context, engine string, role lwtdeclaredstate.Role)
}

// planner plans the roles of the engine groups whose lease this daemon holds.
type planner struct {
	router    *router
	authority groupAuthority
	policy    lwtroleplanner.Policy
	daemons   func() int
	logger    log.Logger
	started   time.Time
	sampledAt time.Time
	past      []lwtroleplanner.Demand
	wanted    map[string]wantedRole
}

type wantedRole struct {
	role lwtdeclaredstate.Role
	at   time.Time
	done bool
}

func newPlanner(
	router *router, authority groupAuthority, settings lwtsetting.Planner, daemons func() int, logger log.Logger,
) *planner {
	policy := lwtroleplanner.DefaultPolicy(settings.RoleChangeCost)
	policy.MinDwell = settings.MinDwell.Std()
	return &planner{
		router: router, authority: authority, policy: policy, daemons: daemons, logger: logger,
		started: time.Now(), wanted: map[string]wantedRole{},
	}
}

// Serve implements suture.Service.
func (planner *planner) Serve(ctx context.Context) error {
	return lwteventloop.Tick(ctx, planInterval, func(now time.Time) { planner.tick(ctx, now) })
}

// String names the part in logs.
func (planner *planner) String() string { return "planner" }

func (planner *planner) tick(ctx context.Context, now time.Time) {
	daemons := planner.daemons()
	planner.router.SetDaemons(daemons)
	statuses, demand, streamTime := planner.router.planning(now)
	state, _ := planner.router.declared.State()
	// Callers spread evenly over the daemons, so each sees an equal part; the
	// engines looked at serve their part of the whole.
	demand = demand.Scale(float64(daemons) * float64(len(statuses)) / float64(max(1, len(state.Engines))))
	if now.Sub(planner.sampledAt) >= sampleInterval {
		planner.sampledAt = now
		planner.past = append(planner.past, demand)
		planner.past = planner.past[max(0, len(planner.past)-pastSamples):]
	}
	groups := map[string]bool{}
	for _, engine := range state.Engines {
		if engine.Group != "" && len(engine.PlannerRoles) > 0 {
			groups[engine.Group] = planner.authority.Holds(now, engine.Group)
		}
	}
	planner.router.setPlanned(maps.Clone(groups))
	for _, status := range statuses {
		group := status.Declared.Group
		if !groups[group] {
			continue
		}
		groups[group] = false
		planner.plan(ctx, now, group, lwtroleplanner.PlanInput{
			Engines: planner.engines(now, statuses, group), Demand: demand, PastDemand: planner.past,
			ThroughputFor: speedsOf(statuses), LongStreamTime: streamTime,
		})
	}
}

func (planner *planner) plan(ctx context.Context, now time.Time, group string, view lwtroleplanner.PlanInput) {
	for _, change := range lwtroleplanner.Plan(now, view, planner.policy) {
		lwtlog.Info(planner.logger, "role-wanted", "group", group, "engine", change.Engine, "role", change.Role)
		planner.wanted[change.Engine] = wantedRole{role: change.Role, at: now}
		planner.authority.WantRole(ctx, change.Engine, change.Role)
	}
}

// engines returns the engines as the planner of a group sees them.
func (planner *planner) engines(now time.Time, statuses []lwtscorerouter.EngineStatus, group string) []lwtroleplanner.Engine {
	engines := make([]lwtroleplanner.Engine, 0, len(statuses))
	for _, status := range statuses {
		engine := lwtroleplanner.Engine{
			Name: status.Name, Role: status.Role, AllowedRoles: lwtroleplanner.AllowedRoles(status.Declared),
			InGroup: status.Declared.Group == group, InService: status.InService, Running: status.Running,
			ReportedAt: status.ReportedAt, RoleChangedAt: planner.started,
		}
		if wanted, found := planner.follow(now, status); found {
			engine.RoleChangedAt = wanted.at
			if !wanted.done {
				engine.TargetRole = wanted.role
			}
		} else if planner.router.draining(status.Declared) {
			engine.InService = false
		}
		engines = append(engines, engine)
	}
	return engines
}

// follow returns the last role requested for an engine, and whether it runs in it.
func (planner *planner) follow(now time.Time, status lwtscorerouter.EngineStatus) (wantedRole, bool) {
	wanted, found := planner.wanted[status.Name]
	if !found || wanted.done {
		return wanted, found
	}
	if now.Sub(wanted.at) > wantedTime {
		delete(planner.wanted, status.Name)
		return wantedRole{}, false
	}
	wanted.done = status.Role == wanted.role && !planner.router.draining(status.Declared)
	planner.wanted[status.Name] = wanted
	return wanted, true
}

// speedsOf returns the speeds of engines with the mean memory of the fleet.
func speedsOf(statuses []lwtscorerouter.EngineStatus) func(lwtroleplanner.Demand) lwtroleplanner.Throughput {
	blocks := 0
	for _, status := range statuses {
		blocks += status.Declared.MemoryBlocks
	}
	memory := float64(blocks*lwtscorerouter.BlockTokens) / float64(max(1, len(statuses)))
	return func(demand lwtroleplanner.Demand) lwtroleplanner.Throughput {
		return lwtroleplanner.NewThroughput(lwtscorerouter.DefaultCostModel(), memory, demand)
	}
}

// planning returns what plans are made from.
func (router *router) planning(now time.Time) ([]lwtscorerouter.EngineStatus, lwtroleplanner.Demand, time.Duration) {
	statuses := router.statuses(now)
	router.mutex.Lock()
	defer router.mutex.Unlock()
	return statuses, router.demand.Demand(now), lwtroleplanner.LongStreamTime(router.lengths.LongestMean())
}

// Holds implements groupAuthority.
func (authority *authority) Holds(now time.Time, group string) bool {
	authority.mutex.RLock()
	defer authority.mutex.RUnlock()
	return !authority.stopping && authority.groups[group].lease.Lease().Valid(now)
}
