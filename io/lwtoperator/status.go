package lwtoperator

import (
	"sync"
	"time"
)

// Provider returns one entry of the status as a value that encodes to JSON. It
// must not block.
type Provider func(now time.Time) any

// Status is a registry of the parts that report their status. It is safe for
// concurrent use.
type Status struct {
	mutex     sync.Mutex
	providers map[string]Provider
}

// NewStatus returns a registry without entries.
func NewStatus() *Status {
	return &Status{providers: map[string]Provider{}}
}

// Register adds or replaces an entry. The name is in kebab case.
func (status *Status) Register(name string, provider Provider) {
	status.mutex.Lock()
	defer status.mutex.Unlock()
	status.providers[name] = provider
}

// At returns all entries by name.
func (status *Status) At(now time.Time) map[string]any {
	status.mutex.Lock()
	defer status.mutex.Unlock()
	entries := make(map[string]any, len(status.providers))
	for name, provider := range status.providers {
		entries[name] = provider(now)
	}
	return entries
}
