package lwtrequestflow

import (
	"time"

	"lacewingtide/core/lwtretry"
	"lacewingtide/core/lwtroutetable"
)

// Placed answers Place: servers were chosen. Prefill says that a prefill engine
// prefills the prompt before the request runs.
type Placed struct{ SeparatePrefill bool }

// NotPlaced answers Place: no server can take the request now. RetryAfter is when
// there will be room.
type NotPlaced struct {
	Reason     string
	RetryAfter time.Duration
}

// Prefilled answers Prefill: the prompt is prefilled.
type Prefilled struct{}

// ResponseStarted answers Run: the server's answer has begun.
type ResponseStarted struct {
	Status int
	// NotRun says that the server did not run the request.
	NotRun bool
	// Misdirected says that another server has the address.
	Misdirected bool
}

// Failed answers Prefill, Run or Deliver: there is no answer, or no more of it.
type Failed struct {
	Outcome lwtretry.Outcome
	// PartiallyDelivered says that a part of the answer has reached the caller.
	PartiallyDelivered bool
	// NotResumable says that what has reached the caller cannot be completed by any run.
	NotResumable bool
	// LastEventID is the id of the last event passed on to the caller.
	LastEventID string
	Reason      string
}

// Delivered answers Deliver: the caller has the complete answer.
type Delivered struct{}

// CallerGone answers any step: the caller has left.
type CallerGone struct{}

// TimedOut answers Prefill, Run or Deliver: End was reached.
type TimedOut struct{ PartiallyDelivered bool }

// Update takes in what came of step and returns the next step.
func (course Flow) Update(now time.Time, step Step, message any) (Flow, Step) {
	switch message := message.(type) {
	case Placed:
		if message.SeparatePrefill {
			return course.prefill(now)
		}
		return course.run()
	case NotPlaced:
		course.retry = message.RetryAfter
		return course.give(badGateway, message.Reason)
	case Prefilled:
		course.memory = true
		return course.run()
	case ResponseStarted:
		return course.answered(now, message)
	case Failed:
		return course.failed(now, step, message)
	case TimedOut:
		return course.timedOut(step, message)
	case CallerGone:
		course.reason = "caller-gone"
		return course, Stop
	}
	course.reason = "delivered"
	return course, Stop
}

// prefill has a prompt prefilled. Only the first time is not a repeat.
func (course Flow) prefill(now time.Time) (Flow, Step) {
	if course.prefills > 0 && !course.repeats.Spend(now) {
		return course.give(badGateway, course.reason+"-no-budget")
	}
	course.prefills++
	return course, Prefill
}

func (course Flow) run() (Flow, Step) {
	course.sent++
	return course, Run
}

func (course Flow) answered(now time.Time, message ResponseStarted) (Flow, Step) {
	switch {
	case message.Misdirected:
		// The server that was meant has not seen the request.
		course.sent--
		course.reason = "misdirected"
		if !course.repeats.Spend(now) {
			return course.give(badGateway, "misdirected-no-budget")
		}
		return course.place(now)
	case message.NotRun && course.memory:
		// The handle may be gone: the same server can still prefill the prompt.
		course.reason, course.direct, course.memory = "refused-with-memory", true, false
		if !course.repeats.Spend(now) {
			return course.give(badGateway, "refused-with-memory-no-budget")
		}
		return course, Run
	case message.NotRun:
		course.memory = false
		course.reason = "refused-by-server"
		return course.again(now, lwtretry.Rejected)
	}
	failed := message.Status >= 500
	if failed && course.route.RetryPolicy == lwtroutetable.RetryAlways && course.sent < course.route.MaxAttempts &&
		course.end.Sub(now) >= minTimeLeft && course.repeats.Spend(now) {
		course.maybeRan, course.reason = true, "error-of-server"
		return course.place(now)
	}
	course.maybeRan, course.memory = true, false
	return course, Deliver
}

// failed decides what follows a step that gave no complete answer.
func (course Flow) failed(now time.Time, step Step, message Failed) (Flow, Step) {
	course.reason = message.Reason
	if step == Prefill {
		return course.prefillFailed(now)
	}
	if message.Outcome == lwtretry.NotSent {
		course.sent--
		return course.again(now, message.Outcome)
	}
	// The run may have taken the memory.
	course.memory = false
	course.maybeRan = course.maybeRan || message.Outcome.MayHaveRun()
	course.begun = course.begun || message.PartiallyDelivered
	if message.LastEventID != "" {
		course.resumeAfter = message.LastEventID
	}
	// A part of a body without events cannot be joined with another answer.
	if course.begun && (message.NotResumable || course.route.RetryPolicy != lwtroutetable.RetryResume) {
		return course.give(badGateway, course.reason)
	}
	return course.again(now, message.Outcome)
}

// prefillFailed tries another prefill engine, then a run without one. Reading a
// prompt does not run the request, so its outcome is never in doubt.
func (course Flow) prefillFailed(now time.Time) (Flow, Step) {
	course.direct = course.direct || course.prefills >= maxPrefills
	return course.place(now)
}

func (course Flow) timedOut(step Step, message TimedOut) (Flow, Step) {
	course.begun = course.begun || message.PartiallyDelivered
	course.maybeRan = course.maybeRan || step == Run || step == Deliver
	return course.give(gatewayTimeout, "timeout")
}
