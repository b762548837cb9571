package lwtrequestflow

import (
	"time"

	"lacewingtide/core/lwtretry"
	"lacewingtide/core/lwtroutetable"
)

// Placed is a result of Place: servers were chosen. SeparatePrefill says that a prefill
// engine prefills the prompt before the request is sent to its server.
type Placed struct{ SeparatePrefill bool }

// NotPlaced is a result of Place: no server can take the request now. RetryAfter is the time
// after which a retry may succeed.
type NotPlaced struct {
	Reason     string
	RetryAfter time.Duration
}

// Prefilled is a result of Prefill: a prefill engine holds the prompt's KV cache.
type Prefilled struct{}

// ResponseStarted is a result of Send: the head of the server's response has arrived.
type ResponseStarted struct {
	Status int
	// NotRun reports whether the server rejected the request without running it.
	NotRun bool
	// Misdirected reports whether another server than the chosen one now has the address.
	Misdirected bool
	// PromisesNotRun reports whether callers read the status as a promise that the request has
	// not run. Only a response with NotRun is evidence for it.
	PromisesNotRun bool
}

// Failed is a result of Prefill, Send or Deliver: there is no response, or it was cut off.
type Failed struct {
	Outcome lwtretry.Outcome
	// PartiallyDelivered reports whether a part of the response has reached the caller.
	PartiallyDelivered bool
	// NotResumable says that no other attempt can continue the part that has reached the caller.
	NotResumable bool
	// NotRetryable says that no other attempt is to be made, whatever the route allows.
	NotRetryable bool
	// LastEventID is the id of the last event that was forwarded to the caller.
	LastEventID string
	Reason      string
}

// Delivered is a result of Deliver: the caller has the complete response.
type Delivered struct{}

// CallerDisconnected is a result of any step: the caller has disconnected.
type CallerDisconnected struct{}

// TimedOut is a result of Prefill, Send or Deliver: the deadline has passed.
type TimedOut struct{ PartiallyDelivered bool }

// Update applies the result of step, which is one of the message types, and returns the next
// step.
func (flow Flow) Update(now time.Time, step Step, message any) (Flow, Step) {
	switch message := message.(type) {
	case Placed:
		if message.SeparatePrefill {
			return flow.prefill(now)
		}
		return flow.send(now)
	case NotPlaced:
		flow.retryAfter = message.RetryAfter
		return flow.giveUp(badGateway, message.Reason)
	case Prefilled:
		if flow.prefillAccepted {
			flow.arrivals++
		}
		flow.hasKVCache, flow.prefillAccepted = true, true
		return flow.send(now)
	case ResponseStarted:
		return flow.responseStarted(now, message)
	case Failed:
		return flow.stepFailed(now, step, message)
	case TimedOut:
		return flow.timedOut(step, message)
	case CallerDisconnected:
		flow.reason = "caller-gone"
		return flow, Stop
	}
	flow.reason = "delivered"
	return flow, Stop
}

// prefill asks a prefill engine to prefill the prompt. It and send are the only transitions to a step
// that sends the request, and both pay before it is sent: each arrival at a server after the first one
// spends budget, whichever step has led to it.
func (flow Flow) prefill(now time.Time) (Flow, Step) {
	extraArrivals := flow.arrivals
	if flow.prefillAccepted {
		// A further prefill counts, and so does the run that follows.
		extraArrivals++
	}
	flow, paid := flow.pay(now, extraArrivals)
	if !paid {
		return flow.giveUp(badGateway, flow.reason+"-no-budget")
	}
	flow.prefills++
	return flow, Prefill
}

// send sends the request to the server that runs it.
func (flow Flow) send(now time.Time) (Flow, Step) {
	flow, paid := flow.pay(now, flow.arrivals)
	if !paid {
		return flow.giveUp(badGateway, flow.reason+"-no-budget")
	}
	flow.attempts++
	return flow, Send
}

func (flow Flow) responseStarted(now time.Time, message ResponseStarted) (Flow, Step) {
	flow.arrivals++
	switch {
	case message.Misdirected:
		// The chosen server has not received the request.
		flow.attempts--
		flow.reason = "misdirected"
		return flow.placePaid(now)
	case message.NotRun && flow.hasKVCache:
		// The KV cache handle may have expired. The same server can prefill the prompt itself, in the
		// same attempt.
		flow.reason, flow.singleEngine, flow.hasKVCache = "refused-with-memory", true, false
		flow.attempts--
		return flow.send(now)
	case message.NotRun:
		flow.hasKVCache = false
		flow.reason = "refused-by-server"
		return flow.retry(now, lwtretry.Rejected)
	case message.PromisesNotRun:
		// The server may have run the request, so its status must not reach the caller.
		flow.mayHaveRun, flow.hasKVCache, flow.reason = true, false, "unproven-promise"
		return flow.retry(now, lwtretry.Unknown)
	}
	failed := message.Status >= 500
	if failed && flow.route.RetryPolicy == lwtroutetable.RetryAlways && flow.attempts < flow.route.MaxAttempts &&
		flow.deadline.Sub(now) >= minTimeLeft {
		var paid bool
		if flow, paid = flow.pay(now, flow.arrivals); paid {
			flow.mayHaveRun, flow.reason = true, "error-of-server"
			return flow.place(now)
		}
	}
	flow.mayHaveRun, flow.hasKVCache = true, false
	return flow, Deliver
}

// stepFailed handles a step without a complete response.
func (flow Flow) stepFailed(now time.Time, step Step, message Failed) (Flow, Step) {
	flow.reason = message.Reason
	if step != Deliver && message.Outcome != lwtretry.NotSent {
		flow.arrivals++
	}
	if step == Prefill {
		if message.Outcome == lwtretry.NotSent {
			flow.prefills--
		}
		if message.NotRetryable {
			return flow.giveUp(badGateway, flow.reason)
		}
		return flow.prefillFailed(now)
	}
	if message.Outcome == lwtretry.NotSent {
		flow.attempts--
		return flow.retry(now, message.Outcome)
	}
	// The server may have taken the KV cache from the prefill engine.
	flow.hasKVCache = false
	flow.mayHaveRun = flow.mayHaveRun || message.Outcome.MayHaveRun()
	flow.partiallyDelivered = flow.partiallyDelivered || message.PartiallyDelivered
	if message.LastEventID != "" {
		flow.lastEventID = message.LastEventID
	}
	if message.NotRetryable {
		return flow.giveUp(badGateway, flow.reason)
	}
	// A partial body without events cannot be continued with another response.
	if flow.partiallyDelivered && (message.NotResumable || flow.route.RetryPolicy != lwtroutetable.RetryResume) {
		return flow.giveUp(badGateway, flow.reason)
	}
	return flow.retry(now, message.Outcome)
}

// prefillFailed tries another prefill engine, and after maxPrefills attempts a server without
// one. A prefill does not run the request, so its failure never makes the outcome unknown.
func (flow Flow) prefillFailed(now time.Time) (Flow, Step) {
	flow.singleEngine = flow.singleEngine || flow.prefills >= maxPrefills
	return flow.place(now)
}

func (flow Flow) timedOut(step Step, message TimedOut) (Flow, Step) {
	flow.partiallyDelivered = flow.partiallyDelivered || message.PartiallyDelivered
	flow.mayHaveRun = flow.mayHaveRun || step == Send || step == Deliver
	return flow.giveUp(gatewayTimeout, "timeout")
}
