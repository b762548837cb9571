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

// bus joins the daemons of one process. Messages pass through CBOR and arrive
// in a goroutine of their own, as those of the network do.
type bus struct {
	mutex   sync.RWMutex
	members []string
	handles map[string]map[string]func(string, []byte)
}

func newBus() *bus { return &bus{handles: map[string]map[string]func(string, []byte){}} }

// busPeers is the bus as one daemon sees it.
type busPeers struct {
	bus  *bus
	name string
}

func (bus *bus) join(name string) busPeers {
	bus.mutex.Lock()
	defer bus.mutex.Unlock()
	bus.members = append(bus.members, name)
	bus.handles[name] = map[string]func(string, []byte){}
	return busPeers{bus, name}
}

// disconnect stops all messages.
func (bus *bus) disconnect() {
	bus.mutex.Lock()
	defer bus.mutex.Unlock()
	for _, handles := range bus.handles {
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
	peers.bus.handles[peers.name][kind] = handle
}

func (peers busPeers) Send(member, kind string, body any) error {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	peers.bus.mutex.RLock()
	handle := peers.bus.handles[member][kind]
	peers.bus.mutex.RUnlock()
	if handle == nil {
		return fmt.Errorf("no handler of %s for %s", member, kind)
	}
	go handle(peers.name, encoded)
	return nil
}

// group is a number of declared parts that share a store and a bus.
type declaredGroup struct {
	platform *lwtstandin.Platform
	address  string
	bus      *bus
	parts    []*declared
}

func newGroup(t testing.TB, size int) *declaredGroup {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	group := &declaredGroup{platform: lwtstandin.NewPlatform(), address: listener.Addr().String(), bus: newBus()}
	go func() { _ = group.platform.Serve(listener) }()
	for range size {
		group.start(t)
	}
	return group
}

// start adds a daemon's declared part to the group.
func (group *declaredGroup) start(t testing.TB) *declared {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	name := fmt.Sprintf("d%d", len(group.parts)+1)
	part := newDeclared(name, lwtplatform.New(group.address, 2*time.Second), log.NewNopLogger())
	part.connect(group.bus.join(name))
	group.parts = append(group.parts, part)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = part.Serve(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return part
}

// await waits until every part has a number in force.
func (group *declaredGroup) await(t testing.TB, number int64) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		behind := slices.IndexFunc(group.parts, func(part *declared) bool {
			state, _ := part.State()
			return state.Revision < number
		})
		if behind < 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("d%d does not reach %d", behind+1, number)
		}
	}
}

func callerTicket(t testing.TB, base int64, name string) lwtticket.Ticket {
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

func (group *declaredGroup) submit(t testing.TB, part *declared, base int64, name string) lwtticket.Result {
	t.Helper()
	writeID := fmt.Sprintf("%s-%d-%s", part.name, base, name)
	result := part.submit(t.Context(), writeID, "operator", callerTicket(t, base, name))
	return result
}

// TestTicketReachesAllDaemons guards against daemons that miss a ticket, with
// the store up and with the store lost right after the acceptance.
func TestTicketReachesAllDaemons(t *testing.T) {
	group := newGroup(t, 4)
	if result := group.submit(t, group.parts[0], 0, "s1"); result.Outcome != lwtticket.OutcomeAccepted || result.Revision != 1 {
		t.Fatalf("result %+v", result)
	}
	group.await(t, 1)
	group.platform.SetFault(lwtstandin.PlatformFault{DownAfter: 1})
	if result := group.submit(t, group.parts[1], 1, "s2"); result.Outcome != lwtticket.OutcomeAccepted {
		t.Fatalf("result %+v", result)
	}
	group.await(t, 2)
}

// TestStartWithoutStore guards against a new daemon that serves nothing or an
// old state while the store is down and its peers hold the newest one.
func TestStartWithoutStore(t *testing.T) {
	group := newGroup(t, 2)
	for number := range int64(3) {
		if result := group.submit(t, group.parts[0], number, fmt.Sprintf("s%d", number)); result.Outcome != lwtticket.OutcomeAccepted {
			t.Fatalf("result %+v", result)
		}
	}
	group.await(t, 3)
	group.platform.SetFault(lwtstandin.PlatformFault{Down: true})
	group.start(t)
	group.await(t, 3)
}

// TestLostAnswerIsResolved guards against a ticket that takes effect twice, or
// is reported as refused, because the store's answer was lost.
func TestLostAnswerIsResolved(t *testing.T) {
	group := newGroup(t, 2)
	group.platform.SetFault(lwtstandin.PlatformFault{LoseAnswers: 1})
	if result := group.submit(t, group.parts[0], 0, "s1"); result.Outcome != lwtticket.OutcomeAccepted || result.Revision != 1 {
		t.Fatalf("result %+v", result)
	}
	group.await(t, 1)
	result := group.parts[1].submit(t.Context(), "d1-0-s1", "operator", callerTicket(t, 0, "s1"))
	if result.Outcome != lwtticket.OutcomeAccepted || result.Revision != 1 {
		t.Errorf("repeated submission: result %+v", result)
	}
}

// TestSnapshotsServeNewDaemons guards against a new daemon that can't read the
// state after many tickets.
func TestSnapshotsServeNewDaemons(t *testing.T) {
	group := newGroup(t, 1)
	const tickets = 70
	for number := range int64(tickets) {
		if result := group.submit(t, group.parts[0], number, fmt.Sprintf("s%d", number)); result.Outcome != lwtticket.OutcomeAccepted {
			t.Fatalf("result %+v", result)
		}
	}
	_, before := group.platform.Table().Counts()
	group.start(t)
	group.await(t, tickets)
	state, _ := group.parts[1].State()
	if len(state.Services) != tickets {
		t.Errorf("%d services, want %d", len(state.Services), tickets)
	}
	if _, after := group.platform.Table().Counts(); after-before > 40 {
		t.Errorf("%d reads to start, want a snapshot and a few tickets", after-before)
	}
}

// TestTargetStateFitsOneMessage guards against a fleet of the target size whose
// daemons can't start from their peers, because a state is too large to send.
func TestTargetStateFitsOneMessage(t *testing.T) {
	state := targetState()
	encoded, err := cbor.Marshal(ticketAnswer{Number: 1, State: &state})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes", len(encoded))
	if len(encoded) > lwtpeer.MaxMessageBytes {
		t.Errorf("%d bytes, a message holds %d", len(encoded), lwtpeer.MaxMessageBytes)
	}
}

// targetState has the engines, callers, models and services of the target size.
func targetState() lwtdeclaredstate.State {
	change := lwtdeclaredstate.Change{Revision: 1}
	models := []string{}
	for i := range 4 {
		models = append(models, fmt.Sprintf("garden-assistant-%d", i))
		change.Models = append(change.Models, lwtdeclaredstate.Model{Name: models[i], Version: "2026-12-04", MemoryBlocks: 640})
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
			Name: fmt.Sprintf("customer-%03d", i), KeyHash: lwtoperator.KeyHash(fmt.Sprint(i)), Models: models,
			Services: []string{"shop"}, Rate: 30, Concurrency: 100,
		})
	}
	return lwtdeclaredstate.New().WithChange(change)
}
