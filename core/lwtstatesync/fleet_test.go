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

// fleet runs many daemons, their messages and the store in the tests' own time.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	events  events
	order   int
	daemons []*daemon
	store   struct {
		down    bool
		head    lwtticket.Head
		records []lwtticket.Record
		reads   int
	}
	// live is the number of daemons that are up.
	live int
	// sent is the number of messages sent between daemons.
	sent int
	// loss is the share of messages between daemons that are lost.
	loss float64
}

// daemon is what runs at one address. A restart replaces the model.
type daemon struct {
	name  string
	model lwtstatesync.Model
	boot  int
	up    bool
	// forced is the highest number put in force at this address, by any process.
	forced int64
}

// event is something that happens at a time; order keeps the sequence of
// events of the same time.
type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (events events) Len() int { return len(events) }
func (events events) Less(i, j int) bool {
	if events[i].at.Equal(events[j].at) {
		return events[i].order < events[j].order
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
	fleet := &fleet{random: rand.New(rand.NewPCG(seed, 2)), now: epoch}
	for i := range size {
		daemon := &daemon{name: fmt.Sprintf("d%d", i)}
		fleet.daemons = append(fleet.daemons, daemon)
		fleet.start(daemon)
	}
	return fleet
}

func (fleet *fleet) after(wait time.Duration, run func()) {
	fleet.order++
	heap.Push(&fleet.events, event{fleet.now.Add(wait), fleet.order, run})
}

// runFor lets time pass.
func (fleet *fleet) runFor(span time.Duration) {
	end := fleet.now.Add(span)
	for len(fleet.events) > 0 && !fleet.events[0].at.After(end) {
		next := heap.Pop(&fleet.events).(event)
		fleet.now = next.at
		next.run()
	}
	fleet.now = end
}

func (fleet *fleet) start(daemon *daemon) {
	daemon.model, daemon.up = lwtstatesync.New(fleet.now), true
	daemon.boot++
	fleet.live++
	fleet.tick(daemon, daemon.boot)
}

func (fleet *fleet) tick(daemon *daemon, boot int) {
	if !daemon.up || daemon.boot != boot {
		return
	}
	fleet.take(daemon, lwtstatesync.Tick{MemberCount: fleet.live, Random: fleet.random.Float64()})
	fleet.after(100*time.Millisecond, func() { fleet.tick(daemon, boot) })
}

// answer delivers a message to a daemon later, unless it was restarted.
func (fleet *fleet) answer(daemon *daemon, wait time.Duration, msg func() lwtstatesync.Msg) {
	boot := daemon.boot
	fleet.after(wait, func() {
		if daemon.up && daemon.boot == boot {
			fleet.take(daemon, msg())
		}
	})
}

// send delivers a message between daemons, one in five late by up to a second,
// or loses it.
func (fleet *fleet) send(to *daemon, msg lwtstatesync.Msg) {
	fleet.sent++
	if fleet.random.Float64() < fleet.loss {
		return
	}
	most := 20
	if fleet.random.IntN(5) == 0 {
		most = 1000
	}
	fleet.answer(to, time.Duration(fleet.random.IntN(most))*time.Millisecond, func() lwtstatesync.Msg { return msg })
}

func (fleet *fleet) take(daemon *daemon, msg lwtstatesync.Msg) {
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
			fleet.send(to, lwtstatesync.Told{Member: from.name, Revision: cmd.Revision, AsOf: cmd.AsOf, Records: cmd.Records, State: cmd.State})
		}
	case lwtstatesync.Activate:
		if cmd.State.Revision < from.forced {
			panic(fmt.Sprintf("%s: %d in force after %d", from.name, cmd.State.Revision, from.forced))
		}
		from.forced = cmd.State.Revision
	}
}

// peers returns the named daemon, or a number of the others at random (0: all).
func (fleet *fleet) peers(from *daemon, name string, most int) []*daemon {
	var others []*daemon
	for _, daemon := range fleet.daemons {
		if daemon != from && daemon.up && (name == "" || daemon.name == name) {
			others = append(others, daemon)
		}
	}
	if most == 0 || most >= len(others) {
		return others
	}
	fleet.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:most]
}

func (fleet *fleet) read(from *daemon, cmd lwtstatesync.Cmd) {
	sent := fleet.now
	fleet.answer(from, time.Duration(1+fleet.random.IntN(20))*time.Millisecond, func() lwtstatesync.Msg {
		read, isTickets := cmd.(lwtstatesync.ReadStore)
		switch {
		case fleet.store.down && isTickets:
			return lwtstatesync.StoreReadFailed{}
		case fleet.store.down:
			return lwtstatesync.HeadReadFailed{}
		case !isTickets:
			fleet.store.reads++
			return lwtstatesync.HeadRead{Head: fleet.store.head, SentAt: sent}
		}
		loaded := lwtstatesync.StoreRead{}
		for _, number := range read.Plan.Tickets {
			fleet.store.reads++
			loaded.Records = append(loaded.Records, fleet.store.records[number-1])
		}
		return loaded
	})
}

// accept lets a daemon store a ticket.
func (fleet *fleet) accept(daemon *daemon) {
	fleet.store.head.Revision++
	record := lwtticket.Record{Change: lwtdeclaredstate.Change{Revision: fleet.store.head.Revision}}
	fleet.store.records = append(fleet.store.records, record)
	fleet.take(daemon, lwtstatesync.TicketAccepted{Head: fleet.store.head, Record: record})
}

// behind returns the number of live daemons on which the head is not in force.
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

// TestFleetConverges guards against tickets that stay unknown to some daemons
// when messages are lost and the store fails right after each acceptance, and
// against states that go back.
func TestFleetConverges(t *testing.T) {
	for seed := range uint64(10) {
		fleet := newFleet(seed, 30)
		fleet.loss = 0.3
		fleet.runFor(5 * time.Second)
		for range 5 {
			fleet.store.down = false
			fleet.accept(fleet.daemons[fleet.random.IntN(len(fleet.daemons))])
			fleet.store.down = true
			fleet.runFor(15 * time.Second)
			if behind := fleet.behind(); behind > 0 {
				t.Fatalf("seed %d: %d daemons lack ticket %d after 15 s", seed, behind, fleet.store.head.Revision)
			}
		}
	}
}

// TestSuccessorNeverGoesBack guards against a daemon that starts during an
// outage and acts on an older state than its predecessor at the same address
// did. The predecessor ends as soon as it put a new ticket in force, while the
// a message about it is still on its way to some of its peers.
func TestSuccessorNeverGoesBack(t *testing.T) {
	for seed := range uint64(40) {
		fleet := newFleet(seed, 8)
		fleet.runFor(5 * time.Second)
		for range 6 {
			fleet.store.down = false
			victim := fleet.daemons[fleet.random.IntN(4)]
			fleet.accept(fleet.daemons[4+fleet.random.IntN(4)])
			fleet.store.down = true
			for victim.forced < fleet.store.head.Revision {
				fleet.runFor(time.Millisecond)
			}
			victim.up = false
			fleet.live--
			fleet.runFor(time.Duration(fleet.random.IntN(50)) * time.Millisecond)
			fleet.start(victim)
			fleet.runFor(10 * time.Second)
			if behind := fleet.behind(); behind > 0 {
				t.Fatalf("seed %d: %d daemons lack ticket %d", seed, behind, fleet.store.head.Revision)
			}
		}
	}
}

// TestStartWithoutAnythingIsQuiet guards against a fleet that floods itself
// with questions while neither the store nor a daemon holds a state.
func TestStartWithoutAnythingIsQuiet(t *testing.T) {
	fleet := newFleet(1, 20)
	fleet.store.down = true
	fleet.runFor(20 * time.Second)
	before := fleet.sent
	fleet.runFor(60 * time.Second)
	if each := float64(fleet.sent-before) / 60 / 20; each > 5 {
		t.Errorf("each of 20 daemons sends %.1f messages/s", each)
	}
}

// TestStoreReadsOfALargeFleet guards against polling that grows with the fleet:
// at the target size, with a ticket in 30 s, 370 daemons read the store fewer
// than 500 times a second.
func TestStoreReadsOfALargeFleet(t *testing.T) {
	fleet := newFleet(1, 370)
	fleet.runFor(20 * time.Second)
	fleet.store.reads = 0
	const span = 30 * time.Second
	fleet.accept(fleet.daemons[fleet.random.IntN(len(fleet.daemons))])
	fleet.runFor(span)
	reads := float64(fleet.store.reads) / span.Seconds()
	t.Logf("%.1f reads/s", reads)
	if reads > 60 || fleet.behind() > 0 {
		t.Errorf("%.1f reads/s, %d daemons behind", reads, fleet.behind())
	}
}
