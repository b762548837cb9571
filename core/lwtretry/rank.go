package lwtretry

import (
	"slices"
	"time"
)

// maxEjectedShare is the largest fraction of a service's backend servers that open breakers can
// eject. If more fail, the fault is probably shared, and ejecting the rest would turn a partial
// failure into a complete one.
const maxEjectedShare = 0.5

// Candidate is a backend server that may receive an attempt.
type Candidate struct {
	Address string
	// SameZone reports whether the server is in the daemon's availability zone.
	SameZone bool
	Draining bool
	Breaker  Breaker
	// InFlight is the number of attempts in flight on the server.
	InFlight int
}

// Rank returns the addresses to try, best first. It omits draining servers and servers whose
// open breaker does not allow a probe, up to maxEjectedShare of all. It puts servers that are
// due for a probe first, then those in the same availability zone, and among those the ones
// with the fewest attempts in flight. Start is the index at which the candidates begin, and
// rotates among equals.
func Rank(now time.Time, candidates []Candidate, start int) []string {
	ejectable := int(maxEjectedShare * float64(len(candidates)))
	eligible := make([]Candidate, 0, len(candidates))
	for i := range candidates {
		candidate := candidates[(i+start)%len(candidates)]
		if candidate.Draining {
			continue
		}
		if !candidate.Breaker.Allows(now) && ejectable > 0 {
			ejectable--
			continue
		}
		eligible = append(eligible, candidate)
	}
	slices.SortStableFunc(eligible, func(a, b Candidate) int {
		if a.rank() != b.rank() {
			return a.rank() - b.rank()
		}
		return a.InFlight - b.InFlight
	})
	addresses := make([]string, len(eligible))
	for i := range eligible {
		addresses[i] = eligible[i].Address
	}
	return addresses
}

// rank returns the sort key of a candidate, lowest first. A server that is due for a probe comes
// first, because only a request can show that it has recovered. A server whose probe has no
// result yet comes last.
func (candidate Candidate) rank() int {
	switch {
	case candidate.Breaker.Open() && candidate.Breaker.probing:
		return 3
	case candidate.Breaker.Open():
		return 0
	case candidate.SameZone:
		return 1
	}
	return 2
}
