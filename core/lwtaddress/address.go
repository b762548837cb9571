// Package lwtaddress chooses the daemon addresses to which a caller should
// connect.
package lwtaddress

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// HomeCount is the number of home daemons of a caller, see HomeDaemons.
	HomeCount = 4
	// DefaultTTL is the time for which callers may cache a list of addresses.
	DefaultTTL = 10 * time.Second
	// drainGracePeriod covers address lists that were in flight when a daemon began
	// to drain, and connections that a caller opens at the end of the TTL.
	drainGracePeriod = 2 * time.Second
	// overloadFactor is the multiple of the mean request rate above which a daemon
	// is listed after the others.
	overloadFactor = 1.25
)

// DrainDuration returns how long a draining daemon keeps serving if callers may
// cache address lists for ttl.
func DrainDuration(ttl time.Duration) time.Duration { return ttl + drainGracePeriod }

// Candidate is a daemon that callers may connect to.
type Candidate struct {
	Name string
	// EntryAddress is the address for callers (IP:port).
	EntryAddress     string
	AvailabilityZone string
	// Serving is false for daemons that are draining, suspected or dead.
	Serving bool
	// RequestRate is the recent number of requests per second.
	RequestRate int64
}

// EntryAddresses returns the entry addresses of the home daemons of a caller in the
// given availability zone, best first: those in the zone, then those in its region,
// then others. Daemons far above the mean request rate come last. Only serving
// daemons are listed.
func EntryAddresses(candidates []Candidate, caller, zone string) []string {
	homes := HomeDaemons(candidates, caller, Region(zone))
	limit := loadLimit(homes)
	slices.SortStableFunc(homes, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(overloadRank(a, limit), overloadRank(b, limit)),
			cmp.Compare(zoneDistance(a.AvailabilityZone, zone), zoneDistance(b.AvailabilityZone, zone)),
		)
	})
	addresses := make([]string, len(homes))
	for i, home := range homes {
		addresses[i] = home.EntryAddress
	}
	return addresses
}

// HomeDaemons returns the home daemons of a caller in a region: the HomeCount
// serving daemons that rendezvous hashing prefers for the caller, highest weight
// first. They are spread over the availability zones as evenly as possible, so
// that the caller can still use others if one zone is lost. Daemons of other regions
// are used only if the region has no serving daemon.
func HomeDaemons(candidates []Candidate, caller, region string) []Candidate {
	serving := filter(candidates, func(candidate Candidate) bool { return candidate.Serving })
	near := filter(serving, func(candidate Candidate) bool { return Region(candidate.AvailabilityZone) == region })
	if len(near) == 0 {
		near = serving
	}
	ranked := rankByWeight(near, caller)
	homes, rest := make([]Candidate, 0, HomeCount), ranked
	for len(homes) < HomeCount && len(rest) > 0 {
		usedZones, skipped := map[string]bool{}, []Candidate{}
		for _, candidate := range rest {
			if usedZones[candidate.AvailabilityZone] || len(homes) == HomeCount {
				skipped = append(skipped, candidate)
				continue
			}
			usedZones[candidate.AvailabilityZone] = true
			homes = append(homes, candidate)
		}
		rest = skipped
	}
	return homes
}

// Region returns the region of an availability zone: its name up to the last
// hyphen, as in "ro-central-a".
func Region(zone string) string {
	last := strings.LastIndexByte(zone, '-')
	if last < 0 {
		return ""
	}
	return zone[:last]
}

func rankByWeight(candidates []Candidate, caller string) []Candidate {
	type weighted struct {
		Candidate
		weight uint64
	}
	all := make([]weighted, len(candidates))
	for i, candidate := range candidates {
		all[i] = weighted{candidate, rendezvousWeight(caller, candidate.EntryAddress)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.EntryAddress, b.EntryAddress))
	})
	ranked := make([]Candidate, len(all))
	for i, candidate := range all {
		ranked[i] = candidate.Candidate
	}
	return ranked
}

// rendezvousWeight returns the rendezvous hashing weight of a daemon for a caller:
// FNV-1a with a finalizer. Without the finalizer, addresses that differ only in
// the last digit would have the same rank for all callers.
func rendezvousWeight(caller, address string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	sum := uint64(offset)
	for _, text := range []string{caller, "\x00", address} {
		for _, char := range []byte(text) {
			sum = (sum ^ uint64(char)) * prime
		}
	}
	sum = (sum ^ sum>>33) * 0xff51afd7ed558ccd
	sum = (sum ^ sum>>33) * 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}

func loadLimit(homes []Candidate) float64 {
	total := int64(0)
	for _, home := range homes {
		total += home.RequestRate
	}
	return overloadFactor * float64(total) / float64(max(1, len(homes)))
}

func overloadRank(candidate Candidate, limit float64) int {
	if float64(candidate.RequestRate) > limit {
		return 1
	}
	return 0
}

func zoneDistance(a, b string) int {
	switch {
	case a == b:
		return 0
	case Region(a) == Region(b):
		return 1
	default:
		return 2
	}
}

func filter(candidates []Candidate, keep func(Candidate) bool) []Candidate {
	kept := make([]Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if keep(candidate) {
			kept = append(kept, candidate)
		}
	}
	return kept
}
