// Package lwtorder reconciles the engines of a group with the declared state:
// it decides which orders the holder of the group's lease sends to them.
//
// Each engine moves through the phases unknown, reading, steady, draining,
// ordering and confirming until it runs its declared configuration. An engine
// has at most one order in flight, and the next order is sent only after the
// engine's state has been read back.
package lwtorder

import (
	"maps"
	"slices"

	"lacewingtide/core/lwtdeclaredstate"
)

// EngineConfig is the role, models and adapters that an engine runs. Its maps
// must not be modified.
type EngineConfig struct {
	Role lwtdeclaredstate.Role `json:"role"`
	// Models and Adapters map names to versions.
	Models   map[string]string `json:"models"`
	Adapters map[string]string `json:"adapters"`
}

// DeclaredConfig returns the configuration that the state declares for an
// engine in the given role.
func DeclaredConfig(
	state lwtdeclaredstate.State, engine lwtdeclaredstate.Engine, role lwtdeclaredstate.Role,
) EngineConfig {
	config := EngineConfig{Role: role, Models: map[string]string{}, Adapters: map[string]string{}}
	for _, name := range engine.Models {
		config.Models[name] = state.Models[name].Version
	}
	for _, name := range engine.Adapters {
		config.Adapters[name] = state.Adapters[name].Version
	}
	return config
}

// Equal reports whether two configurations are the same.
func (config EngineConfig) Equal(other EngineConfig) bool {
	return config.Role == other.Role && maps.Equal(config.Models, other.Models) &&
		maps.Equal(config.Adapters, other.Adapters)
}

// Extends reports whether config keeps the role, models and adapters of other
// and at most adds to them, so that changing from other interrupts no stream.
func (config EngineConfig) Extends(other EngineConfig) bool {
	return config.Role == other.Role && containsAll(config.Models, other.Models) &&
		containsAll(config.Adapters, other.Adapters)
}

// Union returns the union of both configurations, with the role of config and
// its versions where both name the same model or adapter.
func (config EngineConfig) Union(other EngineConfig) EngineConfig {
	return EngineConfig{
		Role:     config.Role,
		Models:   union(config.Models, other.Models),
		Adapters: union(config.Adapters, other.Adapters),
	}
}

// modelsToLoad returns the names of the models that a change from another
// configuration loads, sorted.
func (config EngineConfig) modelsToLoad(from EngineConfig) []string {
	var models []string
	for _, name := range slices.Sorted(maps.Keys(config.Models)) {
		if version, found := from.Models[name]; !found || version != config.Models[name] {
			models = append(models, name)
		}
	}
	return models
}

// memoryBlocks returns the memory that the configuration needs, in blocks.
func (config EngineConfig) memoryBlocks(state lwtdeclaredstate.State) int {
	total := 0
	for name := range config.Models {
		total += state.Models[name].MemoryBlocks
	}
	for name := range config.Adapters {
		total += state.Adapters[name].MemoryBlocks
	}
	return total
}

func containsAll(all, part map[string]string) bool {
	for name, version := range part {
		if have, found := all[name]; !found || have != version {
			return false
		}
	}
	return true
}

func union(first, second map[string]string) map[string]string {
	result := maps.Clone(first)
	if result == nil {
		result = map[string]string{}
	}
	for name, version := range second {
		if _, found := result[name]; !found {
			result[name] = version
		}
	}
	return result
}
