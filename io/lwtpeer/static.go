package lwtpeer

import (
	"maps"
	"slices"
)

// Static is a Directory of peer addresses by name that never change.
type Static map[string]string

// Address implements Directory.
func (static Static) Address(name string) (string, bool) {
	address, found := static[name]
	return address, found
}

// Names implements Directory.
func (static Static) Names() []string { return slices.Sorted(maps.Keys(static)) }
