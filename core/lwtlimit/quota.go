package lwtlimit

import "slices"

// Quota is a daemon's part of a caller's limits. The zero value is no part.
type Quota struct {
	// rank is the daemon's place among the home daemons, from 0.
	rank    int
	divisor int
}

// share returns the part as a fraction of the whole limit.
func (part Quota) share() float64 {
	if part.divisor == 0 {
		return 0
	}
	return 1 / float64(part.divisor)
}

// of returns the part of a whole number; the parts of all ranks add up to it.
func (part Quota) of(whole int) int {
	if part.divisor == 0 {
		return 0
	}
	if part.rank < whole%part.divisor {
		return whole/part.divisor + 1
	}
	return whole / part.divisor
}

// QuotaOf returns a daemon's part of a caller's limits, given the caller's home
// daemons. A daemon that is not among them has no part.
func QuotaOf(daemon string, homes []string) Quota {
	rank := slices.Index(homes, daemon)
	if rank < 0 {
		return Quota{}
	}
	return Quota{rank: rank, divisor: len(homes)}
}
