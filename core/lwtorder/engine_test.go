package lwtorder_test

import (
	"math"
	"time"

	"lacewingtide/core/lwtorder"
)

// fakeEngine is an engine in virtual time.
type fakeEngine struct {
	world     *world
	name      string
	state     lwtorder.EngineState
	highest   lwtorder.OrderNumber // of all orders that took effect, over restarts
	change    lwtorder.EngineConfig
	marked    bool
	crashNext bool
	dead      time.Time
	silent    time.Time // takes connections and never answers
	paused    time.Time
	bodyDelay time.Duration // of the next order
	loseNext  bool          // answer of the next order
	accepted  []lwtorder.Order
	acceptedA []time.Time
	// interrupted counts streams that an order ended.
	interrupted int
}

func (world *world) servedOutside(model, group string) bool {
	for name, engine := range world.engines {
		declared := world.state.Engines[name]
		if declared.Group != group && !declared.Draining && engine.serves(model) {
			return true
		}
	}
	return false
}

func (engine *fakeEngine) serves(model string) bool {
	_, found := engine.state.Config.Models[model]
	if engine.state.Reconfiguring {
		_, kept := engine.change.Models[model]
		found = found && kept && engine.change.Role == engine.state.Config.Role
	}
	return found && !engine.dead.After(engine.world.now)
}

func (world *world) serving(model string) int {
	count := 0
	for _, engine := range world.engines {
		if engine.serves(model) {
			count++
		}
	}
	return count
}

// watch samples how many engines serve a model and how many change.
func (world *world) watch(model string) {
	if _, found := world.least[model]; !found {
		world.least[model] = len(world.engines)
	}
	world.least[model] = min(world.least[model], world.serving(model))
	changing := 0
	for _, engine := range world.engines {
		if engine.state.Reconfiguring {
			changing++
		}
	}
	world.mostChanging = max(world.mostChanging, changing)
	world.after(50*time.Millisecond, func() { world.watch(model) })
}

// firstNumber returns the number of the first order that took effect.
func (engine *fakeEngine) firstNumber() lwtorder.OrderNumber {
	if len(engine.accepted) == 0 {
		return lwtorder.OrderNumber{Fencing: math.MaxInt64}
	}
	return engine.accepted[0].OrderNumber
}

func (engine *fakeEngine) reachable(daemon *daemon) bool {
	now := engine.world.now
	return !engine.dead.After(now) && !engine.silent.After(now) && !daemon.cut.After(now)
}

// at runs a step of the engine after its pause.
func (engine *fakeEngine) at(step func()) {
	engine.world.after(engine.world.delay()+max(0, engine.paused.Sub(engine.world.now)), step)
}

// call runs an exchange with an engine. Exactly one of the two functions that
// it hands to serve and that it calls itself after the timeout has an effect.
func (daemon *daemon) call(timeout func(), serve func(answer func(func()))) {
	done := false
	once := func(step func()) {
		daemon.deliver(func() {
			if !done {
				done = true
				step()
			}
		})
	}
	daemon.world.after(engineTimeout, func() { once(timeout) })
	serve(func(step func()) { daemon.world.after(daemon.world.delay(), func() { once(step) }) })
}

func (daemon *daemon) readState(cmd lwtorder.ReadState, reply func(lwtorder.Msg) func()) {
	engine := daemon.world.engines[cmd.Engine]
	msg := lwtorder.StateRead{Engine: cmd.Engine, Attempt: cmd.Attempt, Failed: true}
	daemon.call(reply(msg), func(answer func(func())) {
		engine.at(func() {
			if engine.reachable(daemon) {
				msg.Failed, msg.State = false, engine.state
				answer(reply(msg))
			}
		})
	})
}

// sendOrder is the exchange of design 5.4 in steps: head, 100 Continue, check of
// the lease, body, effect, answer.
func (daemon *daemon) sendOrder(group string, cmd lwtorder.SendOrder, reply func(lwtorder.Msg) func()) {
	engine := daemon.world.engines[cmd.Engine]
	outcome := lwtorder.OutcomeNotSent
	ended := func() {
		reply(lwtorder.OrderResult{Engine: cmd.Engine, Attempt: cmd.Attempt, Outcome: outcome})()
	}
	daemon.call(ended, func(answer func(func())) {
		engine.at(func() {
			if !engine.reachable(daemon) {
				return
			}
			timer, incarnation := daemon.world.now, engine.state.Incarnation
			daemon.world.after(daemon.world.delay(), func() {
				daemon.deliver(func() {
					lease := daemon.leases[group].Lease()
					if lease.Fencing != cmd.Order.Fencing || !lease.ValidFor(daemon.local(), cmd.LeaseMargin) {
						answer(ended)
						return
					}
					outcome = lwtorder.OutcomeUnknown
					run, pause := daemon.run, daemon.atCheck
					daemon.atCheck = 0
					if pause > 0 {
						daemon.paused = daemon.world.now.Add(pause)
					}
					wait := pause + engine.bodyDelay
					engine.bodyDelay = 0
					daemon.world.after(wait, func() {
						engine.at(func() {
							if engine.dead.After(daemon.world.now) || engine.state.Incarnation != incarnation {
								return
							}
							result := engine.accept(run, group, timer, cmd.Order)
							if engine.loseNext {
								engine.loseNext = false
								return
							}
							answer(func() { outcome = result; ended() })
						})
					})
				})
			})
		})
	})
}

// accept decides on an order whose read timer started at a time, and checks G1
// and G3 if it takes effect.
func (engine *fakeEngine) accept(run, group string, timer time.Time, order lwtorder.Order) lwtorder.Outcome {
	world, declared := engine.world, engine.world.state.Engines[engine.name]
	timeout := declared.OrderReadTimeout.Std()
	if timeout > 0 && world.now.Sub(timer) > timeout {
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
	if row := world.rows["lease/"+group]; timeout > 0 && (row.Holder != run || row.Fencing != order.Fencing) {
		world.violation("G3: %s took order %v of %s, the lease is %+v", engine.name, order.OrderNumber, run, row)
	}
	if order.Compare(engine.highest) <= 0 {
		world.violation("G1: %s took order %v after %v", engine.name, order.OrderNumber, engine.highest)
	}
	if engine.state.Reconfiguring {
		world.violation("G1: %s took order %v while it carried out %v", engine.name, order.OrderNumber, engine.state.LastOrder)
	}
	engine.begin(order)
	return lwtorder.OutcomeAccepted
}

func (engine *fakeEngine) begin(order lwtorder.Order) {
	if !order.Extends(engine.state.Config) && engine.state.ActiveStreams > 0 {
		engine.interrupted += engine.state.ActiveStreams
		engine.state.ActiveStreams = 0
	}
	engine.highest, engine.change = order.OrderNumber, order.EngineConfig
	engine.accepted = append(engine.accepted, order)
	engine.acceptedA = append(engine.acceptedA, engine.world.now)
	engine.state.Reconfiguring, engine.state.LastOrder = true, order.OrderNumber
	incarnation := engine.state.Incarnation
	engine.world.after(changeTime/2, func() {
		if engine.crashNext && engine.state.Incarnation == incarnation {
			engine.crashNext = false
			engine.restart(5 * time.Second)
			engine.state.Config.Models = map[string]string{}
		}
	})
	engine.world.after(changeTime, func() {
		if engine.state.Reconfiguring && engine.state.Incarnation == incarnation {
			engine.state.Reconfiguring, engine.state.Config = false, order.EngineConfig
		}
	})
}

// restart begins a new incarnation that answers after a time.
func (engine *fakeEngine) restart(down time.Duration) {
	engine.state.Incarnation++
	engine.state.Reconfiguring, engine.state.ActiveStreams = false, 0
	if !engine.world.state.Engines[engine.name].ChecksFencing {
		engine.state.LastOrder = lwtorder.OrderNumber{}
	}
	engine.dead = engine.world.now.Add(down)
}

// work lets one stream end each second while the engine is kept from new work.
func (engine *fakeEngine) work() {
	engine.world.after(time.Second, func() {
		if engine.state.ActiveStreams > 0 && (engine.marked || engine.world.state.Engines[engine.name].Draining) {
			engine.state.ActiveStreams--
		}
		engine.work()
	})
}
