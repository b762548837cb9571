// Package lwtaddress decides which entry addresses a caller should use.
package lwtaddress

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// HomeCount is the number of home daemons of a caller.
	HomeCount = 4
	// DefaultTTL is the time for which callers may keep an answer.
	DefaultTTL = 10 * time.Second
	// drainMargin covers answers that were under way when a daemon began to
	// leave, and connections that a caller opens at the end of the keep time.
	drainMargin = 2 * time.Second
	// loadBound is the share of the mean load above which a daemon is named
	// after the others.
	loadBound = 1.25
)

// DrainDuration returns the time that a leaving daemon goes on serving, for answers
// that callers may keep for a given time.
func DrainDuration(keep time.Duration) time.Duration { return keep + drainMargin }

// Candidate is a daemon that callers may use.
type Candidate struct {
	Name string
	// EntryAddress is where callers connect (IP:port).
	EntryAddress     string
	AvailabilityZone string
	// Serving is false for daemons that are leaving, suspected or dead.
	Serving bool
	// RequestRate is the number of requests per second lately.
	RequestRate int64
}

// EntryAddresses returns the entry addresses for a caller, best first, as seen from an
// availability zone. It names the caller's home daemons: the nearest first,
// those far above the mean load last, and none that is not serving.
func EntryAddresses(candidates []Candidate, caller, zone string) []string {
	homes := HomeDaemons(candidates, caller, Region(zone))
	limit := loadLimit(homes)
	slices.SortStableFunc(homes, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(overloaded(a, limit), overloaded(b, limit)),
			cmp.Compare(distance(a.AvailabilityZone, zone), distance(b.AvailabilityZone, zone)),
		)
	})
	addresses := make([]string, len(homes))
	for i, home := range homes {
		addresses[i] = home.EntryAddress
	}
	return addresses
}

// HomeDaemons returns the home daemons of a caller in a region by rendezvous
// hashing of the caller, highest first. They are spread over the availability
// zones as evenly as can be, so that a lost one leaves the caller others.
// Other regions are used only when the region has no serving daemon.
func HomeDaemons(candidates []Candidate, caller, region string) []Candidate {
	serving := filter(candidates, func(candidate Candidate) bool { return candidate.Serving })
	near := filter(serving, func(candidate Candidate) bool { return Region(candidate.AvailabilityZone) == region })
	if len(near) == 0 {
		near = serving
	}
	ranked := rank(near, caller)
	homes, rest := make([]Candidate, 0, HomeCount), ranked
	for len(homes) < HomeCount && len(rest) > 0 {
		used, skipped := map[string]bool{}, []Candidate{}
		for _, candidate := range rest {
			if used[candidate.AvailabilityZone] || len(homes) == HomeCount {
				skipped = append(skipped, candidate)
				continue
			}
			used[candidate.AvailabilityZone] = true
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

func rank(candidates []Candidate, caller string) []Candidate {
	type weighted struct {
		Candidate
		weight uint64
	}
	all := make([]weighted, len(candidates))
	for i, candidate := range candidates {
		all[i] = weighted{candidate, weight(caller, candidate.EntryAddress)}
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

// weight is the rendezvous weight of a daemon for a caller: FNV-1a with a
// final mix, without which addresses that differ in the last digit only would
// rank alike for all callers.
func weight(caller, address string) uint64 {
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
	return loadBound * float64(total) / float64(max(1, len(homes)))
}

func overloaded(candidate Candidate, limit float64) int {
	if float64(candidate.RequestRate) > limit {
		return 1
	}
	return 0
}

func distance(a, b string) int {
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
