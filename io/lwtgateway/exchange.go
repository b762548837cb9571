package lwtgateway

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"lacewingtide/core/lwtloadrelay"
	"lacewingtide/core/lwtqueueplacement"
	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtpeer"
)

// Intervals and timeouts of the load exchange between daemons.
const (
	// maxStateInterval is the maximum time between two messages with a daemon's own state.
	maxStateInterval = 300 * time.Millisecond
	// relayKeepAliveInterval is the maximum time between two messages of a relay to its
	// group.
	relayKeepAliveInterval = 100 * time.Millisecond
	// relaySilenceTimeout is how long a relay may be silent before another one is chosen. It
	// allows for several messages and the time to open a connection.
	relaySilenceTimeout = 600 * time.Millisecond
	// relayAvoidanceTime is how long a silent relay is avoided.
	relayAvoidanceTime = 5 * time.Second
	// subscriberTTL is how long a relay keeps sending to a daemon after the daemon's last
	// report.
	subscriberTTL = time.Second
	// topologyInterval is the time between two computations of the relay topology.
	topologyInterval = 200 * time.Millisecond
	// relayChangeTime is how long the relays count as changing after a change. It allows for
	// two reads of the daemons' rows.
	relayChangeTime = 2*storeReaderInterval + time.Second
)

// loadExchange reports this daemon's pending load to other daemons and, on a relay, forwards
// their reports. It is safe for concurrent use.
type loadExchange struct {
	// reportSignal has an element if, since the last message, a prompt was sent to an engine
	// or a report with load changes arrived.
	reportSignal chan struct{}

	mutex        sync.Mutex
	network      *lwtpeer.Network
	topology     lwtloadrelay.Topology
	topologyTime time.Time
	// relaysChangedAt is when the topology last had other relays than the one before.
	relaysChangedAt time.Time
	// avoidedUntil holds, by relay, until when it must not be chosen.
	avoidedUntil map[string]time.Time
	// lastRelayContact is when this daemon's relay last sent a message or was chosen.
	lastRelayContact time.Time
	// subscribers holds when each daemon that reports to this one last sent a message.
	// peerRelays holds the same for other relays.
	subscribers map[string]time.Time
	peerRelays  map[string]time.Time
	// subscriberLoads holds the load reports of the subscribers, groupLoads those of other
	// relays' groups.
	subscriberLoads *lwtloadrelay.Collector
	groupLoads      *lwtloadrelay.Collector
	// ownReporter reports this daemon's load, groupReporter that of its group.
	ownReporter   lwtqueueplacement.LoadReporter
	groupReporter lwtqueueplacement.LoadReporter
	states        stateTable
	// syncedAt holds, by daemon, when all that this daemon knows was last sent to it.
	syncedAt         map[syncedKind]map[string]time.Time
	lastRelayMessage time.Time
}

func newLoadExchange() *loadExchange {
	return &loadExchange{
		reportSignal: make(chan struct{}, 1), avoidedUntil: map[string]time.Time{},
		subscribers: map[string]time.Time{}, peerRelays: map[string]time.Time{},
		subscriberLoads: lwtloadrelay.NewCollector(), groupLoads: lwtloadrelay.NewCollector(), states: newStateTable(),
		syncedAt: map[syncedKind]map[string]time.Time{syncedQuarantine: {}, syncedDraining: {}},
	}
}

// syncedKind is a kind of knowledge of which daemons send each other all that they have if it differs.
type syncedKind int

const (
	syncedQuarantine syncedKind = iota
	syncedDraining
)

// syncInterval is the minimum time between two messages with all that is known of a kind to the same
// daemon.
const syncInterval = time.Second

// syncDue reports whether all that this daemon knows of a kind may be sent to another one now, and if
// so records that it is.
func (loadExchange *loadExchange) syncDue(now time.Time, daemon string, kind syncedKind) bool {
	loadExchange.mutex.Lock()
	defer loadExchange.mutex.Unlock()
	sentAt := loadExchange.syncedAt[kind]
	if now.Sub(sentAt[daemon]) < syncInterval {
		return false
	}
	deleteOlder(now, sentAt, syncInterval)
	sentAt[daemon] = now
	return true
}

// reportSoon makes awaitNextReport return before the regular interval has passed.
func (loadExchange *loadExchange) reportSoon() {
	select {
	case loadExchange.reportSignal <- struct{}{}:
	default:
	}
}

// peerNetwork returns the network of connections to other daemons, or nil before it is
// opened.
func (loadExchange *loadExchange) peerNetwork() *lwtpeer.Network {
	loadExchange.mutex.Lock()
	defer loadExchange.mutex.Unlock()
	return loadExchange.network
}

// readsStore reports whether this daemon reads the store and distributes updates to others.
// Every daemon does until its first topology is computed.
func (loadExchange *loadExchange) readsStore() bool {
	loadExchange.mutex.Lock()
	defer loadExchange.mutex.Unlock()
	return loadExchange.topologyTime.IsZero() || loadExchange.topology.ReadsStore()
}

// isFullMesh reports whether each daemon reports to all others instead of through relays.
func (loadExchange *loadExchange) isFullMesh() bool {
	loadExchange.mutex.Lock()
	defer loadExchange.mutex.Unlock()
	return loadExchange.topologyTime.IsZero() || loadExchange.topology.FullMesh()
}

// relaysChanged reports whether this daemon is a relay and the relays have changed recently.
func (loadExchange *loadExchange) relaysChanged(now time.Time) bool {
	loadExchange.mutex.Lock()
	defer loadExchange.mutex.Unlock()
	return loadExchange.topology.IsRelay() && now.Sub(loadExchange.relaysChangedAt) < relayChangeTime
}

// connected reports whether this daemon receives updates from others: from its relay or,
// if it is a relay, from any other relay.
func (loadExchange *loadExchange) connected(now time.Time) bool {
	loadExchange.mutex.Lock()
	defer loadExchange.mutex.Unlock()
	if loadExchange.topology.IsRelay() {
		return len(recentContacts(now, loadExchange.peerRelays)) > 0
	}
	return now.Sub(loadExchange.lastRelayContact) < relaySilenceTimeout
}

// actsAsRelay reports whether this daemon forwards messages, either because its topology
// makes it a relay or because other daemons have chosen it.
func (loadExchange *loadExchange) actsAsRelay(now time.Time) bool {
	return loadExchange.topology.IsRelay() || len(recentContacts(now, loadExchange.subscribers)) > 0
}

// otherRelays returns the other relays that this relay sends to: those of its topology and
// those from which it has received recent messages.
func (loadExchange *loadExchange) otherRelays(now time.Time) []string {
	relays := loadExchange.topology.OtherRelays()
	for _, name := range recentContacts(now, loadExchange.peerRelays) {
		if !slices.Contains(relays, name) {
			relays = append(relays, name)
		}
	}
	return relays
}

// recentContacts deletes the daemons whose last contact is older than subscriberTTL and
// returns the names of the others, sorted.
func recentContacts(now time.Time, lastContact map[string]time.Time) []string {
	deleteOlder(now, lastContact, subscriberTTL)
	return slices.Sorted(maps.Keys(lastContact))
}

// deleteOlder deletes the daemons whose time is at least age ago.
func deleteOlder(now time.Time, times map[string]time.Time, age time.Duration) {
	maps.DeleteFunc(times, func(_ string, at time.Time) bool { return now.Sub(at) >= age })
}

// recipients returns the daemons to which this daemon sends a message that it received from
// another daemon, or that it originates if from is empty. A relay sends it to its group, and
// to the other relays unless it came from one of them. This prevents forwarding loops.
func (loadExchange *loadExchange) recipients(now time.Time, from string) []string {
	loadExchange.mutex.Lock()
	defer loadExchange.mutex.Unlock()
	if !loadExchange.actsAsRelay(now) {
		if from != "" || loadExchange.topologyTime.IsZero() {
			return nil
		}
		return []string{loadExchange.topology.Relay()}
	}
	recipients := recentContacts(now, loadExchange.subscribers)
	if from == "" || slices.Contains(recipients, from) {
		recipients = append(recipients, loadExchange.otherRelays(now)...)
	}
	return slices.DeleteFunc(recipients, func(name string) bool { return name == from })
}

// fanOut returns the number of daemons that this daemon sends load reports to.
func (loadExchange *loadExchange) fanOut(now time.Time) int {
	loadExchange.mutex.Lock()
	defer loadExchange.mutex.Unlock()
	if !loadExchange.actsAsRelay(now) {
		return 1
	}
	return len(loadExchange.otherRelays(now)) + len(loadExchange.subscribers)
}

// awaitNextReport waits until the next message may be due. It returns false if ctx is
// canceled first.
func (loadExchange *loadExchange) awaitNextReport(ctx context.Context) bool {
	fanOut := loadExchange.fanOut(time.Now())
	if !sleep(ctx, lwtqueueplacement.PromptReportInterval(fanOut)) {
		return false
	}
	timer := time.NewTimer(
		lwtqueueplacement.ReportInterval(fanOut, !loadExchange.isFullMesh()) - lwtqueueplacement.PromptReportInterval(fanOut),
	)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-loadExchange.reportSignal:
	case <-timer.C:
	}
	return true
}

// delivery is a message and its recipients.
type delivery struct {
	recipients []string
	kind       string
	message    loadMessage
}

// pendingDeliveries returns the messages that are due and marks their contents as sent.
func (loadExchange *loadExchange) pendingDeliveries(
	now time.Time, state daemonState, loads map[string]lwtqueueplacement.Load,
) []delivery {
	loadExchange.mutex.Lock()
	defer loadExchange.mutex.Unlock()
	ownPending := loadExchange.states.updateOwn(now, state)
	if !loadExchange.actsAsRelay(now) {
		message := loadMessage{Reports: loadExchange.ownReport(now, loads)}
		if ownPending {
			message.States = []daemonState{state}
		}
		return appendDelivery(nil, []string{loadExchange.topology.Relay()}, reportKind, message)
	}
	group := maps.Clone(loads)
	loadExchange.subscriberLoads.AddTo(group)
	var pending []delivery
	message := loadMessage{States: loadExchange.states.pendingForRelays(now)}
	var report lwtqueueplacement.LoadReport
	var changed bool
	if loadExchange.groupReporter, report, changed = loadExchange.groupReporter.Report(now, group); changed {
		message.Reports = []sourceReport{encodeReport(groupSource(state.Name), report)}
	}
	pending = appendDelivery(pending, loadExchange.otherRelays(now), groupReportKind, message)
	if subscribers := recentContacts(now, loadExchange.subscribers); len(subscribers) > 0 {
		message := loadMessage{Reports: loadExchange.ownReport(now, loads), States: loadExchange.states.pendingForGroup(now)}
		for _, report := range append(loadExchange.subscriberLoads.Flush(now), loadExchange.groupLoads.Flush(now)...) {
			message.Reports = append(message.Reports, encodeReport(report.Source, report.LoadReport))
		}
		// An empty message shows the group that the relay is alive.
		message.KeepAlive = now.Sub(loadExchange.lastRelayMessage) >= relayKeepAliveInterval
		if before := len(pending); len(appendDelivery(pending, subscribers, relayReportKind, message)) > before {
			pending, loadExchange.lastRelayMessage = appendDelivery(pending, subscribers, relayReportKind, message), now
		}
	}
	loadExchange.states.markSent()
	return pending
}

func (loadExchange *loadExchange) ownReport(now time.Time, loads map[string]lwtqueueplacement.Load) []sourceReport {
	next, report, changed := loadExchange.ownReporter.Report(now, loads)
	loadExchange.ownReporter = next
	if !changed {
		return nil
	}
	return []sourceReport{encodeReport(loadExchange.states.own.Name, report)}
}

// appendDelivery appends a message to the pending ones unless it is empty or has no
// recipients.
func appendDelivery(pending []delivery, recipients []string, kind string, message loadMessage) []delivery {
	if len(recipients) == 0 || len(message.Reports) == 0 && len(message.States) == 0 && !message.KeepAlive {
		return pending
	}
	return append(pending, delivery{recipients: recipients, kind: kind, message: message})
}

// exchangeLoads exchanges load reports with other daemons until ctx is canceled.
func (gateway *Gateway) exchangeLoads(ctx context.Context, listener net.Listener) error {
	key, err := gateway.peerKey(ctx)
	if err != nil {
		return err
	}
	network := gateway.openNetwork(key)
	defer network.Close()
	go gateway.keepPeerKey(ctx, network, key)
	go func() {
		// Serve returns when the network closes the listener.
		if err := network.Serve(listener); err != nil {
			lwtlog.Warn(gateway.logger, "peers-not-accepted", "err", err)
		}
	}()
	for gateway.loadExchange.awaitNextReport(ctx) {
		gateway.updateTopology(time.Now())
		gateway.sendLoads(time.Now())
	}
	return ctx.Err()
}

func (gateway *Gateway) openNetwork(key []byte) *lwtpeer.Network {
	identity := lwtpeer.Identity{Name: gateway.settings.Name, Address: gateway.settings.PeerAddress, Boot: gateway.boot}
	network := lwtpeer.New(lwtpeer.DefaultOptions(identity, key, gateway.logger))
	network.SetDirectory(gateway.members)
	network.HandleWithIdentity(reportKind, gateway.handleReport)
	network.HandleWithIdentity(groupReportKind, gateway.handleGroupReport)
	network.HandleWithIdentity(relayReportKind, gateway.handleRelayReport)
	network.HandleWithIdentity(serversKind, gateway.handleServerMessage)
	network.HandleWithIdentity(streamsKind, gateway.handleStreams)
	network.HandleWithIdentity(configRequestKind, gateway.handleConfigRequest)
	network.HandleWithIdentity(configKind, gateway.handleConfig)
	gateway.loadExchange.mutex.Lock()
	defer gateway.loadExchange.mutex.Unlock()
	gateway.loadExchange.network = network
	return network
}

// sendLoads sends the load reports and states that are due.
func (gateway *Gateway) sendLoads(now time.Time) {
	network := gateway.loadExchange.peerNetwork()
	if network == nil {
		return
	}
	for _, delivery := range gateway.loadExchange.pendingDeliveries(now, gateway.ownState(now), gateway.view.ownLoads()) {
		// A lost message is compensated by the next full report.
		dropped, err := network.Multicast(delivery.recipients, delivery.kind, delivery.message)
		if err != nil {
			lwtlog.Warn(gateway.logger, "loads-not-encoded", "err", err)
		}
		gateway.metrics.CountBy("loads-not-sent", dropped)
	}
}

// updateTopology chooses the relay of this daemon from the live daemons, at most once per
// topologyInterval unless the relay is silent.
func (gateway *Gateway) updateTopology(now time.Time) {
	loadExchange := gateway.loadExchange
	loadExchange.mutex.Lock()
	silent := loadExchange.avoidSilentRelay(now)
	if !silent && now.Sub(loadExchange.topologyTime) < topologyInterval {
		loadExchange.mutex.Unlock()
		return
	}
	avoided := maps.Clone(loadExchange.avoidedUntil)
	loadExchange.mutex.Unlock()

	live := gateway.members.live(now)
	daemons := make([]lwtloadrelay.Daemon, 0, len(live))
	for _, member := range live {
		daemons = append(daemons, lwtloadrelay.Daemon{Name: member.Name, AvailabilityZone: member.AvailabilityZone})
	}
	self := lwtloadrelay.Daemon{Name: gateway.settings.Name, AvailabilityZone: gateway.settings.AvailabilityZone}
	topology := lwtloadrelay.NewTopology(self, daemons, func(name string) bool { return now.Before(avoided[name]) })
	gateway.updateMembers(now, live)

	loadExchange.mutex.Lock()
	previous, isFirst := loadExchange.topology, loadExchange.topologyTime.IsZero()
	loadExchange.topology, loadExchange.topologyTime = topology, now
	if !slices.Equal(previous.OtherRelays(), topology.OtherRelays()) {
		loadExchange.relaysChangedAt = now
	}
	changed := isFirst || previous.Relay() != topology.Relay()
	if changed {
		loadExchange.lastRelayContact, loadExchange.ownReporter = now, lwtqueueplacement.LoadReporter{}
	}
	loadExchange.mutex.Unlock()
	if changed {
		// Updates sent while the relay changed may have been missed.
		gateway.requestServerSnapshot("relay-changed")
	}
	if changed || previous.ReadsStore() != topology.ReadsStore() {
		lwtlog.Info(gateway.logger, "relay-chosen", "relay", topology.Relay(), "before", previous.Relay(), "silent", silent,
			"daemons", len(live), "relays", len(topology.OtherRelays()), "reads-store", topology.ReadsStore())
	}
}

// avoidSilentRelay reports whether this daemon's relay has been silent for
// relaySilenceTimeout. If so, the relay is avoided for relayAvoidanceTime.
func (loadExchange *loadExchange) avoidSilentRelay(now time.Time) bool {
	if loadExchange.topologyTime.IsZero() || loadExchange.topology.IsRelay() ||
		now.Sub(loadExchange.lastRelayContact) < relaySilenceTimeout {
		return false
	}
	maps.DeleteFunc(loadExchange.avoidedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	loadExchange.avoidedUntil[loadExchange.topology.Relay()] = now.Add(relayAvoidanceTime)
	loadExchange.lastRelayContact = now
	return true
}

func decodeLoadMessage(gateway *Gateway, from lwtpeer.Identity, body []byte) (message loadMessage, ok bool) {
	if err := lwtpeer.Decode(body, &message); err != nil {
		lwtlog.Warn(gateway.logger, "loads-ignored", "daemon", from.Name, "err", err)
		return message, false
	}
	return message, true
}

// handleReport applies the load report of a daemon in this relay's group.
func (gateway *Gateway) handleReport(from lwtpeer.Identity, body []byte) {
	message, ok := decodeLoadMessage(gateway, from, body)
	if !ok {
		return
	}
	now, loadExchange := time.Now(), gateway.loadExchange
	loadExchange.mutex.Lock()
	if _, known := loadExchange.subscribers[from.Name]; !known {
		loadExchange.states.scheduleFull()
	}
	loadExchange.subscribers[from.Name] = now
	for _, report := range message.Reports {
		loadExchange.subscriberLoads.Apply(now, from.Name, report.decode())
	}
	loadExchange.mutex.Unlock()
	gateway.applyLoadMessage(now, from, message, senderSubscriber)
}

// handleGroupReport applies the load report of another relay's group.
func (gateway *Gateway) handleGroupReport(from lwtpeer.Identity, body []byte) {
	message, ok := decodeLoadMessage(gateway, from, body)
	if !ok {
		return
	}
	now, loadExchange := time.Now(), gateway.loadExchange
	loadExchange.mutex.Lock()
	if _, known := loadExchange.peerRelays[from.Name]; !known {
		loadExchange.states.scheduleFull()
	}
	loadExchange.peerRelays[from.Name] = now
	for _, report := range message.Reports {
		loadExchange.groupLoads.Apply(now, report.Source, report.decode())
	}
	loadExchange.mutex.Unlock()
	gateway.applyLoadMessage(now, from, message, senderRelay)
}

// handleRelayReport applies the reports and states that a relay forwards to its group.
func (gateway *Gateway) handleRelayReport(from lwtpeer.Identity, body []byte) {
	message, ok := decodeLoadMessage(gateway, from, body)
	if !ok {
		return
	}
	now, loadExchange := time.Now(), gateway.loadExchange
	loadExchange.mutex.Lock()
	fromOwnRelay := loadExchange.topology.Relay() == from.Name
	if fromOwnRelay {
		loadExchange.lastRelayContact = now
	}
	loadExchange.mutex.Unlock()
	if !fromOwnRelay {
		// A former relay's loads are ignored: the current relay reports them too.
		message.Reports = nil
	}
	gateway.applyLoadMessage(now, from, message, senderRelay)
}

// applyLoadMessage applies the reports and states of a message.
func (gateway *Gateway) applyLoadMessage(now time.Time, from lwtpeer.Identity, message loadMessage, role senderRole) {
	changed := false
	for _, report := range message.Reports {
		if report.Source == gateway.settings.Name {
			continue
		}
		gateway.view.applyLoadReport(now, report.Source, report.decode())
		changed = changed || !report.Full
	}
	if changed {
		gateway.loadExchange.reportSoon()
	}
	gateway.members.recordContact(now, from)
	for _, state := range message.States {
		if state.Name != gateway.settings.Name {
			gateway.applyState(now, from, state, role)
		}
	}
}
