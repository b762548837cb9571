// Package lwtrequestflow decides the course of one request: where it is sent next,
// when it is sent again, and how it ends.
//
// A Course is a pure value. The caller carries out the Step that each call
// returns and reports what came of it with the next message.
package lwtrequestflow

import (
	"time"

	"lacewingtide/core/lwtretry"
	"lacewingtide/core/lwtroutetable"
)

// Bounds of one request.
const (
	// maxPlacements bounds the choices of servers, so that a service whose
	// servers are all gone fails at once.
	maxPlacements = 4
	// maxPrefills bounds the engines that are asked to prefill a prompt.
	maxPrefills = 2
	// minTimeLeft is the least time for which a request is sent to a server.
	// Below it no answer can come back in time.
	minTimeLeft = 10 * time.Millisecond
	// brokenRetry is when a caller comes back whose request met servers that
	// refused it or could not be reached.
	brokenRetry = 100 * time.Millisecond
)

// Step is what to do next.
type Step int

// The steps of a request.
const (
	// Place asks for a choice of servers, to be answered by Placed or NoRoom.
	Place Step = iota
	// Prefill asks the chosen prefill engine to prefill the prompt, to be answered
	// by Prefilled or Failed.
	Prefill
	// Run sends the request to the chosen server, to be answered by Answered
	// or Failed.
	Run
	// Deliver passes the server's answer on to the caller, to be answered by
	// Delivered or Failed.
	Deliver
	// Reject answers that the request was not run and when to come back.
	Reject
	// Fail answers with Status, which promises nothing.
	Fail
	// Abort closes the caller's connection: an answer has begun and cannot be
	// completed.
	Abort
	// Stop ends a request whose caller is gone or has the complete answer.
	Stop
)

// Statuses of Fail, as HTTP defines them.
const (
	badGateway     = 502
	gatewayTimeout = 504
)

// RetryBudget bounds what is sent again, over all requests to a service.
type RetryBudget interface {
	// Spend reports whether one more arrival is within the budget, and spends it.
	Spend(now time.Time) bool
}

// Flow is the state of one request.
type Flow struct {
	route   lwtroutetable.Route
	repeats RetryBudget
	// end is when the caller gives up or the route's timeout is reached.
	end time.Time
	// resumeAfter is the last event that the caller has.
	resumeAfter string
	placements  int
	prefills    int
	// sent counts the servers that were sent the request to run it.
	sent int
	// maybeRan says that an attempt may have run.
	maybeRan bool
	// begun says that a part of an answer has reached the caller.
	begun bool
	// direct runs the request without a prefill engine.
	direct bool
	// memory says that the run starts from a prefill engine's KV cache.
	memory bool
	status int
	reason string
	retry  time.Duration
}

// Timeout returns how long a request may take: until the caller's deadline or the
// route's timeout, whichever comes first.
func Timeout(route lwtroutetable.Route, request lwtroutetable.Request) time.Duration {
	if request.Timeout > 0 && (route.Timeout <= 0 || request.Timeout < route.Timeout) {
		return request.Timeout
	}
	return route.Timeout
}

// New returns the course of a request that arrived at now.
func New(now time.Time, route lwtroutetable.Route, request lwtroutetable.Request, repeats RetryBudget) Flow {
	return Flow{route: route, end: now.Add(Timeout(route, request)), repeats: repeats, resumeAfter: request.LastEventID}
}

// Deadline returns the time at which the request must have its final answer.
func (course Flow) Deadline() time.Time { return course.end }

// Reason names what decided the last step, for the log.
func (course Flow) Reason() string { return course.reason }

// Status returns the status of Fail.
func (course Flow) Status() int { return course.status }

// RetryAfter returns when a refused caller should come back.
func (course Flow) RetryAfter() time.Duration { return course.retry }

// LastEventID returns the id of the last event that the caller has, if any.
func (course Flow) LastEventID() string { return course.resumeAfter }

// PartiallyDelivered reports whether a part of an answer has reached the caller.
func (course Flow) PartiallyDelivered() bool { return course.begun }

// SingleEngine reports whether the request must run without a prefill engine.
func (course Flow) SingleEngine() bool { return course.direct }

// HasKVCache reports whether a prefill engine holds the prompt's KV cache for this
// request, so that only a server to run it is needed.
func (course Flow) HasKVCache() bool { return course.memory }

// Attempts returns the number of servers that were sent the request to run it.
func (course Flow) Attempts() int { return course.sent }

// Start returns the first step.
func (course Flow) Start(now time.Time) (Flow, Step) { return course.place(now) }

func (course Flow) place(now time.Time) (Flow, Step) {
	switch {
	case course.end.Sub(now) < minTimeLeft:
		return course.give(gatewayTimeout, "no-time-left")
	case course.placements >= maxPlacements:
		return course.give(badGateway, course.reason)
	}
	course.placements++
	return course, Place
}

// give ends a request that is not sent to any further server. It is refused as
// not run only where that is certain.
func (course Flow) give(status int, reason string) (Flow, Step) {
	course.reason, course.status = reason, status
	switch {
	case course.begun:
		return course, Abort
	case course.maybeRan:
		return course, Fail
	}
	course.retry = max(course.retry, brokenRetry)
	return course, Reject
}

// again places the request once more, on another server, if the route and the
// budget allow it.
func (course Flow) again(now time.Time, outcome lwtretry.Outcome) (Flow, Step) {
	switch {
	case outcome == lwtretry.NotSent:
		return course.place(now)
	case course.sent >= course.route.MaxAttempts:
		return course.give(badGateway, course.reason)
	case outcome.MayHaveRun() && course.route.RetryPolicy == lwtroutetable.RetryIfNotRun:
		return course.give(badGateway, course.reason)
	case !course.repeats.Spend(now):
		return course.give(badGateway, course.reason+"-no-budget")
	}
	return course.place(now)
}
