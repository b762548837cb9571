// Package lwtburn computes the burn rates of the error budgets that the declared
// service level objectives allow.
package lwtburn

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// Outcome is the result of a request with regard to its objective.
type Outcome string

// The outcomes of a request. All except OutcomeGood spend error budget.
const (
	// OutcomeGood means that the response was complete and within the latency bounds.
	OutcomeGood Outcome = "good"
	// OutcomeLate means that the response exceeded a latency bound.
	OutcomeLate Outcome = "late"
	// OutcomeCut means that the response ended early, after the first token.
	OutcomeCut Outcome = "cut"
	// OutcomeRejected means that the request was not executed.
	OutcomeRejected Outcome = "rejected"
	// OutcomeUnknown means that no token was delivered and the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Response describes the response that a caller got.
type Response struct {
	// TimeToFirstToken is the time to the first token; zero if there was none.
	TimeToFirstToken time.Duration
	// EndToEndLatency is the time to the end of the response.
	EndToEndLatency time.Duration
	// Complete says that the whole response was delivered.
	Complete bool
	// NotRun says that the response states that the request was not executed.
	NotRun bool
}

// Classify returns the outcome of a response under an objective. A latency bound
// of zero is ignored.
func Classify(objective lwtdeclaredstate.Objective, response Response) Outcome {
	switch {
	case response.NotRun:
		return OutcomeRejected
	case !response.Complete && response.TimeToFirstToken > 0:
		return OutcomeCut
	case !response.Complete:
		return OutcomeUnknown
	case exceeds(response.TimeToFirstToken, objective.TimeToFirstToken),
		exceeds(response.EndToEndLatency, objective.EndToEndLatency):
		return OutcomeLate
	}
	return OutcomeGood
}

func exceeds(latency time.Duration, bound lwtdeclaredstate.Duration) bool {
	return bound > 0 && latency > bound.Std()
}

// Counts is the number of requests by outcome.
type Counts struct {
	Good     int64 `json:"good"`
	Late     int64 `json:"late"`
	Cut      int64 `json:"cut"`
	Rejected int64 `json:"rejected"`
	Unknown  int64 `json:"unknown"`
}

// With returns the counts with one more request of the given outcome.
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

// Bad returns the number of requests that spent error budget.
func (counts Counts) Bad() int64 {
	return counts.Late + counts.Cut + counts.Rejected + counts.Unknown
}

// Total returns the number of all requests.
func (counts Counts) Total() int64 { return counts.Good + counts.Bad() }
