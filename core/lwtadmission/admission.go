package lwtadmission

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// Request is what admission needs to know of a request.
type Request struct {
	Class lwtdeclaredstate.Class
	// Elapsed is the time since the request arrived, as before a second attempt.
	Elapsed time.Duration
	// Deadline is the caller's own bound on the time to the whole answer, from
	// the request's arrival; 0 for none.
	Deadline time.Duration
}

// Estimate is what a request is estimated to meet on the engine chosen for it.
type Estimate struct {
	TimeToFirstToken  time.Duration
	EndToEndLatency   time.Duration
	InterTokenLatency time.Duration
	// MemoryFull says that the engine lacks memory for the request.
	MemoryFull bool
}

// Decision is the decision on a request. A nil Rejection admits it.
type Decision struct {
	Rejection *Rejection
}

// Policy bounds what is admitted.
type Policy struct {
	Objectives map[lwtdeclaredstate.Class]lwtdeclaredstate.Objective
	// MaxInterTokenLatency bounds the estimated time between tokens.
	MaxInterTokenLatency time.Duration
}

// Bounds of the margin, which is the share of a deadline that an estimate may
// use. It falls when admitted requests are late and recovers slowly, so that
// errors of the estimates show as rejections and not as late answers.
const (
	marginStart = 0.85
	marginLeast = 0.4
	marginMost  = 0.95
	marginFall  = 0.01
	// marginRise is 1/50 of marginFall: the margin settles where about 2 in
	// 100 answers are late.
	marginRise = marginFall / 50
	// leastRetry keeps callers from retrying within one load report.
	leastRetry = 250 * time.Millisecond
	// memoryRetry is the share of the time of an answer after which a tenth
	// of the memory is expected to be free again.
	memoryRetry = 0.1
)

// Controller admits or rejects requests for one daemon. It is changed in place
// by its owner and is not safe for concurrent use.
type Controller struct {
	policy  Policy
	margins map[lwtdeclaredstate.Class]*float64
	shares  shares
}

// New returns an admission for a policy.
func New(policy Policy) *Controller {
	return &Controller{policy: policy, margins: map[lwtdeclaredstate.Class]*float64{}, shares: shares{}}
}

// WithPolicy replaces the policy and keeps what was learned.
func (admission *Controller) WithPolicy(policy Policy) *Controller {
	admission.policy = policy
	return admission
}

// WithResult learns whether an admitted request met a deadline. It is told at
// the first token, and again when a whole answer is late.
func (admission *Controller) WithResult(class lwtdeclaredstate.Class, onTime bool) *Controller {
	margin := admission.margin(class)
	if onTime {
		*margin = min(marginMost, *margin+marginRise)
	} else {
		*margin = max(marginLeast, *margin-marginFall)
	}
	return admission
}

// Decide admits a request whose estimate meets its deadlines, and otherwise
// rejects it at once. A class without an objective has only the caller's own
// deadline; a rejection for that deadline does not change the admission of
// others, as it does not depend on the load.
func (admission *Controller) Decide(_ time.Time, request Request, estimate Estimate) Decision {
	if excess := exceeds(lwtdeclaredstate.Duration(request.Deadline), 1, request.Elapsed+estimate.EndToEndLatency); excess > 0 {
		return rejected("deadline", excess)
	}
	verdict := admission.decide(request, estimate)
	admission.shares.learn(request.Class, verdict.Rejection == nil)
	return verdict
}

func (admission *Controller) decide(request Request, estimate Estimate) Decision {
	objective, found := admission.policy.Objectives[request.Class]
	if !found {
		return Decision{}
	}
	if limit := admission.policy.MaxInterTokenLatency; limit > 0 && estimate.InterTokenLatency > limit {
		return rejected("capacity", capacityRetry(estimate, limit))
	}
	if estimate.MemoryFull {
		return rejected("memory", time.Duration(memoryRetry*float64(estimate.EndToEndLatency)))
	}
	margin := *admission.margin(request.Class) * admission.shares.factor(request.Class)
	if excess := exceeds(objective.TimeToFirstToken, margin, request.Elapsed+estimate.TimeToFirstToken); excess > 0 {
		return rejected("deadline", excess)
	}
	if excess := exceeds(objective.EndToEndLatency, margin, request.Elapsed+estimate.EndToEndLatency); excess > 0 {
		return rejected("deadline", excess)
	}
	return Decision{}
}

func (admission *Controller) margin(class lwtdeclaredstate.Class) *float64 {
	margin, found := admission.margins[class]
	if !found {
		margin = new(float64)
		*margin = marginStart
		admission.margins[class] = margin
	}
	return margin
}

// exceeds returns by how much a time exceeds the share of a deadline. A
// deadline of 0 is none.
func exceeds(deadline lwtdeclaredstate.Duration, margin float64, estimate time.Duration) time.Duration {
	if deadline <= 0 {
		return 0
	}
	return estimate - time.Duration(margin*float64(deadline))
}

// capacityRetry is the time after which enough of the streams have ended, if
// their ends are spread evenly over the time of an answer.
func capacityRetry(estimate Estimate, limit time.Duration) time.Duration {
	share := 1 - limit.Seconds()/estimate.InterTokenLatency.Seconds()
	return time.Duration(share * float64(estimate.EndToEndLatency))
}

func rejected(reason string, retryAfter time.Duration) Decision {
	return Decision{Rejection: &Rejection{Reason: reason, RetryAfter: max(leastRetry, retryAfter)}}
}
