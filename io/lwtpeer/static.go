package lwtpeer

import (
	"maps"
	"slices"
)

// StaticDirectory is a Directory with fixed peer addresses by name.
type StaticDirectory map[string]string

// Address implements Directory.
func (directory StaticDirectory) Address(name string) (string, bool) {
	address, found := directory[name]
	return address, found
}

// Names implements Directory.
func (directory StaticDirectory) Names() []string { return slices.Sorted(maps.Keys(directory)) }
