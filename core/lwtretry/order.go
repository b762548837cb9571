package lwtretry

import (
	"slices"
	"time"
)

// maxEjected is the largest share of a service's backend servers that breakers
// may eject. When more fail, the fault is more likely shared, and ejecting the
// rest would turn a partial failure into a whole one.
const maxEjected = 0.5

// Candidate is a backend server as a candidate for an attempt.
type Candidate struct {
	Address string
	// SameZone says that the server is in the daemon's availability zone.
	SameZone bool
	Draining bool
	Breaker  Breaker
	// InFlight is the number of this daemon's attempts running there.
	InFlight int
}

// Rank returns the addresses to try, best first: no draining server, none
// that an open breaker keeps away, near ones first, then the least active.
// Start rotates among equals.
func Rank(now time.Time, servers []Candidate, start int) []string {
	ejectable := int(maxEjected * float64(len(servers)))
	candidates := make([]Candidate, 0, len(servers))
	for i := range servers {
		server := servers[(i+start)%len(servers)]
		if server.Draining {
			continue
		}
		if !server.Breaker.Allows(now) && ejectable > 0 {
			ejectable--
			continue
		}
		candidates = append(candidates, server)
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int {
		if a.rank() != b.rank() {
			return a.rank() - b.rank()
		}
		return a.InFlight - b.InFlight
	})
	addresses := make([]string, len(candidates))
	for i := range candidates {
		addresses[i] = candidates[i].Address
	}
	return addresses
}

// rank puts a server that is due for a probe first, because only work sent
// there can show that it has recovered.
func (server Candidate) rank() int {
	switch {
	case server.Breaker.Open() && server.Breaker.probing:
		return 3
	case server.Breaker.Open():
		return 0
	case server.SameZone:
		return 1
	}
	return 2
}
