package lwtdemo

import (
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
	"lacewingtide/io/lwtoperator"
)

const serviceTimeout = 2 * time.Second

// initialChange returns the change that declares the whole fleet.
func (fleet *Fleet) initialChange() lwtdeclaredstate.Change {
	return lwtdeclaredstate.Change{
		Engines:    fleet.declaredEngines,
		Models:     []lwtdeclaredstate.Model{{Name: fleet.layout.Model, Version: "1", MemoryBlocks: modelBlocks}},
		Callers:    []lwtdeclaredstate.Caller{fleet.caller()},
		Objectives: fleet.layout.objectives(),
		Services: []lwtdeclaredstate.Service{{
			Name: shopService, BackendServers: fleet.backendServers, Timeout: lwtdeclaredstate.Duration(serviceTimeout),
			IdempotentCalls: []lwtdeclaredstate.CallPattern{{Method: "GET", PathPrefix: "/stock"}},
		}},
	}
}

// roleChange returns the change that gives the last engine the decode role.
func (fleet *Fleet) roleChange() lwtdeclaredstate.Change {
	engine := fleet.declaredEngines[len(fleet.declaredEngines)-1]
	engine.Role = lwtdeclaredstate.RoleDecode
	return lwtdeclaredstate.Change{Engines: []lwtdeclaredstate.Engine{engine}}
}

// submit submits a change through the operator API, as the command line does, and
// returns the new revision of the declared state.
func (fleet *Fleet) submit(baseRevision int64, change lwtdeclaredstate.Change) (int64, error) {
	ticket, err := toml.Marshal(struct {
		Base int64 `toml:"base"`
		lwtdeclaredstate.Change
	}{baseRevision, change})
	if err != nil {
		return 0, fmt.Errorf("encode ticket: %w", err)
	}
	client := lwtoperator.NewClient(fleet.OperatorAddresses(), operatorKey)
	response, err := client.Submit(lwtoperator.NewWriteID(), ticket)
	if err != nil {
		return 0, err
	}
	if response.Outcome != lwtticket.OutcomeAccepted {
		return 0, fmt.Errorf("the ticket was not accepted: %s %s %v", response.Outcome, response.Reason, response.Problems)
	}
	return response.Revision, nil
}
