// Package lwtdeclaredstate represents the declared state of a fleet as immutable
// values.
//
// The State with revision N is the result of applying the changes of tickets 1 to
// N in order. States are compared by revision alone.
package lwtdeclaredstate

import (
	"maps"
	"slices"
)

// State is the whole declared state at one revision. Its maps of objects are keyed
// by object name and must not be modified; WithChange returns a new State.
type State struct {
	Revision   int64               `json:"number"`
	Engines    map[string]Engine   `json:"engines"`
	Models     map[string]Model    `json:"models"`
	Adapters   map[string]Adapter  `json:"adapters"`
	Callers    map[string]Caller   `json:"callers"`
	Services   map[string]Service  `json:"services"`
	Objectives map[Class]Objective `json:"objectives"`
	// ModRevisions holds, for each object, the revision that last changed or removed it.
	ModRevisions     map[ObjectID]int64  `json:"changed-by"`
	callersByKeyHash map[string]string   // caller name by key hash
	enginesByModel   map[string][]string // engine names by model name, sorted
}

// New returns the empty state with revision 0.
func New() State {
	return State{}.indexed()
}

// WithChange returns the state after a change. The change's revision must be one
// above the state's revision; with any other change the state is returned as it
// is.
func (state State) WithChange(change Change) State {
	if change.Revision != state.Revision+1 {
		return state
	}
	next := State{
		Revision:     change.Revision,
		Engines:      merged(state.Engines, change.Engines, Engine.key),
		Models:       merged(state.Models, change.Models, Model.key),
		Adapters:     merged(state.Adapters, change.Adapters, Adapter.key),
		Callers:      merged(state.Callers, change.Callers, Caller.key),
		Services:     merged(state.Services, change.Services, Service.key),
		Objectives:   merged(state.Objectives, change.Objectives, Objective.key),
		ModRevisions: maps.Clone(state.ModRevisions),
	}
	if next.ModRevisions == nil {
		next.ModRevisions = map[ObjectID]int64{}
	}
	for _, id := range change.ObjectIDs() {
		next.ModRevisions[id] = change.Revision
	}
	for _, id := range change.Remove {
		next.remove(id)
	}
	return next.indexed()
}

// CallerByKeyHash returns the caller whose key has the given hash.
func (state State) CallerByKeyHash(hash string) (Caller, bool) {
	caller, found := state.Callers[state.callersByKeyHash[hash]]
	return caller, found
}

// EnginesServing returns the names of the engines that are declared to serve a
// model, sorted. The slice must not be modified.
func (state State) EnginesServing(model string) []string {
	return state.enginesByModel[model]
}

// Indexed returns the state with its lookup tables rebuilt. It must be called
// after decoding a State.
func (state State) Indexed() State {
	return state.indexed()
}

func (state State) remove(id ObjectID) {
	switch kind, name := id.Split(); kind {
	case KindEngine:
		delete(state.Engines, name)
	case KindModel:
		delete(state.Models, name)
	case KindAdapter:
		delete(state.Adapters, name)
	case KindCaller:
		delete(state.Callers, name)
	case KindService:
		delete(state.Services, name)
	case KindObjective:
		delete(state.Objectives, Class(name))
	}
}

func (state State) indexed() State {
	state.callersByKeyHash = make(map[string]string, len(state.Callers))
	for name, caller := range state.Callers {
		state.callersByKeyHash[caller.KeyHash] = name
	}
	state.enginesByModel = map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(state.Engines)) {
		for _, model := range state.Engines[name].Models {
			state.enginesByModel[model] = append(state.enginesByModel[model], name)
		}
	}
	return state
}

func merged[K comparable, V any](base map[K]V, changed []V, key func(V) K) map[K]V {
	result := make(map[K]V, len(base)+len(changed))
	maps.Copy(result, base)
	for _, value := range changed {
		result[key(value)] = value
	}
	return result
}
