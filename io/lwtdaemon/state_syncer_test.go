package lwtdaemon

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtticket"
	"lacewingtide/io/lwtoperator"
	"lacewingtide/io/lwtpeer"
	"lacewingtide/io/lwtplatform"
	"lacewingtide/io/lwtstandin"
)

// messageBus connects daemons in one process. As on the network, messages are encoded
// as CBOR and each is handled in a goroutine of its own.
type messageBus struct {
	mutex    sync.RWMutex
	members  []string
	handlers map[string]map[string]func(string, []byte)
}

func newMessageBus() *messageBus {
	return &messageBus{handlers: map[string]map[string]func(string, []byte){}}
}

// busPeers implements Peers for one daemon on the bus.
type busPeers struct {
	bus  *messageBus
	name string
}

func (bus *messageBus) join(name string) busPeers {
	bus.mutex.Lock()
	defer bus.mutex.Unlock()
	bus.members = append(bus.members, name)
	bus.handlers[name] = map[string]func(string, []byte){}
	return busPeers{bus, name}
}

// disconnect removes all handlers, so that no message is delivered any more.
func (bus *messageBus) disconnect() {
	bus.mutex.Lock()
	defer bus.mutex.Unlock()
	for _, handles := range bus.handlers {
		clear(handles)
	}
}

func (peers busPeers) Members() []string {
	peers.bus.mutex.RLock()
	defer peers.bus.mutex.RUnlock()
	return slices.Clone(peers.bus.members)
}

func (peers busPeers) Handle(kind string, handle func(string, []byte)) {
	peers.bus.mutex.Lock()
	defer peers.bus.mutex.Unlock()
	peers.bus.handlers[peers.name][kind] = handle
}

func (peers busPeers) Send(member, kind string, body any) error {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	peers.bus.mutex.RLock()
	handle := peers.bus.handlers[member][kind]
	peers.bus.mutex.RUnlock()
	if handle == nil {
		return fmt.Errorf("daemon %s has no handler for %s", member, kind)
	}
	go handle(peers.name, encoded)
	return nil
}

// syncGroup contains the state syncers of several daemons, which share a store and a
// bus.
type syncGroup struct {
	platform *lwtstandin.Platform
	address  string
	bus      *messageBus
	syncers  []*stateSyncer
}

func newSyncGroup(t testing.TB, size int) *syncGroup {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	group := &syncGroup{platform: lwtstandin.NewPlatform(), address: listener.Addr().String(), bus: newMessageBus()}
	go func() { _ = group.platform.Serve(listener) }()
	for range size {
		group.addSyncer(t)
	}
	return group
}

// addSyncer starts the state syncer of another daemon.
func (group *syncGroup) addSyncer(t testing.TB) *stateSyncer {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	name := fmt.Sprintf("d%d", len(group.syncers)+1)
	syncer := newStateSyncer(name, lwtplatform.New(group.address, 2*time.Second), log.NewNopLogger())
	syncer.connect(group.bus.join(name))
	group.syncers = append(group.syncers, syncer)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = syncer.Serve(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return syncer
}

// awaitRevision waits until a revision or a later one is active in every syncer.
func (group *syncGroup) awaitRevision(t testing.TB, revision int64) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		behind := slices.IndexFunc(group.syncers, func(syncer *stateSyncer) bool {
			state, _ := syncer.State()
			return state.Revision < revision
		})
		if behind < 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("d%d does not reach revision %d within 20 s", behind+1, revision)
		}
	}
}

func serviceTicket(t testing.TB, base int64, name string) lwtticket.Ticket {
	t.Helper()
	ticket, problems := lwtticket.Parse([]byte(fmt.Sprintf("base = %d\n"+`
[[service]]
name = "%[2]s"
timeout = "1s"
backend-servers = [{ address = "127.0.0.1:9101", availability-zone = "z1" }]
`, base, name)))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return ticket
}

func (group *syncGroup) submit(t testing.TB, syncer *stateSyncer, base int64, name string) lwtticket.Result {
	t.Helper()
	writeID := fmt.Sprintf("%s-%d-%s", syncer.name, base, name)
	result := syncer.submit(t.Context(), writeID, "operator", serviceTicket(t, base, name))
	return result
}

// TestTicketReachesAllDaemons guards against daemons that miss a ticket, with the store
// available and with the store unavailable right after the acceptance.
func TestTicketReachesAllDaemons(t *testing.T) {
	group := newSyncGroup(t, 4)
	if result := group.submit(t, group.syncers[0], 0, "s1"); result.Outcome != lwtticket.OutcomeAccepted ||
		result.Revision != 1 {
		t.Fatalf("submission: result %+v, want accepted as revision 1", result)
	}
	group.awaitRevision(t, 1)
	group.platform.SetFault(lwtstandin.PlatformFault{DownAfter: 1})
	if result := group.submit(t, group.syncers[1], 1, "s2"); result.Outcome != lwtticket.OutcomeAccepted {
		t.Fatalf("submission: result %+v, want accepted", result)
	}
	group.awaitRevision(t, 2)
}

// TestStartWithoutStore guards against a new daemon that has no state or an old one
// while the store is unavailable and its peers have the latest one.
func TestStartWithoutStore(t *testing.T) {
	group := newSyncGroup(t, 2)
	for number := range int64(3) {
		if result := group.submit(t, group.syncers[0], number,
			fmt.Sprintf("s%d", number)); result.Outcome != lwtticket.OutcomeAccepted {
			t.Fatalf("submission: result %+v, want accepted", result)
		}
	}
	group.awaitRevision(t, 3)
	group.platform.SetFault(lwtstandin.PlatformFault{Down: true})
	group.addSyncer(t)
	group.awaitRevision(t, 3)
}

// TestLostAnswerIsResolved guards against a ticket that takes effect twice or is
// reported as refused because the store's response was lost.
func TestLostAnswerIsResolved(t *testing.T) {
	group := newSyncGroup(t, 2)
	group.platform.SetFault(lwtstandin.PlatformFault{LoseAnswers: 1})
	if result := group.submit(t, group.syncers[0], 0, "s1"); result.Outcome != lwtticket.OutcomeAccepted ||
		result.Revision != 1 {
		t.Fatalf("submission: result %+v, want accepted as revision 1", result)
	}
	group.awaitRevision(t, 1)
	result := group.syncers[1].submit(t.Context(), "d1-0-s1", "operator", serviceTicket(t, 0, "s1"))
	if result.Outcome != lwtticket.OutcomeAccepted || result.Revision != 1 {
		t.Errorf("repeated submission: result %+v, want accepted as revision 1", result)
	}
}

// TestSnapshotsServeNewDaemons guards against a new daemon that can't catch up after
// many tickets, or reads them all one by one.
func TestSnapshotsServeNewDaemons(t *testing.T) {
	group := newSyncGroup(t, 1)
	const tickets = 70
	for number := range int64(tickets) {
		if result := group.submit(t, group.syncers[0], number,
			fmt.Sprintf("s%d", number)); result.Outcome != lwtticket.OutcomeAccepted {
			t.Fatalf("submission: result %+v, want accepted", result)
		}
	}
	_, before := group.platform.Table().Counts()
	group.addSyncer(t)
	group.awaitRevision(t, tickets)
	state, _ := group.syncers[1].State()
	if len(state.Services) != tickets {
		t.Errorf("the new daemon has %d services, want %d", len(state.Services), tickets)
	}
	if _, after := group.platform.Table().Counts(); after-before > 40 {
		t.Errorf("%d reads at startup, want at most 40 for a snapshot and recent tickets", after-before)
	}
}

// TestTargetStateFitsOneMessage guards against a state that is too large for one
// message. In a fleet of the target size, new daemons couldn't get the state from
// their peers.
func TestTargetStateFitsOneMessage(t *testing.T) {
	state := newTargetState()
	encoded, err := cbor.Marshal(ticketAnswer{Revision: 1, State: &state})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("the encoded state has %d bytes", len(encoded))
	if len(encoded) > lwtpeer.MaxMessageBytes {
		t.Errorf("the encoded state has %d bytes, want at most %d", len(encoded), lwtpeer.MaxMessageBytes)
	}
}

// newTargetState returns a state with the engines, callers and models of a fleet of the
// target size.
func newTargetState() lwtdeclaredstate.State {
	change := lwtdeclaredstate.Change{Revision: 1}
	models := []string{}
	for i := range 4 {
		models = append(models, fmt.Sprintf("garden-assistant-%d", i))
		change.Models = append(change.Models, lwtdeclaredstate.Model{
			Name: models[i], Version: "2026-12-04", MemoryBlocks: 640,
		})
	}
	for i := range 600 {
		change.Engines = append(change.Engines, lwtdeclaredstate.Engine{
			Name: fmt.Sprintf("engine-%03d", i), Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250),
			AvailabilityZone: "ro-central-a", Group: fmt.Sprintf("group-%03d", i/4), Role: lwtdeclaredstate.RoleMixed,
			PlannerRoles: []lwtdeclaredstate.Role{lwtdeclaredstate.RolePrefill, lwtdeclaredstate.RoleDecode}, Models: models[:2],
			Adapters: []string{"catalogue-match", "shop-chat"}, MemoryBlocks: 2048, ChecksFencing: true,
		})
	}
	for i := range 870 {
		change.Callers = append(change.Callers, lwtdeclaredstate.Caller{
			Name: fmt.Sprintf("customer-%03d", i), KeyHash: lwtoperator.HashKey(fmt.Sprint(i)), Models: models,
			Services: []string{"shop"}, Rate: 30, Concurrency: 100,
		})
	}
	return lwtdeclaredstate.New().WithChange(change)
}
