package lwtoperator

import (
	"sync"
	"time"
)

// StatusProvider returns one entry of the status as a value that encodes to JSON. It
// must not block.
type StatusProvider func(now time.Time) any

// StatusRegistry is a registry of the parts that report their status. It is safe for
// concurrent use.
type StatusRegistry struct {
	mutex     sync.Mutex
	providers map[string]StatusProvider
}

// NewStatusRegistry returns a registry without entries.
func NewStatusRegistry() *StatusRegistry {
	return &StatusRegistry{providers: map[string]StatusProvider{}}
}

// Register adds or replaces an entry. The name is in kebab case.
func (status *StatusRegistry) Register(name string, provider StatusProvider) {
	status.mutex.Lock()
	defer status.mutex.Unlock()
	status.providers[name] = provider
}

// Snapshot returns all entries by name.
func (status *StatusRegistry) Snapshot(now time.Time) map[string]any {
	status.mutex.Lock()
	defer status.mutex.Unlock()
	entries := make(map[string]any, len(status.providers))
	for name, provider := range status.providers {
		entries[name] = provider(now)
	}
	return entries
}
