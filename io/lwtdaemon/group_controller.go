package lwtdaemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/panjf2000/ants/v2"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlease"
	"lacewingtide/core/lwtorder"
	"lacewingtide/io/lwtengine"
	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtplatform"
)

const (
	maxStoreCalls  = 16
	maxEngineCalls = 16
	groupQueueSize = 1024
	// leaseReleaseTimeout bounds the time to release the leases at shutdown. A lease
	// that is not released expires.
	leaseReleaseTimeout = 4 * time.Second
)

// groupController runs the lease and order models of all engine groups. It competes
// for the lease of each group and, while it holds a lease, sends the orders that
// bring the group's engines to the declared state.
type groupController struct {
	// holder is the name under which this process holds leases, as returned by
	// leaseHolder.
	holder   string
	syncer   *stateSyncer
	platform *lwtplatform.Client
	engines  *lwtengine.Client
	logger   log.Logger
	// leaseMembers returns the lease holder names of all live daemons.
	leaseMembers func() []string
	// The pools are separate, so that slow engines never delay a lease renewal.
	storePool  *ants.Pool
	enginePool *ants.Pool
	messages   chan groupMsg

	mutex       sync.RWMutex
	groups      map[string]group
	revision    int64
	lastMembers []string
	stopping    bool
}

// group contains the lease and order models of one engine group.
type group struct {
	lease lwtlease.Model
	order lwtorder.Model
}

// groupMsg is a message to the lease model, the order model or both models of a
// group.
type groupMsg struct {
	group string
	lease lwtlease.Msg
	order lwtorder.Msg
}

func newGroupController(
	holder string, syncer *stateSyncer, platform *lwtplatform.Client, engines *lwtengine.Client, logger log.Logger,
) *groupController {
	return &groupController{
		holder: holder, syncer: syncer, platform: platform, engines: engines, logger: logger,
		leaseMembers: func() []string { return []string{holder} },
		storePool:    newPool(maxStoreCalls), enginePool: newPool(maxEngineCalls),
		messages: make(chan groupMsg, groupQueueSize), groups: map[string]group{},
	}
}

// newPool returns a worker pool that rejects calls while all workers are busy.
func newPool(size int) *ants.Pool {
	// NewPool fails only for an invalid combination of options.
	pool, err := ants.NewPool(size, ants.WithNonblocking(true))
	if err != nil {
		panic(err)
	}
	return pool
}

// Serve implements suture.Service.
func (controller *groupController) Serve(ctx context.Context) error {
	ticker := time.NewTicker(lwtlease.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			controller.tick()
		case msg := <-controller.messages:
			controller.update(msg)
		}
	}
}

// String returns the name of the service in logs.
func (controller *groupController) String() string { return "authority" }

// RequestRole implements groupLeases.
func (controller *groupController) RequestRole(ctx context.Context, engine string, role lwtdeclaredstate.Role) {
	state, _ := controller.syncer.State()
	controller.send(ctx, groupMsg{
		group: state.Engines[engine].Group, order: lwtorder.RoleRequested{Engine: engine, Role: role},
	})
}

// Draining returns the names of the engines that must get no new requests because
// this daemon is about to change them, sorted.
func (controller *groupController) Draining() []string {
	controller.mutex.RLock()
	defer controller.mutex.RUnlock()
	var names []string
	for _, group := range controller.groups {
		names = append(names, group.order.Draining()...)
	}
	slices.Sort(names)
	return names
}

func (controller *groupController) send(ctx context.Context, msg groupMsg) {
	select {
	case controller.messages <- msg:
	case <-ctx.Done():
	}
}

// sendResult queues the result of a call. groupQueueSize exceeds the number of calls
// that the pools run at once.
func (controller *groupController) sendResult(msg groupMsg) {
	controller.send(context.Background(), msg)
}

func (controller *groupController) tick() {
	state, found := controller.syncer.State()
	if !found {
		return
	}
	if state.Revision != controller.revision {
		controller.applyState(state)
	}
	names := controller.leaseMembers()
	changed := !slices.Equal(names, controller.lastMembers)
	controller.lastMembers = names
	for _, name := range slices.Sorted(maps.Keys(controller.groups)) {
		if changed {
			controller.update(groupMsg{group: name, lease: lwtlease.SetMembers{Names: names}})
		}
		if controller.shouldRelease(name) {
			controller.update(groupMsg{group: name, lease: lwtlease.Release{}})
		}
		controller.update(groupMsg{group: name, lease: lwtlease.Tick{}, order: lwtorder.Tick{}})
	}
}

func (controller *groupController) applyState(state lwtdeclaredstate.State) {
	controller.revision = state.Revision
	controller.mutex.Lock()
	for _, engine := range state.Engines {
		if _, found := controller.groups[engine.Group]; found || engine.Group == "" {
			continue
		}
		controller.groups[engine.Group] = group{
			lease: lwtlease.New(engine.Group, controller.holder), order: lwtorder.New(engine.Group),
		}
		// A new lease model needs the members at the next tick.
		controller.lastMembers = nil
	}
	controller.mutex.Unlock()
	for _, name := range slices.Sorted(maps.Keys(controller.groups)) {
		controller.update(groupMsg{group: name, order: lwtorder.DeclaredStateChanged{State: state}})
	}
}

// update applies a message to the models of its group and executes their commands.
// The order model receives a change of the lease in the same step.
func (controller *groupController) update(msg groupMsg) {
	now := time.Now()
	controller.mutex.Lock()
	group, found := controller.groups[msg.group]
	if !found {
		controller.mutex.Unlock()
		return
	}
	var leaseCmds []lwtlease.Cmd
	var orderCmds, moreOrderCmds []lwtorder.Cmd
	before := group.lease.Lease()
	if msg.lease != nil {
		group.lease, leaseCmds = group.lease.Update(now, msg.lease)
	}
	if after := group.lease.Lease(); after != before {
		group.order, orderCmds = group.order.Update(now, lwtorder.LeaseChanged{Lease: after})
	}
	if msg.order != nil {
		group.order, moreOrderCmds = group.order.Update(now, msg.order)
	}
	controller.groups[msg.group] = group
	controller.mutex.Unlock()
	for _, cmd := range leaseCmds {
		controller.executeLeaseCmd(cmd)
	}
	for _, cmd := range append(orderCmds, moreOrderCmds...) {
		controller.executeOrderCmd(msg.group, cmd)
	}
}

// submit runs a call on a pool, or calls onRejected if all workers are busy.
func (controller *groupController) submit(pool *ants.Pool, call, onRejected func()) {
	if err := pool.Submit(call); err != nil {
		lwtlog.Warn(controller.logger, "call-postponed", "err", err)
		// onRejected sends to the queue that the current goroutine reads, so that it
		// must not block here.
		go onRejected()
	}
}
