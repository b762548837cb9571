// Package lwtburn measures how fast the error budgets of the declared
// objectives are spent.
package lwtburn

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// Outcome says how a request counts against its objective.
type Outcome string

// The outcomes of a request. All but OutcomeGood spend budget.
const (
	OutcomeGood     Outcome = "good"
	OutcomeLate     Outcome = "late"
	OutcomeCut      Outcome = "cut"
	OutcomeRejected Outcome = "rejected"
	OutcomeUnknown  Outcome = "unknown"
)

// Answer is what a caller got.
type Answer struct {
	// FirstToken is the time to the first token; zero when none came.
	FirstToken time.Duration
	// Whole is the time to the end of the answer.
	Whole time.Duration
	// Ended says that the answer arrived whole.
	Ended bool
	// NotRun says that the caller was told that the request did not run.
	NotRun bool
}

// Judge returns the outcome of an answer under an objective. A bound of zero
// does not count.
func Judge(objective lwtdeclaredstate.Objective, answer Answer) Outcome {
	switch {
	case answer.NotRun:
		return OutcomeRejected
	case !answer.Ended && answer.FirstToken > 0:
		return OutcomeCut
	case !answer.Ended:
		return OutcomeUnknown
	case over(answer.FirstToken, objective.FirstToken), over(answer.Whole, objective.Whole):
		return OutcomeLate
	}
	return OutcomeGood
}

func over(span time.Duration, bound lwtdeclaredstate.Duration) bool {
	return bound > 0 && span > bound.Std()
}

// Counts holds the numbers of requests by outcome.
type Counts struct {
	Good     int64 `json:"good"`
	Late     int64 `json:"late"`
	Cut      int64 `json:"cut"`
	Rejected int64 `json:"rejected"`
	Unknown  int64 `json:"unknown"`
}

// With returns the counts with one more request.
func (counts Counts) With(outcome Outcome) Counts {
	switch outcome {
	case OutcomeGood:
		counts.Good++
	case OutcomeLate:
		counts.Late++
	case OutcomeCut:
		counts.Cut++
	case OutcomeRejected:
		counts.Rejected++
	case OutcomeUnknown:
		counts.Unknown++
	}
	return counts
}

// WithAll returns the sum of two counts.
func (counts Counts) WithAll(other Counts) Counts {
	counts.Good += other.Good
	counts.Late += other.Late
	counts.Cut += other.Cut
	counts.Rejected += other.Rejected
	counts.Unknown += other.Unknown
	return counts
}

// Bad returns the number of requests that spent budget.
func (counts Counts) Bad() int64 {
	return counts.Late + counts.Cut + counts.Rejected + counts.Unknown
}

// Total returns the number of all requests.
func (counts Counts) Total() int64 { return counts.Good + counts.Bad() }
