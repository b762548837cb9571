package lwtticket

import (
	"fmt"
	"slices"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// maxOrderReadTimeout is half the duration of a lease (10 s). An order to an
// engine that ignores fencing numbers is sent only if the lease is valid for at
// least the read timeout, so that at least half of each lease is usable.
const maxOrderReadTimeout = 5 * time.Second

// maxMemoryBlocks prevents overflows in sums of declared sizes. It corresponds to
// 34 billion tokens, more than the memory of any engine.
const maxMemoryBlocks = 1 << 24

func (checker *checker) checkMemoryBlocks(path string, blocks int) {
	checker.require(blocks > 0, path+".memory-blocks", "must be above 0")
	checker.require(blocks <= maxMemoryBlocks, path+".memory-blocks", "must be at most %d", maxMemoryBlocks)
}

var roles = []lwtdeclaredstate.Role{
	lwtdeclaredstate.RolePrefill, lwtdeclaredstate.RoleDecode, lwtdeclaredstate.RoleMixed,
}

func (checker *checker) checkEngines() {
	byAddress := map[string]string{}
	for _, name := range sortedNames(checker.next.Engines) {
		engine := checker.next.Engines[name]
		path := checker.objectPath(lwtdeclaredstate.KindEngine, name)
		checker.require(isAddress(engine.Address), path+".address", "%q must be IP:port", engine.Address)
		if other, found := byAddress[engine.Address]; found && isAddress(engine.Address) {
			checker.report(checker.addressPath(path, other), "engines %q and %q have the same address %s",
				other, name, engine.Address)
		}
		byAddress[engine.Address] = name
		checker.require(engine.AvailabilityZone != "", path+".availability-zone", "is missing")
		checker.require(validName.MatchString(engine.Group), path+".group", "%q is not a name", engine.Group)
		checker.checkEngineRoles(path, engine)
		checker.checkEngineOrders(path, engine)
		checker.checkEngineMemory(path, engine)
	}
}

// addressPath returns the address key of the engine with the given path if the
// ticket contains it, and otherwise that of the other engine.
func (checker *checker) addressPath(path, other string) string {
	if checker.input.document.Line(path) > 0 {
		return path + ".address"
	}
	return checker.objectPath(lwtdeclaredstate.KindEngine, other) + ".address"
}

func (checker *checker) checkEngineRoles(path string, engine lwtdeclaredstate.Engine) {
	checker.require(slices.Contains(roles, engine.Role), path+".role", "%q must be prefill, decode or mixed", engine.Role)
	seen := map[lwtdeclaredstate.Role]bool{}
	for i, role := range engine.PlannerRoles {
		key := fmt.Sprintf("%s.planner-roles[%d]", path, i)
		checker.require(slices.Contains(roles, role), key, "%q must be prefill, decode or mixed", role)
		checker.require(!seen[role], key, "%q is listed twice", role)
		seen[role] = true
	}
}

func (checker *checker) checkEngineOrders(path string, engine lwtdeclaredstate.Engine) {
	timeout := engine.OrderReadTimeout.Std()
	checker.require(timeout >= 0, path+".order-read-timeout", "must be above 0")
	checker.require(timeout <= maxOrderReadTimeout, path+".order-read-timeout", "must be at most %s", maxOrderReadTimeout)
	if !engine.ChecksFencing && timeout == 0 {
		checker.report(path+".order-read-timeout",
			"must be declared, because the engine does not check fencing numbers (checks-fencing)")
	}
	checker.require(engine.DrainDeadline >= 0, path+".drain-deadline", "must be above 0")
	checker.rejectExplicitZero(path+".drain-deadline", float64(engine.DrainDeadline))
}

// rejectExplicitZero reports a limit that the ticket sets to zero. In the state
// zero means "no limit", but an explicit zero more likely means "allow nothing".
func (checker *checker) rejectExplicitZero(key string, value float64) {
	checker.require(value != 0 || !checker.input.document.Has(key), key, "must be above 0; leave it out for no bound")
}

func (checker *checker) checkEngineMemory(path string, engine lwtdeclaredstate.Engine) {
	checker.checkMemoryBlocks(path, engine.MemoryBlocks)
	checker.require(len(engine.Models) > 0, path+".models", "must name at least one model")
	checker.checkReferences(path+".models", lwtdeclaredstate.KindModel, engine.Models)
	checker.checkReferences(path+".adapters", lwtdeclaredstate.KindAdapter, engine.Adapters)
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
	// Requests need memory besides the weights, so an engine whose memory is full
	// of weights can't serve any.
	checker.require(needed == 0 || needed < engine.MemoryBlocks, path+".memory-blocks",
		"%d blocks leave no memory for work beside models and adapters of %d blocks", engine.MemoryBlocks, needed)
}

func (checker *checker) checkModels() {
	for _, name := range sortedNames(checker.next.Models) {
		model := checker.next.Models[name]
		path := checker.objectPath(lwtdeclaredstate.KindModel, name)
		checker.require(model.Version != "", path+".version", "is missing")
		checker.checkMemoryBlocks(path, model.MemoryBlocks)
		checker.checkServing(path, name)
	}
}

// checkServing checks that the engines of a model that are not draining can run
// both prefill and decode.
func (checker *checker) checkServing(path, name string) {
	engines, canPrefill, canDecode := 0, false, false
	for _, engineName := range checker.next.EnginesServing(name) {
		engine := checker.next.Engines[engineName]
		if engine.Draining {
			continue
		}
		engines++
		canPrefill = canPrefill || engine.Role != lwtdeclaredstate.RoleDecode
		canDecode = canDecode || engine.Role != lwtdeclaredstate.RolePrefill
	}
	switch {
	case engines == 0:
		checker.report(path, "model %q is left with no engine that is not draining", name)
	case !canPrefill:
		checker.report(path, "model %q has only decode engines; one must be prefill or mixed", name)
	case !canDecode:
		checker.report(path, "model %q has only prefill engines; one must be decode or mixed", name)
	}
}

func (checker *checker) checkAdapters() {
	for _, name := range sortedNames(checker.next.Adapters) {
		adapter := checker.next.Adapters[name]
		path := checker.objectPath(lwtdeclaredstate.KindAdapter, name)
		checker.require(adapter.Version != "", path+".version", "is missing")
		checker.checkMemoryBlocks(path, adapter.MemoryBlocks)
		_, found := checker.next.Models[adapter.Model]
		checker.require(found, path+".model", "no model %q is declared", adapter.Model)
	}
}
