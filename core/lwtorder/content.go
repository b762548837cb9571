// Package lwtorder decides which orders the holder of a group's lease sends to
// the engines of the group.
//
// Each engine moves through the phases unknown, reading, steady, draining,
// ordering and confirming until its state is the declared one. An engine has at
// most one order in flight, and the next one follows only after the engine's
// state has been read back.
package lwtorder

import (
	"maps"
	"slices"

	"lacewingtide/core/lwtdeclaredstate"
)

// EngineConfig is what an engine runs. Its maps must not be modified.
type EngineConfig struct {
	Role lwtdeclaredstate.Role `json:"role"`
	// Models and Adapters map names to versions.
	Models   map[string]string `json:"models"`
	Adapters map[string]string `json:"adapters"`
}

// DeclaredConfig returns what a declared engine should run in a role.
func DeclaredConfig(state lwtdeclaredstate.State, engine lwtdeclaredstate.Engine, role lwtdeclaredstate.Role) EngineConfig {
	content := EngineConfig{Role: role, Models: map[string]string{}, Adapters: map[string]string{}}
	for _, name := range engine.Models {
		content.Models[name] = state.Models[name].Version
	}
	for _, name := range engine.Adapters {
		content.Adapters[name] = state.Adapters[name].Version
	}
	return content
}

// Equal reports whether two contents are the same.
func (content EngineConfig) Equal(other EngineConfig) bool {
	return content.Role == other.Role && maps.Equal(content.Models, other.Models) &&
		maps.Equal(content.Adapters, other.Adapters)
}

// Extends reports whether the content only adds to another one, so that the
// change interrupts nothing.
func (content EngineConfig) Extends(other EngineConfig) bool {
	return content.Role == other.Role && includes(content.Models, other.Models) &&
		includes(content.Adapters, other.Adapters)
}

// With returns the content with everything that another one has besides.
func (content EngineConfig) With(other EngineConfig) EngineConfig {
	return EngineConfig{
		Role:     content.Role,
		Models:   union(content.Models, other.Models),
		Adapters: union(content.Adapters, other.Adapters),
	}
}

// loads returns the models that a change from another content loads, sorted.
func (content EngineConfig) loads(from EngineConfig) []string {
	var models []string
	for _, name := range slices.Sorted(maps.Keys(content.Models)) {
		if version, found := from.Models[name]; !found || version != content.Models[name] {
			models = append(models, name)
		}
	}
	return models
}

// blocks returns the memory that the content needs, in blocks.
func (content EngineConfig) blocks(state lwtdeclaredstate.State) int {
	total := 0
	for name := range content.Models {
		total += state.Models[name].MemoryBlocks
	}
	for name := range content.Adapters {
		total += state.Adapters[name].MemoryBlocks
	}
	return total
}

func includes(all, part map[string]string) bool {
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
