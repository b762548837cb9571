package lwtaddress

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is a daemon that callers may use.
type Endpoint struct {
	Name string
	// Address is IP:port.
	Address string
}

// Subset returns the addresses for the callers of an availability zone, at most a
// number of them.
//
// The load it answers: more daemons than an answer may name. Callers close
// connections to daemons that a new answer does not name, so the callers of a zone
// always get the same ones, and the zones get ranges of a ring that together cover
// all daemons evenly. A daemon that leaves moves the ranges by one.
func Subset(entries []Endpoint, zones []string, zone string, most int) []string {
	ring := slices.Clone(entries)
	slices.SortFunc(ring, func(a, b Endpoint) int {
		if x, y := xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	first := 0
	if at := slices.Index(zones, zone); at > 0 {
		first = at * len(ring) / len(zones)
	}
	addresses := make([]string, 0, min(most, len(ring)))
	for i := range min(most, len(ring)) {
		addresses = append(addresses, ring[(first+i)%len(ring)].Address)
	}
	return addresses
}
