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

// Response is what a caller got.
type Response struct {
	// TimeToFirstToken is the time to the first token; zero when none came.
	TimeToFirstToken time.Duration
	// EndToEndLatency is the time to the end of the answer.
	EndToEndLatency time.Duration
	// Complete says that the answer arrived whole.
	Complete bool
	// NotRun says that the caller was told that the request did not run.
	NotRun bool
}

// Classify returns the outcome of an answer under an objective. A bound of zero
// does not count.
func Classify(objective lwtdeclaredstate.Objective, answer Response) Outcome {
	switch {
	case answer.NotRun:
		return OutcomeRejected
	case !answer.Complete && answer.TimeToFirstToken > 0:
		return OutcomeCut
	case !answer.Complete:
		return OutcomeUnknown
	case over(answer.TimeToFirstToken, objective.TimeToFirstToken), over(answer.EndToEndLatency, objective.EndToEndLatency):
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
