// Package lwtmembersim runs many membership models in virtual time over a fake
// network, so that failures of a large fleet can be tried and measured in one
// process with the same result every time.
package lwtmembersim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"lacewingtide/core/lwtmember"
)

const (
	// TickInterval is the time between two ticks of a daemon.
	TickInterval = 100 * time.Millisecond
	// maxHeld bounds the messages that wait for a paused daemon, as the
	// buffers of its connections do.
	maxHeld = 256
	// bootStep separates the boot numbers of two daemons at one address.
	bootStep = 1000
)

// Options describe a fleet.
type Options struct {
	Members int
	Zones   int
	// Latency is the one-way latency; each message takes up to twice as long.
	Latency time.Duration
	// Loss is the share of messages that are lost, in [0, 1).
	Loss float64
	Seed uint64
	// MessageSize returns the bytes of a message on the wire.
	MessageSize   func(lwtmember.Kind, lwtmember.Gossip) int
	MemberOptions lwtmember.Options
}

// Traffic counts what one daemon has sent.
type Traffic struct {
	Messages int
	Bytes    int
}

// Daemon is one daemon of a fleet.
type Daemon struct {
	Model lwtmember.Model
	Sent  Traffic
	// Up is false after a kill.
	Up          bool
	pausedUntil time.Time
	held        []lwtmember.Received
	life        int
}

// Observer is told each command that a daemon's model returns, except Send.
type Observer func(now time.Time, daemon string, cmd lwtmember.Cmd)

// Cluster is a set of daemons and the network between them.
type Cluster struct {
	options Options
	random  *rand.Rand
	now     time.Time
	began   time.Time
	queue   eventQueue
	count   uint64
	names   []string
	daemons map[string]*Daemon
	observe Observer
	// cut says which messages the network drops.
	cut map[link]bool
}

type link struct{ from, to string }

// New returns a fleet of daemons that have not started yet.
func New(options Options) *Cluster {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	fleet := &Cluster{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 1)),
		now:     began,
		began:   began,
		daemons: map[string]*Daemon{},
		observe: func(time.Time, string, lwtmember.Cmd) {},
		cut:     map[link]bool{},
	}
	for i := range options.Members {
		fleet.names = append(fleet.names, Name(i))
	}
	return fleet
}

// Name returns the name of the daemon with an index.
func Name(index int) string { return fmt.Sprintf("d%d", index) }

// Address returns the peer address of the daemon with an index.
func Address(index int) string {
	return fmt.Sprintf("10.%d.%d.%d:7001", index>>16, index>>8&255, index&255)
}

// Zone returns the availability zone of the daemon with an index.
func (fleet *Cluster) Zone(index int) string {
	return fmt.Sprintf("zone-%d", index%fleet.options.Zones)
}

// Observe sets who is told the commands of the models.
func (fleet *Cluster) Observe(observe Observer) { fleet.observe = observe }

// Now returns the virtual time.
func (fleet *Cluster) Now() time.Time { return fleet.now }

// Elapsed returns the virtual time since the fleet was made.
func (fleet *Cluster) Elapsed() time.Duration { return fleet.now.Sub(fleet.began) }

// Daemon returns the daemon at an address.
func (fleet *Cluster) Daemon(address string) (*Daemon, bool) {
	daemon, found := fleet.daemons[address]
	return daemon, found
}

// Start starts or replaces the daemon with an index. Its boot number is above
// that of the daemon before it; behind makes it lower instead, as after a VM
// clock has gone back.
func (fleet *Cluster) Start(index int, peers []string, behind bool) {
	address := Address(index)
	boot, life := uint64(bootStep*bootStep), 0
	if before, found := fleet.daemons[address]; found {
		life = before.life + 1
		boot = before.Model.Self().Boot + bootStep
		if behind {
			boot = before.Model.Self().Boot - bootStep
		}
	}
	self := lwtmember.Member{
		Address:          address,
		Name:             Name(index),
		EntryAddress:     fmt.Sprintf("10.%d.%d.%d:7000", index>>16, index>>8&255, index&255),
		AvailabilityZone: fleet.Zone(index),
		Boot:             boot,
	}
	source := *rand.NewPCG(fleet.options.Seed, fleet.random.Uint64())
	daemon := &Daemon{Model: lwtmember.New(fleet.now, self, fleet.options.MemberOptions, source), Up: true, life: life}
	fleet.daemons[address] = daemon
	fleet.update(address, daemon, lwtmember.SetPeers{Addresses: peers})
	fleet.after(time.Duration(fleet.random.Int64N(int64(TickInterval))), event{kind: tick, to: address, life: life})
}

// Kill stops a daemon without notice.
func (fleet *Cluster) Kill(address string) {
	if daemon, found := fleet.daemons[address]; found {
		daemon.Up = false
	}
}

// Pause stops a daemon for a time. Messages wait for it meanwhile.
func (fleet *Cluster) Pause(address string, pause time.Duration) {
	if daemon, found := fleet.daemons[address]; found {
		daemon.pausedUntil = fleet.now.Add(pause)
	}
}

// Dispatch gives a message to the model of a daemon.
func (fleet *Cluster) Dispatch(address string, msg lwtmember.Msg) {
	if daemon, found := fleet.daemons[address]; found && daemon.Up {
		fleet.update(address, daemon, msg)
	}
}

// CutLink drops all messages from one address to another from now on.
func (fleet *Cluster) CutLink(from, to string) { fleet.cut[link{from, to}] = true }

// Heal ends all cuts.
func (fleet *Cluster) Heal() { clear(fleet.cut) }

// Run advances the virtual time.
func (fleet *Cluster) Run(span time.Duration) {
	until := fleet.now.Add(span)
	for len(fleet.queue) > 0 && !fleet.queue[0].at.After(until) {
		next := heap.Pop(&fleet.queue).(event)
		fleet.now = next.at
		fleet.handle(next)
	}
	fleet.now = until
}

// RunUntil advances the virtual time until a condition holds, at most for a
// span, and reports the time it took. The condition is tried each 100 ms.
func (fleet *Cluster) RunUntil(most time.Duration, holds func() bool) (time.Duration, bool) {
	began := fleet.now
	for !holds() {
		if fleet.now.Sub(began) >= most {
			return fleet.now.Sub(began), false
		}
		fleet.Run(TickInterval)
	}
	return fleet.now.Sub(began), true
}

func (fleet *Cluster) handle(event event) {
	daemon := fleet.daemons[event.to]
	if daemon == nil || !daemon.Up {
		return
	}
	paused := fleet.now.Before(daemon.pausedUntil)
	if event.kind == deliver {
		if paused {
			daemon.hold(event.received)
			return
		}
		fleet.update(event.to, daemon, event.received)
		return
	}
	if event.life != daemon.life {
		return
	}
	if paused {
		event.at = daemon.pausedUntil
		fleet.push(event)
		return
	}
	fleet.after(TickInterval, event)
	fleet.update(event.to, daemon, lwtmember.Tick{})
	held := daemon.held
	daemon.held = nil
	for _, received := range held {
		fleet.update(event.to, daemon, received)
	}
}

func (daemon *Daemon) hold(received lwtmember.Received) {
	if len(daemon.held) < maxHeld {
		daemon.held = append(daemon.held, received)
	}
}

func (fleet *Cluster) update(address string, daemon *Daemon, msg lwtmember.Msg) {
	model, cmds := daemon.Model.Update(fleet.now, msg)
	daemon.Model = model
	for _, cmd := range cmds {
		if send, found := cmd.(lwtmember.Send); found {
			fleet.send(address, daemon, send)
			continue
		}
		fleet.observe(fleet.now, address, cmd)
	}
}

func (fleet *Cluster) send(from string, daemon *Daemon, send lwtmember.Send) {
	daemon.Sent.Messages++
	daemon.Sent.Bytes += fleet.options.MessageSize(send.Kind, send.Gossip)
	if fleet.cut[link{from, send.To}] || fleet.random.Float64() < fleet.options.Loss {
		return
	}
	latency := fleet.options.Latency + time.Duration(fleet.random.Int64N(int64(fleet.options.Latency)))
	fleet.after(latency, event{
		kind: deliver, to: send.To,
		received: lwtmember.Received{From: from, Kind: send.Kind, Gossip: send.Gossip},
	})
}
