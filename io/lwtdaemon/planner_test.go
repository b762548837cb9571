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

// fakeAuthority holds the leases of some groups and collects requests.
type fakeAuthority struct {
	held   map[string]bool
	wanted map[string]lwtdeclaredstate.Role
}

func (authority *fakeAuthority) Holds(_ time.Time, group string) bool { return authority.held[group] }

func (authority *fakeAuthority) WantRole(_ context.Context, engine string, role lwtdeclaredstate.Role) {
	authority.wanted[engine] = role
}

// starvedRouter is the router of a daemon whose engines, in groups g1 and g2,
// are all declared for decode but one, under a demand of long prompts.
func starvedRouter(now time.Time) *router {
	change := lwtdeclaredstate.Change{Revision: 1, Models: []lwtdeclaredstate.Model{{Name: "m", Version: "1"}}}
	for i, name := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
		role := lwtdeclaredstate.RoleDecode
		if i == 0 {
			role = lwtdeclaredstate.RolePrefill
		}
		change.Engines = append(change.Engines, lwtdeclaredstate.Engine{
			Name: name, Group: []string{"g1", "g2"}[i/3], Role: role, Models: []string{"m"}, MemoryBlocks: 256,
			PlannerRoles: []lwtdeclaredstate.Role{lwtdeclaredstate.RolePrefill, lwtdeclaredstate.RoleDecode, lwtdeclaredstate.RoleMixed},
		})
	}
	declared := &declared{name: "d1"}
	state := lwtdeclaredstate.New().WithChange(change)
	declared.state.Store(&state)
	router := newRouter(declared)
	for i := range 3000 {
		at := now.Add(time.Duration(i-3000) * 5 * time.Millisecond)
		_, err := router.Pick(at, lwtscorerouter.Request{Model: "m", Class: lwtdeclaredstate.ClassMatch, PromptTokens: 5000, OutputTokens: 20})
		if err != nil {
			panic(err)
		}
	}
	for _, engine := range change.Engines {
		router.RecordLoad(now, engine.Name, lwtengine.Load{Incarnation: 1, Running: 5, FreeBlocks: 200})
	}
	return router
}

func newTestPlanner(router *router, authority *fakeAuthority) *planner {
	planner := newPlanner(router, authority, lwtsetting.Planner{RoleChangeCost: 1, MinDwell: lwtdeclaredstate.Duration(time.Minute)},
		func() int { return 1 }, log.NewNopLogger())
	planner.started = planner.started.Add(-time.Hour)
	return planner
}

// TestPlannerChangesHeldGroupsOnly guards against role changes by a daemon that
// does not hold the lease of the group.
func TestPlannerChangesHeldGroupsOnly(t *testing.T) {
	now := time.Now()
	router := starvedRouter(now)
	for _, held := range []string{"", "g2"} {
		authority := &fakeAuthority{held: map[string]bool{held: true}, wanted: map[string]lwtdeclaredstate.Role{}}
		newTestPlanner(router, authority).tick(t.Context(), now)
		if held == "" && len(authority.wanted) > 0 {
			t.Errorf("without a lease: wanted %v", authority.wanted)
		}
		if held == "g2" && len(authority.wanted) != 1 {
			t.Errorf("with the lease of g2: wanted %v", authority.wanted)
		}
		for engine := range authority.wanted {
			if engine < "e4" {
				t.Errorf("%s is not in g2", engine)
			}
		}
	}
}

// TestPlannerWaitsForAChange guards against a second change of a group before
// the first has been reported as done.
func TestPlannerWaitsForAChange(t *testing.T) {
	now := time.Now()
	router := starvedRouter(now)
	authority := &fakeAuthority{held: map[string]bool{"g2": true}, wanted: map[string]lwtdeclaredstate.Role{}}
	planner := newTestPlanner(router, authority)
	planner.tick(t.Context(), now)
	planner.tick(t.Context(), now.Add(time.Second))
	if len(authority.wanted) != 1 {
		t.Fatalf("wanted %v before the first change was done", authority.wanted)
	}
	for engine, role := range authority.wanted {
		router.RecordLoad(now.Add(2*time.Second), engine, lwtengine.Load{
			Incarnation: 1, FreeBlocks: 200, LoadDetail: lwtengine.LoadDetail{Role: role},
		})
	}
	planner.tick(t.Context(), now.Add(2*time.Second))
	if len(authority.wanted) != 2 {
		t.Errorf("wanted %v after the first change was done", authority.wanted)
	}
}

// TestPlannerNeedsReports guards against role changes on a stale view.
func TestPlannerNeedsReports(t *testing.T) {
	now := time.Now()
	authority := &fakeAuthority{held: map[string]bool{"g1": true, "g2": true}, wanted: map[string]lwtdeclaredstate.Role{}}
	newTestPlanner(starvedRouter(now), authority).tick(t.Context(), now.Add(10*time.Second))
	if len(authority.wanted) > 0 {
		t.Errorf("wanted %v on reports 10 s old", authority.wanted)
	}
}

// TestDrainedEngineGetsNoWork guards against work sent to an engine that a
// lease holder is about to change.
func TestDrainedEngineGetsNoWork(t *testing.T) {
	now := time.Now()
	router := starvedRouter(now)
	router.draining = func(engine lwtdeclaredstate.Engine) bool { return engine.Name == "e1" }
	_, err := router.Pick(now, lwtscorerouter.Request{Model: "m", PromptTokens: 10, OutputTokens: 10})
	if err == nil {
		t.Error("the only prefill engine got work although it is drained")
	}
}
