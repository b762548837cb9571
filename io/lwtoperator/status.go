package lwtoperator

import (
	"sync"
	"time"
)

// StatusProvider returns one entry of a daemon's status as a value that encodes to
// JSON. It must not block.
type StatusProvider func(now time.Time) any

// StatusRegistry holds the status providers of a daemon by entry name. It is safe
// for concurrent use.
type StatusRegistry struct {
	mutex     sync.Mutex
	providers map[string]StatusProvider
}

// NewStatusRegistry returns an empty registry.
func NewStatusRegistry() *StatusRegistry {
	return &StatusRegistry{providers: map[string]StatusProvider{}}
}

// Register adds or replaces the provider of an entry. The name must be in kebab
// case.
func (registry *StatusRegistry) Register(name string, provider StatusProvider) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.providers[name] = provider
}

// Snapshot returns the current value of every entry by name.
func (registry *StatusRegistry) Snapshot(now time.Time) map[string]any {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	entries := make(map[string]any, len(registry.providers))
	for name, provider := range registry.providers {
		entries[name] = provider(now)
	}
	return entries
}
