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
	// reportKind carries a daemon's work to its relay.
	reportKind = "loads"
	// groupKind carries the work of a relay's group to other relays.
	groupKind = "loads-of-group"
	// relayKind carries the work of all others to the daemons of a group.
	relayKind = "loads-relayed"
)

// loadMessage tells other daemons what some have in work, and how they are.
type loadMessage struct {
	Reports []sourceReport `cbor:"1,keyasint,omitempty"`
	States  []daemonState  `cbor:"2,keyasint,omitempty"`
	// KeepAlive makes a message without content due.
	KeepAlive bool `cbor:"-"`
}

// sourceReport is the work of one daemon, or of the group of a relay.
type sourceReport struct {
	Source string `cbor:"1,keyasint"`
	// Loads holds, by server, the time to prefill prompts in microseconds and the
	// number of running requests.
	Loads map[string][2]int64 `cbor:"2,keyasint,omitempty"`
	// Full says that a server which is not in Loads has no work of the source.
	// Otherwise its load has not changed.
	Full bool `cbor:"3,keyasint,omitempty"`
}

// groupSource names the group of a relay as a source.
func groupSource(relay string) string { return "group " + relay }

func encodeReport(source string, report lwtqueueplacement.LoadReport) sourceReport {
	encoded := sourceReport{Source: source, Full: report.Full, Loads: make(map[string][2]int64, len(report.Loads))}
	for id, load := range report.Loads {
		encoded.Loads[id] = [2]int64{load.PrefillTime.Microseconds(), int64(load.Running)}
	}
	return encoded
}

func (report sourceReport) decode() lwtqueueplacement.LoadReport {
	decoded := lwtqueueplacement.LoadReport{Full: report.Full, Loads: make(map[string]lwtqueueplacement.Load, len(report.Loads))}
	for id, load := range report.Loads {
		decoded.Loads[id] = lwtqueueplacement.Load{PrefillTime: time.Duration(load[0]) * time.Microsecond, Running: int(load[1])}
	}
	return decoded
}

// daemonState is how a daemon is.
type daemonState struct {
	Name string `cbor:"1,keyasint"`
	Boot uint64 `cbor:"2,keyasint"`
	// AgeMilliseconds is how many milliseconds ago a relay heard it from the daemon.
	AgeMilliseconds int64 `cbor:"3,keyasint,omitempty"`
	Ready           bool  `cbor:"4,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion int64 `cbor:"5,keyasint,omitempty"`
	// HoldsOrderLease says that the daemon holds the lease for orders. Changing then lists
	// the engines whose stage is being changed.
	HoldsOrderLease      bool     `cbor:"6,keyasint,omitempty"`
	EnginesChangingStage []string `cbor:"7,keyasint,omitempty"`
	// ContactSince and ContactUntil are how many milliseconds ago the daemon's contact
	// with the store began and was last seen. Both are 0 when there is none.
	ContactSince int64 `cbor:"8,keyasint,omitempty"`
	ContactUntil int64 `cbor:"9,keyasint,omitempty"`
	// ServersDigest is a digest of the servers that the daemon uses.
	ServersDigest uint64 `cbor:"10,keyasint,omitempty"`
	// EntryAddress is where callers send requests to the daemon, Peer where other daemons
	// connect (IP:port). They and the availability zone are sent now and then only.
	EntryAddress     string `cbor:"11,keyasint,omitempty"`
	PeerAddress      string `cbor:"12,keyasint,omitempty"`
	AvailabilityZone string `cbor:"13,keyasint,omitempty"`
}

// withContact returns the state with the daemon's contact with the store.
func (state daemonState) withContact(now time.Time, contact lwtdiscovery.ReachablePeriod) daemonState {
	state.ContactSince = max(now.Sub(contact.Since).Milliseconds(), 1)
	state.ContactUntil = max(now.Sub(contact.Until).Milliseconds(), 1)
	return state
}

// contact returns the daemon's contact with the store, by this daemon's clock.
func (state daemonState) contact(heard time.Time) (contact lwtdiscovery.ReachablePeriod, known bool) {
	return lwtdiscovery.ReachablePeriod{
		Since: heard.Add(-time.Duration(state.ContactSince) * time.Millisecond),
		Until: heard.Add(-time.Duration(state.ContactUntil) * time.Millisecond),
	}, state.ContactSince > 0
}

// equal compares what other daemons act on at once.
func (state daemonState) equal(other daemonState) bool {
	return state.Boot == other.Boot && state.Ready == other.Ready && state.ConfigVersion == other.ConfigVersion &&
		state.HoldsOrderLease == other.HoldsOrderLease && slices.Equal(state.EnginesChangingStage, other.EnginesChangingStage)
}

// short returns the state without what seldom changes.
func (state daemonState) short() daemonState {
	state.EntryAddress, state.PeerAddress, state.AvailabilityZone = "", "", ""
	return state
}

// Times of states.
const (
	// relayedStateInterval is the time between two relayed states of a daemon that
	// has not changed.
	relayedStateInterval = 600 * time.Millisecond
	// wholeStateInterval is the time after which what seldom changes is sent again.
	wholeStateInterval = 3 * time.Second
	// stateAge is the age up to which the state of a daemon is relayed.
	stateAge = 3 * time.Second
)

// stateBoard holds the states of daemons that a relay passes on. It is changed in
// place by its owner.
type stateBoard struct {
	own     daemonState
	ownSent time.Time
	ownDue  bool
	known   map[string]knownState
	// all says that all states are due, whole that they are due whole.
	all, whole         bool
	allSent, wholeSent time.Time
}

type knownState struct {
	daemonState
	heard time.Time
	// direct says that the daemon itself has told it: it is of the own group.
	direct  bool
	changed bool
}

func newStateBoard() stateBoard { return stateBoard{known: map[string]knownState{}} }

// setOwn sets this daemon's state and reports whether it is due.
func (board *stateBoard) setOwn(now time.Time, state daemonState) bool {
	board.ownDue = !state.equal(board.own) || now.Sub(board.ownSent) >= stateInterval
	board.own = state
	if board.ownDue {
		board.ownSent = now
	}
	board.all = board.all || now.Sub(board.allSent) >= relayedStateInterval
	board.whole = board.whole || now.Sub(board.wholeSent) >= wholeStateInterval
	if board.whole {
		board.all, board.wholeSent = true, now
	}
	if board.all {
		board.allSent = now
	}
	return board.ownDue
}

// sendWhole makes all states due whole, for a daemon that knows nothing yet.
func (board *stateBoard) sendWhole() { board.whole = true }

// note takes in the state of another daemon and reports whether it is news.
func (board *stateBoard) note(heard time.Time, state daemonState, direct bool) {
	known, found := board.known[state.Name]
	if found && (heard.Before(known.heard) || known.direct && !direct && heard.Sub(known.heard) < subscriberAge) {
		return
	}
	if state.PeerAddress == "" && found && known.Boot == state.Boot {
		state.EntryAddress, state.PeerAddress, state.AvailabilityZone = known.EntryAddress, known.PeerAddress, known.AvailabilityZone
	}
	changed := !found || known.changed || !known.equal(state)
	board.known[state.Name] = knownState{daemonState: state, heard: heard, direct: direct, changed: changed}
}

// forRelays returns the states of the own group that are due.
func (board *stateBoard) forRelays(now time.Time) []daemonState {
	return board.due(now, func(known knownState) bool { return known.direct })
}

// forGroup returns the states of all daemons that are due.
func (board *stateBoard) forGroup(now time.Time) []daemonState {
	return board.due(now, func(knownState) bool { return true })
}

func (board *stateBoard) due(now time.Time, which func(knownState) bool) []daemonState {
	var states []daemonState
	if board.ownDue || board.all {
		states = append(states, board.own)
	}
	for name, known := range board.known {
		age := now.Sub(known.heard)
		if age >= stateAge {
			delete(board.known, name)
			continue
		}
		if !which(known) || !board.all && !known.changed {
			continue
		}
		state := known.daemonState
		state.AgeMilliseconds = age.Milliseconds()
		if !board.whole && !known.changed {
			state = state.short()
		}
		states = append(states, state)
	}
	return states
}

// sent notes that what was due was sent.
func (board *stateBoard) sent() {
	board.ownDue, board.all, board.whole = false, false, false
	for name, known := range board.known {
		if known.changed {
			known.changed = false
			board.known[name] = known
		}
	}
}

// hearing is how a daemon has heard of another one's state.
type hearing int

const (
	heardDirectly hearing = iota
	heardFromRelay
)

// daemonState returns this daemon's state.
func (gateway *Gateway) daemonState(now time.Time) daemonState {
	config, _ := gateway.view.configuration()
	state := daemonState{
		Name: gateway.settings.Name, Boot: gateway.boot, Ready: gateway.serving(), ConfigVersion: config.Version,
		ServersDigest: gateway.view.rosterDigest(),
		EntryAddress:  gateway.settings.EntryAddress, PeerAddress: gateway.settings.PeerAddress, AvailabilityZone: gateway.settings.AvailabilityZone,
	}
	state.HoldsOrderLease, state.EnginesChangingStage = gateway.orders.state()
	if contact, known := gateway.contact(now); known {
		state = state.withContact(now, contact)
	}
	return state
}

// takeState takes in the state of another daemon that one has sent.
func (gateway *Gateway) takeState(now time.Time, from lwtpeer.Identity, state daemonState, way hearing) {
	heard := now.Add(-time.Duration(state.AgeMilliseconds) * time.Millisecond)
	direct := way == heardDirectly && state.Name == from.Name
	gateway.exchange.mutex.Lock()
	gateway.exchange.states.note(heard, state, direct)
	relay := gateway.exchange.plan.Relay()
	gateway.exchange.mutex.Unlock()
	if gateway.members.heardFrom(heard, state, state.Name == from.Name) {
		gateway.logJoined(state.Name, state.Boot, state.EntryAddress, "message of "+from.Name)
	}
	if config, _ := gateway.view.configuration(); state.ConfigVersion > config.Version {
		gateway.requestConfig(now, from.Name)
	}
	if contact, known := state.contact(heard); known {
		gateway.noteContact(contact, state.Name)
	}
	if state.HoldsOrderLease {
		gateway.view.setChanging(state.EnginesChangingStage)
	}
	if state.Name == relay {
		gateway.compareServers(now, state.ServersDigest)
	}
}
