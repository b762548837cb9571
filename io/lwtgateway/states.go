package lwtgateway

import (
	"slices"
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtqueueplacement"
	"lacewingtide/io/lwtpeer"
)

// Kinds of messages that carry a loadMessage.
const (
	// reportKind carries a daemon's load to its relay.
	reportKind = "loads"
	// groupReportKind carries the load of a relay's group to other relays.
	groupReportKind = "loads-of-group"
	// relayReportKind carries the loads of all other daemons to the daemons of a group.
	relayReportKind = "loads-relayed"
)

// loadMessage carries load reports and states of daemons.
type loadMessage struct {
	Reports []sourceReport `cbor:"1,keyasint,omitempty"`
	States  []daemonState  `cbor:"2,keyasint,omitempty"`
	// KeepAlive makes the sender send the message even if it is empty. It is not encoded.
	KeepAlive bool `cbor:"-"`
}

// sourceReport is the pending load of one daemon or of a relay's group.
type sourceReport struct {
	Source string `cbor:"1,keyasint"`
	// Loads holds, by server ID, the pending prefill time in microseconds and the number
	// of running requests.
	Loads map[string][2]int64 `cbor:"2,keyasint,omitempty"`
	// Full says that the source has no load on servers that are not in Loads. If it is
	// false, the load on those servers has not changed.
	Full bool `cbor:"3,keyasint,omitempty"`
}

// groupSource returns the source name of a relay's group.
func groupSource(relay string) string { return "group " + relay }

func encodeReport(source string, report lwtqueueplacement.LoadReport) sourceReport {
	encoded := sourceReport{Source: source, Full: report.Full, Loads: make(map[string][2]int64, len(report.Loads))}
	for id, load := range report.Loads {
		encoded.Loads[id] = [2]int64{load.PrefillTime.Microseconds(), int64(load.Running)}
	}
	return encoded
}

func (report sourceReport) decode() lwtqueueplacement.LoadReport {
	decoded := lwtqueueplacement.LoadReport{
		Full: report.Full, Loads: make(map[string]lwtqueueplacement.Load, len(report.Loads)),
	}
	for id, load := range report.Loads {
		decoded.Loads[id] = lwtqueueplacement.Load{
			PrefillTime: time.Duration(load[0]) * time.Microsecond, Running: int(load[1]),
		}
	}
	return decoded
}

// daemonState is the status that a daemon publishes to the others.
type daemonState struct {
	Name string `cbor:"1,keyasint"`
	Boot uint64 `cbor:"2,keyasint"`
	// AgeMilliseconds is how long ago a relay received the state from the daemon.
	AgeMilliseconds int64 `cbor:"3,keyasint,omitempty"`
	Ready           bool  `cbor:"4,keyasint,omitempty"`
	// ConfigVersion is the version of the active configuration.
	ConfigVersion int64 `cbor:"5,keyasint,omitempty"`
	// HoldsOrderLease says that the daemon holds the lease for orders.
	// EnginesChangingStage then lists the engines whose stage is being changed.
	HoldsOrderLease      bool     `cbor:"6,keyasint,omitempty"`
	EnginesChangingStage []string `cbor:"7,keyasint,omitempty"`
	// ReachableSinceMilliseconds and ReachableUntilMilliseconds are how many milliseconds
	// ago the period in which the daemon reached the store began, and the store last
	// responded. Both are 0 if there is no such period.
	ReachableSinceMilliseconds int64 `cbor:"8,keyasint,omitempty"`
	ReachableUntilMilliseconds int64 `cbor:"9,keyasint,omitempty"`
	// ServersDigest is a digest of the daemon's server list.
	ServersDigest uint64 `cbor:"10,keyasint,omitempty"`
	// EntryAddress is where callers connect to the daemon, PeerAddress where other daemons
	// connect (IP:port). Together with the availability zone, they are sent only in a full
	// state.
	EntryAddress     string `cbor:"11,keyasint,omitempty"`
	PeerAddress      string `cbor:"12,keyasint,omitempty"`
	AvailabilityZone string `cbor:"13,keyasint,omitempty"`
	// QuarantineDigest is a digest of the quarantined segments.
	QuarantineDigest uint64 `cbor:"14,keyasint,omitempty"`
	// StoreEra is the highest era of the store that the daemon knows of.
	StoreEra int64 `cbor:"15,keyasint,omitempty"`
	// AnnouncedSinceMilliseconds is since how many milliseconds the daemon has announced each
	// change of the servers, or 0 if it does not reach the store.
	AnnouncedSinceMilliseconds int64 `cbor:"16,keyasint,omitempty"`
	// MixedServices holds the services of which the daemon knows servers of several software
	// versions.
	MixedServices []string `cbor:"17,keyasint,omitempty"`
	// Unreachable holds the addresses of servers that the daemon could not connect to lately.
	Unreachable []string `cbor:"18,keyasint,omitempty"`
}

// withReachablePeriod returns the state with the period in which the daemon reached the
// store.
func (state daemonState) withReachablePeriod(now time.Time, reachable lwtdiscovery.ReachablePeriod) daemonState {
	state.ReachableSinceMilliseconds = max(now.Sub(reachable.Since).Milliseconds(), 1)
	state.ReachableUntilMilliseconds = max(now.Sub(reachable.Until).Milliseconds(), 1)
	state.AnnouncedSinceMilliseconds = max(now.Sub(reachable.AnnouncedSince).Milliseconds(), 1)
	return state
}

// reachablePeriod returns the period in which the daemon reached the store, converted to
// this daemon's clock.
func (state daemonState) reachablePeriod(reportedAt time.Time) (reachable lwtdiscovery.ReachablePeriod, known bool) {
	return lwtdiscovery.ReachablePeriod{
		Since:          reportedAt.Add(-time.Duration(state.ReachableSinceMilliseconds) * time.Millisecond),
		Until:          reportedAt.Add(-time.Duration(state.ReachableUntilMilliseconds) * time.Millisecond),
		AnnouncedSince: reportedAt.Add(-time.Duration(state.AnnouncedSinceMilliseconds) * time.Millisecond),
	}, state.ReachableSinceMilliseconds > 0
}

// sameStatus compares the fields whose changes are sent immediately.
func (state daemonState) sameStatus(other daemonState) bool {
	return state.Boot == other.Boot && state.Ready == other.Ready && state.ConfigVersion == other.ConfigVersion &&
		state.HoldsOrderLease == other.HoldsOrderLease && slices.Equal(state.EnginesChangingStage, other.EnginesChangingStage) &&
		slices.Equal(state.Unreachable, other.Unreachable)
}

// withoutAddresses returns the state without the addresses and the availability zone, which
// rarely change.
func (state daemonState) withoutAddresses() daemonState {
	state.EntryAddress, state.PeerAddress, state.AvailabilityZone = "", "", ""
	return state
}

// Intervals of the states that a relay forwards.
const (
	// relayedStateInterval is the time after which a relay forwards an unchanged state
	// again.
	relayedStateInterval = 600 * time.Millisecond
	// fullStateInterval is the time after which addresses and availability zones are sent
	// again.
	fullStateInterval = 3 * time.Second
	// maxStateAge is the maximum age of a state that a relay forwards.
	maxStateAge = 3 * time.Second
)

// stateTable holds the states of daemons and which of them are due to be sent. It is guarded
// by the mutex of its loadExchange.
type stateTable struct {
	own        daemonState
	ownSentAt  time.Time
	ownPending bool
	received   map[string]receivedState
	// sendAll says that all states are due, sendFull that they are due with their
	// addresses and availability zones.
	sendAll, sendFull     bool
	allSentAt, fullSentAt time.Time
}

// receivedState is the last state received from another daemon.
type receivedState struct {
	daemonState
	reportedAt time.Time
	// direct says that the daemon itself sent the state: it is in this relay's group.
	direct bool
	unsent bool
}

func newStateTable() stateTable { return stateTable{received: map[string]receivedState{}} }

// updateOwn sets this daemon's state, updates which states are due, and reports whether its
// own one is.
func (stateTable *stateTable) updateOwn(now time.Time, state daemonState) bool {
	stateTable.ownPending = !state.sameStatus(stateTable.own) || now.Sub(stateTable.ownSentAt) >= maxStateInterval
	stateTable.own = state
	if stateTable.ownPending {
		stateTable.ownSentAt = now
	}
	stateTable.sendAll = stateTable.sendAll || now.Sub(stateTable.allSentAt) >= relayedStateInterval
	stateTable.sendFull = stateTable.sendFull || now.Sub(stateTable.fullSentAt) >= fullStateInterval
	if stateTable.sendFull {
		stateTable.sendAll, stateTable.fullSentAt = true, now
	}
	if stateTable.sendAll {
		stateTable.allSentAt = now
	}
	return stateTable.ownPending
}

// scheduleFull makes all states due with their addresses. It is called for a daemon that has
// just connected and has received no state yet.
func (stateTable *stateTable) scheduleFull() { stateTable.sendFull = true }

// record stores the state of another daemon unless a newer one, or a recent one from the
// daemon itself, is stored.
func (stateTable *stateTable) record(reportedAt time.Time, state daemonState, direct bool) {
	previous, found := stateTable.received[state.Name]
	if found && (reportedAt.Before(previous.reportedAt) ||
		previous.direct && !direct && reportedAt.Sub(previous.reportedAt) < subscriberTTL) {
		return
	}
	if state.PeerAddress == "" && found && previous.Boot == state.Boot {
		state.EntryAddress, state.PeerAddress, state.AvailabilityZone = previous.EntryAddress, previous.PeerAddress,
			previous.AvailabilityZone
	}
	unsent := !found || previous.unsent || !previous.sameStatus(state)
	stateTable.received[state.Name] = receivedState{
		daemonState: state, reportedAt: reportedAt, direct: direct, unsent: unsent,
	}
}

// pendingForRelays returns the states of this relay's group that are due.
func (stateTable *stateTable) pendingForRelays(now time.Time) []daemonState {
	return stateTable.pending(now, func(receivedState receivedState) bool { return receivedState.direct })
}

// pendingForGroup returns the states of all daemons that are due.
func (stateTable *stateTable) pendingForGroup(now time.Time) []daemonState {
	return stateTable.pending(now, func(receivedState) bool { return true })
}

func (stateTable *stateTable) pending(now time.Time, include func(receivedState) bool) []daemonState {
	var states []daemonState
	if stateTable.ownPending || stateTable.sendAll {
		states = append(states, stateTable.own)
	}
	for name, receivedState := range stateTable.received {
		age := now.Sub(receivedState.reportedAt)
		if age >= maxStateAge {
			delete(stateTable.received, name)
			continue
		}
		if !include(receivedState) || !stateTable.sendAll && !receivedState.unsent {
			continue
		}
		state := receivedState.daemonState
		state.AgeMilliseconds = age.Milliseconds()
		if !stateTable.sendFull && !receivedState.unsent {
			state = state.withoutAddresses()
		}
		states = append(states, state)
	}
	return states
}

// markSent records that all states that were due were sent.
func (stateTable *stateTable) markSent() {
	stateTable.ownPending, stateTable.sendAll, stateTable.sendFull = false, false, false
	for name, receivedState := range stateTable.received {
		if receivedState.unsent {
			receivedState.unsent = false
			stateTable.received[name] = receivedState
		}
	}
}

// senderRole is the role of the daemon that sent a load message.
type senderRole int

const (
	// senderSubscriber is a daemon that reports to this one.
	senderSubscriber senderRole = iota
	// senderRelay is another relay, or this daemon's relay.
	senderRelay
)

// ownState returns this daemon's state.
func (gateway *Gateway) ownState(now time.Time) daemonState {
	config, _ := gateway.view.configuration()
	state := daemonState{
		Name: gateway.settings.Name, Boot: gateway.boot, Ready: gateway.serving(), ConfigVersion: config.Version,
		ServersDigest: gateway.view.digest(), EntryAddress: gateway.settings.EntryAddress,
		PeerAddress: gateway.settings.PeerAddress, AvailabilityZone: gateway.settings.AvailabilityZone,
		QuarantineDigest: gateway.view.quarantineDigest(now), StoreEra: gateway.storeEra.Load(),
		MixedServices: gateway.view.mixedServices(now), Unreachable: gateway.reachability.own(now),
	}
	state.HoldsOrderLease, state.EnginesChangingStage = gateway.orderSender.state()
	if reachable, known := gateway.storeReachablePeriod(now); known {
		state = state.withReachablePeriod(now, reachable)
	}
	return state
}

// applyState applies the state of another daemon, which that daemon or a relay has sent.
func (gateway *Gateway) applyState(now time.Time, from lwtpeer.Identity, state daemonState, role senderRole) {
	reportedAt := now.Add(-time.Duration(state.AgeMilliseconds) * time.Millisecond)
	direct := role == senderSubscriber && state.Name == from.Name
	gateway.loadExchange.mutex.Lock()
	gateway.loadExchange.states.record(reportedAt, state, direct)
	reference := gateway.loadExchange.topology.Reference()
	gateway.loadExchange.mutex.Unlock()
	if gateway.members.recordState(reportedAt, state, state.Name == from.Name) {
		gateway.logJoined(state.Name, state.Boot, state.EntryAddress, "message of "+from.Name)
	}
	if config, _ := gateway.view.configuration(); state.ConfigVersion > config.Version {
		gateway.requestConfig(now, from.Name)
	}
	if reachable, known := state.reachablePeriod(reportedAt); known {
		gateway.recordReachablePeriod(reachable, state.Name)
	}
	gateway.observeEra(state.StoreEra)
	gateway.view.observeMixed(state.MixedServices, reportedAt.Add(mixedReportTTL))
	gateway.reachability.observe(reportedAt, state.Unreachable)
	if state.HoldsOrderLease {
		gateway.view.setEnginesChangingStage(now, state.EnginesChangingStage)
	}
	if state.Name == reference {
		gateway.compareServersDigest(now, state.ServersDigest)
	}
	if state.Name == from.Name {
		gateway.syncQuarantine(now, from.Name, state.QuarantineDigest)
		gateway.syncDraining(now, from.Name, state.ServersDigest)
	}
}
