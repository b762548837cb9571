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

// Times of the exchange of loads.
const (
	// stateInterval is the longest time between two states of a daemon.
	stateInterval = 300 * time.Millisecond
	// relayInterval is the longest time between two messages of a relay to its group.
	relayInterval = 100 * time.Millisecond
	// relaySilence is the silence after which another relay is chosen: several
	// messages, and the time to open a connection.
	relaySilence = 600 * time.Millisecond
	// relayAvoidance is how long a silent relay is avoided.
	relayAvoidance = 5 * time.Second
	// subscriberAge is how long a daemon that has reported is relayed to.
	subscriberAge = time.Second
	// planRelaysInterval is the time between two plans.
	planRelaysInterval = 200 * time.Millisecond
)

// exchange tells other daemons what this one has in work, and relays what they tell.
// It is safe for concurrent use.
type exchange struct {
	// prompt has an element when a prompt was sent to an engine, or a report came,
	// since the last message.
	prompt chan struct{}

	mutex   sync.Mutex
	network *lwtpeer.Network
	plan    lwtloadrelay.Topology
	planned time.Time
	// avoided holds until when a relay is avoided.
	avoided map[string]time.Time
	// relayHeard is when the own relay was last heard, or chosen.
	relayHeard time.Time
	// subscribers holds when the daemons that report to this one were last heard,
	// relays the same of other relays.
	subscribers map[string]time.Time
	relays      map[string]time.Time
	// members holds the reports of the subscribers, groups those of other relays.
	members *lwtloadrelay.Collector
	groups  *lwtloadrelay.Collector
	// own and group report this daemon's work and that of its group.
	own     lwtqueueplacement.LoadReporter
	group   lwtqueueplacement.LoadReporter
	states  stateBoard
	relayed time.Time
}

func newExchange() *exchange {
	return &exchange{
		prompt: make(chan struct{}, 1), avoided: map[string]time.Time{},
		subscribers: map[string]time.Time{}, relays: map[string]time.Time{},
		members: lwtloadrelay.NewCollector(), groups: lwtloadrelay.NewCollector(), states: newStateBoard(),
	}
}

// promptSent makes the next report due soon.
func (exchange *exchange) promptSent() {
	select {
	case exchange.prompt <- struct{}{}:
	default:
	}
}

// open returns the connections to other daemons, or nil before there are any.
func (exchange *exchange) open() *lwtpeer.Network {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	return exchange.network
}

// reads reports whether this daemon reads the store for others, which it does until
// it knows of them.
func (exchange *exchange) reads() bool {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	return exchange.planned.IsZero() || exchange.plan.ReadsStore()
}

// mesh reports whether each daemon reports to all others.
func (exchange *exchange) mesh() bool {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	return exchange.planned.IsZero() || exchange.plan.FullMesh()
}

// connected reports whether other daemons tell this one what happens: its relay, or
// as a relay, any other one.
func (exchange *exchange) connected(now time.Time) bool {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	if exchange.plan.IsRelay() {
		return len(fresh(now, exchange.relays)) > 0
	}
	return now.Sub(exchange.relayHeard) < relaySilence
}

// relaying reports whether this daemon relays: by its plan, or because others have
// chosen it.
func (exchange *exchange) relaying(now time.Time) bool {
	return exchange.plan.IsRelay() || len(fresh(now, exchange.subscribers)) > 0
}

// otherRelays returns the relays that this one reports to.
func (exchange *exchange) otherRelays(now time.Time) []string {
	relays := exchange.plan.OtherRelays()
	for _, name := range fresh(now, exchange.relays) {
		if !slices.Contains(relays, name) {
			relays = append(relays, name)
		}
	}
	return relays
}

// fresh returns the names that were heard lately and forgets the others.
func fresh(now time.Time, heard map[string]time.Time) []string {
	maps.DeleteFunc(heard, func(_ string, at time.Time) bool { return now.Sub(at) >= subscriberAge })
	return slices.Sorted(maps.Keys(heard))
}

// audience returns the daemons that a message goes to which has come from another
// daemon, or, if from is empty, from this one: a relay passes it on to its group, and
// what comes from its group to the other relays too.
func (exchange *exchange) audience(now time.Time, from string) []string {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	if !exchange.relaying(now) {
		if from != "" || exchange.planned.IsZero() {
			return nil
		}
		return []string{exchange.plan.Relay()}
	}
	to := fresh(now, exchange.subscribers)
	if from == "" || slices.Contains(to, from) {
		to = append(to, exchange.otherRelays(now)...)
	}
	return slices.DeleteFunc(to, func(name string) bool { return name == from })
}

// fanOut returns the number of daemons that this one sends to.
func (exchange *exchange) fanOut(now time.Time) int {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	if !exchange.relaying(now) {
		return 1
	}
	return len(exchange.otherRelays(now)) + len(exchange.subscribers)
}

// await waits until a message may be due. It reports false when ctx ends first.
func (exchange *exchange) await(ctx context.Context) bool {
	fanOut := exchange.fanOut(time.Now())
	if !pause(ctx, lwtqueueplacement.PromptReportInterval(fanOut)) {
		return false
	}
	timer := time.NewTimer(lwtqueueplacement.ReportInterval(fanOut, !exchange.mesh()) - lwtqueueplacement.PromptReportInterval(fanOut))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-exchange.prompt:
	case <-timer.C:
	}
	return true
}

// delivery is a message with the daemons that it goes to.
type delivery struct {
	to      []string
	kind    string
	message loadMessage
}

// deliveries returns the messages that are due.
func (exchange *exchange) deliveries(now time.Time, state daemonState, loads map[string]lwtqueueplacement.Load) []delivery {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	ownDue := exchange.states.setOwn(now, state)
	if !exchange.relaying(now) {
		message := loadMessage{Reports: exchange.ownReport(now, loads)}
		if ownDue {
			message.States = []daemonState{state}
		}
		return deliver(nil, []string{exchange.plan.Relay()}, reportKind, message)
	}
	group := maps.Clone(loads)
	exchange.members.AddTo(group)
	var due []delivery
	message := loadMessage{States: exchange.states.forRelays(now)}
	var report lwtqueueplacement.LoadReport
	var changed bool
	if exchange.group, report, changed = exchange.group.Report(now, group); changed {
		message.Reports = []sourceReport{encodeReport(groupSource(state.Name), report)}
	}
	due = deliver(due, exchange.otherRelays(now), groupKind, message)
	if subscribers := fresh(now, exchange.subscribers); len(subscribers) > 0 {
		message := loadMessage{Reports: exchange.ownReport(now, loads), States: exchange.states.forGroup(now)}
		for _, report := range append(exchange.members.Flush(now), exchange.groups.Flush(now)...) {
			message.Reports = append(message.Reports, encodeReport(report.Source, report.LoadReport))
		}
		// An empty message tells that the relay lives.
		message.KeepAlive = now.Sub(exchange.relayed) >= relayInterval
		if before := len(due); len(deliver(due, subscribers, relayKind, message)) > before {
			due, exchange.relayed = deliver(due, subscribers, relayKind, message), now
		}
	}
	exchange.states.sent()
	return due
}

func (exchange *exchange) ownReport(now time.Time, loads map[string]lwtqueueplacement.Load) []sourceReport {
	next, report, due := exchange.own.Report(now, loads)
	exchange.own = next
	if !due {
		return nil
	}
	return []sourceReport{encodeReport(exchange.states.own.Name, report)}
}

// deliver adds a message to those that are due unless it is empty.
func deliver(due []delivery, to []string, kind string, message loadMessage) []delivery {
	if len(to) == 0 || len(message.Reports) == 0 && len(message.States) == 0 && !message.KeepAlive {
		return due
	}
	return append(due, delivery{to: to, kind: kind, message: message})
}

// exchangeLoads tells the other daemons what this one has in work until ctx ends.
func (gateway *Gateway) exchangeLoads(ctx context.Context, listener net.Listener) error {
	key, err := gateway.peerKey(ctx)
	if err != nil {
		return err
	}
	network := gateway.openNetwork(key)
	defer network.Close()
	go func() {
		// It ends when the listener is closed.
		if err := network.Serve(listener); err != nil {
			lwtlog.Warn(gateway.logger, "peers-not-accepted", "err", err)
		}
	}()
	for gateway.exchange.await(ctx) {
		gateway.planRelays(time.Now())
		gateway.sendLoads(time.Now())
	}
	return ctx.Err()
}

func (gateway *Gateway) openNetwork(key []byte) *lwtpeer.Network {
	identity := lwtpeer.Identity{Name: gateway.settings.Name, Address: gateway.settings.PeerAddress, Boot: gateway.boot}
	network := lwtpeer.New(lwtpeer.DefaultOptions(identity, key, gateway.logger))
	network.SetDirectory(gateway.members)
	network.HandleWithIdentity(reportKind, gateway.handleReport)
	network.HandleWithIdentity(groupKind, gateway.handleGroup)
	network.HandleWithIdentity(relayKind, gateway.handleRelayed)
	network.HandleWithIdentity(serverKind, gateway.handleServers)
	network.HandleWithIdentity(configRequestKind, gateway.handleConfigRequest)
	network.HandleWithIdentity(configKind, gateway.handleConfig)
	gateway.exchange.mutex.Lock()
	defer gateway.exchange.mutex.Unlock()
	gateway.exchange.network = network
	return network
}

// sendLoads sends what has changed.
func (gateway *Gateway) sendLoads(now time.Time) {
	network := gateway.exchange.open()
	if network == nil {
		return
	}
	for _, delivery := range gateway.exchange.deliveries(now, gateway.daemonState(now), gateway.view.loads()) {
		// The next whole report makes good a message that is lost.
		dropped, err := network.Multicast(delivery.to, delivery.kind, delivery.message)
		if err != nil {
			lwtlog.Warn(gateway.logger, "loads-not-encoded", "err", err)
		}
		gateway.metrics.CountBy("loads-not-sent", dropped)
	}
}

// planRelays decides who relays for this daemon.
func (gateway *Gateway) planRelays(now time.Time) {
	exchange := gateway.exchange
	exchange.mutex.Lock()
	silent := exchange.avoidSilentRelay(now)
	if !silent && now.Sub(exchange.planned) < planRelaysInterval {
		exchange.mutex.Unlock()
		return
	}
	avoided := maps.Clone(exchange.avoided)
	exchange.mutex.Unlock()

	live := gateway.members.live(now)
	daemons := make([]lwtloadrelay.Daemon, 0, len(live))
	for _, member := range live {
		daemons = append(daemons, lwtloadrelay.Daemon{Name: member.Name, AvailabilityZone: member.AvailabilityZone})
	}
	self := lwtloadrelay.Daemon{Name: gateway.settings.Name, AvailabilityZone: gateway.settings.AvailabilityZone}
	plan := lwtloadrelay.New(self, daemons, func(name string) bool { return now.Before(avoided[name]) })
	gateway.memberCount(live)

	exchange.mutex.Lock()
	before, first := exchange.plan, exchange.planned.IsZero()
	exchange.plan, exchange.planned = plan, now
	changed := first || before.Relay() != plan.Relay()
	if changed {
		exchange.relayHeard, exchange.own = now, lwtqueueplacement.LoadReporter{}
	}
	exchange.mutex.Unlock()
	if changed {
		// What happened between two relays may have been missed.
		gateway.catchUpServers("relay-changed")
	}
	if changed || before.ReadsStore() != plan.ReadsStore() {
		lwtlog.Info(gateway.logger, "relay-chosen", "relay", plan.Relay(), "before", before.Relay(), "silent", silent,
			"daemons", len(live), "relays", len(plan.OtherRelays()), "reads-store", plan.ReadsStore())
	}
}

// avoidSilentRelay reports whether the own relay is silent, and avoids it then.
func (exchange *exchange) avoidSilentRelay(now time.Time) bool {
	if exchange.planned.IsZero() || exchange.plan.IsRelay() || now.Sub(exchange.relayHeard) < relaySilence {
		return false
	}
	maps.DeleteFunc(exchange.avoided, func(_ string, until time.Time) bool { return !now.Before(until) })
	exchange.avoided[exchange.plan.Relay()] = now.Add(relayAvoidance)
	exchange.relayHeard = now
	return true
}

func decode(gateway *Gateway, from lwtpeer.Identity, body []byte) (message loadMessage, ok bool) {
	if err := lwtpeer.Decode(body, &message); err != nil {
		lwtlog.Warn(gateway.logger, "loads-ignored", "daemon", from.Name, "err", err)
		return message, false
	}
	return message, true
}

// handleReport takes in what a daemon of the own group has in work.
func (gateway *Gateway) handleReport(from lwtpeer.Identity, body []byte) {
	message, ok := decode(gateway, from, body)
	if !ok {
		return
	}
	now, exchange := time.Now(), gateway.exchange
	exchange.mutex.Lock()
	if _, known := exchange.subscribers[from.Name]; !known {
		exchange.states.sendWhole()
	}
	exchange.subscribers[from.Name] = now
	for _, report := range message.Reports {
		exchange.members.Apply(now, from.Name, report.decode())
	}
	exchange.mutex.Unlock()
	gateway.takeIn(now, from, message, heardDirectly)
}

// handleGroup takes in what the group of another relay has in work.
func (gateway *Gateway) handleGroup(from lwtpeer.Identity, body []byte) {
	message, ok := decode(gateway, from, body)
	if !ok {
		return
	}
	now, exchange := time.Now(), gateway.exchange
	exchange.mutex.Lock()
	if _, known := exchange.relays[from.Name]; !known {
		exchange.states.sendWhole()
	}
	exchange.relays[from.Name] = now
	for _, report := range message.Reports {
		exchange.groups.Apply(now, report.Source, report.decode())
	}
	exchange.mutex.Unlock()
	gateway.takeIn(now, from, message, heardFromRelay)
}

// handleRelayed takes in what the own relay passes on.
func (gateway *Gateway) handleRelayed(from lwtpeer.Identity, body []byte) {
	message, ok := decode(gateway, from, body)
	if !ok {
		return
	}
	now, exchange := time.Now(), gateway.exchange
	exchange.mutex.Lock()
	own := exchange.plan.Relay() == from.Name
	if own {
		exchange.relayHeard = now
	}
	exchange.mutex.Unlock()
	if !own {
		// The work that a former relay tells of is told by the present one too.
		message.Reports = nil
	}
	gateway.takeIn(now, from, message, heardFromRelay)
}

// takeIn applies the reports and states of a message.
func (gateway *Gateway) takeIn(now time.Time, from lwtpeer.Identity, message loadMessage, way hearing) {
	changed := false
	for _, report := range message.Reports {
		if report.Source == gateway.settings.Name {
			continue
		}
		gateway.view.applyReport(now, report.Source, report.decode())
		changed = changed || !report.Full
	}
	if changed {
		gateway.exchange.promptSent()
	}
	gateway.members.heard(now, from)
	for _, state := range message.States {
		if state.Name != gateway.settings.Name {
			gateway.takeState(now, from, state, way)
		}
	}
}
