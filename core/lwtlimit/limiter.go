// Package lwtlimit bounds the rate and the concurrency of each caller, and
// shares a full daemon fairly among callers.
//
// A caller's limits hold over all daemons. Each of the caller's home daemons
// grants its part of them without asking the others.
package lwtlimit

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// Bounds of limits.
const (
	// burst is the time whose worth of requests a caller may send at once.
	burst = time.Second
	// settle is the time for which a daemon keeps a smaller part after the
	// number of home daemons fell, so that daemons that learn of it at
	// different times never grant more than the limit together. It covers
	// the lag of the VM list and of membership.
	settle = 12 * time.Second
	// fairShare is the weight of the dynamic threshold: a caller may hold up to
	// fairShare times the free slots. One caller alone can hold 2/3 of the
	// slots, N callers 2/(2N+1) each. (Choudhury and Hahne, dynamic queue
	// length thresholds, 1998.)
	fairShare = 2
	// busyRetry is the time after which a retry at a full daemon makes sense.
	busyRetry = 250 * time.Millisecond
)

// Decision says whether a request is admitted.
type Decision struct {
	Admitted bool
	// Reason is "rate", "concurrency" or "share" for a request not admitted.
	Reason     string
	RetryAfter time.Duration
}

// Limiter are the bounds of one daemon. They are a value.
type Limiter struct {
	slots int
	taken int
}

// New returns limits of a daemon that can hold the given number of requests.
func New(slots int) Limiter { return Limiter{slots: slots} }

// WithSlots returns the limits with another number of slots.
func (limits Limiter) WithSlots(slots int) Limiter {
	limits.slots = slots
	return limits
}

// InFlight returns the number of requests admitted and not yet released.
func (limits Limiter) InFlight() int { return limits.taken }

// Acquire decides on a request of a caller, and returns the limits and the
// caller's account after it.
func (limits Limiter) Acquire(now time.Time, caller lwtdeclaredstate.Caller, account Usage) (Limiter, Usage, Decision) {
	account = account.refilled(now, caller)
	switch {
	case caller.Concurrency > 0 && account.active >= account.partOf(now, caller.Concurrency):
		return limits, account, Decision{Reason: "concurrency", RetryAfter: busyRetry}
	case caller.Rate > 0 && account.tokens < 1:
		return limits, account, Decision{Reason: "rate", RetryAfter: account.wait(now, caller)}
	case account.active >= fairShare*(limits.slots-limits.taken):
		return limits, account, Decision{Reason: "share", RetryAfter: busyRetry}
	}
	if caller.Rate > 0 {
		account.tokens--
	}
	account.active++
	limits.taken++
	return limits, account, Decision{Admitted: true}
}

// Release returns the limits and the caller's account after the end of an
// admitted request.
func (limits Limiter) Release(account Usage) (Limiter, Usage) {
	limits.taken--
	account.active--
	return limits, account
}
