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
	storeTimeout  = 2 * time.Second
	engineTimeout = 2500 * time.Millisecond
	changeTime    = 2 * time.Second
	memberLag     = 8 * time.Second
)

// world runs daemons, a table and engines in virtual time, and checks at each
// order that takes effect that G1 and G3 hold.
type world struct {
	start, now time.Time
	random     *rand.Rand
	queue      eventQueue
	events     int64
	rows       map[string]lwtlease.Row
	versions   int64
	reserved   map[string]reservation
	state      lwtdeclaredstate.State
	daemons    []*daemon
	members    []string
	engines    map[string]*fakeEngine
	storeDown  time.Time
	storeSlow  time.Time
	slowBy     time.Duration
	loseNext   int
	reads      int
	writes     int
	// declared, if set, learns each declared state.
	declared   func(lwtdeclaredstate.State)
	violations []string
	log        []string
	// least and mostChanging are what watch saw.
	least        map[string]int
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

// daemon runs the models of all groups on a clock of its own.
type daemon struct {
	world   *world
	name    string
	run     string
	runs    int
	dead    bool
	paused  time.Time
	cut     time.Time
	rate    float64
	leases  map[string]lwtlease.Model
	orders  map[string]lwtorder.Model
	number  int64
	lag     time.Duration // of the declared state
	atCheck time.Duration // pause between the check and the send of the next order
	stop    bool
}

func newWorld(seed uint64, daemons int) *world {
	world := &world{
		start: time.Unix(1_000_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		rows: map[string]lwtlease.Row{}, reserved: map[string]reservation{}, least: map[string]int{}, engines: map[string]*fakeEngine{},
		state: lwtdeclaredstate.New(),
	}
	world.now = world.start
	for i := range daemons {
		daemon := &daemon{world: world, name: fmt.Sprintf("d%d", i+1), rate: 0.9955 + 0.009*world.random.Float64()}
		daemon.dead = true
		world.daemons = append(world.daemons, daemon)
	}
	return world
}

func (world *world) boot() {
	for _, daemon := range world.daemons {
		daemon.boot()
	}
	world.announce(0)
}

func (world *world) after(wait time.Duration, run func()) {
	world.events++
	heap.Push(&world.queue, event{world.now.Add(wait), world.events, run})
}

func (world *world) runUntil(at time.Duration) {
	end := world.start.Add(at)
	for len(world.queue) > 0 && !world.queue[0].at.After(end) {
		next := heap.Pop(&world.queue).(event)
		world.now = next.at
		next.run()
	}
	world.now = end
}

func (world *world) delay() time.Duration {
	return time.Duration(1+world.random.IntN(5)) * time.Millisecond
}

func (world *world) violation(format string, args ...any) {
	text := fmt.Sprintf("%s: ", world.now.Sub(world.start)) + fmt.Sprintf(format, args...)
	world.violations = append(world.violations, text)
}

func (world *world) announce(after time.Duration) {
	world.after(after, func() {
		var names []string
		for _, daemon := range world.daemons {
			if !daemon.dead {
				names = append(names, daemon.run)
			}
		}
		world.members = names
		for _, daemon := range world.daemons {
			daemon.deliver(func() {
				for _, group := range daemon.groups() {
					daemon.update(group, lwtlease.SetMembers{Names: names}, nil)
				}
			})
		}
	})
}

// declare puts a state in force at each daemon after up to two seconds.
func (world *world) declare(state lwtdeclaredstate.State) {
	world.state = state
	if world.declared != nil {
		world.declared(state)
	}
	if world.now.Equal(world.start) {
		return
	}
	for _, daemon := range world.daemons {
		world.after(daemon.lag+time.Duration(world.random.IntN(2000))*time.Millisecond, func() {
			daemon.deliver(func() { daemon.declare(state) })
		})
	}
}

func (world *world) holder(group string) *daemon {
	for _, daemon := range world.daemons {
		if daemon.run == world.rows["lease/"+group].Holder {
			return daemon
		}
	}
	return nil
}

func (daemon *daemon) boot() {
	daemon.runs++
	daemon.run, daemon.dead, daemon.stop = fmt.Sprintf("%s/%d", daemon.name, daemon.runs), false, false
	daemon.leases, daemon.orders, daemon.number = map[string]lwtlease.Model{}, map[string]lwtorder.Model{}, 0
	daemon.declare(daemon.world.state)
	daemon.tick()
}

func (daemon *daemon) local() time.Time {
	elapsed := daemon.world.now.Sub(daemon.world.start)
	return daemon.world.start.Add(time.Duration(float64(elapsed) * daemon.rate))
}

// deliver runs a step of the daemon, after its pause if it is paused, and never
// if this run of it is over.
func (daemon *daemon) deliver(step func()) {
	run := daemon.run
	daemon.world.after(max(0, daemon.paused.Sub(daemon.world.now)), func() {
		switch {
		case daemon.dead || daemon.run != run:
		case daemon.paused.After(daemon.world.now):
			daemon.deliver(step)
		default:
			step()
		}
	})
}

func (daemon *daemon) tick() {
	daemon.world.after(lwtlease.TickInterval, func() {
		daemon.deliver(func() {
			for _, group := range daemon.groups() {
				if daemon.stop && daemon.orders[group].Idle(daemon.local()) {
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
			daemon.leases[engine.Group] = lwtlease.New(engine.Group, daemon.run)
			daemon.orders[engine.Group] = lwtorder.New(engine.Group)
			daemon.update(engine.Group, lwtlease.SetMembers{Names: daemon.world.members}, nil)
		}
	}
	for _, group := range daemon.groups() {
		daemon.update(group, nil, lwtorder.DeclaredStateChanged{State: state})
	}
}

func (daemon *daemon) update(group string, lease lwtlease.Msg, order lwtorder.Msg) {
	now := daemon.local()
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

// store calls the store: serve runs there, and answer back at the daemon with
// whether the answer came in time.
func (daemon *daemon) store(write bool, serve func(), answer func(failed bool)) {
	world, answered := daemon.world, false
	finish := func(failed bool) func() {
		return func() {
			if !answered {
				answered = true
				answer(failed)
			}
		}
	}
	world.after(storeTimeout, func() { daemon.deliver(finish(true)) })
	wait := world.delay()
	if world.storeSlow.After(world.now) {
		wait += time.Duration(world.random.Int64N(int64(world.slowBy)))
	}
	if daemon.cut.After(world.now) {
		return
	}
	world.after(wait, func() {
		if world.storeDown.After(world.now) {
			return
		}
		serve()
		if write && world.loseNext > 0 {
			world.loseNext--
			return
		}
		world.after(world.delay(), func() {
			if !daemon.cut.After(world.now) {
				daemon.deliver(finish(false))
			}
		})
	})
}

func (daemon *daemon) executeLease(cmd lwtlease.Cmd) {
	world := daemon.world
	switch cmd := cmd.(type) {
	case lwtlease.LogLeaseChange:
		world.log = append(world.log, fmt.Sprintf("%s %s %s %d", daemon.run, cmd.Group, cmd.Event, cmd.Fencing))
	case lwtlease.ReadRow:
		var row lwtlease.Row
		daemon.store(false, func() {
			world.reads++
			row = world.rows["lease/"+cmd.Group]
		}, func(failed bool) {
			daemon.update(cmd.Group, lwtlease.RowRead{RequestID: cmd.RequestID, Row: row, Failed: failed}, nil)
		})
	case lwtlease.Commit:
		result := lwtlease.CommitResult{RequestID: cmd.RequestID}
		daemon.store(true, func() {
			key := "lease/" + cmd.Group
			world.writes++
			result.Row = world.rows[key]
			if result.Conflict = result.Row.Version != cmd.Version; result.Conflict {
				return
			}
			if cmd.Row.Fencing < result.Row.Fencing {
				world.violation("fencing number of %s fell to %d", cmd.Group, cmd.Row.Fencing)
			}
			world.versions++
			result.Row = cmd.Row
			result.Row.Version = world.versions
			world.rows[key] = result.Row
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
	world := daemon.world
	reply := func(msg lwtorder.Msg) func() { return func() { daemon.update(group, nil, msg) } }
	switch cmd := cmd.(type) {
	case lwtorder.ReadState:
		daemon.readState(cmd, reply)
	case lwtorder.SendOrder:
		daemon.sendOrder(group, cmd, reply)
	case lwtorder.ReadHead:
		msg := lwtorder.HeadRead{Fencing: cmd.Fencing}
		daemon.store(false, func() { msg.Revision = world.state.Revision }, func(failed bool) {
			msg.Failed = failed
			reply(msg)()
		})
	case lwtorder.RaiseFencing:
		daemon.deliver(func() { daemon.update(group, lwtlease.RaiseFencing{Above: cmd.Above}, nil) })
	case lwtorder.MarkDraining:
		world.engines[cmd.Engine].marked = cmd.Draining
	case lwtorder.LogPhaseChange:
		world.log = append(world.log, fmt.Sprintf("%s %s %s %s %s", world.now.Sub(world.start), daemon.run, cmd.Engine, cmd.Phase, cmd.Reason))
	case lwtorder.ReleaseReservations:
		daemon.store(true, func() {
			maps.DeleteFunc(world.reserved, func(_ string, holder reservation) bool {
				return holder.group == group && holder.fencing <= cmd.Fencing
			})
		}, func(failed bool) { reply(lwtorder.ReleaseResult{Attempt: cmd.Attempt, Failed: failed})() })
	case lwtorder.ReserveModels:
		granted := true
		daemon.store(true, func() {
			for _, model := range cmd.Models {
				holder, found := world.reserved[model]
				if found && (holder.group != group || holder.fencing > cmd.Fencing) {
					granted = false
					return
				}
				world.reserved[model] = reservation{group, cmd.Fencing}
				granted = granted && world.servedOutside(model, group)
			}
		}, func(failed bool) {
			reply(lwtorder.ReserveResult{
				Engine: cmd.Engine, Attempt: cmd.Attempt, Models: cmd.Models, Granted: granted && !failed,
			})()
		})
	}
}
