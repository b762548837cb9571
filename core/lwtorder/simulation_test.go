package lwtorder_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlease"
	"lacewingtide/core/lwtorder"
)

const (
	storeTimeout         = 2 * time.Second
	engineTimeout        = 2500 * time.Millisecond
	changeTime           = 2 * time.Second
	memberDetectionDelay = 8 * time.Second
)

// simulation runs daemons, a table and engines in virtual time. For each order
// that takes effect it checks the guarantees G1 and G3 (see fakeEngine.accept).
type simulation struct {
	start, now      time.Time
	rng             *rand.Rand
	queue           eventQueue
	events          int64
	rows            map[string]lwtlease.Row
	versions        int64
	reserved        map[string]reservation
	state           lwtdeclaredstate.State
	daemons         []*daemon
	members         []string
	engines         map[string]*fakeEngine
	storeDownUntil  time.Time
	storeSlowUntil  time.Time
	maxStoreDelay   time.Duration
	responsesToLose int
	reads           int
	writes          int
	// onDeclare, if set, is called with each declared state.
	onDeclare  func(lwtdeclaredstate.State)
	violations []string
	log        []string
	// leastServing and mostChanging are the extremes that watch recorded: engines
	// that served a model, and engines that were reconfiguring.
	leastServing map[string]int
	mostChanging int
}

type event struct {
	at  time.Time
	id  int64
	run func()
}

type eventQueue []event

func (queue eventQueue) Len() int { return len(queue) }
func (queue eventQueue) Less(i, j int) bool {
	return cmp.Or(queue[i].at.Compare(queue[j].at), cmp.Compare(queue[i].id, queue[j].id)) < 0
}
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }
func (queue *eventQueue) Push(e any)   { *queue = append(*queue, e.(event)) }
func (queue *eventQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// daemon runs the state machines of all groups on a clock with its own rate.
type daemon struct {
	simulation       *simulation
	name             string
	incarnation      string
	incarnations     int
	dead             bool
	pausedUntil      time.Time
	partitionedUntil time.Time
	clockRate        float64
	leases           map[string]lwtlease.Model
	orders           map[string]lwtorder.Model
	number           int64
	declaredStateLag time.Duration // of the declared state
	pauseAfterCheck  time.Duration // pause between the lease check and the send of the next order
	stopping         bool
}

func newSimulation(seed uint64, daemons int) *simulation {
	simulation := &simulation{
		start: time.Unix(1_000_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		rows: map[string]lwtlease.Row{}, reserved: map[string]reservation{}, leastServing: map[string]int{},
		engines: map[string]*fakeEngine{}, state: lwtdeclaredstate.New(),
	}
	simulation.now = simulation.start
	for i := range daemons {
		daemon := &daemon{
			simulation: simulation, name: fmt.Sprintf("d%d", i+1), clockRate: 0.9955 + 0.009*simulation.rng.Float64(),
		}
		daemon.dead = true
		simulation.daemons = append(simulation.daemons, daemon)
	}
	return simulation
}

func (simulation *simulation) boot() {
	for _, daemon := range simulation.daemons {
		daemon.boot()
	}
	simulation.announce(0)
}

func (simulation *simulation) schedule(wait time.Duration, run func()) {
	simulation.events++
	heap.Push(&simulation.queue, event{simulation.now.Add(wait), simulation.events, run})
}

func (simulation *simulation) runUntil(at time.Duration) {
	end := simulation.start.Add(at)
	for len(simulation.queue) > 0 && !simulation.queue[0].at.After(end) {
		next := heap.Pop(&simulation.queue).(event)
		simulation.now = next.at
		next.run()
	}
	simulation.now = end
}

func (simulation *simulation) delay() time.Duration {
	return time.Duration(1+simulation.rng.IntN(5)) * time.Millisecond
}

func (simulation *simulation) violation(format string, args ...any) {
	text := fmt.Sprintf("%s: ", simulation.now.Sub(simulation.start)) + fmt.Sprintf(format, args...)
	simulation.violations = append(simulation.violations, text)
}

func (simulation *simulation) announce(after time.Duration) {
	simulation.schedule(after, func() {
		var names []string
		for _, daemon := range simulation.daemons {
			if !daemon.dead {
				names = append(names, daemon.incarnation)
			}
		}
		simulation.members = names
		for _, daemon := range simulation.daemons {
			daemon.deliver(func() {
				for _, group := range daemon.groups() {
					daemon.update(group, lwtlease.SetMembers{Names: names}, nil)
				}
			})
		}
	})
}

// declare activates a state at each daemon within two seconds plus the daemon's
// lag.
func (simulation *simulation) declare(state lwtdeclaredstate.State) {
	simulation.state = state
	if simulation.onDeclare != nil {
		simulation.onDeclare(state)
	}
	if simulation.now.Equal(simulation.start) {
		return
	}
	for _, daemon := range simulation.daemons {
		simulation.schedule(daemon.declaredStateLag+time.Duration(simulation.rng.IntN(2000))*time.Millisecond, func() {
			daemon.deliver(func() { daemon.declare(state) })
		})
	}
}

func (simulation *simulation) holder(group string) *daemon {
	for _, daemon := range simulation.daemons {
		if daemon.incarnation == simulation.rows["lease/"+group].Holder {
			return daemon
		}
	}
	return nil
}

func (daemon *daemon) boot() {
	daemon.incarnations++
	daemon.incarnation, daemon.dead, daemon.stopping = fmt.Sprintf("%s/%d", daemon.name, daemon.incarnations), false, false
	daemon.leases, daemon.orders, daemon.number = map[string]lwtlease.Model{}, map[string]lwtorder.Model{}, 0
	daemon.declare(daemon.simulation.state)
	daemon.tick()
}

func (daemon *daemon) localTime() time.Time {
	elapsed := daemon.simulation.now.Sub(daemon.simulation.start)
	return daemon.simulation.start.Add(time.Duration(float64(elapsed) * daemon.clockRate))
}

// deliver runs a step of the daemon: after its pause if it is paused, and not at
// all if this incarnation has ended.
func (daemon *daemon) deliver(step func()) {
	run := daemon.incarnation
	daemon.simulation.schedule(max(0, daemon.pausedUntil.Sub(daemon.simulation.now)), func() {
		switch {
		case daemon.dead || daemon.incarnation != run:
		case daemon.pausedUntil.After(daemon.simulation.now):
			daemon.deliver(step)
		default:
			step()
		}
	})
}

func (daemon *daemon) tick() {
	daemon.simulation.schedule(lwtlease.TickInterval, func() {
		daemon.deliver(func() {
			for _, group := range daemon.groups() {
				if daemon.stopping && daemon.orders[group].Idle(daemon.localTime()) {
					daemon.update(group, lwtlease.Release{}, nil)
				}
				daemon.update(group, lwtlease.Tick{}, lwtorder.Tick{})
			}
			daemon.tick()
		})
	})
}

func (daemon *daemon) groups() []string { return slices.Sorted(maps.Keys(daemon.leases)) }

func (daemon *daemon) declare(state lwtdeclaredstate.State) {
	for _, engine := range state.Engines {
		if _, found := daemon.leases[engine.Group]; !found {
			daemon.leases[engine.Group] = lwtlease.New(engine.Group, daemon.incarnation)
			daemon.orders[engine.Group] = lwtorder.New(engine.Group)
			daemon.update(engine.Group, lwtlease.SetMembers{Names: daemon.simulation.members}, nil)
		}
	}
	for _, group := range daemon.groups() {
		daemon.update(group, nil, lwtorder.DeclaredStateChanged{State: state})
	}
}

func (daemon *daemon) update(group string, lease lwtlease.Msg, order lwtorder.Msg) {
	now := daemon.localTime()
	var leaseCmds []lwtlease.Cmd
	var orderCmds, more []lwtorder.Cmd
	leaseModel, orderModel := daemon.leases[group], daemon.orders[group]
	before := leaseModel.Lease()
	if lease != nil {
		leaseModel, leaseCmds = leaseModel.Update(now, lease)
	}
	if after := leaseModel.Lease(); after != before {
		orderModel, orderCmds = orderModel.Update(now, lwtorder.LeaseChanged{Lease: after})
	}
	if order != nil {
		orderModel, more = orderModel.Update(now, order)
	}
	daemon.leases[group], daemon.orders[group] = leaseModel, orderModel
	for _, cmd := range leaseCmds {
		daemon.executeLease(cmd)
	}
	for _, cmd := range append(orderCmds, more...) {
		daemon.executeOrder(group, cmd)
	}
}

// store sends a request to the store. It calls serve at the store, and finished
// at the daemon with whether the request failed because no response came in
// time.
func (daemon *daemon) store(write bool, serve func(), finished func(failed bool)) {
	simulation, answered := daemon.simulation, false
	finish := func(failed bool) func() {
		return func() {
			if !answered {
				answered = true
				finished(failed)
			}
		}
	}
	simulation.schedule(storeTimeout, func() { daemon.deliver(finish(true)) })
	wait := simulation.delay()
	if simulation.storeSlowUntil.After(simulation.now) {
		wait += time.Duration(simulation.rng.Int64N(int64(simulation.maxStoreDelay)))
	}
	if daemon.partitionedUntil.After(simulation.now) {
		return
	}
	simulation.schedule(wait, func() {
		if simulation.storeDownUntil.After(simulation.now) {
			return
		}
		serve()
		if write && simulation.responsesToLose > 0 {
			simulation.responsesToLose--
			return
		}
		simulation.schedule(simulation.delay(), func() {
			if !daemon.partitionedUntil.After(simulation.now) {
				daemon.deliver(finish(false))
			}
		})
	})
}

func (daemon *daemon) executeLease(cmd lwtlease.Cmd) {
	simulation := daemon.simulation
	switch cmd := cmd.(type) {
	case lwtlease.LogLeaseChange:
		simulation.log = append(simulation.log,
			fmt.Sprintf("%s %s %s %d", daemon.incarnation, cmd.Group, cmd.Event, cmd.Fencing))
	case lwtlease.ReadRow:
		var row lwtlease.Row
		daemon.store(false, func() {
			simulation.reads++
			row = simulation.rows["lease/"+cmd.Group]
		}, func(failed bool) {
			daemon.update(cmd.Group, lwtlease.RowRead{RequestID: cmd.RequestID, Row: row, Failed: failed}, nil)
		})
	case lwtlease.Commit:
		result := lwtlease.CommitResult{RequestID: cmd.RequestID}
		daemon.store(true, func() {
			key := "lease/" + cmd.Group
			simulation.writes++
			result.Row = simulation.rows[key]
			if result.Conflict = result.Row.Version != cmd.Version; result.Conflict {
				return
			}
			if cmd.Row.Fencing < result.Row.Fencing {
				simulation.violation("fencing number of %s fell to %d", cmd.Group, cmd.Row.Fencing)
			}
			simulation.versions++
			result.Row = cmd.Row
			result.Row.Version = simulation.versions
			simulation.rows[key] = result.Row
		}, func(failed bool) {
			result.Failed = failed
			daemon.update(cmd.Group, result, nil)
		})
	}
}

// reservation is the holder of a model's reservation.
type reservation struct {
	group   string
	fencing int64
}

func (daemon *daemon) executeOrder(group string, cmd lwtorder.Cmd) {
	simulation := daemon.simulation
	reply := func(msg lwtorder.Msg) func() { return func() { daemon.update(group, nil, msg) } }
	switch cmd := cmd.(type) {
	case lwtorder.ReadState:
		daemon.readState(cmd, reply)
	case lwtorder.SendOrder:
		daemon.sendOrder(group, cmd, reply)
	case lwtorder.ReadHead:
		msg := lwtorder.HeadRead{Fencing: cmd.Fencing}
		daemon.store(false, func() { msg.Revision = simulation.state.Revision }, func(failed bool) {
			msg.Failed = failed
			reply(msg)()
		})
	case lwtorder.RaiseFencing:
		daemon.deliver(func() { daemon.update(group, lwtlease.RaiseFencing{Above: cmd.Above}, nil) })
	case lwtorder.MarkDraining:
		simulation.engines[cmd.Engine].markedDraining = cmd.Draining
	case lwtorder.LogPhaseChange:
		simulation.log = append(simulation.log, fmt.Sprintf("%s %s %s %s %s",
			simulation.now.Sub(simulation.start), daemon.incarnation, cmd.Engine, cmd.Phase, cmd.Reason))
	case lwtorder.ReleaseReservations:
		daemon.store(true, func() {
			maps.DeleteFunc(simulation.reserved, func(_ string, holder reservation) bool {
				return holder.group == group && holder.fencing <= cmd.Fencing
			})
		}, func(failed bool) { reply(lwtorder.ReleaseResult{Attempt: cmd.Attempt, Failed: failed})() })
	case lwtorder.ReserveModels:
		granted := true
		daemon.store(true, func() {
			for _, model := range cmd.Models {
				holder, found := simulation.reserved[model]
				if found && (holder.group != group || holder.fencing > cmd.Fencing) {
					granted = false
					return
				}
				simulation.reserved[model] = reservation{group, cmd.Fencing}
				granted = granted && simulation.servedOutside(model, group)
			}
		}, func(failed bool) {
			reply(lwtorder.ReserveResult{
				Engine: cmd.Engine, Attempt: cmd.Attempt, Models: cmd.Models, Granted: granted && !failed,
			})()
		})
	}
}
