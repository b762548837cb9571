// Package lwtmembersim runs many membership models in virtual time on a simulated
// network, so that failures in a large cluster can be tested and measured
// deterministically in one process.
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
	// maxBufferedMessages bounds the messages that are buffered for a paused daemon,
	// as the buffers of its connections would be.
	maxBufferedMessages = 256
	// bootStep is the difference between the boot numbers of consecutive daemons at
	// one address.
	bootStep = 1000
)

// Options holds the parameters of a cluster.
type Options struct {
	Members           int
	AvailabilityZones int
	// Latency is the one-way latency; each message takes up to twice as long.
	Latency time.Duration
	// Loss is the fraction of messages that are lost, in [0, 1).
	Loss float64
	Seed uint64
	// MessageSize returns the size of a message on the wire in bytes.
	MessageSize   func(lwtmember.Kind, lwtmember.Gossip) int
	MemberOptions lwtmember.Options
}

// Traffic counts what one daemon has sent.
type Traffic struct {
	Messages int
	Bytes    int
}

// Daemon is one daemon of a cluster.
type Daemon struct {
	Model lwtmember.Model
	Sent  Traffic
	// Up is false after a kill.
	Up          bool
	pausedUntil time.Time
	// buffered holds the messages that arrived while the daemon was paused.
	buffered []lwtmember.Received
	// generation numbers the daemons at one address. It tells the ticks of a
	// replaced daemon from those of its replacement.
	generation int
}

// Observer is called with each command that a daemon's model returns, except Send.
type Observer func(now time.Time, daemon string, cmd lwtmember.Cmd)

// Cluster is a set of daemons and the network between them.
type Cluster struct {
	options    Options
	random     *rand.Rand
	now        time.Time
	startedAt  time.Time
	queue      eventQueue
	eventCount uint64
	names      []string
	daemons    map[string]*Daemon
	observe    Observer
	// cutLinks holds the links on which the network drops all messages.
	cutLinks map[link]bool
}

type link struct{ from, to string }

// New returns a cluster whose daemons have not started yet.
func New(options Options) *Cluster {
	startTime := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cluster := &Cluster{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, 1)),
		now:       startTime,
		startedAt: startTime,
		daemons:   map[string]*Daemon{},
		observe:   func(time.Time, string, lwtmember.Cmd) {},
		cutLinks:  map[link]bool{},
	}
	for i := range options.Members {
		cluster.names = append(cluster.names, Name(i))
	}
	return cluster
}

// Name returns the name of the daemon with the given index.
func Name(index int) string { return fmt.Sprintf("d%d", index) }

// Address returns the peer address of the daemon with the given index.
func Address(index int) string {
	return fmt.Sprintf("10.%d.%d.%d:7001", index>>16, index>>8&255, index&255)
}

// AvailabilityZone returns the availability zone of the daemon with the given index.
func (cluster *Cluster) AvailabilityZone(index int) string {
	return fmt.Sprintf("zone-%d", index%cluster.options.AvailabilityZones)
}

// Observe sets the observer of the commands of all models.
func (cluster *Cluster) Observe(observe Observer) { cluster.observe = observe }

// Now returns the virtual time.
func (cluster *Cluster) Now() time.Time { return cluster.now }

// Elapsed returns the virtual time since the cluster was created.
func (cluster *Cluster) Elapsed() time.Duration { return cluster.now.Sub(cluster.startedAt) }

// Daemon returns the daemon at an address.
func (cluster *Cluster) Daemon(address string) (*Daemon, bool) {
	daemon, found := cluster.daemons[address]
	return daemon, found
}

// Start starts or replaces the daemon with the given index. Its boot number is higher
// than that of the previous daemon. If behind is set, it is lower instead, as after a
// VM's clock was set back.
func (cluster *Cluster) Start(index int, peers []string, behind bool) {
	address := Address(index)
	boot, generation := uint64(bootStep*bootStep), 0
	if previous, found := cluster.daemons[address]; found {
		generation = previous.generation + 1
		boot = previous.Model.Self().Boot + bootStep
		if behind {
			boot = previous.Model.Self().Boot - bootStep
		}
	}
	self := lwtmember.Member{
		Address:          address,
		Name:             Name(index),
		EntryAddress:     fmt.Sprintf("10.%d.%d.%d:7000", index>>16, index>>8&255, index&255),
		AvailabilityZone: cluster.AvailabilityZone(index),
		Boot:             boot,
	}
	source := *rand.NewPCG(cluster.options.Seed, cluster.random.Uint64())
	daemon := &Daemon{
		Model: lwtmember.New(cluster.now, self, cluster.options.MemberOptions, source), Up: true, generation: generation,
	}
	cluster.daemons[address] = daemon
	cluster.update(address, daemon, lwtmember.SetPeers{Addresses: peers})
	cluster.after(time.Duration(cluster.random.Int64N(int64(TickInterval))), event{
		kind: tick, to: address, generation: generation,
	})
}

// Kill stops a daemon without a leave message.
func (cluster *Cluster) Kill(address string) {
	if daemon, found := cluster.daemons[address]; found {
		daemon.Up = false
	}
}

// Pause pauses a daemon for a duration. Messages to it are buffered meanwhile.
func (cluster *Cluster) Pause(address string, duration time.Duration) {
	if daemon, found := cluster.daemons[address]; found {
		daemon.pausedUntil = cluster.now.Add(duration)
	}
}

// Dispatch passes a message to the model of a daemon.
func (cluster *Cluster) Dispatch(address string, msg lwtmember.Msg) {
	if daemon, found := cluster.daemons[address]; found && daemon.Up {
		cluster.update(address, daemon, msg)
	}
}

// CutLink drops all messages from one address to another from now on.
func (cluster *Cluster) CutLink(from, to string) { cluster.cutLinks[link{from, to}] = true }

// Heal restores all cut links.
func (cluster *Cluster) Heal() { clear(cluster.cutLinks) }

// Run advances the virtual time by a duration.
func (cluster *Cluster) Run(duration time.Duration) {
	until := cluster.now.Add(duration)
	for len(cluster.queue) > 0 && !cluster.queue[0].at.After(until) {
		next := heap.Pop(&cluster.queue).(event)
		cluster.now = next.at
		cluster.handle(next)
	}
	cluster.now = until
}

// RunUntil advances the virtual time until the condition is true or the timeout passes.
// It returns the elapsed time and whether the condition became true. The condition is
// checked every 100 ms.
func (cluster *Cluster) RunUntil(timeout time.Duration, done func() bool) (time.Duration, bool) {
	startTime := cluster.now
	for !done() {
		if cluster.now.Sub(startTime) >= timeout {
			return cluster.now.Sub(startTime), false
		}
		cluster.Run(TickInterval)
	}
	return cluster.now.Sub(startTime), true
}

func (cluster *Cluster) handle(event event) {
	daemon := cluster.daemons[event.to]
	if daemon == nil || !daemon.Up {
		return
	}
	paused := cluster.now.Before(daemon.pausedUntil)
	if event.kind == deliver {
		if paused {
			daemon.buffer(event.received)
			return
		}
		cluster.update(event.to, daemon, event.received)
		return
	}
	if event.generation != daemon.generation {
		return
	}
	if paused {
		event.at = daemon.pausedUntil
		cluster.push(event)
		return
	}
	cluster.after(TickInterval, event)
	cluster.update(event.to, daemon, lwtmember.Tick{})
	buffered := daemon.buffered
	daemon.buffered = nil
	for _, received := range buffered {
		cluster.update(event.to, daemon, received)
	}
}

func (daemon *Daemon) buffer(received lwtmember.Received) {
	if len(daemon.buffered) < maxBufferedMessages {
		daemon.buffered = append(daemon.buffered, received)
	}
}

func (cluster *Cluster) update(address string, daemon *Daemon, msg lwtmember.Msg) {
	model, cmds := daemon.Model.Update(cluster.now, msg)
	daemon.Model = model
	for _, cmd := range cmds {
		if send, found := cmd.(lwtmember.Send); found {
			cluster.send(address, daemon, send)
			continue
		}
		cluster.observe(cluster.now, address, cmd)
	}
}

func (cluster *Cluster) send(from string, daemon *Daemon, send lwtmember.Send) {
	daemon.Sent.Messages++
	daemon.Sent.Bytes += cluster.options.MessageSize(send.Kind, send.Gossip)
	if cluster.cutLinks[link{from, send.To}] || cluster.random.Float64() < cluster.options.Loss {
		return
	}
	latency := cluster.options.Latency + time.Duration(cluster.random.Int64N(int64(cluster.options.Latency)))
	cluster.after(latency, event{
		kind: deliver, to: send.To,
		received: lwtmember.Received{From: from, Kind: send.Kind, Gossip: send.Gossip},
	})
}
