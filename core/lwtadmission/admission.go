package lwtadmission

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// Request holds the properties of a request that admission depends on.
type Request struct {
	Class lwtdeclaredstate.Class
	// Elapsed is the time since the request arrived. It matters for retries.
	Elapsed time.Duration
	// Deadline is the caller's own limit on the end-to-end latency, measured from
	// the request's arrival; 0 means none.
	Deadline time.Duration
}

// Estimate holds the estimated latencies of a request on the chosen engines.
type Estimate struct {
	TimeToFirstToken  time.Duration
	EndToEndLatency   time.Duration
	InterTokenLatency time.Duration
	// MemoryFull says that the decode engine lacks memory for the request.
	MemoryFull bool
}

// Decision is the result of Decide. A nil Rejection means that the request is
// admitted.
type Decision struct {
	Rejection *Rejection
}

// Policy holds the limits that estimates are compared with.
type Policy struct {
	Objectives map[lwtdeclaredstate.Class]lwtdeclaredstate.Objective
	// MaxInterTokenLatency limits the estimated inter-token latency; 0 means none.
	MaxInterTokenLatency time.Duration
}

// The margin is the fraction of a deadline that an estimate may use. It decreases
// when admitted requests are late and recovers slowly, so that estimation errors
// cause rejections rather than late answers.
const (
	initialMargin  = 0.85
	minMargin      = 0.4
	maxMargin      = 0.95
	marginDecrease = 0.01
	// marginIncrease is 1/50 of marginDecrease, so the margin settles where about 2%
	// of the answers are late.
	marginIncrease = marginDecrease / 50
	// minRetryAfter keeps callers from retrying within one load report.
	minRetryAfter = 250 * time.Millisecond
	// memoryRetryFraction is the fraction of the end-to-end latency after which a
	// tenth of the memory is expected to be free.
	memoryRetryFraction = 0.1
)

// Controller admits or rejects the requests of one daemon. Its methods modify it
// in place; it is not safe for concurrent use.
type Controller struct {
	policy   Policy
	margins  map[lwtdeclaredstate.Class]*float64
	admitted admittedShares
}

// New returns a controller for a policy.
func New(policy Policy) *Controller {
	return &Controller{policy: policy, margins: map[lwtdeclaredstate.Class]*float64{}, admitted: admittedShares{}}
}

// WithPolicy replaces the policy and keeps the learned margins and admitted shares.
func (controller *Controller) WithPolicy(policy Policy) *Controller {
	controller.policy = policy
	return controller
}

// WithResult records whether an admitted request met a deadline. Call it at the
// first token, and again when the complete answer is late.
func (controller *Controller) WithResult(class lwtdeclaredstate.Class, onTime bool) *Controller {
	margin := controller.margin(class)
	if onTime {
		*margin = min(maxMargin, *margin+marginIncrease)
	} else {
		*margin = max(minMargin, *margin-marginDecrease)
	}
	return controller
}

// Decide admits a request whose estimate meets its deadlines and rejects all
// others. A class without an objective has only the caller's own deadline. A
// rejection for that deadline does not depend on the load, so it does not count
// in the admitted shares that affect other requests.
func (controller *Controller) Decide(_ time.Time, request Request, estimate Estimate) Decision {
	if excess := overrun(lwtdeclaredstate.Duration(request.Deadline), 1,
		request.Elapsed+estimate.EndToEndLatency); excess > 0 {
		return reject("deadline", excess)
	}
	decision := controller.checkObjectives(request, estimate)
	controller.admitted.observe(request.Class, decision.Rejection == nil)
	return decision
}

// checkObjectives compares the estimate with the policy's limits.
func (controller *Controller) checkObjectives(request Request, estimate Estimate) Decision {
	objective, found := controller.policy.Objectives[request.Class]
	if !found {
		return Decision{}
	}
	if limit := controller.policy.MaxInterTokenLatency; limit > 0 && estimate.InterTokenLatency > limit {
		return reject("capacity", capacityRetryAfter(estimate, limit))
	}
	if estimate.MemoryFull {
		return reject("memory", time.Duration(memoryRetryFraction*float64(estimate.EndToEndLatency)))
	}
	margin := *controller.margin(request.Class) * controller.admitted.marginFactor(request.Class)
	if excess := overrun(objective.TimeToFirstToken, margin, request.Elapsed+estimate.TimeToFirstToken); excess > 0 {
		return reject("deadline", excess)
	}
	if excess := overrun(objective.EndToEndLatency, margin, request.Elapsed+estimate.EndToEndLatency); excess > 0 {
		return reject("deadline", excess)
	}
	return Decision{}
}

func (controller *Controller) margin(class lwtdeclaredstate.Class) *float64 {
	margin, found := controller.margins[class]
	if !found {
		margin = new(float64)
		*margin = initialMargin
		controller.margins[class] = margin
	}
	return margin
}

// overrun returns by how much an estimate exceeds the margin's fraction of a
// deadline. A deadline of 0 is never exceeded.
func overrun(deadline lwtdeclaredstate.Duration, margin float64, estimate time.Duration) time.Duration {
	if deadline <= 0 {
		return 0
	}
	return estimate - time.Duration(margin*float64(deadline))
}

// capacityRetryAfter estimates when enough streams have ended for the inter-token
// latency to be within the limit. It assumes that streams end at a constant rate
// over the end-to-end latency.
func capacityRetryAfter(estimate Estimate, limit time.Duration) time.Duration {
	share := 1 - limit.Seconds()/estimate.InterTokenLatency.Seconds()
	return time.Duration(share * float64(estimate.EndToEndLatency))
}

func reject(reason string, retryAfter time.Duration) Decision {
	return Decision{Rejection: &Rejection{Reason: reason, RetryAfter: max(minRetryAfter, retryAfter)}}
}
