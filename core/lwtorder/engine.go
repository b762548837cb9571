package lwtorder

import (
	"slices"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlease"
)

// Phase is the step of the reconciliation that an engine is in.
type Phase string

// The phases of an engine.
const (
	// PhaseUnknown means that no state has been read under the current lease.
	PhaseUnknown Phase = "unknown"
	// PhaseReading means that the state is being read until it is stable.
	PhaseReading Phase = "reading"
	// PhaseSteady means that the state is known and no change is in progress. If
	// the engine differs from its target, the reason says why no order has been
	// sent yet.
	PhaseSteady Phase = "steady"
	// PhaseDraining means that the engine gets no new requests until it is idle
	// and the order is sent.
	PhaseDraining Phase = "draining"
	// PhaseOrdering means that an order is being sent.
	PhaseOrdering Phase = "ordering"
	// PhaseConfirming means that the state is read until it shows the effect of
	// the order.
	PhaseConfirming Phase = "confirming"
)

// engine is the state machine of one engine.
type engine struct {
	declared lwtdeclaredstate.Engine
	target   EngineConfig
	// differs says that the engine's configuration is not the target.
	differs bool
	phase   Phase
	reason  string
	// state is the last state read. It is confirmed once the phase is steady.
	state EngineState
	// agreeingReads counts consecutive reads that show the same state.
	agreeingReads int
	// attempt is the number of the request in flight; 0 if there is none.
	attempt      int64
	nextRead     time.Time
	readFailures int
	// order is the order in flight, or the last one.
	order Order
	// accepted says that the engine has responded that it accepted the order.
	accepted bool
	// effectDeadline is the time after which an order whose effect has not shown
	// can't take effect any more.
	effectDeadline time.Time
	// noOrderBefore is the earliest time of the next order, because an earlier
	// order may take effect until then.
	noOrderBefore time.Time
	// ineffectiveOrders counts consecutive orders without effect. It sets the
	// backoff until orderRetryAt.
	ineffectiveOrders int
	orderRetryAt      time.Time
	// markedDraining says that routers send the engine no new requests.
	markedDraining bool
	drainSince     time.Time
	idleReads      int
	// reservedModels are the models whose last replica in the group may be taken
	// out of service.
	reservedModels []string
	reserving      bool
	reserveRetryAt time.Time
}

func newEngine(declared lwtdeclaredstate.Engine, target EngineConfig) engine {
	return engine{declared: declared, target: target, phase: PhaseUnknown}
}

// reset discards the engine's observed state, so that responses in flight are
// ignored. An order in flight takes effect before the end of its lease or not at
// all.
func (engine engine) reset(now, leaseEnd time.Time) engine {
	next := newEngine(engine.declared, engine.target)
	next.noOrderBefore = engine.noOrderBefore
	if !engine.declared.ChecksFencing && engine.inFlight(now) && leaseEnd.After(next.noOrderBefore) {
		next.noOrderBefore = leaseEnd
	}
	return next
}

// inFlight reports whether a sent order may still take effect.
func (engine engine) inFlight(now time.Time) bool {
	return engine.phase == PhaseOrdering ||
		(engine.phase == PhaseConfirming && !engine.accepted && now.Before(engine.effectDeadline))
}

// requiredReads is the number of consecutive equal reads required before an
// order. An engine that ignores fencing numbers may still execute an order of an
// earlier lease holder after the first read.
func (engine engine) requiredReads() int {
	if engine.declared.ChecksFencing {
		return 1
	}
	return 2
}

// leaseMargin is how long the lease must remain valid when the body of an order
// is sent.
func (engine engine) leaseMargin() time.Duration {
	return lwtlease.AddClockDrift(engine.declared.OrderReadTimeout.Std())
}

// rejectsLateOrders reports whether the engine rejects an order that arrives
// late, by its fencing number or by the read timeout.
func (engine engine) rejectsLateOrders() bool {
	return engine.declared.ChecksFencing || engine.declared.OrderReadTimeout > 0
}

// serving reports whether the engine serves a model and is not being drained.
func (engine engine) serving(model string) bool {
	_, found := engine.state.Config.Models[model]
	known := engine.phase != PhaseUnknown && engine.phase != PhaseReading
	return found && known && !engine.markedDraining && !engine.declared.Draining
}

// readDue reports whether the engine's state is to be read now.
func (engine engine) readDue(now time.Time) bool {
	return engine.attempt == 0 && engine.phase != PhaseOrdering && !now.Before(engine.nextRead)
}

func (engine engine) recordReadFailure(now time.Time) engine {
	engine.attempt, engine.agreeingReads = 0, 0
	wait := min(maxReadBackoff, changeReadInterval<<min(engine.readFailures, 8))
	engine.readFailures++
	engine.nextRead = now.Add(wait)
	if engine.readFailures > 1 {
		engine.reason = "the engine does not answer"
		if engine.phase == PhaseSteady {
			engine.phase = PhaseReading
		}
	}
	return engine
}

// applyState records the engine's state and moves to the phase that follows.
func (engine engine) applyState(now time.Time, state EngineState) engine {
	if engine.agreeingReads > 0 && !engine.state.agreesWith(state) {
		engine.agreeingReads = 0
	}
	engine.attempt, engine.readFailures = 0, 0
	engine.agreeingReads++
	if state.Reconfiguring {
		engine.agreeingReads = 0
	}
	engine.state = state
	engine.nextRead = now.Add(changeReadInterval)
	switch engine.phase {
	case PhaseConfirming:
		return engine.confirm(now)
	case PhaseDraining:
		return engine.applyDrainRead()
	}
	return engine.settle(now)
}

// settle moves the engine to PhaseSteady if enough consecutive reads agree, and
// otherwise to PhaseReading.
func (engine engine) settle(now time.Time) engine {
	if now.Before(engine.noOrderBefore) {
		engine.agreeingReads = 0
	}
	if engine.agreeingReads < engine.requiredReads() {
		engine.phase, engine.reason = PhaseReading, "the state is not at rest"
		return engine
	}
	engine.phase, engine.reason, engine.markedDraining = PhaseSteady, "", false
	engine.nextRead = now.Add(SteadyReadInterval)
	return engine
}

// confirm ends the wait for an order when its effect shows, or when it can't
// take effect any more.
func (engine engine) confirm(now time.Time) engine {
	if engine.state.Reconfiguring || (!engine.accepted && now.Before(engine.effectDeadline)) {
		return engine
	}
	if !engine.state.Config.Equal(engine.order.EngineConfig) {
		// The engine crashed halfway, rejected the order or never received it:
		// start again from the state that it has.
		engine.agreeingReads = min(engine.agreeingReads, 1)
		engine.orderRetryAt = now.Add(min(maxOrderBackoff, initialOrderBackoff<<min(engine.ineffectiveOrders, 8)))
		engine.ineffectiveOrders++
	} else {
		engine.ineffectiveOrders = 0
	}
	return engine.settle(now)
}

func (engine engine) applyDrainRead() engine {
	if engine.agreeingReads == 0 {
		// An order of another sender, a restart or a changed state: start again.
		engine.phase, engine.reason = PhaseReading, "the state changed while draining"
		return engine
	}
	engine.idleReads++
	if engine.state.ActiveStreams > 0 {
		engine.idleReads = 0
	}
	return engine
}

// drained reports whether the engine has no streams that an order would
// interrupt, or the declared drain deadline has passed.
func (engine engine) drained(now time.Time) bool {
	since := now.Sub(engine.drainSince)
	deadline := engine.declared.DrainDeadline.Std()
	if deadline > 0 && since >= deadline {
		return true
	}
	return since >= DrainPropagationDelay && engine.idleReads >= minIdleReads
}

func (engine engine) recordOutcome(now time.Time, outcome Outcome) engine {
	engine.attempt = 0
	engine.phase, engine.agreeingReads = PhaseConfirming, 0
	engine.accepted = outcome == OutcomeAccepted
	engine.effectDeadline, engine.nextRead = now, now
	engine.reason = "order " + string(outcome)
	if outcome == OutcomeUnknown {
		engine.effectDeadline = now.Add(engine.leaseMargin())
	}
	return engine
}

func (engine engine) loading() bool {
	return slices.Contains([]Phase{PhaseOrdering, PhaseConfirming}, engine.phase) &&
		len(engine.order.modelsToLoad(engine.state.Config)) > 0
}
