package lwtdaemon

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtscorerouter"
	"lacewingtide/io/lwtengine"
	"lacewingtide/io/lwtsetting"
)

// fakeGroups implements groupLeases with fixed leases. It records the role requests.
type fakeGroups struct {
	held      map[string]bool
	requested map[string]lwtdeclaredstate.Role
}

func (groups *fakeGroups) HoldsLease(_ time.Time, group string) bool { return groups.held[group] }

func (groups *fakeGroups) RequestRole(_ context.Context, engine string, role lwtdeclaredstate.Role) {
	groups.requested[engine] = role
}

// newPrefillBoundRouter returns the router of a daemon with engines in the groups g1
// and g2. All except one are declared for decode, while the demand consists of long
// prompts.
func newPrefillBoundRouter(now time.Time) *router {
	change := lwtdeclaredstate.Change{Revision: 1, Models: []lwtdeclaredstate.Model{{Name: "m", Version: "1"}}}
	for i, name := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
		role := lwtdeclaredstate.RoleDecode
		if i == 0 {
			role = lwtdeclaredstate.RolePrefill
		}
		change.Engines = append(change.Engines, lwtdeclaredstate.Engine{
			Name: name, Group: []string{"g1", "g2"}[i/3], Role: role, Models: []string{"m"}, MemoryBlocks: 256,
			PlannerRoles: []lwtdeclaredstate.Role{
				lwtdeclaredstate.RolePrefill, lwtdeclaredstate.RoleDecode, lwtdeclaredstate.RoleMixed,
			},
		})
	}
	syncer := &stateSyncer{name: "d1"}
	state := lwtdeclaredstate.New().WithChange(change)
	syncer.state.Store(&state)
	router := newRouter(syncer)
	for i := range 3000 {
		at := now.Add(time.Duration(i-3000) * 5 * time.Millisecond)
		_, err := router.Pick(at, lwtscorerouter.Request{
			Model: "m", Class: lwtdeclaredstate.ClassMatch, PromptTokens: 5000, OutputTokens: 20,
		})
		if err != nil {
			panic(err)
		}
	}
	for _, engine := range change.Engines {
		router.RecordLoad(now, engine.Name, lwtengine.Load{Incarnation: 1, Running: 5, FreeBlocks: 200})
	}
	return router
}

func newTestPlanner(router *router, groups *fakeGroups) *planner {
	planner := newPlanner(router, groups,
		lwtsetting.Planner{RoleChangeCost: 1, MinDwell: lwtdeclaredstate.Duration(time.Minute)},
		func() int { return 1 }, log.NewNopLogger())
	planner.started = planner.started.Add(-time.Hour)
	return planner
}

// TestPlannerChangesHeldGroupsOnly guards against role changes by a daemon that
// does not hold the lease of the group.
func TestPlannerChangesHeldGroupsOnly(t *testing.T) {
	now := time.Now()
	router := newPrefillBoundRouter(now)
	for _, heldGroup := range []string{"", "g2"} {
		groups := &fakeGroups{held: map[string]bool{heldGroup: true}, requested: map[string]lwtdeclaredstate.Role{}}
		newTestPlanner(router, groups).tick(t.Context(), now)
		if heldGroup == "" && len(groups.requested) > 0 {
			t.Errorf("without a lease: requested %v, want no engine", groups.requested)
		}
		if heldGroup == "g2" && len(groups.requested) != 1 {
			t.Errorf("with the lease of g2: requested %v, want one engine", groups.requested)
		}
		for engine := range groups.requested {
			if engine < "e4" {
				t.Errorf("requested a role for %s, which is not in g2", engine)
			}
		}
	}
}

// TestPlannerWaitsForAChange guards against a second role change in a group before
// the first has been reported as done.
func TestPlannerWaitsForAChange(t *testing.T) {
	now := time.Now()
	router := newPrefillBoundRouter(now)
	groups := &fakeGroups{held: map[string]bool{"g2": true}, requested: map[string]lwtdeclaredstate.Role{}}
	planner := newTestPlanner(router, groups)
	planner.tick(t.Context(), now)
	planner.tick(t.Context(), now.Add(time.Second))
	if len(groups.requested) != 1 {
		t.Fatalf("requested %v before the first change was done, want one engine", groups.requested)
	}
	for engine, role := range groups.requested {
		router.RecordLoad(now.Add(2*time.Second), engine, lwtengine.Load{
			Incarnation: 1, FreeBlocks: 200, LoadDetail: lwtengine.LoadDetail{Role: role},
		})
	}
	planner.tick(t.Context(), now.Add(2*time.Second))
	if len(groups.requested) != 2 {
		t.Errorf("requested %v after the first change was done, want two engines", groups.requested)
	}
}

// TestPlannerNeedsReports guards against role changes that are based on stale load
// reports.
func TestPlannerNeedsReports(t *testing.T) {
	now := time.Now()
	groups := &fakeGroups{held: map[string]bool{"g1": true, "g2": true}, requested: map[string]lwtdeclaredstate.Role{}}
	newTestPlanner(newPrefillBoundRouter(now), groups).tick(t.Context(), now.Add(10*time.Second))
	if len(groups.requested) > 0 {
		t.Errorf("requested %v with load reports that are 10 s old, want no engine", groups.requested)
	}
}

// TestDrainedEngineGetsNoWork guards against requests to an engine that a lease holder
// is about to change.
func TestDrainedEngineGetsNoWork(t *testing.T) {
	now := time.Now()
	router := newPrefillBoundRouter(now)
	router.isDraining = func(engine lwtdeclaredstate.Engine) bool { return engine.Name == "e1" }
	_, err := router.Pick(now, lwtscorerouter.Request{Model: "m", PromptTokens: 10, OutputTokens: 10})
	if err == nil {
		t.Error("the only prefill engine was chosen although it is draining")
	}
}
