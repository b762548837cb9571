package lwtmember

import (
	"math/rand/v2"
	"slices"
	"time"
)

// probe is the probe in progress. An empty target means none.
type probe struct {
	target   string
	sequence uint64
	began    time.Time
	indirect bool
}

// relay is a probe made for another member.
type relay struct {
	requester string
	theirs    uint64
	ours      uint64
	until     time.Time
}

// maxRelays bounds the probes in progress for others.
const maxRelays = 64

// isolationTime is the time without any answer to the daemon's probes after
// which its own connection may be at fault. It then still suspects others for
// itself, but tells nobody.
const isolationTime = 2500 * time.Millisecond

func (step *step) stepProbe() {
	if step.probe.target != "" && !step.probe.indirect &&
		step.now.Sub(step.probe.began) >= step.options.ProbeTimeout {
		step.probeIndirectly()
	}
	if step.now.Before(step.nextProbe) {
		return
	}
	if step.probe.target != "" {
		step.suspect(step.probe.target)
		step.probe = probe{}
	}
	step.nextProbe = step.jittered(step.options.ProbeInterval)
	if target, found := step.nextTarget(); found {
		step.sequence++
		step.probe = probe{target: target, sequence: step.sequence, began: step.now}
		step.send(target, KindPing, Gossip{Sequence: step.sequence})
	}
}

func (step *step) probeIndirectly() {
	step.probe.indirect = true
	for range step.options.IndirectProbes {
		if helper, found := step.randomLive(step.probe.target); found {
			step.send(helper, KindPingReq, Gossip{Sequence: step.probe.sequence, Target: step.probe.target})
		}
	}
	// The first ping may have been lost with a connection that fell silent.
	step.send(step.probe.target, KindPing, Gossip{Sequence: step.probe.sequence})
}

// nextTarget returns the next live member of a random order, so that each is
// probed once in as many probes as there are members.
func (step *step) nextTarget() (string, bool) {
	for {
		if len(step.order) == 0 {
			step.order = step.shuffledLive()
			if len(step.order) == 0 {
				return "", false
			}
		}
		target := step.order[0]
		step.order = step.order[1:]
		if record, found := step.table.get(target); found && record.Live() {
			return target, true
		}
	}
}

func (step *step) shuffledLive() []string {
	order := make([]string, 0, step.table.live)
	for _, record := range step.table.records {
		if record.Live() {
			order = append(order, record.Address)
		}
	}
	rand.New(&step.random).Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}

// someLive returns random live members, at most most.
func (step *step) someLive(most int) []string {
	live := step.shuffledLive()
	return live[:min(most, len(live))]
}

// randomLive returns a random live member other than one address.
func (step *step) randomLive(except string) (string, bool) {
	const tries = 8
	records := step.table.records
	if len(records) == 0 {
		return "", false
	}
	start := 0
	for range tries {
		start = step.intN(len(records))
		if records[start].Live() && records[start].Address != except {
			return records[start].Address, true
		}
	}
	for i := range records {
		record := records[(start+i)%len(records)]
		if record.Live() && record.Address != except {
			return record.Address, true
		}
	}
	return "", false
}

func (step *step) isolated() bool { return step.now.Sub(step.lastAck) > isolationTime }

// suspect records that a probe had no answer. A leaving member is not waited
// for: nothing is sent to it any more.
func (step *step) suspect(address string) {
	record, found := step.table.get(address)
	if !found {
		return
	}
	switch record.Status {
	case Alive:
		step.conclude(record.withStatus(Suspect))
	case Leaving:
		step.conclude(record.withStatus(Dead))
	case Suspect, Dead:
	}
}

func (step *step) expireSuspects() {
	for _, record := range step.table.records {
		if record.Status == Suspect && step.now.Sub(record.since) >= step.options.SuspicionTimeout {
			step.conclude(record.withStatus(Dead))
		}
	}
}

// conclude stores the daemon's own judgement and tells others, unless the
// fault may be its own.
func (step *step) conclude(member Member) {
	step.store(member)
	if !step.isolated() {
		step.queue = step.queue.with(member)
	}
}

// store puts a record into the table.
func (step *step) store(member Member) {
	step.table = step.table.with(step.now, member)
	step.changed = step.now
	if !member.Live() {
		step.digests = step.digests.without(member.Address)
	}
	step.emit(Changed{Member: member})
}

// reconnect probes one address that is not a live member: a dead one, which a
// partition may have hidden, or one of the VM list or the settings. A daemon
// that knows nobody, or has just started and knows less than half of its peers,
// tries at each probe interval and asks for the whole table: the first one asked
// may have just started too.
func (step *step) reconnect() {
	if step.now.Before(step.nextReconnect) {
		return
	}
	interval := step.options.ReconnectInterval
	join := step.table.live == 0 ||
		step.now.Sub(step.started) < joinTime && 2*step.table.live < len(step.peers)
	if join {
		interval = step.options.ProbeInterval
	}
	step.nextReconnect = step.jittered(interval)
	candidates := step.absent()
	if len(candidates) == 0 {
		return
	}
	address := candidates[step.intN(len(candidates))]
	step.send(address, KindPing, Gossip{Join: join})
}

func (step *step) absent() []string {
	var candidates []string
	for _, record := range step.table.records {
		if !record.Live() {
			candidates = append(candidates, record.Address)
		}
	}
	for _, address := range step.peers {
		if _, found := step.table.get(address); !found && !slices.Contains(candidates, address) {
			candidates = append(candidates, address)
		}
	}
	return candidates
}

func (step *step) expireRelays() {
	if len(step.relays) == 0 {
		return
	}
	step.relays = slices.DeleteFunc(slices.Clone(step.relays), func(relay relay) bool {
		return !step.now.Before(relay.until)
	})
}
