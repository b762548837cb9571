package lwtorder

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Reasons why no order is sent to an engine that differs from its target.
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

// step returns the commands for all reads, orders and reservations that are due.
func (model Model) step(now time.Time) (Model, []Cmd) {
	if !model.lease.Valid(now) {
		return model, nil
	}
	model.clearConverged()
	var cmds []Cmd
	if !model.headKnown && !now.Before(model.headReadAt) {
		model.headReadAt = now.Add(headReadTimeout)
		cmds = append(cmds, ReadHead{Fencing: model.fencing})
	}
	for _, name := range model.byFewestReplicas() {
		if cmd := model.advance(now, name); cmd != nil {
			cmds = append(cmds, cmd)
		}
	}
	cmds = append(cmds, model.startDueReads(now)...)
	if model.mayHoldReservations && model.releaseAttempt == 0 && !now.Before(model.releaseRetryAt) && model.allSteady() {
		model.lastAttempt++
		model.releaseAttempt = model.lastAttempt
		cmds = append(cmds, ReleaseReservations{
			Group: model.group, Attempt: model.releaseAttempt, Fencing: model.lease.Fencing,
		})
	}
	if above := model.highestFencing(); above > model.lease.Fencing {
		cmds = append(cmds, RaiseFencing{Group: model.group, Above: above})
	}
	return model, cmds
}

// clearConverged clears the reason, reservations and draining of engines that
// run their target configuration. It modifies the model's engine map.
func (model Model) clearConverged() {
	for name, engine := range model.engines {
		if engine.differs {
			continue
		}
		if engine.phase == PhaseDraining {
			// A newer declared state again matches the configuration that the engine runs.
			engine.phase, engine.markedDraining = PhaseSteady, false
		}
		if engine.phase == PhaseSteady &&
			(engine.reason != "" || engine.reservedModels != nil || model.engines[name].markedDraining) {
			engine.reason, engine.reservedModels = "", nil
			model.engines[name] = engine
		}
	}
}

// startDueReads starts the state reads that are due. It modifies the model's
// engine map.
func (model *Model) startDueReads(now time.Time) []Cmd {
	var cmds []Cmd
	for _, name := range model.names {
		if engine := model.engines[name]; engine.readDue(now) {
			model.lastAttempt++
			engine.attempt = model.lastAttempt
			if engine.phase == PhaseUnknown {
				engine.phase = PhaseReading
			}
			model.engines[name] = engine
			cmds = append(cmds, ReadState{Engine: name, Address: engine.declared.Address, Attempt: engine.attempt})
		}
	}
	return cmds
}

// highestFencing returns the highest fencing number reported by an engine that
// checks fencing numbers. It can exceed that of the lease, for example when the
// engine comes from another group.
func (model Model) highestFencing() int64 {
	var highest int64
	for _, engine := range model.engines {
		if engine.declared.ChecksFencing {
			highest = max(highest, engine.state.LastOrder.Fencing)
		}
	}
	return highest
}

func (model Model) allSteady() bool {
	for _, engine := range model.engines {
		if engine.phase != PhaseSteady || engine.reserving || len(engine.reservedModels) > 0 {
			return false
		}
	}
	return true
}

// byFewestReplicas returns the names of the engines that may begin or continue a
// change, ordered by the fewest serving replicas in the group of a model that
// the engine is to load.
func (model Model) byFewestReplicas() []string {
	var names []string
	replicas := map[string]int{}
	for _, name := range model.names {
		engine := model.engines[name]
		if !engine.differs || engine.reserving || (engine.phase != PhaseSteady && engine.phase != PhaseDraining) {
			continue
		}
		names = append(names, name)
		replicas[name] = len(model.engines)
		for _, loaded := range engine.target.modelsToLoad(engine.state.Config) {
			replicas[name] = min(replicas[name], model.servingReplicas(loaded, name))
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(replicas[a], replicas[b]) })
	return names
}

// servingReplicas counts the engines of the group that serve a model, except for
// one engine.
func (model Model) servingReplicas(name, except string) int {
	count := 0
	for _, engine := range model.engines {
		if engine.declared.Name != except && engine.serving(name) {
			count++
		}
	}
	return count
}

// advance makes the next step for an engine that differs from its target. It
// modifies the model's engine map.
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
	case !engine.rejectsLateOrders():
		engine.reason = ReasonUnfenced
		return engine, nil
	case model.stopping:
		engine.reason = ReasonStopping
		return engine, nil
	case !model.headKnown || model.state.Revision < model.headRevision:
		engine.reason = ReasonStaleState
		return engine, nil
	case now.Before(engine.orderRetryAt):
		engine.reason = ReasonBackoff
		return engine, nil
	case engine.phase == PhaseDraining:
		if !engine.drained(now) {
			return engine, nil
		}
		return model.sendOrder(now, engine, engine.target)
	case engine.target.Extends(engine.state.Config):
		return model.sendOrder(now, engine, engine.target)
	}
	return model.beginDisruptiveChange(now, engine)
}

// beginDisruptiveChange begins a change that makes the engine unavailable or
// removes a model or adapter from it. The engine is drained at once unless it
// serves the last replica of a model in the group. In that case an order loads
// the new models besides the old ones if they fit into memory; otherwise the
// models are reserved first.
func (model *Model) beginDisruptiveChange(now time.Time, engine engine) (engine, Cmd) {
	needed := model.lastReplicas(engine)
	if !slices.ContainsFunc(needed, func(name string) bool { return !slices.Contains(engine.reservedModels, name) }) {
		engine.phase, engine.reason, engine.markedDraining = PhaseDraining, "", true
		engine.drainSince, engine.idleReads = now, 0
		engine.nextRead = now
		return engine, nil
	}
	engine.reason = ReasonLastReplica
	if combined := engine.state.Config.Union(engine.target); !combined.Equal(engine.state.Config) &&
		combined.memoryBlocks(model.state) <= engine.declared.MemoryBlocks {
		return model.sendOrder(now, engine, combined)
	}
	if model.releaseAttempt != 0 || now.Before(engine.reserveRetryAt) {
		return engine, nil
	}
	model.lastAttempt++
	model.mayHoldReservations = true
	engine.attempt, engine.reserving = model.lastAttempt, true
	return engine, ReserveModels{
		Engine: engine.declared.Name, Attempt: engine.attempt, Group: model.group, Fencing: model.lease.Fencing,
		Models: needed,
	}
}

// lastReplicas returns the models, sorted, whose only serving replica in the
// group is the engine although another engine is declared to serve them.
func (model *Model) lastReplicas(engine engine) []string {
	var needed []string
	for _, name := range slices.Sorted(maps.Keys(engine.state.Config.Models)) {
		elsewhere := slices.ContainsFunc(model.state.EnginesServing(name), func(other string) bool {
			return other != engine.declared.Name
		})
		if elsewhere && model.servingReplicas(name, engine.declared.Name) == 0 {
			needed = append(needed, name)
		}
	}
	return needed
}

// sendOrder sends an order unless MaxConcurrentLoads or the remaining time of
// the lease forbids it.
func (model *Model) sendOrder(now time.Time, engine engine, config EngineConfig) (engine, Cmd) {
	loads, unread := 0, false
	for _, other := range model.engines {
		if other.loading() {
			loads++
		}
		unread = unread || (other.state.Incarnation == 0 && other.readFailures == 0)
	}
	loading := len(config.modelsToLoad(engine.state.Config)) > 0
	switch {
	case loading && unread:
		engine.reason = ReasonReplicasUnknown
		return engine, nil
	case loading && loads >= MaxConcurrentLoads:
		engine.reason = ReasonLoadLimit
		return engine, nil
	case !model.lease.ValidFor(now, engine.leaseMargin()):
		engine.reason = ReasonLeaseTooShort
		return engine, nil
	}
	model.lastSequence++
	model.lastAttempt++
	engine.order = Order{
		OrderNumber:  OrderNumber{Fencing: model.lease.Fencing, Sequence: model.lastSequence},
		Incarnation:  engine.state.Incarnation,
		EngineConfig: config,
	}
	engine.phase, engine.reason, engine.attempt = PhaseOrdering, "", model.lastAttempt
	engine.accepted = false
	return engine, SendOrder{
		Engine: engine.declared.Name, Address: engine.declared.Address, Attempt: engine.attempt,
		Order: engine.order, LeaseMargin: engine.leaseMargin(),
	}
}
