// Package lwtretry decides what to do after an attempt to have a backend
// server run a request: retry elsewhere, hedge, or answer with the truth about
// what ran.
package lwtretry

import "time"

// Outcome is what is known of one attempt.
type Outcome int

// The outcomes of an attempt.
const (
	// NotSent means that no byte of the request left.
	NotSent Outcome = iota
	// Rejected means that the backend server answered that it did not run the request.
	Rejected
	// Unknown means that at least one byte left and no whole answer came.
	Unknown
	// Done means that a whole answer came.
	Done
)

// String returns the outcome as callers are told it: "not-run", "unknown" or
// "done".
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

// Combine returns the outcome of a request of which two attempts ended with the
// given outcomes. A request may have run if any attempt may have run it.
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
	// Deadline is when the whole request must be answered.
	Deadline time.Time
}

// MaxAttempts bounds the attempts of one request, so that a request that no
// backend server takes costs a bounded number of dials.
const MaxAttempts = 3

// ShouldRetry reports whether another attempt may be made and returns the budget
// that is left. Work that may not be repeated is retried only when it
// certainly did not run. An attempt of which no byte left costs no budget,
// because it put no load on a backend server.
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
