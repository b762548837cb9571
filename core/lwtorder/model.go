package lwtorder

import (
	"maps"
	"slices"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlease"
)

// Times and bounds of the work on a group.
const (
	// TickInterval is the time between two Tick messages.
	TickInterval = 250 * time.Millisecond
	// SteadyReadInterval is the time between two reads of an engine at rest.
	SteadyReadInterval = 5 * time.Second
	// DrainPropagationDelay is how long routers take at most to learn of a drain.
	DrainPropagationDelay = 3 * time.Second
	// MaxConcurrentLoads bounds the engines of a group that load weights at the same time.
	MaxConcurrentLoads = 2

	// GroupTransferDelay is the wait before the first order to an engine that came from
	// outside the group: the 15 s in which the declared state reaches the holder
	// of its former group, and that holder's lease.
	GroupTransferDelay = 15*time.Second + lwtlease.TTL

	firstOrderBackoff  = 500 * time.Millisecond
	maxOrderBackoff    = 30 * time.Second
	changeReadInterval = 250 * time.Millisecond
	maxReadBackoff     = 4 * time.Second
	headInterval       = time.Second
	headTimeout        = 10 * time.Second
	reserveInterval    = 2 * time.Second
	idleReadsNeeded    = 2
)

// Model moves the engines of one group to the declared state. The zero Model is
// not usable; New returns one.
type Model struct {
	group   string
	state   lwtdeclaredstate.State
	lease   lwtlease.Lease
	engines map[string]engine
	names   []string
	roles   map[string]lwtdeclaredstate.Role
	// fencing is that of the last authority; sequence counts the orders under it.
	fencing  int64
	sequence int64
	attempts int64
	ticked   time.Time
	// head is the number of the newest state when the authority began; an
	// earlier holder may have carried out orders of it. headRead says that it is
	// known, headAt when to ask for it again.
	head     int64
	headRead bool
	headAt   time.Time
	// mayReserve says that reservation rows of the group may exist.
	mayReserve bool
	// freeing is the attempt of a Free that is not answered; 0 if there is none.
	freeing  int64
	freeAt   time.Time
	stopping bool
}

// New returns the model of a group without a declared state.
func New(group string) Model { return Model{group: group} }

// Update processes one message.
func (model Model) Update(now time.Time, msg Msg) (Model, []Cmd) {
	if _, tick := msg.(Tick); tick && !model.paused(now) && model.nothingDue(now) {
		model.ticked = now
		return model, nil
	}
	before := model
	model.engines = maps.Clone(model.engines)
	if model.paused(now) {
		// After a pause everything is read again before the next order.
		model = model.reset(now)
		model.ticked = now
	}
	switch msg := msg.(type) {
	case DeclaredStateChanged:
		model = model.declare(now, msg.State)
	case LeaseChanged:
		model = model.authorize(now, msg.Lease)
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
		model = model.stateRead(now, msg)
	case HeadRead:
		model = model.readHead(now, msg)
	case OrderResult:
		if engine, found := model.answered(msg.Engine, msg.Attempt); found && engine.phase == PhaseOrdering {
			model.engines[msg.Engine] = engine.sent(now, msg.Outcome)
		}
	case ReserveResult:
		model = model.reservedAnswer(now, msg)
	case ReleaseResult:
		model = model.freedAnswer(now, msg)
	}
	switch msg := msg.(type) {
	case DeclaredStateChanged, LeaseChanged, RoleRequested:
		model.retarget(model.names...)
	case StateRead:
		model.retarget(msg.Engine)
	}
	next, cmds := model.step(now)
	return next, append(changes(before, next), cmds...)
}

// Idle reports whether no order sent by this daemon can still take effect.
func (model Model) Idle(now time.Time) bool {
	for _, engine := range model.engines {
		if engine.inFlight(now) || now.Before(engine.quiet) {
			return false
		}
	}
	return true
}

// paused reports whether a tick is overdue by more than the pause limit.
func (model Model) paused(now time.Time) bool {
	return !model.ticked.IsZero() && now.Sub(model.ticked) > TickInterval+lwtlease.PauseThreshold
}

// nothingDue reports whether a tick changes nothing, as for most groups most of
// the time.
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
	model.ticked = now
	if model.lease.Fencing > 0 && !model.lease.Valid(now) {
		model = model.reset(now)
		model.lease = lwtlease.Lease{}
	}
	return model
}

func (model Model) authorize(now time.Time, lease lwtlease.Lease) Model {
	if lease.Fencing != model.lease.Fencing {
		model = model.reset(now)
		model.mayReserve = true
	}
	if lease.Fencing > model.fencing {
		// A renewal that was slow can restore an authority after it lapsed; its
		// orders go on counting.
		model.fencing, model.sequence, model.roles = lease.Fencing, 0, nil
		model.headRead, model.headAt = false, now
	}
	model.lease = lease
	return model
}

func (model Model) readHead(now time.Time, msg HeadRead) Model {
	switch {
	case msg.Fencing != model.fencing:
	case msg.Failed:
		model.headAt = now.Add(headInterval)
	default:
		model.head, model.headRead = msg.Revision, true
	}
	return model
}

func (model Model) reset(now time.Time) Model {
	for name, engine := range model.engines {
		model.engines[name] = engine.reset(now, model.lease.Until)
	}
	return model
}

func (model Model) declare(now time.Time, state lwtdeclaredstate.State) Model {
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
				current.quiet = now.Add(GroupTransferDelay)
			}
		}
		current.declared = declared
		engines[name] = current
	}
	model.engines, model.names = engines, slices.Sorted(maps.Keys(engines))
	return model
}

// retarget computes the targets of engines anew in the model's own map.
func (model Model) retarget(names ...string) {
	for _, name := range names {
		if engine, found := model.engines[name]; found {
			engine.target = model.target(engine)
			engine.differs = !engine.state.Config.Equal(engine.target)
			model.engines[name] = engine
		}
	}
}

// target returns what an engine should run: the declared content, in the role
// that the planner wants. A permitted role that an earlier holder's planner
// chose is kept.
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

// answered returns the engine that waits for the answer to an attempt.
func (model Model) answered(name string, attempt int64) (engine, bool) {
	engine, found := model.engines[name]
	return engine, found && engine.attempt == attempt && attempt != 0
}

func (model Model) stateRead(now time.Time, msg StateRead) Model {
	engine, found := model.answered(msg.Engine, msg.Attempt)
	if !found || engine.phase == PhaseOrdering || engine.reserving {
		return model
	}
	if msg.Failed {
		model.engines[msg.Engine] = engine.readFailed(now)
		return model
	}
	model.engines[msg.Engine] = engine.read(now, msg.State)
	return model
}

func (model Model) reservedAnswer(now time.Time, msg ReserveResult) Model {
	engine, found := model.answered(msg.Engine, msg.Attempt)
	if !found || !engine.reserving {
		return model
	}
	engine.attempt, engine.reserving = 0, false
	engine.reserveAt = now.Add(reserveInterval)
	if msg.Granted {
		engine.reserved = msg.Models
	}
	model.engines[msg.Engine] = engine
	return model
}

func (model Model) freedAnswer(now time.Time, msg ReleaseResult) Model {
	if msg.Attempt != model.freeing {
		return model
	}
	model.freeing = 0
	model.freeAt = now.Add(reserveInterval)
	model.mayReserve = msg.Failed
	return model
}

// changes returns the commands that report what differs between two models.
func changes(before, after Model) []Cmd {
	var cmds []Cmd
	for name, engine := range before.engines {
		if _, found := after.engines[name]; !found && engine.out {
			cmds = append(cmds, MarkDraining{Engine: name})
		}
	}
	for _, name := range after.names {
		old, engine := before.engines[name], after.engines[name]
		if old.out != engine.out {
			cmds = append(cmds, MarkDraining{Engine: name, Draining: engine.out})
		}
		if old.phase != engine.phase || old.reason != engine.reason {
			cmds = append(cmds, LogPhaseChange{Engine: name, Phase: engine.phase, Reason: engine.reason})
		}
	}
	return cmds
}
