package lwtstandin

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// FleetOptions describe a fleet on loopback.
type FleetOptions struct {
	Engines int
	Shops   int
	// Names is the number of names under which each engine is declared; more
	// names give daemons slots for more streams.
	Names int
	// Disturbed puts a FaultEngine before each engine instead of a FaultRelay.
	Disturbed bool
	// ShopTimeout bounds one call to a shop.
	ShopTimeout time.Duration
}

// Fleet is a platform, engines and shops, each backend server behind a relay
// that fails on demand. Engines serve the model "m"; shops are the service
// "shop" with idempotent calls GET /stock.
type Fleet struct {
	Platform *Platform
	// Address is the platform's address.
	Address string
	// Engines, Shops and Relays are keyed by "engine1", "shop1" and so on.
	Engines map[string]*Engine
	Shops   map[string]*FaultShop
	Relays  map[string]*FaultRelay
	options FleetOptions
	change  lwtdeclaredstate.Change
}

// NewFleet starts a fleet and declares it to callers as state 1. The fleet
// ends with ctx.
func NewFleet(ctx context.Context, options FleetOptions, callers ...lwtdeclaredstate.Caller) (*Fleet, error) {
	fleet := &Fleet{
		Platform: NewPlatform(), Engines: map[string]*Engine{}, Shops: map[string]*FaultShop{},
		Relays: map[string]*FaultRelay{}, options: options,
		change: lwtdeclaredstate.Change{Models: []lwtdeclaredstate.Model{{Name: "m", Version: "1"}}, Callers: callers},
	}
	var err error
	if fleet.Address, err = start(ctx, fleet.Platform.Serve); err != nil {
		return nil, err
	}
	for i := range options.Engines {
		if err := fleet.addEngine(ctx, fmt.Sprint("engine", i+1)); err != nil {
			return nil, err
		}
	}
	service := lwtdeclaredstate.Service{
		Name: "shop", Timeout: lwtdeclaredstate.Duration(options.ShopTimeout),
		Idempotent: []lwtdeclaredstate.Call{{Method: "GET", PathPrefix: "/stock"}},
	}
	for i := range options.Shops {
		server, err := fleet.addShop(ctx, fmt.Sprint("shop", i+1))
		if err != nil {
			return nil, err
		}
		service.BackendServers = append(service.BackendServers, server)
	}
	fleet.change.Services = []lwtdeclaredstate.Service{service}
	return fleet, fleet.Platform.Declare(fleet.change)
}

// start serves on a loopback address until ctx ends.
func start(ctx context.Context, serve func(net.Listener) error) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for a stand-in: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() }) // a closed listener is closed already
	go func() { _ = serve(listener) }()
	return listener.Addr().String(), nil
}

func (fleet *Fleet) addEngine(ctx context.Context, name string) error {
	options := DefaultEngineOptions(name, "m")
	if fleet.options.Disturbed {
		options.StepTime, options.PrefillRate, options.MaxRunning = 200*time.Microsecond, 1e9, 1<<14
	}
	engine := NewEngine(options, 1)
	fleet.Engines[name] = engine
	go func() { _ = engine.Run(ctx) }()
	var address string
	var err error
	if fleet.options.Disturbed {
		address, err = start(ctx, NewFaultEngine(engine).Serve)
	} else {
		address, err = fleet.relay(ctx, name, engine.Serve)
	}
	for i := range max(1, fleet.options.Names) {
		fleet.change.Engines = append(fleet.change.Engines, lwtdeclaredstate.Engine{
			Name: name + strings.Repeat("'", i), Address: address, Role: lwtdeclaredstate.RoleMixed, Models: []string{"m"},
		})
	}
	return err
}

func (fleet *Fleet) addShop(ctx context.Context, name string) (lwtdeclaredstate.BackendServer, error) {
	shop := NewFaultShop(name)
	fleet.Shops[name] = shop
	address, err := fleet.relay(ctx, name, shop.Serve)
	return lwtdeclaredstate.BackendServer{Address: address, AvailabilityZone: "z1"}, err
}

// relay starts a backend server with a relay before it, and returns the
// relay's address.
func (fleet *Fleet) relay(ctx context.Context, name string, serve func(net.Listener) error) (string, error) {
	target, err := start(ctx, serve)
	if err != nil {
		return "", err
	}
	relay := NewFaultRelay(target)
	fleet.Relays[name] = relay
	context.AfterFunc(ctx, func() {
		relay.Close()
		relay.Release()
	})
	return start(ctx, relay.Serve)
}

// Ran returns how often all shops together ran an order.
func (fleet *Fleet) Ran(order string) (count int) {
	for _, shop := range fleet.Shops {
		count += shop.Orders()[order]
	}
	return count
}

// Streams returns the number of streams that the engines run or have waiting.
func (fleet *Fleet) Streams() (count int) {
	for _, engine := range fleet.Engines {
		count += engine.Streams()
	}
	return count
}

// ShopConnections returns the number of open connections to shops.
func (fleet *Fleet) ShopConnections() (count int) {
	for name := range fleet.Shops {
		count += fleet.Relays[name].Open()
	}
	return count
}

// SetShops changes how a shop, or with the name "all" every shop, fails.
func (fleet *Fleet) SetShops(name string, fault ShopFault) {
	for shopName, shop := range fleet.Shops {
		if name == "all" || name == shopName {
			shop.SetFault(fault)
		}
	}
}
