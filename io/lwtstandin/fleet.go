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
	// NamesPerEngine is the number of names under which each engine is declared; more
	// names give daemons slots for more streams.
	NamesPerEngine int
	// FaultyEngines puts a FaultEngine before each engine instead of a FaultRelay.
	FaultyEngines bool
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
	Shops   map[string]*FaultyShop
	Proxies map[string]*FaultProxy
	options FleetOptions
	change  lwtdeclaredstate.Change
}

// NewFleet starts a fleet and declares it to callers as state 1. The fleet
// ends with ctx.
func NewFleet(ctx context.Context, options FleetOptions, callers ...lwtdeclaredstate.Caller) (*Fleet, error) {
	fleet := &Fleet{
		Platform: NewPlatform(), Engines: map[string]*Engine{}, Shops: map[string]*FaultyShop{},
		Proxies: map[string]*FaultProxy{}, options: options,
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
		IdempotentCalls: []lwtdeclaredstate.CallPattern{{Method: "GET", PathPrefix: "/stock"}},
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
	if fleet.options.FaultyEngines {
		options.StepTime, options.PrefillRate, options.MaxRunning = 200*time.Microsecond, 1e9, 1<<14
	}
	engine := NewEngine(options, 1)
	fleet.Engines[name] = engine
	go func() { _ = engine.Run(ctx) }()
	var address string
	var err error
	if fleet.options.FaultyEngines {
		address, err = start(ctx, NewFaultyEngine(engine).Serve)
	} else {
		address, err = fleet.relay(ctx, name, engine.Serve)
	}
	for i := range max(1, fleet.options.NamesPerEngine) {
		fleet.change.Engines = append(fleet.change.Engines, lwtdeclaredstate.Engine{
			Name: name + strings.Repeat("'", i), Address: address, Role: lwtdeclaredstate.RoleMixed, Models: []string{"m"},
		})
	}
	return err
}

func (fleet *Fleet) addShop(ctx context.Context, name string) (lwtdeclaredstate.BackendServer, error) {
	shop := NewFaultyShop(name)
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
	relay := NewFaultProxy(target)
	fleet.Proxies[name] = relay
	context.AfterFunc(ctx, func() {
		relay.Close()
		relay.ReleaseAddress()
	})
	return start(ctx, relay.Serve)
}

// OrderCount returns how often all shops together ran an order.
func (fleet *Fleet) OrderCount(order string) (count int) {
	for _, shop := range fleet.Shops {
		count += shop.OrderCounts()[order]
	}
	return count
}

// ActiveStreams returns the number of streams that the engines run or have waiting.
func (fleet *Fleet) ActiveStreams() (count int) {
	for _, engine := range fleet.Engines {
		count += engine.ActiveStreams()
	}
	return count
}

// ShopConnections returns the number of open connections to shops.
func (fleet *Fleet) ShopConnections() (count int) {
	for name := range fleet.Shops {
		count += fleet.Proxies[name].ConnectionsOpen()
	}
	return count
}

// SetShopFault changes how a shop, or with the name "all" every shop, fails.
func (fleet *Fleet) SetShopFault(name string, fault ShopFault) {
	for shopName, shop := range fleet.Shops {
		if name == "all" || name == shopName {
			shop.SetFault(fault)
		}
	}
}
