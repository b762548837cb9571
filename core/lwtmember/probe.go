package lwtmember

import (
	"math/rand/v2"
	"slices"
	"time"
)

// probe is the probe in progress. Target is empty if there is none.
type probe struct {
	target    string
	sequence  uint64
	startedAt time.Time
	indirect  bool
}

// relayedProbe is an indirect probe that another member requested.
type relayedProbe struct {
	requester         string
	requesterSequence uint64
	sequence          uint64
	expiresAt         time.Time
}

// maxRelayedProbes bounds the indirect probes in progress.
const maxRelayedProbes = 64

// isolationTimeout is the time without any ack after which the daemon's own
// connection may be at fault. The daemon then still marks others as suspect in
// its own table, but does not gossip it.
const isolationTimeout = 2500 * time.Millisecond

// advanceProbe asks other members to probe the target after ProbeTimeout, and
// suspects the target and starts the next probe after ProbeInterval.
func (step *step) advanceProbe() {
	if step.probe.target != "" && !step.probe.indirect &&
		step.now.Sub(step.probe.startedAt) >= step.options.ProbeTimeout {
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
	if target, found := step.nextProbeTarget(); found {
		step.sequence++
		step.probe = probe{target: target, sequence: step.sequence, startedAt: step.now}
		step.send(target, KindPing, Gossip{Sequence: step.sequence})
	}
}

func (step *step) probeIndirectly() {
	step.probe.indirect = true
	for range step.options.IndirectProbes {
		if helper, found := step.randomLiveMember(step.probe.target); found {
			step.send(helper, KindPingReq, Gossip{Sequence: step.probe.sequence, Target: step.probe.target})
		}
	}
	// The first ping may have been lost on a connection that failed silently.
	step.send(step.probe.target, KindPing, Gossip{Sequence: step.probe.sequence})
}

// nextProbeTarget returns the next live member in a shuffled order, so that each
// member is probed once per round.
func (step *step) nextProbeTarget() (string, bool) {
	for {
		if len(step.probeOrder) == 0 {
			step.probeOrder = step.shuffledLiveMembers()
			if len(step.probeOrder) == 0 {
				return "", false
			}
		}
		target := step.probeOrder[0]
		step.probeOrder = step.probeOrder[1:]
		if record, found := step.table.get(target); found && record.Live() {
			return target, true
		}
	}
}

func (step *step) shuffledLiveMembers() []string {
	order := make([]string, 0, step.table.liveCount)
	for _, record := range step.table.records {
		if record.Live() {
			order = append(order, record.Address)
		}
	}
	rand.New(&step.random).Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}

// randomLiveMembers returns up to limit random live members.
func (step *step) randomLiveMembers(limit int) []string {
	live := step.shuffledLiveMembers()
	return live[:min(limit, len(live))]
}

// randomLiveMember returns a random live member other than except.
func (step *step) randomLiveMember(except string) (string, bool) {
	const attempts = 8
	records := step.table.records
	if len(records) == 0 {
		return "", false
	}
	start := 0
	for range attempts {
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

func (step *step) isolated() bool { return step.now.Sub(step.lastAck) > isolationTimeout }

// suspect records that a probe was not acknowledged. An alive member becomes
// suspect. A leaving member becomes dead without a suspicion timeout, because
// no more requests are sent to it.
func (step *step) suspect(address string) {
	record, found := step.table.get(address)
	if !found {
		return
	}
	switch record.Status {
	case Alive:
		step.recordDetection(record.withStatus(Suspect))
	case Leaving:
		step.recordDetection(record.withStatus(Dead))
	case Suspect, Dead:
	}
}

func (step *step) expireSuspects() {
	for _, record := range step.table.records {
		if record.Status == Suspect && step.now.Sub(record.statusSince) >= step.options.SuspicionTimeout {
			step.recordDetection(record.withStatus(Dead))
		}
	}
}

// recordDetection stores a status change that this daemon detected, and gossips
// it unless the daemon itself may be isolated.
func (step *step) recordDetection(member Member) {
	step.storeRecord(member)
	if !step.isolated() {
		step.queue = step.queue.with(member)
	}
}

// storeRecord puts a member into the table and reports the change.
func (step *step) storeRecord(member Member) {
	step.table = step.table.with(step.now, member)
	step.lastChange = step.now
	if !member.Live() {
		step.metadata = step.metadata.without(member.Address)
	}
	step.emit(Changed{Member: member})
}

// reconnect pings one address that is not a live member: a dead member, which may
// be on the other side of a partition, or an address from the VM list or the
// settings. A daemon that knows no live member, or that has just started and
// knows fewer than half of its peers, does so at each probe interval and asks for
// the whole table. It repeats this because the first peer that it asks may have
// just started too.
func (step *step) reconnect() {
	if step.now.Before(step.nextReconnect) {
		return
	}
	interval := step.options.ReconnectInterval
	join := step.table.liveCount == 0 ||
		step.now.Sub(step.started) < joinPeriod && 2*step.table.liveCount < len(step.peers)
	if join {
		interval = step.options.ProbeInterval
	}
	step.nextReconnect = step.jittered(interval)
	candidates := step.reconnectCandidates()
	if len(candidates) == 0 {
		return
	}
	address := candidates[step.intN(len(candidates))]
	step.send(address, KindPing, Gossip{Join: join})
}

func (step *step) reconnectCandidates() []string {
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

func (step *step) expireRelayedProbes() {
	if len(step.relayedProbes) == 0 {
		return
	}
	step.relayedProbes = slices.DeleteFunc(slices.Clone(step.relayedProbes), func(relayed relayedProbe) bool {
		return !step.now.Before(relayed.expiresAt)
	})
}
