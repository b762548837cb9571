package lwtorder_test

import (
	"math"
	"time"

	"lacewingtide/core/lwtorder"
)

// fakeEngine simulates an engine in virtual time.
type fakeEngine struct {
	simulation       *simulation
	name             string
	state            lwtorder.EngineState
	highestOrder     lwtorder.OrderNumber // of all orders that took effect, across restarts
	pendingConfig    lwtorder.EngineConfig
	markedDraining   bool
	crashNextChange  bool
	downUntil        time.Time
	silentUntil      time.Time // accepts connections and never responds
	pausedUntil      time.Time
	bodyDelay        time.Duration // of the next order
	loseNextResponse bool          // response to the next order
	accepted         []lwtorder.Order
	acceptedAt       []time.Time
	// interrupted counts streams that an order ended.
	interrupted int
}

func (simulation *simulation) servedOutside(model, group string) bool {
	for name, engine := range simulation.engines {
		declared := simulation.state.Engines[name]
		if declared.Group != group && !declared.Draining && engine.serves(model) {
			return true
		}
	}
	return false
}

func (engine *fakeEngine) serves(model string) bool {
	_, found := engine.state.Config.Models[model]
	if engine.state.Reconfiguring {
		_, kept := engine.pendingConfig.Models[model]
		found = found && kept && engine.pendingConfig.Role == engine.state.Config.Role
	}
	return found && !engine.downUntil.After(engine.simulation.now)
}

func (simulation *simulation) serving(model string) int {
	count := 0
	for _, engine := range simulation.engines {
		if engine.serves(model) {
			count++
		}
	}
	return count
}

// watch samples how many engines serve a model and how many are reconfiguring.
func (simulation *simulation) watch(model string) {
	if _, found := simulation.leastServing[model]; !found {
		simulation.leastServing[model] = len(simulation.engines)
	}
	simulation.leastServing[model] = min(simulation.leastServing[model], simulation.serving(model))
	changing := 0
	for _, engine := range simulation.engines {
		if engine.state.Reconfiguring {
			changing++
		}
	}
	simulation.mostChanging = max(simulation.mostChanging, changing)
	simulation.schedule(50*time.Millisecond, func() { simulation.watch(model) })
}

// firstOrderNumber returns the number of the first order that took effect, or the
// highest fencing number if there was none.
func (engine *fakeEngine) firstOrderNumber() lwtorder.OrderNumber {
	if len(engine.accepted) == 0 {
		return lwtorder.OrderNumber{Fencing: math.MaxInt64}
	}
	return engine.accepted[0].OrderNumber
}

func (engine *fakeEngine) reachable(daemon *daemon) bool {
	now := engine.simulation.now
	return !engine.downUntil.After(now) && !engine.silentUntil.After(now) && !daemon.partitionedUntil.After(now)
}

// scheduleStep runs a step of the engine after a delay and the rest of its pause.
func (engine *fakeEngine) scheduleStep(step func()) {
	engine.simulation.schedule(engine.simulation.delay()+max(0, engine.pausedUntil.Sub(engine.simulation.now)), step)
}

// call runs a request to an engine. Either the step passed to respond or the
// timeout function has an effect, whichever is first, and only once.
func (daemon *daemon) call(timeout func(), serve func(respond func(func()))) {
	done := false
	once := func(step func()) {
		daemon.deliver(func() {
			if !done {
				done = true
				step()
			}
		})
	}
	daemon.simulation.schedule(engineTimeout, func() { once(timeout) })
	serve(func(step func()) { daemon.simulation.schedule(daemon.simulation.delay(), func() { once(step) }) })
}

func (daemon *daemon) readState(cmd lwtorder.ReadState, reply func(lwtorder.Msg) func()) {
	engine := daemon.simulation.engines[cmd.Engine]
	msg := lwtorder.StateRead{Engine: cmd.Engine, Attempt: cmd.Attempt, Failed: true}
	daemon.call(reply(msg), func(respond func(func())) {
		engine.scheduleStep(func() {
			if engine.reachable(daemon) {
				msg.Failed, msg.State = false, engine.state
				respond(reply(msg))
			}
		})
	})
}

// sendOrder simulates the exchange of section 5.4 of the design step by step:
// request head, 100 Continue, check of the lease, body, effect, response.
func (daemon *daemon) sendOrder(group string, cmd lwtorder.SendOrder, reply func(lwtorder.Msg) func()) {
	engine := daemon.simulation.engines[cmd.Engine]
	outcome := lwtorder.OutcomeNotSent
	ended := func() {
		reply(lwtorder.OrderResult{Engine: cmd.Engine, Attempt: cmd.Attempt, Outcome: outcome})()
	}
	daemon.call(ended, func(respond func(func())) {
		engine.scheduleStep(func() {
			if !engine.reachable(daemon) {
				return
			}
			timer, engineIncarnation := daemon.simulation.now, engine.state.Incarnation
			daemon.simulation.schedule(daemon.simulation.delay(), func() {
				daemon.deliver(func() {
					lease := daemon.leases[group].Lease()
					if lease.Fencing != cmd.Order.Fencing || !lease.ValidFor(daemon.localTime(), cmd.LeaseMargin) {
						respond(ended)
						return
					}
					outcome = lwtorder.OutcomeUnknown
					incarnation, pause := daemon.incarnation, daemon.pauseAfterCheck
					daemon.pauseAfterCheck = 0
					if pause > 0 {
						daemon.pausedUntil = daemon.simulation.now.Add(pause)
					}
					wait := pause + engine.bodyDelay
					engine.bodyDelay = 0
					daemon.simulation.schedule(wait, func() {
						engine.scheduleStep(func() {
							if engine.downUntil.After(daemon.simulation.now) || engine.state.Incarnation != engineIncarnation {
								return
							}
							result := engine.accept(incarnation, group, timer, cmd.Order)
							if engine.loseNextResponse {
								engine.loseNextResponse = false
								return
							}
							respond(func() { outcome = result; ended() })
						})
					})
				})
			})
		})
	})
}

// accept decides on an order whose read timer started at the given time. If the
// order takes effect, it checks G1 (an engine executes orders one at a time and
// in the order of their numbers) and G3 (only orders of the current lease holder
// take effect).
func (engine *fakeEngine) accept(holder, group string, timer time.Time, order lwtorder.Order) lwtorder.Outcome {
	simulation, declared := engine.simulation, engine.simulation.state.Engines[engine.name]
	timeout := declared.OrderReadTimeout.Std()
	if timeout > 0 && simulation.now.Sub(timer) > timeout {
		return lwtorder.OutcomeRefused
	}
	if declared.ChecksFencing {
		switch compared := order.Compare(engine.state.LastOrder); {
		case compared == 0:
			return lwtorder.OutcomeAccepted
		case compared < 0 || engine.state.Reconfiguring || order.Incarnation != engine.state.Incarnation:
			return lwtorder.OutcomeRefused
		}
	}
	if row := simulation.rows["lease/"+group]; timeout > 0 && (row.Holder != holder || row.Fencing != order.Fencing) {
		simulation.violation("G3: %s accepted order %v of %s, the lease is %+v", engine.name, order.OrderNumber, holder, row)
	}
	if order.Compare(engine.highestOrder) <= 0 {
		simulation.violation("G1: %s accepted order %v after %v", engine.name, order.OrderNumber, engine.highestOrder)
	}
	if engine.state.Reconfiguring {
		simulation.violation("G1: %s accepted order %v while it executed %v",
			engine.name, order.OrderNumber, engine.state.LastOrder)
	}
	engine.begin(order)
	return lwtorder.OutcomeAccepted
}

func (engine *fakeEngine) begin(order lwtorder.Order) {
	if !order.Extends(engine.state.Config) && engine.state.ActiveStreams > 0 {
		engine.interrupted += engine.state.ActiveStreams
		engine.state.ActiveStreams = 0
	}
	engine.highestOrder, engine.pendingConfig = order.OrderNumber, order.EngineConfig
	engine.accepted = append(engine.accepted, order)
	engine.acceptedAt = append(engine.acceptedAt, engine.simulation.now)
	engine.state.Reconfiguring, engine.state.LastOrder = true, order.OrderNumber
	incarnation := engine.state.Incarnation
	engine.simulation.schedule(changeTime/2, func() {
		if engine.crashNextChange && engine.state.Incarnation == incarnation {
			engine.crashNextChange = false
			engine.restart(5 * time.Second)
			engine.state.Config.Models = map[string]string{}
		}
	})
	engine.simulation.schedule(changeTime, func() {
		if engine.state.Reconfiguring && engine.state.Incarnation == incarnation {
			engine.state.Reconfiguring, engine.state.Config = false, order.EngineConfig
		}
	})
}

// restart begins a new incarnation that responds once the downtime is over.
func (engine *fakeEngine) restart(down time.Duration) {
	engine.state.Incarnation++
	engine.state.Reconfiguring, engine.state.ActiveStreams = false, 0
	if !engine.simulation.state.Engines[engine.name].ChecksFencing {
		engine.state.LastOrder = lwtorder.OrderNumber{}
	}
	engine.downUntil = engine.simulation.now.Add(down)
}

// endStreams ends one stream each second while the engine gets no new requests.
func (engine *fakeEngine) endStreams() {
	engine.simulation.schedule(time.Second, func() {
		if engine.state.ActiveStreams > 0 &&
			(engine.markedDraining || engine.simulation.state.Engines[engine.name].Draining) {
			engine.state.ActiveStreams--
		}
		engine.endStreams()
	})
}
