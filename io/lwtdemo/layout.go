// Package lwtdemo runs a whole deployment in one process on loopback: platform,
// engines, shop order servers and entry daemons. While callers send requests, it
// submits a ticket, kills one daemon and stops another gracefully. Then it checks
// the guarantees given to callers.
package lwtdemo

import (
	"fmt"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// Layout describes the size and workload of a deployment.
type Layout struct {
	Name              string
	AvailabilityZones []string
	Model             string
	Engines           int
	Shops             int
	Daemons           int
	// LongClass is the request class of the long completions.
	LongClass lwtdeclaredstate.Class
	// LongPromptTokens and LongAnswerTokens are the lengths of a long prompt and its
	// completion.
	LongPromptTokens, LongAnswerTokens int
	// RoleChangeCost is the role planner's cost of a role change, in requests.
	RoleChangeCost float64
}

// Layouts returns the deployments that the demo can run.
func Layouts() []Layout {
	return []Layout{
		{
			Name: "cristalier", AvailabilityZones: []string{"ro-central-a", "ro-central-b", "ro-central-c"},
			Model: "parts-assistant", Engines: 12, Shops: 3, Daemons: 4,
			LongClass: lwtdeclaredstate.ClassMatch, LongPromptTokens: 3000, LongAnswerTokens: 120, RoleChangeCost: 1,
		},
		{
			Name: "himalchhat", AvailabilityZones: []string{"bagmati-a", "bagmati-b", "bagmati-c"},
			Model: "grow-assistant", Engines: 12, Shops: 3, Daemons: 4,
			LongClass: lwtdeclaredstate.ClassPlan, LongPromptTokens: 800, LongAnswerTokens: 400, RoleChangeCost: 10,
		},
	}
}

const (
	engineBlocks = 512
	modelBlocks  = 128
	shopService  = "shop"
	callerName   = "demo-caller"
	callerKey    = "demo-caller-key"
	operatorKey  = "demo-operator-key"
	peerKey      = "demo-peer-key-0123456789"
	// groupEngines is the number of engines in a lease group.
	groupEngines     = 4
	orderReadTimeout = time.Second
)

func (layout Layout) availabilityZone(i int) string {
	return layout.AvailabilityZones[i%len(layout.AvailabilityZones)]
}

func (layout Layout) objectives() []lwtdeclaredstate.Objective {
	newObjective := func(
		class lwtdeclaredstate.Class, timeToFirstToken, latency time.Duration,
	) lwtdeclaredstate.Objective {
		return lwtdeclaredstate.Objective{
			Class: class, TimeToFirstToken: lwtdeclaredstate.Duration(timeToFirstToken),
			EndToEndLatency: lwtdeclaredstate.Duration(latency), Target: 0.95,
		}
	}
	return []lwtdeclaredstate.Objective{
		newObjective(lwtdeclaredstate.ClassChat, 610*time.Millisecond, 5*time.Second),
		newObjective(layout.LongClass, 5*time.Second, 30*time.Second),
		newObjective(lwtdeclaredstate.ClassOrder, 0, 5*time.Second),
		newObjective(lwtdeclaredstate.ClassLookup, 0, time.Second),
	}
}

func engineName(i int) string { return fmt.Sprintf("engine-%02d", i+1) }

// engine returns the declaration of engine i. Engines with odd i ignore fencing
// numbers and declare a read timeout instead.
func (layout Layout) engine(i int, address string) lwtdeclaredstate.Engine {
	engine := lwtdeclaredstate.Engine{
		Name: engineName(i), Address: address, AvailabilityZone: layout.availabilityZone(i),
		Group: fmt.Sprintf("group-%d", i/groupEngines+1), Role: lwtdeclaredstate.RoleMixed,
		Models: []string{layout.Model}, MemoryBlocks: engineBlocks, ChecksFencing: i%2 == 0,
	}
	if !engine.ChecksFencing {
		engine.OrderReadTimeout = lwtdeclaredstate.Duration(orderReadTimeout)
	}
	return engine
}
