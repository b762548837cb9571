package lwtdemo

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/io/lwtdaemon"
	"lacewingtide/io/lwtentry"
	"lacewingtide/io/lwtoperator"
	"lacewingtide/io/lwtplatform"
	"lacewingtide/io/lwtsetting"
	"lacewingtide/io/lwtstandin"
)

// Times of the demo's daemons, short so that a daemon can leave within it.
const (
	addressKeep  = 2 * time.Second
	addressDrain = 4 * time.Second
	storeTimeout = time.Second
	readyTimeout = 15 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// Fleet is a running deployment.
type Fleet struct {
	layout   Layout
	logger   log.Logger
	platform *lwtstandin.Platform
	store    string
	engines  []*lwtstandin.Engine
	shops    []*lwtstandin.Shop
	daemons  []*daemon
	declared []lwtdeclaredstate.Engine
	servers  []lwtdeclaredstate.BackendServer
	parts    sync.WaitGroup
	stop     context.CancelFunc
}

// daemon is one entry daemon of the fleet.
type daemon struct {
	*lwtdaemon.Daemon
	settings lwtsetting.Settings
	leave    context.CancelFunc
	entry    *cutListener
	ended    chan error
}

// Start starts a deployment. Stop must be called at the end.
func Start(ctx context.Context, layout Layout, logger log.Logger) (*Fleet, error) {
	ctx, stop := context.WithCancel(ctx)
	fleet := &Fleet{layout: layout, logger: logger, platform: lwtstandin.NewPlatform(), stop: stop}
	if err := fleet.start(ctx); err != nil {
		fleet.Stop()
		return nil, err
	}
	return fleet, nil
}

func (fleet *Fleet) start(ctx context.Context) error {
	var err error
	if fleet.store, err = fleet.serve(ctx, fleet.platform.Serve); err != nil {
		return err
	}
	for i := range fleet.layout.Engines {
		if err := fleet.startEngine(ctx, i); err != nil {
			return err
		}
	}
	for i := range fleet.layout.Shops {
		shop := lwtstandin.NewShop(fmt.Sprintf("shop-%d", i+1))
		var address string
		if address, err = fleet.serve(ctx, shop.Serve); err != nil {
			return err
		}
		fleet.shops = append(fleet.shops, shop)
		fleet.servers = append(fleet.servers, lwtdeclaredstate.BackendServer{Address: address, AvailabilityZone: fleet.layout.zone(i)})
	}
	for i := range fleet.layout.Daemons {
		if err := fleet.startDaemon(i); err != nil {
			return err
		}
	}
	fleet.listVMs()
	return nil
}

// serve runs a server on a free port of loopback until ctx ends.
func (fleet *Fleet) serve(ctx context.Context, serve func(net.Listener) error) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	fleet.parts.Go(func() { _ = serve(listener) }) // ends when the listener is closed
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	return listener.Addr().String(), nil
}

func (fleet *Fleet) startEngine(ctx context.Context, i int) error {
	options := lwtstandin.DefaultEngineOptions(engineName(i), fleet.layout.Model)
	options.MemoryBlocks, options.OrderReadTimeout = engineBlocks, orderReadTimeout
	options.ChecksFencing = i%2 == 0
	options.RecordPrompts = true
	engine := lwtstandin.NewEngine(options, time.Now().UnixNano())
	address, err := fleet.serve(ctx, engine.Serve)
	if err != nil {
		return err
	}
	fleet.parts.Go(func() { _ = engine.Run(ctx) }) // ends with ctx
	fleet.engines = append(fleet.engines, engine)
	fleet.declared = append(fleet.declared, fleet.layout.engine(i, address))
	return nil
}

func (fleet *Fleet) startDaemon(i int) error {
	listeners, cut, err := listen(i)
	if err != nil {
		return err
	}
	settings := lwtsetting.Default()
	settings.Name, settings.AvailabilityZone = fmt.Sprintf("entry-%d", i+1), fleet.layout.zone(i)
	settings.EntryAddress = listeners.Entry.Addr().String()
	settings.PeerAddress = listeners.Peer.Addr().String()
	settings.OperatorAddress = listeners.Operator.Addr().String()
	settings.PeerKey = peerKey
	settings.OperatorKeyHashes = []string{lwtoperator.KeyHash(operatorKey)}
	settings.Platform = lwtsetting.Platform{Address: fleet.store, Timeout: lwtdeclaredstate.Duration(storeTimeout)}
	settings.Planner.RoleChangeCost = fleet.layout.RoleChangeCost
	settings.Addresses = lwtsetting.Addresses{
		TTL: lwtdeclaredstate.Duration(addressKeep), DrainTime: lwtdeclaredstate.Duration(addressDrain),
	}
	for _, earlier := range fleet.daemons {
		settings.Peers = append(settings.Peers, earlier.settings.PeerAddress)
	}
	built, err := lwtdaemon.New(settings, listeners, fleet.logger)
	if err != nil {
		return err
	}
	leaving, leave := context.WithCancel(context.Background())
	started := &daemon{Daemon: built, settings: settings, leave: leave, entry: cut, ended: make(chan error, 1)}
	fleet.parts.Go(func() { started.ended <- built.Run(leaving) })
	fleet.daemons = append(fleet.daemons, started)
	return nil
}

// listen opens the sockets of a daemon. Those of the last daemon can be cut,
// as when its VM is lost.
func listen(i int) (lwtdaemon.Listeners, *cutListener, error) {
	var listeners lwtdaemon.Listeners
	for _, listener := range []*net.Listener{&listeners.Entry, &listeners.Peer, &listeners.Operator} {
		var err error
		if *listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return listeners, nil, fmt.Errorf("listen: %w", err)
		}
	}
	if i != killedDaemon {
		return listeners, nil, nil
	}
	cut := newCutListener(listeners.Entry)
	listeners.Entry = cut
	return listeners, cut, nil
}

func (fleet *Fleet) listVMs() {
	vms := make([]lwtplatform.VM, 0, len(fleet.daemons))
	for _, daemon := range fleet.daemons {
		vms = append(vms, lwtplatform.VM{
			Name: daemon.settings.Name, Address: daemon.settings.PeerAddress,
			AvailabilityZone: daemon.settings.AvailabilityZone, State: "live",
		})
	}
	fleet.platform.SetVMs(vms)
}

// EntryAddresses returns where callers connect.
func (fleet *Fleet) EntryAddresses() []string {
	return fleet.addresses(func(settings lwtsetting.Settings) string { return settings.EntryAddress })
}

// OperatorAddresses returns where operators connect.
func (fleet *Fleet) OperatorAddresses() []string {
	return fleet.addresses(func(settings lwtsetting.Settings) string { return settings.OperatorAddress })
}

func (fleet *Fleet) addresses(address func(lwtsetting.Settings) string) []string {
	addresses := make([]string, 0, len(fleet.daemons))
	for _, daemon := range fleet.daemons {
		addresses = append(addresses, address(daemon.settings))
	}
	return addresses
}

// AwaitState waits until all running daemons have a state in force.
func (fleet *Fleet) AwaitState(number int64) error {
	deadline := time.Now().Add(readyTimeout)
	for _, daemon := range fleet.daemons {
		for {
			if state, _ := daemon.State(); state.Revision >= number || daemon.halted() {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not have state %d in force after %s", daemon.settings.Name, number, readyTimeout)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// caller returns the declaration of the demo's caller.
func (fleet *Fleet) caller() lwtdeclaredstate.Caller {
	return lwtdeclaredstate.Caller{
		Name: callerName, KeyHash: lwtentry.KeyHash(callerKey),
		Models: []string{fleet.layout.Model}, Services: []string{shopService},
	}
}

// Stop ends all parts at once.
func (fleet *Fleet) Stop() {
	for _, daemon := range fleet.daemons {
		daemon.Halt()
	}
	fleet.stop()
	fleet.parts.Wait()
}
