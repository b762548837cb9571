package lwtlimit

import (
	"math"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// Usage is what one daemon knows of one caller's use. It is a value.
type Usage struct {
	tokens float64
	filled time.Time
	active int
	part   Quota
	// before is the part that the daemon had until the last change. Until
	// settled, the smaller of the two holds.
	before  Quota
	settled time.Time
}

// NewUsage returns the account of a caller that this daemon has not served
// before. It holds one request and not a burst, because the daemon may replace
// one that has just granted its burst.
func NewUsage(now time.Time, part Quota) Usage {
	return Usage{tokens: 1, filled: now, part: part, before: part, settled: now}
}

// InFlight returns the number of the caller's requests in flight.
func (account Usage) InFlight() int { return account.active }

// Idle reports whether nothing is lost when the account is forgotten: no
// request is in flight and none came for the given time.
func (account Usage) Idle(now time.Time, unused time.Duration) bool {
	return account.active == 0 && now.Sub(account.filled) > unused
}

// WithQuota returns the account after a change of the daemon's part. A smaller
// part holds at once, a larger one after the settling time.
func (account Usage) WithQuota(now time.Time, part Quota) Usage {
	if part == account.part {
		return account
	}
	if !now.Before(account.settled) || account.part.share() < account.before.share() {
		account.before = account.part
	}
	account.part, account.settled = part, now.Add(settle)
	return account
}

func (account Usage) share(now time.Time) float64 {
	if now.Before(account.settled) {
		return min(account.part.share(), account.before.share())
	}
	return account.part.share()
}

func (account Usage) partOf(now time.Time, whole int) int {
	if now.Before(account.settled) {
		return min(account.part.of(whole), account.before.of(whole))
	}
	return account.part.of(whole)
}

func (account Usage) refilled(now time.Time, caller lwtdeclaredstate.Caller) Usage {
	rate := caller.Rate * account.share(now)
	elapsed := max(0, now.Sub(account.filled).Seconds())
	most := max(1, rate*burst.Seconds())
	account.tokens = min(account.tokens+elapsed*rate, most)
	account.filled = now
	return account
}

func (account Usage) wait(now time.Time, caller lwtdeclaredstate.Caller) time.Duration {
	rate := caller.Rate * account.share(now)
	if rate <= 0 {
		return settle
	}
	return time.Duration(math.Ceil((1 - account.tokens) / rate * float64(time.Second)))
}
