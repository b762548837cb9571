package lwtservingsim

import (
	"fmt"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtroleplanner"
	"lacewingtide/core/lwtscorerouter"
)

const (
	model       = "assistant"
	engineCount = 12
	groupSize   = 4
	daemonCount = 4
	blockTokens = lwtscorerouter.BlockTokens
)

// Deployment is a fleet and its workload.
type Deployment struct {
	Name string
	// AvailabilityZones are the availability zones.
	AvailabilityZones []string
	// FixedRoles are the roles of the engines in order, as declared. The policies
	// with fixed roles keep them.
	FixedRoles []lwtdeclaredstate.Role
	Objectives []lwtdeclaredstate.Objective
	// RoleChangeCost is the deployment's setting of the planner.
	RoleChangeCost float64
	// SwingPeriod is the time from one extreme of the mix to the same again.
	SwingPeriod time.Duration
	classes     []classLoad
}

// classLoad is one kind of request of a workload.
type classLoad struct {
	class lwtdeclaredstate.Class
	// share is the share of the requests at either end of the swing.
	low, high float64
	// prompt and output are mean lengths in tokens.
	prompt, output int
	// prefixBlocks are the leading blocks that come from a pool of prefixes.
	prefixBlocks int
	prefixPool   int
}

// roles returns the given numbers of engines by role.
func roles(prefill, decode, mixed int) []lwtdeclaredstate.Role {
	var result []lwtdeclaredstate.Role
	for i := 0; i < prefill+decode+mixed; i++ {
		switch {
		case i < prefill:
			result = append(result, lwtdeclaredstate.RolePrefill)
		case i < prefill+decode:
			result = append(result, lwtdeclaredstate.RoleDecode)
		default:
			result = append(result, lwtdeclaredstate.RoleMixed)
		}
	}
	return result
}

func objective(class lwtdeclaredstate.Class, first, whole time.Duration) lwtdeclaredstate.Objective {
	const target = 0.95
	return lwtdeclaredstate.Objective{
		Class: class, TimeToFirstToken: lwtdeclaredstate.Duration(first), EndToEndLatency: lwtdeclaredstate.Duration(whole), Target: target,
	}
}

// Cristalier checks part lists against a catalogue beside the shop chat. The
// part lists are long prompts with short answers, so its mix swings towards
// prefill. It weighs goodput above role changes.
func Cristalier() Deployment {
	return Deployment{
		Name:              "cristalier",
		AvailabilityZones: []string{"ro-central-1", "ro-central-2", "ro-central-3"},
		FixedRoles:        roles(5, 1, 6),
		Objectives: []lwtdeclaredstate.Objective{
			objective(lwtdeclaredstate.ClassChat, 610*time.Millisecond, 20*time.Second),
			objective(lwtdeclaredstate.ClassMatch, 3*time.Second, 8*time.Second),
			objective(lwtdeclaredstate.ClassLookup, 400*time.Millisecond, 2*time.Second),
			objective(lwtdeclaredstate.ClassOrder, 610*time.Millisecond, 4*time.Second),
		},
		RoleChangeCost: 20,
		SwingPeriod:    swingPeriod,
		classes: []classLoad{
			{class: lwtdeclaredstate.ClassChat, low: 0.85, high: 0.40, prompt: 500, output: 300},
			{
				class: lwtdeclaredstate.ClassMatch, low: 0.05, high: 0.50, prompt: 5100, output: 50,
				prefixBlocks: 2, prefixPool: 60,
			},
			{class: lwtdeclaredstate.ClassLookup, low: 0.08, high: 0.08, prompt: 200, output: 20},
			{class: lwtdeclaredstate.ClassOrder, low: 0.02, high: 0.02, prompt: 300, output: 60},
		},
	}
}

// Himalchhat serves chat and long planting plans in the evening, so its mix
// swings towards decode. It weighs role changes above goodput.
func Himalchhat() Deployment {
	return Deployment{
		Name:              "himalchhat",
		AvailabilityZones: []string{"bagmati-1", "bagmati-2", "bagmati-3"},
		FixedRoles:        roles(6, 2, 4),
		Objectives: []lwtdeclaredstate.Objective{
			objective(lwtdeclaredstate.ClassChat, 610*time.Millisecond, 20*time.Second),
			objective(lwtdeclaredstate.ClassPlan, 3*time.Second, 90*time.Second),
			objective(lwtdeclaredstate.ClassLookup, 400*time.Millisecond, 2*time.Second),
			objective(lwtdeclaredstate.ClassOrder, 610*time.Millisecond, 4*time.Second),
		},
		RoleChangeCost: 400,
		SwingPeriod:    swingPeriod,
		classes: []classLoad{
			{
				class: lwtdeclaredstate.ClassChat, low: 0.87, high: 0.65, prompt: 2500, output: 200,
				prefixBlocks: 1, prefixPool: 300,
			},
			{
				class: lwtdeclaredstate.ClassPlan, low: 0.03, high: 0.25, prompt: 1500, output: 1100,
			},
			{class: lwtdeclaredstate.ClassLookup, low: 0.08, high: 0.08, prompt: 200, output: 20},
			{class: lwtdeclaredstate.ClassOrder, low: 0.02, high: 0.02, prompt: 300, output: 60},
		},
	}
}

// FindDeployment returns the deployment of a name.
func FindDeployment(name string) (Deployment, error) {
	for _, deployment := range []Deployment{Cristalier(), Himalchhat()} {
		if deployment.Name == name {
			return deployment, nil
		}
	}
	return Deployment{}, fmt.Errorf("no deployment %q: use cristalier or himalchhat", name)
}

// State returns the declared state of the fleet.
func (deployment Deployment) State() lwtdeclaredstate.State {
	all := []lwtdeclaredstate.Role{lwtdeclaredstate.RolePrefill, lwtdeclaredstate.RoleDecode, lwtdeclaredstate.RoleMixed}
	change := lwtdeclaredstate.Change{
		Revision: 1, Models: []lwtdeclaredstate.Model{{Name: model, Version: "1"}}, Objectives: deployment.Objectives,
	}
	for i, role := range deployment.FixedRoles {
		change.Engines = append(change.Engines, lwtdeclaredstate.Engine{
			Name: fmt.Sprintf("e%02d", i+1), AvailabilityZone: deployment.AvailabilityZones[i%len(deployment.AvailabilityZones)],
			Group: fmt.Sprintf("g%d", i/groupSize+1), Role: role, PlannerRoles: all,
			Models: []string{model}, MemoryBlocks: memoryBlocks,
		})
	}
	return lwtdeclaredstate.New().WithChange(change)
}

// MeanDemand returns the demand of one request per second at the middle of
// the swing, without prefix caches.
func (deployment Deployment) MeanDemand() lwtroleplanner.Demand {
	return deployment.demand(0.5)
}

func (deployment Deployment) demand(swing float64) lwtroleplanner.Demand {
	var demand lwtroleplanner.Demand
	for _, load := range deployment.classes {
		share := load.low + (load.high-load.low)*swing
		demand = demand.Add(lwtroleplanner.RequestDemand(float64(load.prompt), 0, float64(load.output)).Scale(share))
	}
	return demand
}

// RequestCapacity returns the capacity of the fleet in requests per second: what the best
// fixed roles serve at the middle of the swing, without prefix caches.
func (deployment Deployment) RequestCapacity() float64 {
	_, rate := deployment.BestFixedRoles()
	return rate
}

// speedsFor returns the speeds of the modelled engines under a demand.
func speedsFor(demand lwtroleplanner.Demand) lwtroleplanner.Throughput {
	return lwtroleplanner.NewThroughput(lwtscorerouter.DefaultCostModel(), memoryBlocks*blockTokens, demand)
}

// BestFixedRoles returns the roles that serve the middle of the swing best, and
// their capacity in requests per second.
func (deployment Deployment) BestFixedRoles() (lwtroleplanner.RoleCounts, float64) {
	return bestCounts(deployment.MeanDemand(), engineCount)
}
