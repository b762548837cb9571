// Package lwtretry decides whether a request is retried or hedged on another backend server,
// and keeps track of whether it may have run. It contains the retry budgets and the circuit
// breaker that these decisions use.
package lwtretry

import "time"

// Outcome says whether an attempt, or a request after several, has run.
type Outcome int

// The outcomes of an attempt.
const (
	// NotSent means that no byte of the request was sent.
	NotSent Outcome = iota
	// Rejected means that, according to its response, the backend server did not run the
	// request.
	Rejected
	// Unknown means that at least one byte was sent and no complete response came back.
	Unknown
	// Done means that a complete response came back.
	Done
)

// String returns the outcome as it is reported to callers: "not-run", "unknown" or "done".
func (outcome Outcome) String() string {
	switch outcome {
	case NotSent, Rejected:
		return "not-run"
	case Done:
		return "done"
	}
	return "unknown"
}

// MayHaveRun reports whether the request may have run.
func (outcome Outcome) MayHaveRun() bool { return outcome == Unknown || outcome == Done }

// Combine returns the outcome of a request with two attempts that had the given outcomes. The
// request may have run if any attempt may have run it.
func (outcome Outcome) Combine(other Outcome) Outcome {
	if other.MayHaveRun() || !outcome.MayHaveRun() {
		return max(outcome, other)
	}
	return outcome
}

// Attempt describes an attempt that has ended.
type Attempt struct {
	Outcome    Outcome
	Idempotent bool
	// Number counts the attempts of the request, from 1.
	Number int
	// Deadline is when the caller must have the response.
	Deadline time.Time
}

// MaxAttempts bounds the attempts of one request, and with them the dials for a request that no
// backend server accepts.
const MaxAttempts = 3

// ShouldRetry reports whether another attempt may be made, and returns the remaining budget. A
// request that is not idempotent is retried only if it certainly did not run. A retry after an
// attempt that was not sent costs no budget, because that put no load on a backend server.
func ShouldRetry(now time.Time, attempt Attempt, budget Budget) (Budget, bool) {
	switch {
	case attempt.Outcome == Done, attempt.Number >= MaxAttempts, !now.Before(attempt.Deadline):
		return budget, false
	case attempt.Outcome == Unknown && !attempt.Idempotent:
		return budget, false
	case attempt.Outcome == NotSent:
		return budget, true
	}
	return budget.Spend()
}
