// Package lwtrequestflow is the state machine of one request: when it is placed, sent,
// retried and delivered, and how it ends.
//
// A Flow is an immutable value. Its user carries out the Step that Start or Update returns and
// passes the result to the next Update.
package lwtrequestflow

import (
	"time"

	"lacewingtide/core/lwtretry"
	"lacewingtide/core/lwtroutetable"
)

// Limits of one request.
const (
	// maxPlacements bounds the Place steps, so that a request to a service without reachable
	// servers fails at once.
	maxPlacements = 4
	// maxPrefills bounds the attempts to prefill the prompt on a prefill engine.
	maxPrefills = 2
	// minTimeLeft is the least time before the deadline at which a request is still sent to
	// a server. With less, no response can arrive in time.
	minTimeLeft = 10 * time.Millisecond
	// minRetryAfter is the shortest retry delay for a request that servers rejected or that
	// reached none.
	minRetryAfter = 100 * time.Millisecond
)

// Step is the next action for a request.
type Step int

// The steps of a request.
const (
	// Place chooses servers. Its result is Placed or NotPlaced.
	Place Step = iota
	// Prefill asks the chosen prefill engine to prefill the prompt. Its result is Prefilled,
	// Failed or TimedOut.
	Prefill
	// Send sends the request to the chosen server. Its result is ResponseStarted, Failed or
	// TimedOut.
	Send
	// Deliver forwards the server's response to the caller. Its result is Delivered, Failed
	// or TimedOut.
	Deliver
	// Reject responds that the request was not run, with RetryAfter.
	Reject
	// Fail responds with Status. The request may have run.
	Fail
	// Abort closes the caller's connection, because a response has begun and cannot be
	// completed.
	Abort
	// Stop ends a request whose caller has disconnected or has the complete response.
	Stop
)

// HTTP status codes of Fail.
const (
	badGateway     = 502
	gatewayTimeout = 504
)

// RetryBudget bounds what all requests to a service send beyond the first time.
type RetryBudget interface {
	// Spend reports whether one more send is within the budget, and if so spends it.
	Spend(now time.Time) bool
}

// Flow is the state of one request. Its methods return changed copies.
type Flow struct {
	route       lwtroutetable.Route
	retryBudget RetryBudget
	// deadline is when the caller's or the route's timeout expires.
	deadline time.Time
	// lastEventID is the id of the last event that the caller has received.
	lastEventID string
	placements  int
	// prefills counts the prefill engines to which the prompt was sent.
	prefills int
	// attempts counts the servers to which the request was sent.
	attempts int
	// arrivals counts what servers have got of the request by the rules of the retry budget: each
	// send that reached one, except the first prefill that was accepted.
	arrivals int
	// prefillAccepted is set once an engine has accepted a prefill.
	prefillAccepted bool
	// paid counts the arrivals beyond the first for which the retry budget has been spent.
	paid int
	// mayHaveRun is set once an attempt may have run the request.
	mayHaveRun bool
	// partiallyDelivered is set once a part of a response has reached the caller.
	partiallyDelivered bool
	// singleEngine is set if the request is sent without a prefill on another engine.
	singleEngine bool
	// hasKVCache is set while a prefill engine holds the prompt's KV cache for the next attempt.
	hasKVCache bool
	status     int
	reason     string
	retryAfter time.Duration
}

// Timeout returns how long a request may take: the caller's timeout or the route's, whichever
// is shorter.
func Timeout(route lwtroutetable.Route, request lwtroutetable.Request) time.Duration {
	if request.Timeout > 0 && (route.Timeout <= 0 || request.Timeout < route.Timeout) {
		return request.Timeout
	}
	return route.Timeout
}

// New returns the flow of a request that arrived at now.
func New(now time.Time, route lwtroutetable.Route, request lwtroutetable.Request, retryBudget RetryBudget) Flow {
	return Flow{
		route: route, deadline: now.Add(Timeout(route, request)), retryBudget: retryBudget, lastEventID: request.LastEventID,
	}
}

// Deadline returns the time by which the caller must have the final response.
func (flow Flow) Deadline() time.Time { return flow.deadline }

// Reason returns a short name of what led to the last step, for logs and metrics.
func (flow Flow) Reason() string { return flow.reason }

// Status returns the HTTP status code for Fail.
func (flow Flow) Status() int { return flow.status }

// RetryAfter returns the time after which a rejected request should be retried.
func (flow Flow) RetryAfter() time.Duration { return flow.retryAfter }

// LastEventID returns the id of the last event that the caller has received, or "".
func (flow Flow) LastEventID() string { return flow.lastEventID }

// PartiallyDelivered reports whether a part of a response has reached the caller.
func (flow Flow) PartiallyDelivered() bool { return flow.partiallyDelivered }

// SingleEngine reports whether the request must be placed without a prefill engine.
func (flow Flow) SingleEngine() bool { return flow.singleEngine }

// HasKVCache reports whether a prefill engine holds the prompt's KV cache for this request,
// so that only a decode engine is needed.
func (flow Flow) HasKVCache() bool { return flow.hasKVCache }

// Attempts returns the number of servers to which the request was sent.
func (flow Flow) Attempts() int { return flow.attempts }

// Start returns the first step.
func (flow Flow) Start(now time.Time) (Flow, Step) { return flow.place(now) }

func (flow Flow) place(now time.Time) (Flow, Step) {
	switch {
	case flow.deadline.Sub(now) < minTimeLeft:
		return flow.giveUp(gatewayTimeout, "no-time-left")
	case flow.placements >= maxPlacements:
		return flow.giveUp(badGateway, flow.reason)
	}
	flow.placements++
	return flow, Place
}

// giveUp ends a request without a further attempt. The caller is told that the request was not
// run only if that is certain.
func (flow Flow) giveUp(status int, reason string) (Flow, Step) {
	flow.reason, flow.status = reason, status
	switch {
	case flow.partiallyDelivered:
		return flow, Abort
	case flow.mayHaveRun:
		return flow, Fail
	}
	flow.retryAfter = max(flow.retryAfter, minRetryAfter)
	return flow, Reject
}

// retry places the request again if the route, its attempts and the budget allow it.
func (flow Flow) retry(now time.Time, outcome lwtretry.Outcome) (Flow, Step) {
	switch {
	case outcome == lwtretry.NotSent:
		return flow.place(now)
	case flow.attempts >= flow.route.MaxAttempts:
		return flow.giveUp(badGateway, flow.reason)
	case outcome.MayHaveRun() && flow.route.RetryPolicy == lwtroutetable.RetryIfNotRun:
		return flow.giveUp(badGateway, flow.reason)
	}
	return flow.placePaid(now)
}

// placePaid places the request if the budget allows another send.
func (flow Flow) placePaid(now time.Time) (Flow, Step) {
	paid, ok := flow.pay(now, flow.arrivals)
	if !ok {
		return paid.giveUp(badGateway, flow.reason+"-no-budget")
	}
	return paid.place(now)
}

// pay spends the retry budget until a number of arrivals beyond the first is paid for, and reports
// whether it sufficed. What has been spent stays spent.
func (flow Flow) pay(now time.Time, extraArrivals int) (Flow, bool) {
	for flow.paid < extraArrivals {
		if !flow.retryBudget.Spend(now) {
			return flow, false
		}
		flow.paid++
	}
	return flow, true
}
