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

// Times of the demo's daemons. The address times are short, so that a daemon can
// leave before the demo ends.
const (
	addressTTL       = 2 * time.Second
	addressDrainTime = 4 * time.Second
	storeTimeout     = time.Second
	readyTimeout     = 15 * time.Second
	pollInterval     = 20 * time.Millisecond
)

// Fleet is a running deployment.
type Fleet struct {
	layout          Layout
	logger          log.Logger
	platform        *lwtstandin.Platform
	platformAddress string
	engines         []*lwtstandin.Engine
	shops           []*lwtstandin.Shop
	daemons         []*daemon
	declaredEngines []lwtdeclaredstate.Engine
	backendServers  []lwtdeclaredstate.BackendServer
	tasks           sync.WaitGroup
	stop            context.CancelFunc
}

// daemon is one entry daemon of the fleet.
type daemon struct {
	*lwtdaemon.Daemon
	settings lwtsetting.Settings
	leave    context.CancelFunc
	entry    *resettableListener
	ended    chan error
}

// Start starts a deployment without a declared state. The caller must call Stop on
// it when done.
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
	if fleet.platformAddress, err = fleet.serve(ctx, fleet.platform.Serve); err != nil {
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
		fleet.backendServers = append(fleet.backendServers, lwtdeclaredstate.BackendServer{
			Address: address, AvailabilityZone: fleet.layout.availabilityZone(i),
		})
	}
	for i := range fleet.layout.Daemons {
		if err := fleet.startDaemon(i); err != nil {
			return err
		}
	}
	fleet.publishVMs()
	return nil
}

// serve runs a server on a free loopback port until ctx ends and returns its
// address.
func (fleet *Fleet) serve(ctx context.Context, serve func(net.Listener) error) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	fleet.tasks.Go(func() { _ = serve(listener) }) // returns when the listener is closed
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
	fleet.tasks.Go(func() { _ = engine.Run(ctx) }) // returns when ctx ends
	fleet.engines = append(fleet.engines, engine)
	fleet.declaredEngines = append(fleet.declaredEngines, fleet.layout.engine(i, address))
	return nil
}

func (fleet *Fleet) startDaemon(i int) error {
	listeners, resettable, err := openListeners(i)
	if err != nil {
		return err
	}
	settings := lwtsetting.Default()
	settings.Name, settings.AvailabilityZone = fmt.Sprintf("entry-%d", i+1), fleet.layout.availabilityZone(i)
	settings.EntryAddress = listeners.Entry.Addr().String()
	settings.PeerAddress = listeners.Peer.Addr().String()
	settings.OperatorAddress = listeners.Operator.Addr().String()
	settings.PeerKey = peerKey
	settings.OperatorKeyHashes = []string{lwtoperator.HashKey(operatorKey)}
	settings.Platform = lwtsetting.Platform{
		Address: fleet.platformAddress, Timeout: lwtdeclaredstate.Duration(storeTimeout),
	}
	settings.Planner.RoleChangeCost = fleet.layout.RoleChangeCost
	settings.Addresses = lwtsetting.Addresses{
		TTL: lwtdeclaredstate.Duration(addressTTL), DrainTime: lwtdeclaredstate.Duration(addressDrainTime),
	}
	for _, earlier := range fleet.daemons {
		settings.Peers = append(settings.Peers, earlier.settings.PeerAddress)
	}
	lwtDaemon, err := lwtdaemon.New(settings, listeners, fleet.logger)
	if err != nil {
		return err
	}
	leaveCtx, leave := context.WithCancel(context.Background())
	started := &daemon{Daemon: lwtDaemon, settings: settings, leave: leave, entry: resettable, ended: make(chan error, 1)}
	fleet.tasks.Go(func() { started.ended <- lwtDaemon.Run(leaveCtx) })
	fleet.daemons = append(fleet.daemons, started)
	return nil
}

// openListeners opens the listeners of a daemon. The entry listener of the daemon to
// be killed can be reset, and is also returned as such; for others that is nil.
func openListeners(i int) (lwtdaemon.Listeners, *resettableListener, error) {
	var listeners lwtdaemon.Listeners
	for _, listener := range []*net.Listener{&listeners.Entry, &listeners.Peer, &listeners.Operator} {
		var err error
		if *listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return listeners, nil, fmt.Errorf("listen: %w", err)
		}
	}
	if i != killedDaemonIndex {
		return listeners, nil, nil
	}
	resettable := newResettableListener(listeners.Entry)
	listeners.Entry = resettable
	return listeners, resettable, nil
}

// publishVMs sets the platform's VM list to the daemons.
func (fleet *Fleet) publishVMs() {
	vms := make([]lwtplatform.VM, 0, len(fleet.daemons))
	for _, daemon := range fleet.daemons {
		vms = append(vms, lwtplatform.VM{
			Name: daemon.settings.Name, Address: daemon.settings.PeerAddress,
			AvailabilityZone: daemon.settings.AvailabilityZone, State: "live",
		})
	}
	fleet.platform.SetVMs(vms)
}

// EntryAddresses returns the addresses to which callers connect, one per daemon.
func (fleet *Fleet) EntryAddresses() []string {
	return fleet.addresses(func(settings lwtsetting.Settings) string { return settings.EntryAddress })
}

// OperatorAddresses returns the addresses to which operators connect, one per
// daemon.
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

// AwaitState waits until all running daemons have activated a revision of the
// declared state, or a later one. It fails after readyTimeout.
func (fleet *Fleet) AwaitState(revision int64) error {
	deadline := time.Now().Add(readyTimeout)
	for _, daemon := range fleet.daemons {
		for {
			if state, _ := daemon.State(); state.Revision >= revision || daemon.hasEnded() {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not have state %d in force after %s", daemon.settings.Name, revision, readyTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// caller returns the declaration of the demo's caller.
func (fleet *Fleet) caller() lwtdeclaredstate.Caller {
	return lwtdeclaredstate.Caller{
		Name: callerName, KeyHash: lwtentry.HashKey(callerKey),
		Models: []string{fleet.layout.Model}, Services: []string{shopService},
	}
}

// Stop stops the whole deployment at once and waits until it has ended.
func (fleet *Fleet) Stop() {
	for _, daemon := range fleet.daemons {
		daemon.Halt()
	}
	fleet.stop()
	fleet.tasks.Wait()
}
