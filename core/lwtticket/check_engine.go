package lwtticket

import (
	"fmt"
	"slices"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// maxOrderReadTimeout leaves at least half of a lease of 10 s for the check
// before an order to an engine that ignores fencing numbers.
const maxOrderReadTimeout = 5 * time.Second

// maxMemoryBlocks keeps sums of declared sizes far from overflow. It stands for
// 34 billion tokens, more than any engine holds.
const maxMemoryBlocks = 1 << 24

func (checker *checker) memory(path string, blocks int) {
	checker.require(blocks > 0, path+".memory-blocks", "must be above 0")
	checker.require(blocks <= maxMemoryBlocks, path+".memory-blocks", "must be at most %d", maxMemoryBlocks)
}

var roles = []lwtdeclaredstate.Role{lwtdeclaredstate.RolePrefill, lwtdeclaredstate.RoleDecode, lwtdeclaredstate.RoleMixed}

func (checker *checker) engines() {
	byAddress := map[string]string{}
	for _, name := range sortedNames(checker.next.Engines) {
		engine := checker.next.Engines[name]
		path := checker.path(lwtdeclaredstate.KindEngine, name)
		checker.require(isAddress(engine.Address), path+".address", "%q must be IP:port", engine.Address)
		if other, found := byAddress[engine.Address]; found && isAddress(engine.Address) {
			checker.report(checker.pathOfEither(path, other), "engines %q and %q have the same address %s",
				other, name, engine.Address)
		}
		byAddress[engine.Address] = name
		checker.require(engine.AvailabilityZone != "", path+".availability-zone", "is missing")
		checker.require(validName.MatchString(engine.Group), path+".group", "%q is not a name", engine.Group)
		checker.engineRoles(path, engine)
		checker.engineOrders(path, engine)
		checker.engineMemory(path, engine)
	}
}

// pathOfEither returns the address key of the engine that the ticket holds.
func (checker *checker) pathOfEither(path, other string) string {
	if checker.input.document.Line(path) > 0 {
		return path + ".address"
	}
	return checker.path(lwtdeclaredstate.KindEngine, other) + ".address"
}

func (checker *checker) engineRoles(path string, engine lwtdeclaredstate.Engine) {
	checker.require(slices.Contains(roles, engine.Role), path+".role", "%q must be prefill, decode or mixed", engine.Role)
	seen := map[lwtdeclaredstate.Role]bool{}
	for i, role := range engine.PlannerRoles {
		key := fmt.Sprintf("%s.planner-roles[%d]", path, i)
		checker.require(slices.Contains(roles, role), key, "%q must be prefill, decode or mixed", role)
		checker.require(!seen[role], key, "%q is listed twice", role)
		seen[role] = true
	}
}

func (checker *checker) engineOrders(path string, engine lwtdeclaredstate.Engine) {
	timeout := engine.OrderReadTimeout.Std()
	checker.require(timeout >= 0, path+".order-read-timeout", "must be above 0")
	checker.require(timeout <= maxOrderReadTimeout, path+".order-read-timeout", "must be at most %s", maxOrderReadTimeout)
	if !engine.ChecksFencing && timeout == 0 {
		checker.report(path+".order-read-timeout",
			"must be declared, because the engine does not check fencing numbers (checks-fencing)")
	}
	checker.require(engine.DrainDeadline >= 0, path+".drain-deadline", "must be above 0")
	checker.notZero(path+".drain-deadline", float64(engine.DrainDeadline))
}

// notZero reports a bound that is written as zero. Zero stands for "no bound"
// in the state; a written zero is more likely meant to admit nothing.
func (checker *checker) notZero(key string, value float64) {
	checker.require(value != 0 || !checker.input.document.Has(key), key, "must be above 0; leave it out for no bound")
}

func (checker *checker) engineMemory(path string, engine lwtdeclaredstate.Engine) {
	checker.memory(path, engine.MemoryBlocks)
	checker.require(len(engine.Models) > 0, path+".models", "must name at least one model")
	checker.references(path+".models", lwtdeclaredstate.KindModel, engine.Models)
	checker.references(path+".adapters", lwtdeclaredstate.KindAdapter, engine.Adapters)
	needed := 0
	for _, name := range engine.Models {
		needed += checker.next.Models[name].MemoryBlocks
	}
	for i, name := range engine.Adapters {
		adapter, found := checker.next.Adapters[name]
		needed += adapter.MemoryBlocks
		if found && !slices.Contains(engine.Models, adapter.Model) {
			checker.report(fmt.Sprintf("%s.adapters[%d]", path, i),
				"adapter %q belongs to model %q, which the engine does not serve", name, adapter.Model)
		}
	}
	// Work needs memory besides the weights, so a full engine serves nothing.
	checker.require(needed == 0 || needed < engine.MemoryBlocks, path+".memory-blocks",
		"%d blocks leave no memory for work beside models and adapters of %d blocks", engine.MemoryBlocks, needed)
}

func (checker *checker) models() {
	for _, name := range sortedNames(checker.next.Models) {
		model := checker.next.Models[name]
		path := checker.path(lwtdeclaredstate.KindModel, name)
		checker.require(model.Version != "", path+".version", "is missing")
		checker.memory(path, model.MemoryBlocks)
		checker.serving(path, name)
	}
}

// serving checks that the engines of a model can run both phases of a request.
func (checker *checker) serving(path, name string) {
	engines, prefill, decode := 0, false, false
	for _, engineName := range checker.next.EnginesServing(name) {
		engine := checker.next.Engines[engineName]
		if engine.Draining {
			continue
		}
		engines++
		prefill = prefill || engine.Role != lwtdeclaredstate.RoleDecode
		decode = decode || engine.Role != lwtdeclaredstate.RolePrefill
	}
	switch {
	case engines == 0:
		checker.report(path, "model %q is left with no engine that is not draining", name)
	case !prefill:
		checker.report(path, "model %q has only decode engines; one must be prefill or mixed", name)
	case !decode:
		checker.report(path, "model %q has only prefill engines; one must be decode or mixed", name)
	}
}

func (checker *checker) adapters() {
	for _, name := range sortedNames(checker.next.Adapters) {
		adapter := checker.next.Adapters[name]
		path := checker.path(lwtdeclaredstate.KindAdapter, name)
		checker.require(adapter.Version != "", path+".version", "is missing")
		checker.memory(path, adapter.MemoryBlocks)
		_, found := checker.next.Models[adapter.Model]
		checker.require(found, path+".model", "no model %q is declared", adapter.Model)
	}
}
