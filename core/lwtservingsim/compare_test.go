package lwtservingsim

import (
	"flag"
	"fmt"
	"math"
	"testing"

	"lacewingtide/core/lwtscorerouter"
)

var printComparisons = flag.Bool("compare", false, "print the comparisons of docs/measurements/routing.md")

const compareSeeds = 3

// meanResult returns the goodput and the number of role changes of a policy at a
// load, as means over compareSeeds seeds.
func meanResult(t *testing.T, deployment Deployment, load float64, policy Policy) (goodput, changes float64) {
	for seed := uint64(1); seed <= compareSeeds; seed++ {
		result := trial{t, deployment, seed, DefaultDuration}.run(load, policy)[0]
		goodput += result.Goodput() / compareSeeds
		changes += float64(result.RoleChanges) / compareSeeds
	}
	return goodput, changes
}

// TestCompareRules prints the goodput of each routing strategy without role changes.
func TestCompareRules(t *testing.T) {
	if !*printComparisons {
		t.Skip("prints figures only with -compare")
	}
	for _, strategy := range lwtscorerouter.Strategies() {
		line := strategy.String()
		for _, deployment := range []Deployment{Cristalier(), Himalchhat()} {
			for _, load := range []float64{1.2, 1.6, 3} {
				policy := Policies(deployment)[2]
				policy.Strategy, policy.NoPlanner = strategy, true
				goodput, _ := meanResult(t, deployment, load, policy)
				line += fmt.Sprintf(" | %.4f", goodput)
			}
		}
		t.Log(line)
	}
}

// TestCompareDeclaredRoles prints how much goodput the planner gains when the
// declared roles don't fit the request mix.
func TestCompareDeclaredRoles(t *testing.T) {
	if !*printComparisons {
		t.Skip("prints figures only with -compare")
	}
	for _, deployment := range []Deployment{Cristalier(), Himalchhat()} {
		for _, counts := range [][3]int{{3, 9, 0}, {4, 8, 0}, {6, 6, 0}, {9, 3, 0}, {0, 0, 12}} {
			deployment.FixedRoles = roleList(counts[0], counts[1], counts[2])
			line := fmt.Sprintf("%s prefill, decode, mixed %v", deployment.Name, counts)
			for _, cost := range []float64{math.Inf(1), Himalchhat().RoleChangeCost, Cristalier().RoleChangeCost} {
				policy := Policies(deployment)[2]
				policy.Planner.RoleChangeCost = cost
				goodput, changes := meanResult(t, deployment, 1.15, policy)
				line += fmt.Sprintf(" | %.4f (%.1f)", goodput, changes)
			}
			t.Log(line)
		}
	}
}
