package lwtroleplanner_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtroleplanner"
	"lacewingtide/core/lwtscorerouter"
)

var (
	now   = time.Unix(1_000_000, 0)
	roles = []lwtdeclaredstate.Role{lwtdeclaredstate.RolePrefill, lwtdeclaredstate.RoleDecode, lwtdeclaredstate.RoleMixed}
)

const memoryTokens = 256 * lwtscorerouter.BlockTokens

func speeds(demand lwtroleplanner.Demand) lwtroleplanner.Throughput {
	return lwtroleplanner.NewThroughput(lwtscorerouter.DefaultCostModel(), memoryTokens, demand)
}

func drawDemand(t *rapid.T) lwtroleplanner.Demand {
	prompt, output := rapid.Float64Range(10, 8000).Draw(t, "prompt"), rapid.Float64Range(5, 1500).Draw(t, "output")
	return lwtroleplanner.RequestDemand(prompt, 0, output).Scale(rapid.Float64Range(1, 400).Draw(t, "rate"))
}

func drawView(t *rapid.T) lwtroleplanner.PlanInput {
	view := lwtroleplanner.PlanInput{Demand: drawDemand(t), ThroughputFor: speeds, LongStreamTime: 20 * time.Second}
	for range rapid.IntRange(0, 5).Draw(t, "past") {
		view.PastDemand = append(view.PastDemand, drawDemand(t))
	}
	for i := range rapid.IntRange(1, 12).Draw(t, "engines") {
		engine := lwtroleplanner.Engine{
			Name: fmt.Sprintf("e%d", i), Role: rapid.SampledFrom(roles).Draw(t, "role"), AllowedRoles: roles,
			InGroup: rapid.Bool().Draw(t, "group"), InService: rapid.IntRange(0, 4).Draw(t, "out") > 0,
			Running:       rapid.IntRange(0, 200).Draw(t, "running"),
			ReportedAt:    now.Add(-time.Duration(rapid.IntRange(0, 4000).Draw(t, "age")) * time.Millisecond),
			RoleChangedAt: now.Add(-time.Duration(rapid.IntRange(0, 200).Draw(t, "changed")) * time.Second),
		}
		if rapid.IntRange(0, 9).Draw(t, "changing") == 0 {
			engine.TargetRole = rapid.SampledFrom(roles).Draw(t, "target")
		}
		view.Engines = append(view.Engines, engine)
	}
	return view
}

// TestPlanKeepsItsBounds guards against taking the last engine of a phase,
// changing engines of another group, within their dwell or outside the allowed
// roles, and making two changes at once.
func TestPlanKeepsItsBounds(t *testing.T) {
	policy := lwtroleplanner.DefaultPolicy(0)
	made := 0
	rapid.Check(t, func(t *rapid.T) {
		view := drawView(t)
		changes := lwtroleplanner.Plan(now, view, policy)
		if len(changes) > 1 {
			t.Fatalf("%d changes at once", len(changes))
		}
		for _, change := range changes {
			made++
			checkChange(t, view, change, policy)
		}
	})
	if made == 0 {
		t.Error("no change was ever planned, so nothing was checked")
	}
}

func checkChange(t *rapid.T, view lwtroleplanner.PlanInput, change lwtroleplanner.RoleChange, policy lwtroleplanner.Policy) {
	during, after := map[lwtdeclaredstate.Role]int{}, map[lwtdeclaredstate.Role]int{}
	for _, engine := range view.Engines {
		if engine.InGroup && engine.TargetRole != "" {
			t.Fatalf("a change while %s changes", engine.Name)
		}
		switch {
		case engine.Name == change.Engine:
			if !engine.InGroup || !engine.InService || now.Sub(engine.RoleChangedAt) < policy.MinDwell || change.Role == engine.Role {
				t.Fatalf("%+v for %+v", change, engine)
			}
			after[change.Role]++
		case engine.InService && engine.TargetRole == "":
			during[engine.Role]++
			after[engine.Role]++
		}
	}
	for _, counts := range []map[lwtdeclaredstate.Role]int{during, after} {
		mixed := counts[lwtdeclaredstate.RoleMixed]
		if counts[lwtdeclaredstate.RolePrefill]+mixed == 0 || counts[lwtdeclaredstate.RoleDecode]+mixed == 0 {
			t.Fatalf("%+v leaves a phase without engines: %v", change, counts)
		}
	}
}

// starved is a view whose fleet lacks prefill engines by far.
func starved() lwtroleplanner.PlanInput {
	view := lwtroleplanner.PlanInput{Demand: lwtroleplanner.RequestDemand(5000, 0, 50).Scale(80), ThroughputFor: speeds, LongStreamTime: 5 * time.Second}
	for i := range 12 {
		role := lwtdeclaredstate.RoleDecode
		if i < 3 {
			role = lwtdeclaredstate.RolePrefill
		}
		view.Engines = append(view.Engines, lwtroleplanner.Engine{
			Name: fmt.Sprintf("e%d", i), Role: role, AllowedRoles: roles, InGroup: true, InService: true,
			Running: 10, ReportedAt: now, RoleChangedAt: now.Add(-time.Hour),
		})
	}
	return view
}

// TestPlanCorrectsAStarvedPhase guards against a planner that never acts.
func TestPlanCorrectsAStarvedPhase(t *testing.T) {
	changes := lwtroleplanner.Plan(now, starved(), lwtroleplanner.DefaultPolicy(20))
	if len(changes) != 1 || changes[0].Role == lwtdeclaredstate.RoleDecode {
		t.Errorf("planned %v", changes)
	}
}

// TestPlanNeedsFreshReports guards against acting on a stale view.
func TestPlanNeedsFreshReports(t *testing.T) {
	view := starved()
	view.Engines[7].ReportedAt = now.Add(-6 * time.Second)
	if changes := lwtroleplanner.Plan(now, view, lwtroleplanner.DefaultPolicy(0)); len(changes) != 0 {
		t.Errorf("planned %v on a stale view", changes)
	}
}

// TestPlanWeighsTheCost guards against changes that cost more than they win.
func TestPlanWeighsTheCost(t *testing.T) {
	if changes := lwtroleplanner.Plan(now, starved(), lwtroleplanner.DefaultPolicy(1e6)); len(changes) != 0 {
		t.Errorf("planned %v at a cost of a million requests", changes)
	}
}

// TestCapacityGrowsWithEngines guards against a capacity that falls when an
// engine is added, or that depends on the scale of the demand.
func TestCapacityGrowsWithEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := drawDemand(t)
		draw := func(name string) int { return rapid.IntRange(0, 8).Draw(t, name) }
		counts := lwtroleplanner.RoleCounts{Prefill: draw("prefill"), Decode: draw("decode"), Mixed: draw("mixed")}
		capacity := lwtroleplanner.Capacity(counts, demand, speeds(demand))
		for _, role := range roles {
			more := counts
			*more.ForRole(role)++
			if got := lwtroleplanner.Capacity(more, demand, speeds(demand)); got < capacity*(1-1e-6) {
				t.Fatalf("%+v: %f, one more %s engine: %f", counts, capacity, role, got)
			}
		}
		double := demand.Scale(2)
		if got := lwtroleplanner.Capacity(counts, double, speeds(double)); got > capacity/2*1.01+1e-9 || got < capacity/2*0.99-1e-9 {
			t.Fatalf("capacity %f, at twice the demand %f", capacity, got)
		}
	})
}

// TestMeterForgets guards against a demand that stays after the requests end.
func TestMeterForgets(t *testing.T) {
	meter := lwtroleplanner.NewDemandMeter(15 * time.Second)
	at := now
	for range 6000 {
		at = at.Add(10 * time.Millisecond)
		meter = meter.WithRequest(at, lwtroleplanner.RequestDemand(100, 0, 10))
	}
	if rate := meter.Demand(at).Requests; rate < 95 || rate > 105 {
		t.Errorf("%f requests/s, want 100", rate)
	}
	if rate := meter.Demand(at.Add(2 * time.Minute)).Requests; rate > 0.1 {
		t.Errorf("%f requests/s two minutes later", rate)
	}
}
