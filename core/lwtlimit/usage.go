package lwtlimit

import (
	"math"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// Usage is one caller's usage of its limits on one daemon. It is an immutable value.
type Usage struct {
	tokens     float64
	refilledAt time.Time
	inFlight   int
	quota      Quota
	// previousQuota is the daemon's quota before the last change. Until settledAt,
	// the smaller of the two applies.
	previousQuota Quota
	settledAt     time.Time
}

// NewUsage returns the usage of a caller that this daemon has not served before. It
// starts with tokens for one request rather than a burst, because the daemon may
// replace a home daemon that has just granted a burst.
func NewUsage(now time.Time, quota Quota) Usage {
	return Usage{tokens: 1, refilledAt: now, quota: quota, previousQuota: quota, settledAt: now}
}

// InFlight returns the number of the caller's requests in flight.
func (usage Usage) InFlight() int { return usage.inFlight }

// Idle reports whether the usage can be dropped: no request is in flight and none
// arrived for longer than the given time.
func (usage Usage) Idle(now time.Time, unused time.Duration) bool {
	return usage.inFlight == 0 && now.Sub(usage.refilledAt) > unused
}

// WithQuota returns the usage after a change of the daemon's quota. A smaller quota
// applies immediately, a larger one after quotaSettleTime.
func (usage Usage) WithQuota(now time.Time, quota Quota) Usage {
	if quota == usage.quota {
		return usage
	}
	if !now.Before(usage.settledAt) || usage.quota.fraction() < usage.previousQuota.fraction() {
		usage.previousQuota = usage.quota
	}
	usage.quota, usage.settledAt = quota, now.Add(quotaSettleTime)
	return usage
}

func (usage Usage) rateFraction(now time.Time) float64 {
	if now.Before(usage.settledAt) {
		return min(usage.quota.fraction(), usage.previousQuota.fraction())
	}
	return usage.quota.fraction()
}

func (usage Usage) limitShare(now time.Time, limit int) int {
	if now.Before(usage.settledAt) {
		return min(usage.quota.limitShare(limit), usage.previousQuota.limitShare(limit))
	}
	return usage.quota.limitShare(limit)
}

func (usage Usage) refilled(now time.Time, caller lwtdeclaredstate.Caller) Usage {
	rate := caller.Rate * usage.rateFraction(now)
	elapsed := max(0, now.Sub(usage.refilledAt).Seconds())
	maxTokens := max(1, rate*burstDuration.Seconds())
	usage.tokens = min(usage.tokens+elapsed*rate, maxTokens)
	usage.refilledAt = now
	return usage
}

func (usage Usage) tokenWait(now time.Time, caller lwtdeclaredstate.Caller) time.Duration {
	rate := caller.Rate * usage.rateFraction(now)
	if rate <= 0 {
		return quotaSettleTime
	}
	return time.Duration(math.Ceil((1 - usage.tokens) / rate * float64(time.Second)))
}
