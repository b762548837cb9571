package lwtorder

import (
	"maps"
	"slices"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlease"
)

// Intervals, timeouts and limits.
const (
	// TickInterval is the time between two Tick messages.
	TickInterval = 250 * time.Millisecond
	// SteadyReadInterval is the time between two reads of a steady engine.
	SteadyReadInterval = 5 * time.Second
	// DrainPropagationDelay is the maximum time until all routers have received
	// that an engine is draining.
	DrainPropagationDelay = 3 * time.Second
	// MaxConcurrentLoads bounds the engines of a group that load weights at the same time.
	MaxConcurrentLoads = 2

	// GroupTransferDelay is the wait before the first order to an engine that
	// joins the group. It covers the 15 s in which the declared state reaches
	// the lease holder of the engine's former group, and that holder's lease.
	GroupTransferDelay = 15*time.Second + lwtlease.TTL

	initialOrderBackoff      = 500 * time.Millisecond
	maxOrderBackoff          = 30 * time.Second
	changeReadInterval       = 250 * time.Millisecond
	maxReadBackoff           = 4 * time.Second
	headReadRetryInterval    = time.Second
	headReadTimeout          = 10 * time.Second
	reservationRetryInterval = 2 * time.Second
	minIdleReads             = 2
)

// Model is the state machine that brings the engines of one group to the
// declared state. Use New; the zero Model is not usable.
type Model struct {
	group   string
	state   lwtdeclaredstate.State
	lease   lwtlease.Lease
	engines map[string]engine
	names   []string
	roles   map[string]lwtdeclaredstate.Role
	// fencing is the fencing number of the last lease. lastSequence counts the
	// orders sent under it.
	fencing      int64
	lastSequence int64
	lastAttempt  int64
	lastTick     time.Time
	// headRevision is the newest revision in the table when the lease was
	// acquired. An earlier holder may already have sent orders for it, so orders
	// from an older state would undo them. headKnown says that it has been read,
	// headReadAt when to read it again.
	headRevision int64
	headKnown    bool
	headReadAt   time.Time
	// mayHoldReservations says that reservation rows of the group may exist in
	// the table.
	mayHoldReservations bool
	// releaseAttempt is the attempt number of the ReleaseReservations in flight;
	// 0 if there is none.
	releaseAttempt int64
	releaseRetryAt time.Time
	stopping       bool
}

// New returns the model of a group that has no declared state yet.
func New(group string) Model { return Model{group: group} }

// Update applies a message and returns the next model and the commands to
// execute.
func (model Model) Update(now time.Time, msg Msg) (Model, []Cmd) {
	if _, tick := msg.(Tick); tick && !model.paused(now) && model.nothingDue(now) {
		model.lastTick = now
		return model, nil
	}
	before := model
	model.engines = maps.Clone(model.engines)
	if model.paused(now) {
		// The engines may have changed during the pause of the process, so their
		// states are read again before the next order.
		model = model.reset(now)
		model.lastTick = now
	}
	switch msg := msg.(type) {
	case DeclaredStateChanged:
		model = model.applyDeclaredState(now, msg.State)
	case LeaseChanged:
		model = model.applyLease(now, msg.Lease)
	case RoleRequested:
		model.roles = maps.Clone(model.roles)
		if model.roles == nil {
			model.roles = map[string]lwtdeclaredstate.Role{}
		}
		model.roles[msg.Engine] = msg.Role
	case Stop:
		model.stopping = true
	case Tick:
		model = model.tick(now)
	case StateRead:
		model = model.applyState(now, msg)
	case HeadRead:
		model = model.applyHead(now, msg)
	case OrderResult:
		if engine, found := model.awaiting(msg.Engine, msg.Attempt); found && engine.phase == PhaseOrdering {
			model.engines[msg.Engine] = engine.recordOutcome(now, msg.Outcome)
		}
	case ReserveResult:
		model = model.applyReserveResult(now, msg)
	case ReleaseResult:
		model = model.applyReleaseResult(now, msg)
	}
	switch msg := msg.(type) {
	case DeclaredStateChanged, LeaseChanged, RoleRequested:
		model.updateTargets(model.names...)
	case StateRead:
		model.updateTargets(msg.Engine)
	}
	next, cmds := model.step(now)
	return next, append(changeCommands(before, next), cmds...)
}

// Idle reports whether no order sent by this daemon can still take effect.
func (model Model) Idle(now time.Time) bool {
	for _, engine := range model.engines {
		if engine.inFlight(now) || now.Before(engine.noOrderBefore) {
			return false
		}
	}
	return true
}

// paused reports whether the process was paused: a tick is overdue by more than
// lwtlease.PauseThreshold.
func (model Model) paused(now time.Time) bool {
	return !model.lastTick.IsZero() && now.Sub(model.lastTick) > TickInterval+lwtlease.PauseThreshold
}

// nothingDue reports whether a tick would change nothing, which is the common
// case.
func (model Model) nothingDue(now time.Time) bool {
	if model.lease.Fencing == 0 {
		return true
	}
	for _, engine := range model.engines {
		if engine.phase != PhaseSteady || engine.differs || engine.readDue(now) {
			return false
		}
	}
	return model.lease.Valid(now)
}

func (model Model) tick(now time.Time) Model {
	model.lastTick = now
	if model.lease.Fencing > 0 && !model.lease.Valid(now) {
		model = model.reset(now)
		model.lease = lwtlease.Lease{}
	}
	return model
}

func (model Model) applyLease(now time.Time, lease lwtlease.Lease) Model {
	if lease.Fencing != model.lease.Fencing {
		model = model.reset(now)
		model.mayHoldReservations = true
	}
	if lease.Fencing > model.fencing {
		// A slow renewal can restore a lease with the same fencing number after it
		// expired here; the order sequence then continues.
		model.fencing, model.lastSequence, model.roles = lease.Fencing, 0, nil
		model.headKnown, model.headReadAt = false, now
	}
	model.lease = lease
	return model
}

func (model Model) applyHead(now time.Time, msg HeadRead) Model {
	switch {
	case msg.Fencing != model.fencing:
	case msg.Failed:
		model.headReadAt = now.Add(headReadRetryInterval)
	default:
		model.headRevision, model.headKnown = msg.Revision, true
	}
	return model
}

func (model Model) reset(now time.Time) Model {
	for name, engine := range model.engines {
		model.engines[name] = engine.reset(now, model.lease.Until)
	}
	return model
}

func (model Model) applyDeclaredState(now time.Time, state lwtdeclaredstate.State) Model {
	if state.Revision <= model.state.Revision {
		return model
	}
	first := model.state.Revision == 0
	model.state = state
	engines := map[string]engine{}
	for name, declared := range state.Engines {
		if declared.Group != model.group {
			continue
		}
		current, found := model.engines[name]
		if !found || current.declared.Address != declared.Address ||
			current.declared.ChecksFencing != declared.ChecksFencing {
			current = newEngine(declared, EngineConfig{})
			if !found && !first {
				current.noOrderBefore = now.Add(GroupTransferDelay)
			}
		}
		current.declared = declared
		engines[name] = current
	}
	model.engines, model.names = engines, slices.Sorted(maps.Keys(engines))
	return model
}

// updateTargets recomputes the targets of the named engines. It modifies the
// model's engine map.
func (model Model) updateTargets(names ...string) {
	for _, name := range names {
		if engine, found := model.engines[name]; found {
			engine.target = model.target(engine)
			engine.differs = !engine.state.Config.Equal(engine.target)
			model.engines[name] = engine
		}
	}
}

// target returns the configuration that an engine should run: the declared one,
// in the role that the planner requested. Without a request, a permitted role
// that the engine already has is kept, because the planner of an earlier lease
// holder may have chosen it.
func (model Model) target(engine engine) EngineConfig {
	role := engine.declared.Role
	permitted := func(wanted lwtdeclaredstate.Role) bool {
		return slices.Contains(engine.declared.PlannerRoles, wanted)
	}
	if current := engine.state.Config.Role; permitted(current) {
		role = current
	}
	if wanted, found := model.roles[engine.declared.Name]; found &&
		(permitted(wanted) || wanted == engine.declared.Role) {
		role = wanted
	}
	return DeclaredConfig(model.state, engine.declared, role)
}

// awaiting returns the named engine and whether the attempt is the one whose
// response it awaits.
func (model Model) awaiting(name string, attempt int64) (engine, bool) {
	engine, found := model.engines[name]
	return engine, found && engine.attempt == attempt && attempt != 0
}

func (model Model) applyState(now time.Time, msg StateRead) Model {
	engine, found := model.awaiting(msg.Engine, msg.Attempt)
	if !found || engine.phase == PhaseOrdering || engine.reserving {
		return model
	}
	if msg.Failed {
		model.engines[msg.Engine] = engine.recordReadFailure(now)
		return model
	}
	model.engines[msg.Engine] = engine.applyState(now, msg.State)
	return model
}

func (model Model) applyReserveResult(now time.Time, msg ReserveResult) Model {
	engine, found := model.awaiting(msg.Engine, msg.Attempt)
	if !found || !engine.reserving {
		return model
	}
	engine.attempt, engine.reserving = 0, false
	engine.reserveRetryAt = now.Add(reservationRetryInterval)
	if msg.Granted {
		engine.reservedModels = msg.Models
	}
	model.engines[msg.Engine] = engine
	return model
}

func (model Model) applyReleaseResult(now time.Time, msg ReleaseResult) Model {
	if msg.Attempt != model.releaseAttempt {
		return model
	}
	model.releaseAttempt = 0
	model.releaseRetryAt = now.Add(reservationRetryInterval)
	model.mayHoldReservations = msg.Failed
	return model
}

// changeCommands returns the commands that report changed phases and drain
// marks.
func changeCommands(before, after Model) []Cmd {
	var cmds []Cmd
	for name, engine := range before.engines {
		if _, found := after.engines[name]; !found && engine.markedDraining {
			cmds = append(cmds, MarkDraining{Engine: name})
		}
	}
	for _, name := range after.names {
		old, engine := before.engines[name], after.engines[name]
		if old.markedDraining != engine.markedDraining {
			cmds = append(cmds, MarkDraining{Engine: name, Draining: engine.markedDraining})
		}
		if old.phase != engine.phase || old.reason != engine.reason {
			cmds = append(cmds, LogPhaseChange{Engine: name, Phase: engine.phase, Reason: engine.reason})
		}
	}
	return cmds
}
