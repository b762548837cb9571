package lwtorder

import (
	"slices"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlease"
)

// Phase is how far an engine is on its way to the declared state.
type Phase string

// The phases of an engine.
const (
	// PhaseUnknown means that nothing is known under the present authority.
	PhaseUnknown Phase = "unknown"
	// PhaseReading means that the state is being read until it is at rest.
	PhaseReading Phase = "reading"
	// PhaseSteady means that the state is known and nothing is in progress. The
	// reason says why a difference from the declared state has not led to an
	// order yet.
	PhaseSteady Phase = "steady"
	// PhaseDraining means that the engine gets no new work and an order follows.
	PhaseDraining Phase = "draining"
	// PhaseOrdering means that an order is being sent.
	PhaseOrdering Phase = "ordering"
	// PhaseConfirming means that the effect of an order is being read back.
	PhaseConfirming Phase = "confirming"
)

// engine is the state machine of one engine.
type engine struct {
	declared lwtdeclaredstate.Engine
	target   EngineConfig
	// differs says that the engine's content is not the target.
	differs bool
	phase   Phase
	reason  string
	// state is the last read state; valid from phase steady on.
	state EngineState
	// reads counts the agreeing reads in a row.
	reads int
	// attempt is the request in flight; 0 for none.
	attempt  int64
	nextRead time.Time
	failures int
	// order is the order in flight, or the last one.
	order Order
	// accepted says that the engine answered that it carries out the order.
	accepted bool
	// settled is when an order that does not show has no effect any more.
	settled time.Time
	// quiet is the earliest time of the next order, because an order from
	// before may take effect until then.
	quiet time.Time
	// tries counts the orders without effect in a row; orderAt spaces them.
	tries   int
	orderAt time.Time
	// out says that routers keep new work from the engine.
	out        bool
	drainSince time.Time
	idleReads  int
	// reserved are the models whose last copy in the group it may take out.
	reserved  []string
	reserving bool
	reserveAt time.Time
}

func newEngine(declared lwtdeclaredstate.Engine, target EngineConfig) engine {
	return engine{declared: declared, target: target, phase: PhaseUnknown}
}

// reset forgets what was learned, and ignores answers still to come. An order
// in flight under the lease takes effect before the lease's end or not at all.
func (engine engine) reset(now, leaseEnd time.Time) engine {
	next := newEngine(engine.declared, engine.target)
	next.quiet = engine.quiet
	if !engine.declared.ChecksFencing && engine.inFlight(now) && leaseEnd.After(next.quiet) {
		next.quiet = leaseEnd
	}
	return next
}

// inFlight reports whether an order that was sent may still take effect.
func (engine engine) inFlight(now time.Time) bool {
	return engine.phase == PhaseOrdering ||
		(engine.phase == PhaseConfirming && !engine.accepted && now.Before(engine.settled))
}

// needReads is the number of agreeing reads before an order. An engine that
// ignores fencing numbers may still show the effect of an earlier holder's
// order after the first read.
func (engine engine) needReads() int {
	if engine.declared.ChecksFencing {
		return 1
	}
	return 2
}

// margin is how long the lease must last when the body of an order leaves.
func (engine engine) margin() time.Duration {
	return lwtlease.AddClockDrift(engine.declared.OrderReadTimeout.Std())
}

// orderable reports whether a late order can be kept from taking effect.
func (engine engine) orderable() bool {
	return engine.declared.ChecksFencing || engine.declared.OrderReadTimeout > 0
}

// serving reports whether the engine answers requests for a model and is not
// about to stop.
func (engine engine) serving(model string) bool {
	_, found := engine.state.Config.Models[model]
	known := engine.phase != PhaseUnknown && engine.phase != PhaseReading
	return found && known && !engine.out && !engine.declared.Draining
}

// readDue reports whether to read the engine's state now.
func (engine engine) readDue(now time.Time) bool {
	return engine.attempt == 0 && engine.phase != PhaseOrdering && !now.Before(engine.nextRead)
}

func (engine engine) readFailed(now time.Time) engine {
	engine.attempt, engine.reads = 0, 0
	wait := min(maxReadBackoff, changeReadInterval<<min(engine.failures, 8))
	engine.failures++
	engine.nextRead = now.Add(wait)
	if engine.failures > 1 {
		engine.reason = "the engine does not answer"
		if engine.phase == PhaseSteady {
			engine.phase = PhaseReading
		}
	}
	return engine
}

// read takes in the engine's state.
func (engine engine) read(now time.Time, state EngineState) engine {
	if engine.reads > 0 && !engine.state.agrees(state) {
		engine.reads = 0
	}
	engine.attempt, engine.failures = 0, 0
	engine.reads++
	if state.Reconfiguring {
		engine.reads = 0
	}
	engine.state = state
	engine.nextRead = now.Add(changeReadInterval)
	switch engine.phase {
	case PhaseConfirming:
		return engine.confirm(now)
	case PhaseDraining:
		return engine.drainRead()
	}
	return engine.settle(now)
}

// settle makes the engine steady when its state is at rest.
func (engine engine) settle(now time.Time) engine {
	if now.Before(engine.quiet) {
		engine.reads = 0
	}
	if engine.reads < engine.needReads() {
		engine.phase, engine.reason = PhaseReading, "the state is not at rest"
		return engine
	}
	engine.phase, engine.reason, engine.out = PhaseSteady, "", false
	engine.nextRead = now.Add(SteadyReadInterval)
	return engine
}

// confirm ends the wait for an order when its effect shows, or when it can have
// none any more.
func (engine engine) confirm(now time.Time) engine {
	if engine.state.Reconfiguring || (!engine.accepted && now.Before(engine.settled)) {
		return engine
	}
	if !engine.state.Config.Equal(engine.order.EngineConfig) {
		// Crash halfway, refusal or loss: start again from what is there.
		engine.reads = min(engine.reads, 1)
		engine.orderAt = now.Add(min(maxOrderBackoff, firstOrderBackoff<<min(engine.tries, 8)))
		engine.tries++
	} else {
		engine.tries = 0
	}
	return engine.settle(now)
}

func (engine engine) drainRead() engine {
	if engine.reads == 0 {
		// Someone else's order, a restart or another state: start again.
		engine.phase, engine.reason = PhaseReading, "the state changed while draining"
		return engine
	}
	engine.idleReads++
	if engine.state.ActiveStreams > 0 {
		engine.idleReads = 0
	}
	return engine
}

// drained reports whether an order interrupts no stream, or the declared
// deadline permits it to.
func (engine engine) drained(now time.Time) bool {
	since := now.Sub(engine.drainSince)
	deadline := engine.declared.DrainDeadline.Std()
	if deadline > 0 && since >= deadline {
		return true
	}
	return since >= DrainPropagationDelay && engine.idleReads >= idleReadsNeeded
}

func (engine engine) sent(now time.Time, outcome Outcome) engine {
	engine.attempt = 0
	engine.phase, engine.reads = PhaseConfirming, 0
	engine.accepted = outcome == OutcomeAccepted
	engine.settled, engine.nextRead = now, now
	engine.reason = "order " + string(outcome)
	if outcome == OutcomeUnknown {
		engine.settled = now.Add(engine.margin())
	}
	return engine
}

func (engine engine) loading() bool {
	return slices.Contains([]Phase{PhaseOrdering, PhaseConfirming}, engine.phase) &&
		len(engine.order.loads(engine.state.Config)) > 0
}
