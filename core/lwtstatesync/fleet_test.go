package lwtstatesync_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtstatesync"
	"lacewingtide/core/lwtticket"
)

// fleet simulates many daemons, their messages and the store in virtual time.
type fleet struct {
	rng          *rand.Rand
	now          time.Time
	events       events
	lastSequence int
	daemons      []*daemon
	store        struct {
		down    bool
		head    lwtticket.Head
		records []lwtticket.Record
		reads   int
	}
	// liveDaemons is the number of running daemons.
	liveDaemons int
	// messagesSent is the number of messages sent between daemons.
	messagesSent int
	// lossRate is the fraction of messages between daemons that are lost.
	lossRate float64
}

// daemon is the process at one address. A restart replaces the model.
type daemon struct {
	name        string
	model       lwtstatesync.Model
	incarnation int
	up          bool
	// activated is the highest revision activated by any process at this address.
	activated int64
}

// event is a function that runs at a time. Events of the same time run in the
// order of their sequence.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (events events) Len() int { return len(events) }
func (events events) Less(i, j int) bool {
	if events[i].at.Equal(events[j].at) {
		return events[i].sequence < events[j].sequence
	}
	return events[i].at.Before(events[j].at)
}
func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }
func (events *events) Push(x any)   { *events = append(*events, x.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

func newFleet(seed uint64, size int) *fleet {
	fleet := &fleet{rng: rand.New(rand.NewPCG(seed, 2)), now: epoch}
	for i := range size {
		daemon := &daemon{name: fmt.Sprintf("d%d", i)}
		fleet.daemons = append(fleet.daemons, daemon)
		fleet.start(daemon)
	}
	return fleet
}

func (fleet *fleet) schedule(wait time.Duration, run func()) {
	fleet.lastSequence++
	heap.Push(&fleet.events, event{fleet.now.Add(wait), fleet.lastSequence, run})
}

// runFor advances the virtual time and runs all events until then.
func (fleet *fleet) runFor(duration time.Duration) {
	end := fleet.now.Add(duration)
	for len(fleet.events) > 0 && !fleet.events[0].at.After(end) {
		next := heap.Pop(&fleet.events).(event)
		fleet.now = next.at
		next.run()
	}
	fleet.now = end
}

func (fleet *fleet) start(daemon *daemon) {
	daemon.model, daemon.up = lwtstatesync.New(fleet.now), true
	daemon.incarnation++
	fleet.liveDaemons++
	fleet.tick(daemon, daemon.incarnation)
}

func (fleet *fleet) tick(daemon *daemon, incarnation int) {
	if !daemon.up || daemon.incarnation != incarnation {
		return
	}
	fleet.update(daemon, lwtstatesync.Tick{MemberCount: fleet.liveDaemons, Random: fleet.rng.Float64()})
	fleet.schedule(100*time.Millisecond, func() { fleet.tick(daemon, incarnation) })
}

// deliver delivers a message to a daemon after a wait, unless the daemon is
// restarted or stopped until then.
func (fleet *fleet) deliver(daemon *daemon, wait time.Duration, msg func() lwtstatesync.Msg) {
	incarnation := daemon.incarnation
	fleet.schedule(wait, func() {
		if daemon.up && daemon.incarnation == incarnation {
			fleet.update(daemon, msg())
		}
	})
}

// send delivers a message between daemons or loses it. One in five messages is
// delayed by up to a second, the others by up to 20 ms.
func (fleet *fleet) send(to *daemon, msg lwtstatesync.Msg) {
	fleet.messagesSent++
	if fleet.rng.Float64() < fleet.lossRate {
		return
	}
	maxDelay := 20
	if fleet.rng.IntN(5) == 0 {
		maxDelay = 1000
	}
	fleet.deliver(to, time.Duration(fleet.rng.IntN(maxDelay))*time.Millisecond, func() lwtstatesync.Msg { return msg })
}

func (fleet *fleet) update(daemon *daemon, msg lwtstatesync.Msg) {
	var cmds []lwtstatesync.Cmd
	daemon.model, cmds = daemon.model.Update(fleet.now, msg)
	for _, cmd := range cmds {
		fleet.execute(daemon, cmd)
	}
}

func (fleet *fleet) execute(from *daemon, cmd lwtstatesync.Cmd) {
	switch cmd := cmd.(type) {
	case lwtstatesync.ReadHead, lwtstatesync.ReadStore:
		fleet.read(from, cmd)
	case lwtstatesync.Ask:
		for _, to := range fleet.peers(from, cmd.Member, 0) {
			fleet.send(to, lwtstatesync.Asked{Member: from.name, After: cmd.After, OnlyRevision: cmd.Member == ""})
		}
	case lwtstatesync.Tell:
		for _, to := range fleet.peers(from, "", cmd.Fanout) {
			fleet.send(to, lwtstatesync.Told{Member: from.name, Revision: cmd.Revision, AsOf: cmd.AsOf, Records: cmd.Records})
		}
	case lwtstatesync.Answer:
		for _, to := range fleet.peers(from, cmd.Member, 0) {
			fleet.send(to, lwtstatesync.Told{
				Member: from.name, Revision: cmd.Revision, AsOf: cmd.AsOf, Records: cmd.Records, State: cmd.State,
			})
		}
	case lwtstatesync.Activate:
		if cmd.State.Revision < from.activated {
			panic(fmt.Sprintf("%s: revision %d activated after %d", from.name, cmd.State.Revision, from.activated))
		}
		from.activated = cmd.State.Revision
	}
}

// peers returns the named daemon if a name is given, and otherwise up to limit of
// the other running daemons at random (0: all).
func (fleet *fleet) peers(from *daemon, name string, limit int) []*daemon {
	var others []*daemon
	for _, daemon := range fleet.daemons {
		if daemon != from && daemon.up && (name == "" || daemon.name == name) {
			others = append(others, daemon)
		}
	}
	if limit == 0 || limit >= len(others) {
		return others
	}
	fleet.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:limit]
}

func (fleet *fleet) read(from *daemon, cmd lwtstatesync.Cmd) {
	sent := fleet.now
	fleet.deliver(from, time.Duration(1+fleet.rng.IntN(20))*time.Millisecond, func() lwtstatesync.Msg {
		read, isReadStore := cmd.(lwtstatesync.ReadStore)
		switch {
		case fleet.store.down && isReadStore:
			return lwtstatesync.StoreReadFailed{}
		case fleet.store.down:
			return lwtstatesync.HeadReadFailed{}
		case !isReadStore:
			fleet.store.reads++
			return lwtstatesync.HeadRead{Head: fleet.store.head, SentAt: sent}
		}
		result := lwtstatesync.StoreRead{}
		for _, revision := range read.Plan.Tickets {
			fleet.store.reads++
			result.Records = append(result.Records, fleet.store.records[revision-1])
		}
		return result
	})
}

// accept lets a daemon commit a ticket to the store.
func (fleet *fleet) accept(daemon *daemon) {
	fleet.store.head.Revision++
	record := lwtticket.Record{Change: lwtdeclaredstate.Change{Revision: fleet.store.head.Revision}}
	fleet.store.records = append(fleet.store.records, record)
	fleet.update(daemon, lwtstatesync.TicketAccepted{Head: fleet.store.head, Record: record})
}

// behind returns the number of running daemons that have not applied the store's
// head.
func (fleet *fleet) behind() int {
	behind := 0
	for _, daemon := range fleet.daemons {
		state, _ := daemon.model.State()
		if daemon.up && state.Revision < fleet.store.head.Revision {
			behind++
		}
	}
	return behind
}

// TestFleetConverges guards against daemons that never receive a ticket when 30%
// of the messages are lost and the store fails right after it accepted the
// ticket, and against daemons that activate an older revision.
func TestFleetConverges(t *testing.T) {
	for seed := range uint64(10) {
		fleet := newFleet(seed, 30)
		fleet.lossRate = 0.3
		fleet.runFor(5 * time.Second)
		for range 5 {
			fleet.store.down = false
			fleet.accept(fleet.daemons[fleet.rng.IntN(len(fleet.daemons))])
			fleet.store.down = true
			fleet.runFor(15 * time.Second)
			if behind := fleet.behind(); behind > 0 {
				t.Fatalf("seed %d: %d daemons lack ticket %d after 15 s", seed, behind, fleet.store.head.Revision)
			}
		}
	}
}

// TestSuccessorNeverGoesBack guards against a daemon that starts while the store
// is down and activates an older state than its predecessor at the same address
// did. The predecessor stops as soon as it has activated a new ticket, while its
// announcements are still in flight to some of its peers.
func TestSuccessorNeverGoesBack(t *testing.T) {
	for seed := range uint64(40) {
		fleet := newFleet(seed, 8)
		fleet.runFor(5 * time.Second)
		for range 6 {
			fleet.store.down = false
			victim := fleet.daemons[fleet.rng.IntN(4)]
			fleet.accept(fleet.daemons[4+fleet.rng.IntN(4)])
			fleet.store.down = true
			for victim.activated < fleet.store.head.Revision {
				fleet.runFor(time.Millisecond)
			}
			victim.up = false
			fleet.liveDaemons--
			fleet.runFor(time.Duration(fleet.rng.IntN(50)) * time.Millisecond)
			fleet.start(victim)
			fleet.runFor(10 * time.Second)
			if behind := fleet.behind(); behind > 0 {
				t.Fatalf("seed %d: %d daemons lack ticket %d", seed, behind, fleet.store.head.Revision)
			}
		}
	}
}

// TestStartWithoutAnythingIsQuiet guards against daemons that flood each other
// with requests while the store is down and no daemon has a state.
func TestStartWithoutAnythingIsQuiet(t *testing.T) {
	fleet := newFleet(1, 20)
	fleet.store.down = true
	fleet.runFor(20 * time.Second)
	before := fleet.messagesSent
	fleet.runFor(60 * time.Second)
	if each := float64(fleet.messagesSent-before) / 60 / 20; each > 5 {
		t.Errorf("each of 20 daemons sends %.1f messages/s", each)
	}
}

// TestStoreReadsOfALargeFleet guards against store reads that grow with the
// fleet. At the target size, with one ticket per 30 s, 370 daemons must stay far
// below 500 reads per second; the test allows 60.
func TestStoreReadsOfALargeFleet(t *testing.T) {
	fleet := newFleet(1, 370)
	fleet.runFor(20 * time.Second)
	fleet.store.reads = 0
	const duration = 30 * time.Second
	fleet.accept(fleet.daemons[fleet.rng.IntN(len(fleet.daemons))])
	fleet.runFor(duration)
	reads := float64(fleet.store.reads) / duration.Seconds()
	t.Logf("%.1f reads/s", reads)
	if reads > 60 || fleet.behind() > 0 {
		t.Errorf("%.1f reads/s, %d daemons behind", reads, fleet.behind())
	}
}
