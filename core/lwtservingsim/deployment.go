package lwtservingsim

import (
	"fmt"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtroleplanner"
	"lacewingtide/core/lwtscorerouter"
)

const (
	modelName   = "assistant"
	engineCount = 12
	groupSize   = 4
	daemonCount = 4
	blockTokens = lwtscorerouter.BlockTokens
)

// Deployment is a fleet and its workload.
type Deployment struct {
	Name string
	// AvailabilityZones are assigned to engines and daemons in turn.
	AvailabilityZones []string
	// FixedRoles are the declared roles of the engines, in order. Policies without
	// a planner keep them.
	FixedRoles []lwtdeclaredstate.Role
	Objectives []lwtdeclaredstate.Objective
	// RoleChangeCost is the deployment's planner setting, in requests.
	RoleChangeCost float64
	// MixPeriod is the period with which the request mix oscillates between its
	// two extremes.
	MixPeriod time.Duration
	classes   []classLoad
}

// classLoad describes the requests of one class in a workload.
type classLoad struct {
	class lwtdeclaredstate.Class
	// lowShare and highShare are the class's shares of all requests at the two
	// extremes of the mix.
	lowShare, highShare                float64
	meanPromptTokens, meanOutputTokens int
	// prefixBlocks is the length of the shared prefix in blocks. The prefix is one
	// of prefixPoolSize.
	prefixBlocks   int
	prefixPoolSize int
}

// roleList returns a list with the given number of engines in each role.
func roleList(prefill, decode, mixed int) []lwtdeclaredstate.Role {
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

func newObjective(
	class lwtdeclaredstate.Class, timeToFirstToken, endToEndLatency time.Duration,
) lwtdeclaredstate.Objective {
	const target = 0.95
	return lwtdeclaredstate.Objective{
		Class: class, TimeToFirstToken: lwtdeclaredstate.Duration(timeToFirstToken),
		EndToEndLatency: lwtdeclaredstate.Duration(endToEndLatency), Target: target,
	}
}

// Cristalier returns the deployment that serves a shop chat and matches part lists
// against a catalogue. Part lists are long prompts with short answers, so its mix
// shifts towards prefill. It values goodput over few role changes.
func Cristalier() Deployment {
	return Deployment{
		Name:              "cristalier",
		AvailabilityZones: []string{"ro-central-1", "ro-central-2", "ro-central-3"},
		FixedRoles:        roleList(5, 1, 6),
		Objectives: []lwtdeclaredstate.Objective{
			newObjective(lwtdeclaredstate.ClassChat, 610*time.Millisecond, 20*time.Second),
			newObjective(lwtdeclaredstate.ClassMatch, 3*time.Second, 8*time.Second),
			newObjective(lwtdeclaredstate.ClassLookup, 400*time.Millisecond, 2*time.Second),
			newObjective(lwtdeclaredstate.ClassOrder, 610*time.Millisecond, 4*time.Second),
		},
		RoleChangeCost: 20,
		MixPeriod:      mixPeriod,
		classes: []classLoad{
			{class: lwtdeclaredstate.ClassChat, lowShare: 0.85, highShare: 0.40, meanPromptTokens: 500, meanOutputTokens: 300},
			{
				class: lwtdeclaredstate.ClassMatch, lowShare: 0.05, highShare: 0.50, meanPromptTokens: 5100, meanOutputTokens: 50,
				prefixBlocks: 2, prefixPoolSize: 60,
			},
			{class: lwtdeclaredstate.ClassLookup, lowShare: 0.08, highShare: 0.08, meanPromptTokens: 200, meanOutputTokens: 20},
			{class: lwtdeclaredstate.ClassOrder, lowShare: 0.02, highShare: 0.02, meanPromptTokens: 300, meanOutputTokens: 60},
		},
	}
}

// Himalchhat returns the deployment that serves chat and, in the evening, long
// planting plans, so its mix shifts towards decode. It values few role changes
// over goodput.
func Himalchhat() Deployment {
	return Deployment{
		Name:              "himalchhat",
		AvailabilityZones: []string{"bagmati-1", "bagmati-2", "bagmati-3"},
		FixedRoles:        roleList(6, 2, 4),
		Objectives: []lwtdeclaredstate.Objective{
			newObjective(lwtdeclaredstate.ClassChat, 610*time.Millisecond, 20*time.Second),
			newObjective(lwtdeclaredstate.ClassPlan, 3*time.Second, 90*time.Second),
			newObjective(lwtdeclaredstate.ClassLookup, 400*time.Millisecond, 2*time.Second),
			newObjective(lwtdeclaredstate.ClassOrder, 610*time.Millisecond, 4*time.Second),
		},
		RoleChangeCost: 400,
		MixPeriod:      mixPeriod,
		classes: []classLoad{
			{
				class: lwtdeclaredstate.ClassChat, lowShare: 0.87, highShare: 0.65, meanPromptTokens: 2500, meanOutputTokens: 200,
				prefixBlocks: 1, prefixPoolSize: 300,
			},
			{
				class: lwtdeclaredstate.ClassPlan, lowShare: 0.03, highShare: 0.25, meanPromptTokens: 1500, meanOutputTokens: 1100,
			},
			{class: lwtdeclaredstate.ClassLookup, lowShare: 0.08, highShare: 0.08, meanPromptTokens: 200, meanOutputTokens: 20},
			{class: lwtdeclaredstate.ClassOrder, lowShare: 0.02, highShare: 0.02, meanPromptTokens: 300, meanOutputTokens: 60},
		},
	}
}

// FindDeployment returns the named deployment.
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
		Revision: 1, Models: []lwtdeclaredstate.Model{{Name: modelName, Version: "1"}}, Objectives: deployment.Objectives,
	}
	for i, role := range deployment.FixedRoles {
		change.Engines = append(change.Engines, lwtdeclaredstate.Engine{
			Name: fmt.Sprintf("e%02d", i+1), AvailabilityZone: deployment.AvailabilityZones[i%len(deployment.AvailabilityZones)],
			Group: fmt.Sprintf("g%d", i/groupSize+1), Role: role, PlannerRoles: all,
			Models: []string{modelName}, MemoryBlocks: memoryBlocks,
		})
	}
	return lwtdeclaredstate.New().WithChange(change)
}

// MeanDemand returns the demand of one request per second at the midpoint of the
// mix, without prefix caching.
func (deployment Deployment) MeanDemand() lwtroleplanner.Demand {
	return deployment.demand(0.5)
}

func (deployment Deployment) demand(mixPosition float64) lwtroleplanner.Demand {
	var demand lwtroleplanner.Demand
	for _, load := range deployment.classes {
		share := load.lowShare + (load.highShare-load.lowShare)*mixPosition
		demand = demand.Add(
			lwtroleplanner.RequestDemand(float64(load.meanPromptTokens), 0, float64(load.meanOutputTokens)).Scale(share),
		)
	}
	return demand
}

// RequestCapacity returns the fleet's capacity in requests per second with the best
// fixed roles, at the midpoint of the mix and without prefix caching.
func (deployment Deployment) RequestCapacity() float64 {
	_, capacity := deployment.BestFixedRoles()
	return capacity
}

// throughputFor returns the throughput of a simulated engine under a demand.
func throughputFor(demand lwtroleplanner.Demand) lwtroleplanner.Throughput {
	return lwtroleplanner.NewThroughput(lwtscorerouter.DefaultCostModel(), memoryBlocks*blockTokens, demand)
}

// BestFixedRoles returns the role counts with the highest capacity at the midpoint
// of the mix, and that capacity in requests per second.
func (deployment Deployment) BestFixedRoles() (lwtroleplanner.RoleCounts, float64) {
	return bestRoleCounts(deployment.MeanDemand(), engineCount)
}
