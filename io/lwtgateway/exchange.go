package lwtgateway

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"lacewingtide/core/lwtplace"
	"lacewingtide/core/lwtroster"
	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtpeer"
)

// loadKind is the kind of message that carries a loadMessage.
const loadKind = "loads"

// maxExchangePause is the longest time without a message while nothing changes.
// Four of them are lost before a daemon counts as silent.
const maxExchangePause = 500 * time.Millisecond

// loadMessage reports to other daemons what this one has in work.
type loadMessage struct {
	daemonState
	// Loads holds, by server, the time to prefill prompts in microseconds and the
	// number of running requests.
	Loads map[string][2]int64 `cbor:"3,keyasint,omitempty"`
	// Whole says that a server which is not in Loads has no work of the sender.
	// Otherwise its load has not changed.
	Whole bool `cbor:"7,keyasint,omitempty"`
}

// daemonState is what a loadMessage reports beside the loads.
type daemonState struct {
	Ready bool `cbor:"1,keyasint"`
	// Config is the version of the configuration in force.
	Config int64 `cbor:"2,keyasint"`
	// Ordering says that the sender holds the lease for orders. Changing then
	// lists the engines whose stage is being changed.
	Ordering bool     `cbor:"4,keyasint,omitempty"`
	Changing []string `cbor:"5,keyasint,omitempty"`
	// Entry is where callers send requests to the sender (IP:port).
	Entry string `cbor:"6,keyasint,omitempty"`
	// ContactSince and ContactUntil are how many milliseconds ago the sender's
	// contact with the store began and was last seen. Both are 0 when there is none.
	ContactSince int64 `cbor:"8,keyasint,omitempty"`
	ContactUntil int64 `cbor:"9,keyasint,omitempty"`
}

// withContact returns the state with the sender's contact with the store.
func (state daemonState) withContact(now time.Time, contact lwtroster.Contact) daemonState {
	state.ContactSince = max(now.Sub(contact.Since).Milliseconds(), 1)
	state.ContactUntil = max(now.Sub(contact.Until).Milliseconds(), 1)
	return state
}

// contact returns the sender's contact with the store, by this daemon's clock.
func (state daemonState) contact(now time.Time) (contact lwtroster.Contact, known bool) {
	return lwtroster.Contact{
		Since: now.Add(-time.Duration(state.ContactSince) * time.Millisecond),
		Until: now.Add(-time.Duration(state.ContactUntil) * time.Millisecond),
	}, state.ContactSince > 0
}

// equal compares what other daemons act on at once.
func (state daemonState) equal(other daemonState) bool {
	return state.Ready == other.Ready && state.Config == other.Config && state.Ordering == other.Ordering &&
		state.Entry == other.Entry && slices.Equal(state.Changing, other.Changing)
}

// exchange reports to the other daemons what this one has in work. It is safe for
// concurrent use.
type exchange struct {
	// prompt has an element when a prompt was sent to an engine since the last
	// message.
	prompt chan struct{}

	mutex    sync.Mutex
	network  *lwtpeer.Network
	reporter lwtplace.Reporter
	state    daemonState
	sent     time.Time
}

func newExchange() *exchange { return &exchange{prompt: make(chan struct{}, 1)} }

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

// await waits until a message may be due. It reports false when ctx ends first.
func (exchange *exchange) await(ctx context.Context, daemons int) bool {
	if !pause(ctx, lwtplace.PromptReportInterval(daemons)) {
		return false
	}
	timer := time.NewTimer(lwtplace.ReportInterval(daemons) - lwtplace.PromptReportInterval(daemons))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-exchange.prompt:
	case <-timer.C:
	}
	return true
}

// message returns the next message. Due is false when nothing has changed.
func (exchange *exchange) message(now time.Time, state daemonState, loads map[string]lwtplace.Load) (message loadMessage, due bool) {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	next, report, due := exchange.reporter.Report(now, loads)
	if !due && state.equal(exchange.state) && now.Sub(exchange.sent) < maxExchangePause {
		return loadMessage{}, false
	}
	exchange.reporter, exchange.state, exchange.sent = next, state, now
	message = loadMessage{daemonState: state, Loads: make(map[string][2]int64, len(report.Loads)), Whole: report.Whole}
	for id, load := range report.Loads {
		message.Loads[id] = [2]int64{load.PrefillTime.Microseconds(), int64(load.Running)}
	}
	return message, true
}

// exchangeLoads reports to the other daemons what this one has in work until ctx
// ends.
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
	for gateway.exchange.await(ctx, gateway.members.count(time.Now())) {
		gateway.broadcastLoads()
	}
	return ctx.Err()
}

func (gateway *Gateway) openNetwork(key []byte) *lwtpeer.Network {
	identity := lwtpeer.Identity{Name: gateway.settings.Name, Address: gateway.settings.PeerAddress, Boot: gateway.boot}
	network := lwtpeer.New(lwtpeer.DefaultOptions(identity, key, gateway.logger))
	network.SetDirectory(gateway.members)
	network.HandleIdentity(loadKind, gateway.handleLoads)
	network.HandleIdentity(serverKind, gateway.handleServers)
	network.HandleIdentity(configRequestKind, gateway.handleConfigRequest)
	network.HandleIdentity(configKind, gateway.handleConfig)
	gateway.exchange.mutex.Lock()
	defer gateway.exchange.mutex.Unlock()
	gateway.exchange.network = network
	return network
}

// broadcastLoads reports to the other daemons what has changed.
func (gateway *Gateway) broadcastLoads() {
	network := gateway.exchange.open()
	if network == nil {
		return
	}
	message, due := gateway.exchange.message(time.Now(), gateway.daemonState(), gateway.view.loads())
	if !due {
		return
	}
	// The next whole report makes good a message that is lost.
	dropped, err := network.Broadcast(loadKind, message)
	if err != nil {
		lwtlog.Warn(gateway.logger, "loads-not-encoded", "err", err)
	}
	gateway.metrics.CountBy("loads-not-sent", dropped)
}

func (gateway *Gateway) daemonState() daemonState {
	config, _ := gateway.view.configuration()
	state := daemonState{Ready: gateway.serving(), Config: config.Version, Entry: gateway.settings.EntryAddress}
	state.Ordering, state.Changing = gateway.orders.state()
	if follower := gateway.serversFollower.Load(); follower != nil && follower.contact.Load() != nil {
		state = state.withContact(time.Now(), *follower.contact.Load())
	}
	return state
}

func (gateway *Gateway) handleLoads(from lwtpeer.Identity, body []byte) {
	var message loadMessage
	if err := lwtpeer.Decode(body, &message); err != nil {
		lwtlog.Warn(gateway.logger, "loads-ignored", "daemon", from.Name, "err", err)
		return
	}
	now := time.Now()
	if gateway.members.heardFrom(now, from, message.Entry, message.Ready) {
		gateway.logJoined(from.Name, from.Boot, message.Entry, "message")
	}
	if config, _ := gateway.view.configuration(); message.Config > config.Version {
		gateway.requestConfig(now, from.Name)
	}
	if contact, known := message.contact(now); known {
		gateway.noteContact(contact, from.Name)
	}
	report := lwtplace.Report{Whole: message.Whole, Loads: make(map[string]lwtplace.Load, len(message.Loads))}
	for id, load := range message.Loads {
		report.Loads[id] = lwtplace.Load{PrefillTime: time.Duration(load[0]) * time.Microsecond, Running: int(load[1])}
	}
	gateway.view.applyReport(now, from.Name, report)
	if message.Ordering {
		gateway.view.setChanging(message.Changing)
	}
}
