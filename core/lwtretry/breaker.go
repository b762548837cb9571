package lwtretry

import "time"

// Bounds of breakers.
const (
	// breakerFailures is the number of failures in a row that open a breaker.
	breakerFailures = 5
	// outlierSamples is the least number of attempts in a window that can
	// show an outlier.
	outlierSamples = 20
	// outlierShare is the share of failed attempts that makes an outlier.
	outlierShare = 0.5
	// breakerWindow is the time after which earlier attempts count half.
	breakerWindow = 10 * time.Second
	// breakerLeast and breakerMost bound the time between probes.
	breakerLeast = 500 * time.Millisecond
	breakerMost  = 16 * time.Second
	// probeTimeout ends the wait for a probe whose result never came.
	probeTimeout = 5 * time.Second
)

// Breaker keeps work away from a backend server that fails. It is a value; the
// zero value is closed.
type Breaker struct {
	failures int
	attempts float64
	failed   float64
	window   time.Time
	// openings counts the openings without a success in between.
	openings int
	probeAt  time.Time
	probing  bool
}

// Allows reports whether the backend server may receive work: always while the
// breaker is closed, one probe at a time after a pause while it is open.
func (breaker Breaker) Allows(now time.Time) bool {
	return breaker.openings == 0 || !now.Before(breaker.probeAt)
}

// Open reports whether the backend server is ejected.
func (breaker Breaker) Open() bool { return breaker.openings > 0 }

// WithAttempt returns the breaker at the start of an attempt. For an open
// breaker the attempt is the probe, and no other is allowed until its result
// or probeTimeout.
func (breaker Breaker) WithAttempt(now time.Time) Breaker {
	if breaker.openings > 0 {
		breaker.probing = true
		breaker.probeAt = now.Add(probeTimeout)
	}
	return breaker
}

// WithResult returns the breaker after an attempt. Jitter in [0, 1) spreads
// the probes of many daemons.
func (breaker Breaker) WithResult(now time.Time, failed bool, jitter float64) Breaker {
	breaker = breaker.decayed(now)
	breaker.attempts++
	if !failed {
		breaker.failures = 0
		if breaker.probing {
			return Breaker{window: now}
		}
		return breaker
	}
	breaker.failed++
	breaker.failures++
	outlier := breaker.attempts >= outlierSamples && breaker.failed >= outlierShare*breaker.attempts
	if breaker.probing || breaker.openings == 0 && (breaker.failures >= breakerFailures || outlier) {
		return breaker.opened(now, jitter)
	}
	return breaker
}

func (breaker Breaker) opened(now time.Time, jitter float64) Breaker {
	pause := min(breakerLeast<<min(breaker.openings, 10), breakerMost)
	breaker.openings++
	breaker.probing = false
	breaker.probeAt = now.Add(pause/2 + time.Duration(jitter*float64(pause)/2))
	return breaker
}

func (breaker Breaker) decayed(now time.Time) Breaker {
	if now.Sub(breaker.window) < breakerWindow {
		return breaker
	}
	breaker.attempts, breaker.failed, breaker.window = breaker.attempts/2, breaker.failed/2, now
	return breaker
}
