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

// firstChange declares the whole fleet.
func (fleet *Fleet) firstChange() lwtdeclaredstate.Change {
	return lwtdeclaredstate.Change{
		Engines:    fleet.declared,
		Models:     []lwtdeclaredstate.Model{{Name: fleet.layout.Model, Version: "1", MemoryBlocks: modelBlocks}},
		Callers:    []lwtdeclaredstate.Caller{fleet.caller()},
		Objectives: fleet.layout.objectives(),
		Services: []lwtdeclaredstate.Service{{
			Name: shopService, BackendServers: fleet.servers, Timeout: lwtdeclaredstate.Duration(serviceTimeout),
			IdempotentCalls: []lwtdeclaredstate.CallPattern{{Method: "GET", PathPrefix: "/stock"}},
		}},
	}
}

// roleChange gives the last engine another role.
func (fleet *Fleet) roleChange() lwtdeclaredstate.Change {
	engine := fleet.declared[len(fleet.declared)-1]
	engine.Role = lwtdeclaredstate.RoleDecode
	return lwtdeclaredstate.Change{Engines: []lwtdeclaredstate.Engine{engine}}
}

// submit submits a change through the operators' API, as the command line does,
// and returns its number.
func (fleet *Fleet) submit(base int64, change lwtdeclaredstate.Change) (int64, error) {
	ticket, err := toml.Marshal(struct {
		Base int64 `toml:"base"`
		lwtdeclaredstate.Change
	}{base, change})
	if err != nil {
		return 0, fmt.Errorf("encode ticket: %w", err)
	}
	client := lwtoperator.NewClient(fleet.OperatorAddresses(), operatorKey)
	answer, err := client.Submit(lwtoperator.NewWriteID(), ticket)
	if err != nil {
		return 0, err
	}
	if answer.Outcome != lwtticket.OutcomeAccepted {
		return 0, fmt.Errorf("the ticket was not accepted: %s %s %v", answer.Outcome, answer.Reason, answer.Problems)
	}
	return answer.Revision, nil
}
