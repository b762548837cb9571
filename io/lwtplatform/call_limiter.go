package lwtplatform

import "time"

// Limits of one daemon's calls to the store.
const (
	// outageFailures is the number of consecutive failures that count as an outage.
	// It is above 1 because a lost response is resolved by another read, which must not
	// be rejected.
	outageFailures = 3
	minBackoff     = 100 * time.Millisecond
	// defaultMaxBackoff bounds the time between two probes. After an outage it adds to
	// the delay until the daemon reads a change.
	defaultMaxBackoff = 5 * time.Second
	// maxBurst is the number of calls that can be made at once after an idle time. A
	// starting daemon reads a snapshot and up to 32 tickets.
	maxBurst = 100
	// minRate is the minimum budget of one daemon in calls per second, regardless of the
	// number of daemons: one poll of the head and one lease renewal.
	minRate = 2
)

// admission is the decision on one call.
type admission int

const (
	admitted admission = iota
	// admittedProbe admits the single call that tests whether an outage is over.
	admittedProbe
	// rejectedOverBudget rejects a call beyond the daemon's share of the store's capacity.
	rejectedOverBudget
	// rejectedInOutage rejects a call until the next probe.
	rejectedInOutage
)

// callLimiter limits one daemon's calls to the store. It is a token bucket combined with
// a circuit breaker that admits only one probe at a time during an outage. It is a pure
// value; its methods return the updated limiter.
type callLimiter struct {
	// rate is the budget in calls per second.
	rate                float64
	tokens              float64
	lastRefill          time.Time
	consecutiveFailures int
	backoff             time.Duration
	// maxBackoff bounds the time between two probes.
	maxBackoff time.Duration
	// nextProbe is the earliest time of the next probe.
	nextProbe time.Time
	// probing is true while a probe is in flight.
	probing bool
}

func newCallLimiter(now time.Time, rate float64) callLimiter {
	return callLimiter{rate: rate, tokens: maxBurst, lastRefill: now, maxBackoff: defaultMaxBackoff}
}

// withRate returns the limiter with another budget in calls per second, at least minRate.
func (limiter callLimiter) withRate(rate float64) callLimiter {
	limiter.rate = max(rate, minRate)
	return limiter
}

// admit decides on one call. Each admitted call must be followed by recordResult.
func (limiter callLimiter) admit(now time.Time) (callLimiter, admission) {
	if elapsed := now.Sub(limiter.lastRefill).Seconds(); elapsed > 0 {
		limiter.tokens = min(limiter.tokens+elapsed*limiter.rate, maxBurst)
		limiter.lastRefill = now
	}
	outage := limiter.consecutiveFailures >= outageFailures
	switch {
	case outage && (limiter.probing || now.Before(limiter.nextProbe)):
		return limiter, rejectedInOutage
	case limiter.tokens < 1:
		return limiter, rejectedOverBudget
	}
	limiter.tokens--
	if outage {
		limiter.probing = true
		return limiter, admittedProbe
	}
	return limiter, admitted
}

// recordResult records the result of an admitted call; call is its admission. Random is
// uniform in [0, 1) and provides the jitter of the backoff.
func (limiter callLimiter) recordResult(now time.Time, call admission, succeeded bool, random float64) callLimiter {
	if succeeded {
		limiter.consecutiveFailures, limiter.backoff, limiter.probing = 0, 0, false
		return limiter
	}
	limiter.consecutiveFailures++
	// Failures of calls that were in flight when the outage began must not extend the
	// backoff.
	if limiter.consecutiveFailures != outageFailures && call != admittedProbe {
		return limiter
	}
	limiter.probing = limiter.probing && call != admittedProbe
	limiter.backoff = min(max(2*limiter.backoff, minBackoff), limiter.maxBackoff)
	limiter.nextProbe = now.Add(time.Duration(float64(limiter.backoff) * (0.5 + random/2)))
	return limiter
}
