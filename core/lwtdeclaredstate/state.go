// Package lwtdeclaredstate holds the declared state of a fleet as immutable values.
//
// A State with number N is the result of applying the changes of tickets 1 to N
// in order. States are compared by number alone.
package lwtdeclaredstate

import (
	"maps"
	"slices"
)

// State is the whole declared state at one number. Its maps are keyed by
// object name and must not be modified; WithChange returns a new State.
type State struct {
	Revision     int64               `json:"number"`
	Engines      map[string]Engine   `json:"engines"`
	Models       map[string]Model    `json:"models"`
	Adapters     map[string]Adapter  `json:"adapters"`
	Callers      map[string]Caller   `json:"callers"`
	Services     map[string]Service  `json:"services"`
	Objectives   map[Class]Objective `json:"objectives"`
	ModRevisions map[ObjectID]int64  `json:"changed-by"`
	keys         map[string]string   // caller name by key hash
	byModel      map[string][]string // engine names by model name, sorted
}

// New returns the empty state, number 0.
func New() State {
	return State{}.indexed()
}

// WithChange returns the state after a change. The change's number must be one
// above the state's number; any other change leaves the state as it is.
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
	caller, found := state.Callers[state.keys[hash]]
	return caller, found
}

// EnginesServing returns the names of the engines declared to serve a model, sorted.
// The slice must not be modified.
func (state State) EnginesServing(model string) []string {
	return state.byModel[model]
}

// Indexed returns the state with its lookup tables rebuilt, as needed after
// decoding.
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
	state.keys = make(map[string]string, len(state.Callers))
	for name, caller := range state.Callers {
		state.keys[caller.KeyHash] = name
	}
	state.byModel = map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(state.Engines)) {
		for _, model := range state.Engines[name].Models {
			state.byModel[model] = append(state.byModel[model], name)
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
