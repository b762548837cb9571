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

func throughput(demand lwtroleplanner.Demand) lwtroleplanner.Throughput {
	return lwtroleplanner.NewThroughput(lwtscorerouter.DefaultCostModel(), memoryTokens, demand)
}

func drawDemand(t *rapid.T) lwtroleplanner.Demand {
	prompt, output := rapid.Float64Range(10, 8000).Draw(t, "prompt"), rapid.Float64Range(5, 1500).Draw(t, "output")
	return lwtroleplanner.RequestDemand(prompt, 0, output).Scale(rapid.Float64Range(1, 400).Draw(t, "rate"))
}

func drawInput(t *rapid.T) lwtroleplanner.PlanInput {
	input := lwtroleplanner.PlanInput{Demand: drawDemand(t), ThroughputFor: throughput, LongStreamTime: 20 * time.Second}
	for range rapid.IntRange(0, 5).Draw(t, "past") {
		input.PastDemand = append(input.PastDemand, drawDemand(t))
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
		input.Engines = append(input.Engines, engine)
	}
	return input
}

// TestPlanKeepsItsBounds guards against leaving a phase without engines, against
// changing an engine of another group, before its minimum dwell time or to a role
// that is not allowed, and against two changes at once.
func TestPlanKeepsItsBounds(t *testing.T) {
	policy := lwtroleplanner.DefaultPolicy(0)
	planned := 0
	rapid.Check(t, func(t *rapid.T) {
		input := drawInput(t)
		changes := lwtroleplanner.Plan(now, input, policy)
		if len(changes) > 1 {
			t.Fatalf("%d changes at once", len(changes))
		}
		for _, change := range changes {
			planned++
			checkChange(t, input, change, policy)
		}
	})
	if planned == 0 {
		t.Error("no change was ever planned, so nothing was checked")
	}
}

func checkChange(
	t *rapid.T, input lwtroleplanner.PlanInput, change lwtroleplanner.RoleChange, policy lwtroleplanner.Policy,
) {
	during, after := map[lwtdeclaredstate.Role]int{}, map[lwtdeclaredstate.Role]int{}
	for _, engine := range input.Engines {
		if engine.InGroup && engine.TargetRole != "" {
			t.Fatalf("planned a change while engine %s is changing", engine.Name)
		}
		switch {
		case engine.Name == change.Engine:
			if !engine.InGroup || !engine.InService || now.Sub(engine.RoleChangedAt) < policy.MinDwell ||
				change.Role == engine.Role {
				t.Fatalf("change %+v is not allowed for engine %+v", change, engine)
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

// starvedInput returns a fleet with far too few prefill engines for its demand.
func starvedInput() lwtroleplanner.PlanInput {
	input := lwtroleplanner.PlanInput{
		Demand: lwtroleplanner.RequestDemand(5000, 0, 50).Scale(80), ThroughputFor: throughput,
		LongStreamTime: 5 * time.Second,
	}
	for i := range 12 {
		role := lwtdeclaredstate.RoleDecode
		if i < 3 {
			role = lwtdeclaredstate.RolePrefill
		}
		input.Engines = append(input.Engines, lwtroleplanner.Engine{
			Name: fmt.Sprintf("e%d", i), Role: role, AllowedRoles: roles, InGroup: true, InService: true,
			Running: 10, ReportedAt: now, RoleChangedAt: now.Add(-time.Hour),
		})
	}
	return input
}

// TestPlanCorrectsAStarvedPhase guards against a planner that never plans a change.
func TestPlanCorrectsAStarvedPhase(t *testing.T) {
	changes := lwtroleplanner.Plan(now, starvedInput(), lwtroleplanner.DefaultPolicy(20))
	if len(changes) != 1 || changes[0].Role == lwtdeclaredstate.RoleDecode {
		t.Errorf("planned %v, want one change from decode to another role", changes)
	}
}

// TestPlanNeedsFreshReports guards against planning with stale reports.
func TestPlanNeedsFreshReports(t *testing.T) {
	input := starvedInput()
	input.Engines[7].ReportedAt = now.Add(-6 * time.Second)
	if changes := lwtroleplanner.Plan(now, input, lwtroleplanner.DefaultPolicy(0)); len(changes) != 0 {
		t.Errorf("planned %v with a stale report", changes)
	}
}

// TestPlanWeighsTheCost guards against changes that cost more than they gain.
func TestPlanWeighsTheCost(t *testing.T) {
	if changes := lwtroleplanner.Plan(now, starvedInput(), lwtroleplanner.DefaultPolicy(1e6)); len(changes) != 0 {
		t.Errorf("planned %v at a cost of a million requests", changes)
	}
}

// TestCapacityGrowsWithEngines guards against a capacity that decreases when an
// engine is added, or that does not halve when the demand doubles.
func TestCapacityGrowsWithEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := drawDemand(t)
		drawCount := func(name string) int { return rapid.IntRange(0, 8).Draw(t, name) }
		counts := lwtroleplanner.RoleCounts{
			Prefill: drawCount("prefill"), Decode: drawCount("decode"), Mixed: drawCount("mixed"),
		}
		capacity := lwtroleplanner.Capacity(counts, demand, throughput(demand))
		for _, role := range roles {
			more := counts
			*more.ForRole(role)++
			if got := lwtroleplanner.Capacity(more, demand, throughput(demand)); got < capacity*(1-1e-6) {
				t.Fatalf("%+v: %f, one more %s engine: %f", counts, capacity, role, got)
			}
		}
		double := demand.Scale(2)
		if got := lwtroleplanner.Capacity(counts, double, throughput(double)); got > capacity/2*1.01+1e-9 ||
			got < capacity/2*0.99-1e-9 {
			t.Fatalf("capacity %f, at twice the demand %f", capacity, got)
		}
	})
}

// TestMeterForgets guards against a measured demand that does not decay when the
// requests stop.
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
