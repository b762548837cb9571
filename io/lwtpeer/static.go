package lwtpeer

import (
	"maps"
	"slices"
)

// StaticDirectory is a Directory of peer addresses by name that never change.
type StaticDirectory map[string]string

// Address implements Directory.
func (static StaticDirectory) Address(name string) (string, bool) {
	address, found := static[name]
	return address, found
}

// Names implements Directory.
func (static StaticDirectory) Names() []string { return slices.Sorted(maps.Keys(static)) }
