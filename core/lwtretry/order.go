package lwtretry

import (
	"slices"
	"time"
)

// maxEjected is the largest share of a service's backend servers that breakers
// may eject. When more fail, the fault is more likely shared, and ejecting the
// rest would turn a partial failure into a whole one.
const maxEjected = 0.5

// Server is a backend server as a candidate for an attempt.
type Server struct {
	Address string
	// Near says that the server is in the daemon's availability zone.
	Near     bool
	Draining bool
	Breaker  Breaker
	// Active is the number of this daemon's attempts running there.
	Active int
}

// Order returns the addresses to try, best first: no draining server, none
// that an open breaker keeps away, near ones first, then the least active.
// Start rotates among equals.
func Order(now time.Time, servers []Server, start int) []string {
	ejectable := int(maxEjected * float64(len(servers)))
	candidates := make([]Server, 0, len(servers))
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
	slices.SortStableFunc(candidates, func(a, b Server) int {
		if a.rank() != b.rank() {
			return a.rank() - b.rank()
		}
		return a.Active - b.Active
	})
	addresses := make([]string, len(candidates))
	for i := range candidates {
		addresses[i] = candidates[i].Address
	}
	return addresses
}

// rank puts a server that is due for a probe first, because only work sent
// there can show that it has recovered.
func (server Server) rank() int {
	switch {
	case server.Breaker.Open() && server.Breaker.probing:
		return 3
	case server.Breaker.Open():
		return 0
	case server.Near:
		return 1
	}
	return 2
}
