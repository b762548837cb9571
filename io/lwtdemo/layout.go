// Package lwtdemo runs a whole deployment in one process on loopback: the
// platform, engines, shop order servers and entry daemons, with callers, a
// ticket, a killed daemon and one that leaves. It checks the guarantees.
package lwtdemo

import (
	"fmt"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// Layout is the shape of a deployment.
type Layout struct {
	Name              string
	AvailabilityZones []string
	Model             string
	Engines           int
	Shops             int
	Daemons           int
	// LongClass is the class of the long answers.
	LongClass lwtdeclaredstate.Class
	// LongPromptTokens and LongAnswer are in tokens.
	LongPromptTokens, LongAnswerTokens int
	// RoleChangeCost is the deployment's setting of the role planner.
	RoleChangeCost float64
}

// Layouts returns the shapes that the demo can run.
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
	// groupEngines is the number of engines under one lease.
	groupEngines     = 4
	orderReadTimeout = time.Second
)

func (layout Layout) zone(i int) string {
	return layout.AvailabilityZones[i%len(layout.AvailabilityZones)]
}

func (layout Layout) objectives() []lwtdeclaredstate.Objective {
	bound := func(class lwtdeclaredstate.Class, first, whole time.Duration) lwtdeclaredstate.Objective {
		return lwtdeclaredstate.Objective{
			Class: class, TimeToFirstToken: lwtdeclaredstate.Duration(first), EndToEndLatency: lwtdeclaredstate.Duration(whole), Target: 0.95,
		}
	}
	return []lwtdeclaredstate.Objective{
		bound(lwtdeclaredstate.ClassChat, 610*time.Millisecond, 5*time.Second),
		bound(layout.LongClass, 5*time.Second, 30*time.Second),
		bound(lwtdeclaredstate.ClassOrder, 0, 5*time.Second),
		bound(lwtdeclaredstate.ClassLookup, 0, time.Second),
	}
}

func engineName(i int) string { return fmt.Sprintf("engine-%02d", i+1) }

// engine returns the declaration of one engine. Every other one ignores
// fencing numbers and declares its read timeout instead.
func (layout Layout) engine(i int, address string) lwtdeclaredstate.Engine {
	engine := lwtdeclaredstate.Engine{
		Name: engineName(i), Address: address, AvailabilityZone: layout.zone(i),
		Group: fmt.Sprintf("group-%d", i/groupEngines+1), Role: lwtdeclaredstate.RoleMixed,
		Models: []string{layout.Model}, MemoryBlocks: engineBlocks, ChecksFencing: i%2 == 0,
	}
	if !engine.ChecksFencing {
		engine.OrderReadTimeout = lwtdeclaredstate.Duration(orderReadTimeout)
	}
	return engine
}
