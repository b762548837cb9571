package lwtaddress

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is the name and the entry address of a daemon.
type Endpoint struct {
	Name string
	// Address is IP:port.
	Address string
}

// Subset returns at most limit addresses for the callers of an availability zone.
//
// It is designed for fleets with more daemons than limit. Callers close
// connections to daemons that are missing from a newer list, so the callers of a
// zone always get the same daemons. The daemons form a ring ordered by the hash of
// their names, and each zone gets a range of the ring. Together the ranges cover
// all daemons evenly. When a daemon leaves, the ranges move by one position.
func Subset(endpoints []Endpoint, zones []string, zone string, limit int) []string {
	ring := slices.Clone(endpoints)
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
	addresses := make([]string, 0, min(limit, len(ring)))
	for i := range min(limit, len(ring)) {
		addresses = append(addresses, ring[(first+i)%len(ring)].Address)
	}
	return addresses
}
