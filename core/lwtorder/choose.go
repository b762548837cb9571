package lwtorder

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Reasons why an engine that differs from the declared state waits.
const (
	ReasonUnfenced        = "the engine neither checks fencing numbers nor declares order-read-timeout"
	ReasonLastReplica     = "it is the last serving copy of a model"
	ReasonLoadLimit       = "the group loads as many engines as it may"
	ReasonReplicasUnknown = "the copies in the group are not counted yet"
	ReasonStaleState      = "the declared state in force here is older than the table's"
	ReasonStopping        = "the daemon is shutting down"
	ReasonBackoff         = "the last order had no effect"
	ReasonLeaseTooShort   = "the lease ends too soon for the order-read-timeout"
)

// step sends the reads and orders that are due.
func (model Model) step(now time.Time) (Model, []Cmd) {
	if !model.lease.Valid(now) {
		return model, nil
	}
	model.clearEqual()
	var cmds []Cmd
	if !model.headRead && !now.Before(model.headAt) {
		model.headAt = now.Add(headTimeout)
		cmds = append(cmds, ReadHead{Fencing: model.fencing})
	}
	for _, name := range model.byFewestCopies() {
		if cmd := model.advance(now, name); cmd != nil {
			cmds = append(cmds, cmd)
		}
	}
	cmds = append(cmds, model.dueReads(now)...)
	if model.mayReserve && model.freeing == 0 && !now.Before(model.freeAt) && model.atRest() {
		model.attempts++
		model.freeing = model.attempts
		cmds = append(cmds, ReleaseReservations{Group: model.group, Attempt: model.freeing, Fencing: model.lease.Fencing})
	}
	if above := model.highestFencing(); above > model.lease.Fencing {
		cmds = append(cmds, RaiseFencing{Group: model.group, Above: above})
	}
	return model, cmds
}

// clearEqual ends the waits of engines that run what they should. It modifies
// the model's own engine map.
func (model Model) clearEqual() {
	for name, engine := range model.engines {
		if engine.differs {
			continue
		}
		if engine.phase == PhaseDraining {
			// The declared state went back to what the engine runs.
			engine.phase, engine.out = PhaseSteady, false
		}
		if engine.phase == PhaseSteady && (engine.reason != "" || engine.reserved != nil || model.engines[name].out) {
			engine.reason, engine.reserved = "", nil
			model.engines[name] = engine
		}
	}
}

// dueReads begins the reads that are due. It modifies the model's own engine map.
func (model *Model) dueReads(now time.Time) []Cmd {
	var cmds []Cmd
	for _, name := range model.names {
		if engine := model.engines[name]; engine.readDue(now) {
			model.attempts++
			engine.attempt = model.attempts
			if engine.phase == PhaseUnknown {
				engine.phase = PhaseReading
			}
			model.engines[name] = engine
			cmds = append(cmds, ReadState{Engine: name, Address: engine.declared.Address, Attempt: engine.attempt})
		}
	}
	return cmds
}

// highestFencing returns the highest fencing number that an engine of the group
// which checks them reports, such as that of a former group.
func (model Model) highestFencing() int64 {
	var highest int64
	for _, engine := range model.engines {
		if engine.declared.ChecksFencing {
			highest = max(highest, engine.state.LastOrder.Fencing)
		}
	}
	return highest
}

func (model Model) atRest() bool {
	for _, engine := range model.engines {
		if engine.phase != PhaseSteady || engine.reserving || len(engine.reserved) > 0 {
			return false
		}
	}
	return true
}

// byFewestCopies returns the names of the engines that may begin or go on with a
// change, those first whose next load is of a model with the fewest serving
// copies in the group.
func (model Model) byFewestCopies() []string {
	var names []string
	copies := map[string]int{}
	for _, name := range model.names {
		engine := model.engines[name]
		if !engine.differs || engine.reserving || (engine.phase != PhaseSteady && engine.phase != PhaseDraining) {
			continue
		}
		names = append(names, name)
		copies[name] = len(model.engines)
		for _, loaded := range engine.target.loads(engine.state.Config) {
			copies[name] = min(copies[name], model.serving(loaded, name))
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(copies[a], copies[b]) })
	return names
}

// serving counts the engines of the group other than one that serve a model.
func (model Model) serving(name, except string) int {
	count := 0
	for _, engine := range model.engines {
		if engine.declared.Name != except && engine.serving(name) {
			count++
		}
	}
	return count
}

// advance moves one engine on that differs from its target. It modifies the
// model's own engine map.
func (model *Model) advance(now time.Time, name string) Cmd {
	engine := model.engines[name]
	if engine.phase == PhaseSteady {
		engine.reason = ""
	}
	next, cmd := model.decide(now, engine)
	model.engines[name] = next
	return cmd
}

func (model *Model) decide(now time.Time, engine engine) (engine, Cmd) {
	switch {
	case !engine.orderable():
		engine.reason = ReasonUnfenced
		return engine, nil
	case model.stopping:
		engine.reason = ReasonStopping
		return engine, nil
	case !model.headRead || model.state.Revision < model.head:
		engine.reason = ReasonStaleState
		return engine, nil
	case now.Before(engine.orderAt):
		engine.reason = ReasonBackoff
		return engine, nil
	case engine.phase == PhaseDraining:
		if !engine.drained(now) {
			return engine, nil
		}
		return model.order(now, engine, engine.target)
	case engine.target.Extends(engine.state.Config):
		return model.order(now, engine, engine.target)
	}
	return model.takeOut(now, engine)
}

// takeOut begins a change that makes the engine unavailable or removes
// something from it.
func (model *Model) takeOut(now time.Time, engine engine) (engine, Cmd) {
	needed := model.lastCopies(engine)
	if !slices.ContainsFunc(needed, func(name string) bool { return !slices.Contains(engine.reserved, name) }) {
		engine.phase, engine.reason, engine.out = PhaseDraining, "", true
		engine.drainSince, engine.idleReads = now, 0
		engine.nextRead = now
		return engine, nil
	}
	engine.reason = ReasonLastReplica
	if both := engine.state.Config.With(engine.target); !both.Equal(engine.state.Config) &&
		both.blocks(model.state) <= engine.declared.MemoryBlocks {
		return model.order(now, engine, both)
	}
	if model.freeing != 0 || now.Before(engine.reserveAt) {
		return engine, nil
	}
	model.attempts++
	model.mayReserve = true
	engine.attempt, engine.reserving = model.attempts, true
	return engine, ReserveModels{
		Engine: engine.declared.Name, Attempt: engine.attempt, Group: model.group, Fencing: model.lease.Fencing,
		Models: needed,
	}
}

// lastCopies returns the models, sorted, of which the engine is the only
// serving copy in the group although another engine is declared to serve them.
func (model *Model) lastCopies(engine engine) []string {
	var needed []string
	for _, name := range slices.Sorted(maps.Keys(engine.state.Config.Models)) {
		elsewhere := slices.ContainsFunc(model.state.EnginesServing(name), func(other string) bool {
			return other != engine.declared.Name
		})
		if elsewhere && model.serving(name, engine.declared.Name) == 0 {
			needed = append(needed, name)
		}
	}
	return needed
}

// order sends an order unless the group's bound or the lease forbids it.
func (model *Model) order(now time.Time, engine engine, content EngineConfig) (engine, Cmd) {
	loads, unread := 0, false
	for _, other := range model.engines {
		if other.loading() {
			loads++
		}
		unread = unread || (other.state.Incarnation == 0 && other.failures == 0)
	}
	loading := len(content.loads(engine.state.Config)) > 0
	switch {
	case loading && unread:
		engine.reason = ReasonReplicasUnknown
		return engine, nil
	case loading && loads >= MaxConcurrentLoads:
		engine.reason = ReasonLoadLimit
		return engine, nil
	case !model.lease.ValidFor(now, engine.margin()):
		engine.reason = ReasonLeaseTooShort
		return engine, nil
	}
	model.sequence++
	model.attempts++
	engine.order = Order{
		OrderNumber:  OrderNumber{Fencing: model.lease.Fencing, Sequence: model.sequence},
		Incarnation:  engine.state.Incarnation,
		EngineConfig: content,
	}
	engine.phase, engine.reason, engine.attempt = PhaseOrdering, "", model.attempts
	engine.accepted = false
	return engine, SendOrder{
		Engine: engine.declared.Name, Address: engine.declared.Address, Attempt: engine.attempt,
		Order: engine.order, LeaseMargin: engine.margin(),
	}
}
