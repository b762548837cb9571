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
	storeCallsAtOnce  = 16
	engineCallsAtOnce = 16
	authorityQueue    = 1024
	// leaseReleaseTimeout bounds the wait at shutdown. A lease that is not released
	// ends by itself.
	leaseReleaseTimeout = 4 * time.Second
)

// authority owns the leases and the orders of all engine groups as this daemon
// sees them.
type authority struct {
	// self identifies this run of the daemon in lease rows.
	self     string
	declared *declared
	platform *lwtplatform.Client
	engines  *lwtengine.Client
	logger   log.Logger
	// members returns the live daemons in the form of self.
	members func() []string
	// Separate pools, so that slow engines never delay a renewal.
	storeCalls  *ants.Pool
	engineCalls *ants.Pool
	messages    chan groupMsg

	mutex    sync.RWMutex
	groups   map[string]group
	number   int64
	names    []string
	stopping bool
}

// group is the pair of models of one engine group.
type group struct {
	lease lwtlease.Model
	order lwtorder.Model
}

// groupMsg is a message to one of the models of a group.
type groupMsg struct {
	group string
	lease lwtlease.Msg
	order lwtorder.Msg
}

func newAuthority(
	self string, declared *declared, platform *lwtplatform.Client, engines *lwtengine.Client, logger log.Logger,
) *authority {
	return &authority{
		self: self, declared: declared, platform: platform, engines: engines, logger: logger,
		members:    func() []string { return []string{self} },
		storeCalls: newPool(storeCallsAtOnce), engineCalls: newPool(engineCallsAtOnce),
		messages: make(chan groupMsg, authorityQueue), groups: map[string]group{},
	}
}

// newPool returns a pool of workers that refuses calls when all are busy.
func newPool(size int) *ants.Pool {
	// The pool reports an error only for an invalid combination of options.
	pool, err := ants.NewPool(size, ants.WithNonblocking(true))
	if err != nil {
		panic(err)
	}
	return pool
}

// Serve implements suture.Service.
func (authority *authority) Serve(ctx context.Context) error {
	ticker := time.NewTicker(lwtlease.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			authority.tick()
		case msg := <-authority.messages:
			authority.update(msg)
		}
	}
}

// String names the part in logs.
func (authority *authority) String() string { return "authority" }

// WantRole passes a role requested by the planner on to the engine's group.
func (authority *authority) WantRole(ctx context.Context, engine string, role lwtdeclaredstate.Role) {
	state, _ := authority.declared.State()
	authority.send(ctx, groupMsg{
		group: state.Engines[engine].Group, order: lwtorder.RoleRequested{Engine: engine, Role: role},
	})
}

// Draining returns the engines that must get no new work because this daemon is
// about to change them, sorted by name.
func (authority *authority) Draining() []string {
	authority.mutex.RLock()
	defer authority.mutex.RUnlock()
	var names []string
	for _, group := range authority.groups {
		names = append(names, group.order.Draining()...)
	}
	slices.Sort(names)
	return names
}

func (authority *authority) send(ctx context.Context, msg groupMsg) {
	select {
	case authority.messages <- msg:
	case <-ctx.Done():
	}
}

// answer queues the result of a call. The queue has room for more results than
// there can be calls.
func (authority *authority) answer(msg groupMsg) { authority.send(context.Background(), msg) }

func (authority *authority) tick() {
	state, found := authority.declared.State()
	if !found {
		return
	}
	if state.Revision != authority.number {
		authority.declare(state)
	}
	names := authority.members()
	changed := !slices.Equal(names, authority.names)
	authority.names = names
	for _, name := range slices.Sorted(maps.Keys(authority.groups)) {
		if changed {
			authority.update(groupMsg{group: name, lease: lwtlease.SetMembers{Names: names}})
		}
		if authority.shouldRelease(name) {
			authority.update(groupMsg{group: name, lease: lwtlease.Release{}})
		}
		authority.update(groupMsg{group: name, lease: lwtlease.Tick{}, order: lwtorder.Tick{}})
	}
}

func (authority *authority) declare(state lwtdeclaredstate.State) {
	authority.number = state.Revision
	authority.mutex.Lock()
	for _, engine := range state.Engines {
		if _, found := authority.groups[engine.Group]; found || engine.Group == "" {
			continue
		}
		authority.groups[engine.Group] = group{
			lease: lwtlease.New(engine.Group, authority.self), order: lwtorder.New(engine.Group),
		}
		// A new model must learn the members.
		authority.names = nil
	}
	authority.mutex.Unlock()
	for _, name := range slices.Sorted(maps.Keys(authority.groups)) {
		authority.update(groupMsg{group: name, order: lwtorder.DeclaredStateChanged{State: state}})
	}
}

// update feeds a message to the models of its group and carries out their
// commands. A change of the lease reaches the orders in the same step.
func (authority *authority) update(msg groupMsg) {
	now := time.Now()
	authority.mutex.Lock()
	group, found := authority.groups[msg.group]
	if !found {
		authority.mutex.Unlock()
		return
	}
	var leaseCmds []lwtlease.Cmd
	var orderCmds, more []lwtorder.Cmd
	before := group.lease.Lease()
	if msg.lease != nil {
		group.lease, leaseCmds = group.lease.Update(now, msg.lease)
	}
	if after := group.lease.Lease(); after != before {
		group.order, orderCmds = group.order.Update(now, lwtorder.LeaseChanged{Lease: after})
	}
	if msg.order != nil {
		group.order, more = group.order.Update(now, msg.order)
	}
	authority.groups[msg.group] = group
	authority.mutex.Unlock()
	for _, cmd := range leaseCmds {
		authority.executeLease(cmd)
	}
	for _, cmd := range append(orderCmds, more...) {
		authority.executeOrder(msg.group, cmd)
	}
}

// submit runs a call on a pool, or its failure when the pool is full.
func (authority *authority) submit(pool *ants.Pool, call, failed func()) {
	if err := pool.Submit(call); err != nil {
		lwtlog.Warn(authority.logger, "call-postponed", "err", err)
		// The queue is read by the goroutine that is here.
		go failed()
	}
}
