package lwtretry

import "time"

const (
	// maxConsecutiveFailures is the number of failures in a row that opens a breaker.
	maxConsecutiveFailures = 5
	// minOutlierAttempts is the least number of attempts in a window from which a server is
	// judged to be an outlier.
	minOutlierAttempts = 20
	// outlierFailureRate is the fraction of failed attempts that makes a server an outlier.
	outlierFailureRate = 0.5
	// breakerWindow is the time after which the counts of attempts are halved.
	breakerWindow = 10 * time.Second
	// minProbeInterval and maxProbeInterval bound the time between probes, which doubles with
	// each failed probe.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 16 * time.Second
	// probeTimeout is how long the next probe waits for the result of the last one.
	probeTimeout = 5 * time.Second
)

// Breaker is the circuit breaker of a backend server. It is an immutable value; the zero value
// is closed.
type Breaker struct {
	consecutiveFailures int
	attempts            float64
	failedAttempts      float64
	windowStart         time.Time
	// openings counts how often the breaker opened since the last successful probe. It is 0
	// while the breaker is closed.
	openings int
	probeAt  time.Time
	probing  bool
}

// Allows reports whether the backend server may receive a request: always while the breaker is
// closed, and one probe at a time, after an interval, while it is open.
func (breaker Breaker) Allows(now time.Time) bool {
	return breaker.openings == 0 || !now.Before(breaker.probeAt)
}

// Open reports whether the breaker is open.
func (breaker Breaker) Open() bool { return breaker.openings > 0 }

// WithAttempt returns the breaker at the start of an attempt. If the breaker is open, the
// attempt is a probe, and no other is allowed until its result or probeTimeout.
func (breaker Breaker) WithAttempt(now time.Time) Breaker {
	if breaker.openings > 0 {
		breaker.probing = true
		breaker.probeAt = now.Add(probeTimeout)
	}
	return breaker
}

// WithResult returns the breaker after an attempt has ended. Jitter is uniform in [0, 1) and
// spreads the probes of many daemons.
func (breaker Breaker) WithResult(now time.Time, failed bool, jitter float64) Breaker {
	breaker = breaker.decayed(now)
	breaker.attempts++
	if !failed {
		breaker.consecutiveFailures = 0
		if breaker.probing {
			return Breaker{windowStart: now}
		}
		return breaker
	}
	breaker.failedAttempts++
	breaker.consecutiveFailures++
	outlier := breaker.attempts >= minOutlierAttempts && breaker.failedAttempts >= outlierFailureRate*breaker.attempts
	if breaker.probing || breaker.openings == 0 && (breaker.consecutiveFailures >= maxConsecutiveFailures || outlier) {
		return breaker.opened(now, jitter)
	}
	return breaker
}

// opened returns the breaker opened until the next probe, after an interval that doubles with
// each opening and is shortened by up to half by jitter.
func (breaker Breaker) opened(now time.Time, jitter float64) Breaker {
	interval := min(minProbeInterval<<min(breaker.openings, 10), maxProbeInterval)
	breaker.openings++
	breaker.probing = false
	breaker.probeAt = now.Add(interval/2 + time.Duration(jitter*float64(interval)/2))
	return breaker
}

// decayed returns the breaker with halved counts if the window has passed.
func (breaker Breaker) decayed(now time.Time) Breaker {
	if now.Sub(breaker.windowStart) < breakerWindow {
		return breaker
	}
	breaker.attempts, breaker.failedAttempts, breaker.windowStart = breaker.attempts/2, breaker.failedAttempts/2, now
	return breaker
}
