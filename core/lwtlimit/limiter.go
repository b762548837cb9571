// Package lwtlimit limits the rate and the concurrency of each caller, and divides
// the capacity of a daemon fairly among callers.
//
// The limits of a caller apply to all daemons together. Each of the caller's home
// daemons enforces its own quota of them without coordination with the others.
package lwtlimit

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// Parameters of the limits.
const (
	// burstDuration is the time in which a caller's rate fills its token bucket.
	burstDuration = time.Second
	// quotaSettleTime is the time for which a daemon keeps the smaller quota after
	// the number of home daemons decreased, so that daemons that detect it at
	// different times never grant more than the limit together. It covers the
	// propagation delay of the VM list and of the membership.
	quotaSettleTime = 12 * time.Second
	// fairShareFactor is the factor of the dynamic threshold: a caller may hold up
	// to fairShareFactor times the free slots. A single caller can hold 2/3 of the
	// slots, N callers 2/(2N+1) each. See Choudhury and Hahne, "Dynamic Queue
	// Length Thresholds for Shared-Memory Packet Switches", 1998.
	fairShareFactor = 2
	// busyRetryAfter is the suggested retry delay if the daemon or the caller's
	// concurrency limit is full.
	busyRetryAfter = 250 * time.Millisecond
)

// Decision says whether a request is admitted.
type Decision struct {
	Admitted bool
	// Reason is "rate", "concurrency" or "share" if the request is not admitted.
	Reason     string
	RetryAfter time.Duration
}

// Limiter holds the slots of one daemon. It is an immutable value.
type Limiter struct {
	slots    int
	inFlight int
}

// New returns the limiter of a daemon that can hold the given number of requests.
func New(slots int) Limiter { return Limiter{slots: slots} }

// WithSlots returns the limiter with the given number of slots.
func (limiter Limiter) WithSlots(slots int) Limiter {
	limiter.slots = slots
	return limiter
}

// InFlight returns the number of requests admitted and not yet released.
func (limiter Limiter) InFlight() int { return limiter.inFlight }

// Acquire decides whether to admit a request of a caller, and returns the limiter
// and the caller's usage after it.
func (limiter Limiter) Acquire(now time.Time, caller lwtdeclaredstate.Caller, usage Usage) (Limiter, Usage, Decision) {
	usage = usage.refilled(now, caller)
	switch {
	case caller.Concurrency > 0 && usage.inFlight >= usage.limitShare(now, caller.Concurrency):
		return limiter, usage, Decision{Reason: "concurrency", RetryAfter: busyRetryAfter}
	case caller.Rate > 0 && usage.tokens < 1:
		return limiter, usage, Decision{Reason: "rate", RetryAfter: usage.tokenWait(now, caller)}
	case usage.inFlight >= fairShareFactor*(limiter.slots-limiter.inFlight):
		return limiter, usage, Decision{Reason: "share", RetryAfter: busyRetryAfter}
	}
	if caller.Rate > 0 {
		usage.tokens--
	}
	usage.inFlight++
	limiter.inFlight++
	return limiter, usage, Decision{Admitted: true}
}

// Release returns the limiter and the caller's usage after the end of an
// admitted request.
func (limiter Limiter) Release(usage Usage) (Limiter, Usage) {
	limiter.inFlight--
	usage.inFlight--
	return limiter, usage
}
