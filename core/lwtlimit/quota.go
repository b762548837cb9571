package lwtlimit

import "slices"

// Quota is the part of a caller's limits that one daemon may grant. The zero value
// grants nothing.
type Quota struct {
	// rank is the daemon's index among the home daemons, from 0.
	rank int
	// divisor is the number of home daemons.
	divisor int
}

// fraction returns the quota as a fraction of the limit.
func (quota Quota) fraction() float64 {
	if quota.divisor == 0 {
		return 0
	}
	return 1 / float64(quota.divisor)
}

// limitShare returns the quota of an integer limit. The shares of all ranks add up
// to the limit.
func (quota Quota) limitShare(limit int) int {
	if quota.divisor == 0 {
		return 0
	}
	if quota.rank < limit%quota.divisor {
		return limit/quota.divisor + 1
	}
	return limit / quota.divisor
}

// QuotaOf returns a daemon's quota of a caller's limits, given the caller's home
// daemons. A daemon that is not among them has an empty quota.
func QuotaOf(daemon string, homes []string) Quota {
	rank := slices.Index(homes, daemon)
	if rank < 0 {
		return Quota{}
	}
	return Quota{rank: rank, divisor: len(homes)}
}
