package lwtstandin

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// FleetOptions configures a fleet on loopback.
type FleetOptions struct {
	Engines int
	Shops   int
	// NamesPerEngine is the number of names under which each engine is declared.
	// Each name adds stream slots at the daemons.
	NamesPerEngine int
	// FaultyEngines puts a FaultyEngine in front of each engine instead of a
	// FaultProxy.
	FaultyEngines bool
	// ShopTimeout is the timeout of a request to a shop.
	ShopTimeout time.Duration
}

// Fleet is a platform, engines and shops. Each shop, and unless FaultyEngines is
// set each engine, is behind a proxy that fails on demand. The engines serve the
// model "m". The shops are the backend servers of the service "shop", whose calls
// GET /stock are declared as idempotent.
type Fleet struct {
	Platform *Platform
	// Address is the platform's address.
	Address string
	// Engines, Shops and Proxies are keyed by "engine1", "shop1" and so on.
	Engines map[string]*Engine
	Shops   map[string]*FaultyShop
	Proxies map[string]*FaultProxy
	options FleetOptions
	change  lwtdeclaredstate.Change
}

// NewFleet starts a fleet and declares it, with the callers, as revision 1 of the
// declared state. The fleet stops when ctx ends.
func NewFleet(ctx context.Context, options FleetOptions, callers ...lwtdeclaredstate.Caller) (*Fleet, error) {
	fleet := &Fleet{
		Platform: NewPlatform(), Engines: map[string]*Engine{}, Shops: map[string]*FaultyShop{},
		Proxies: map[string]*FaultProxy{}, options: options,
		change: lwtdeclaredstate.Change{Models: []lwtdeclaredstate.Model{{Name: "m", Version: "1"}}, Callers: callers},
	}
	var err error
	if fleet.Address, err = serveOnLoopback(ctx, fleet.Platform.Serve); err != nil {
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

// serveOnLoopback runs serve on a free loopback port until ctx ends and returns
// the address.
func serveOnLoopback(ctx context.Context, serve func(net.Listener) error) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for a stand-in: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() }) // fails only if it is closed already
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
		address, err = serveOnLoopback(ctx, NewFaultyEngine(engine).Serve)
	} else {
		address, err = fleet.startBehindProxy(ctx, name, engine.Serve)
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
	address, err := fleet.startBehindProxy(ctx, name, shop.Serve)
	return lwtdeclaredstate.BackendServer{Address: address, AvailabilityZone: "z1"}, err
}

// startBehindProxy starts a server with a FaultProxy in front of it and returns
// the address of the proxy.
func (fleet *Fleet) startBehindProxy(ctx context.Context, name string, serve func(net.Listener) error) (string, error) {
	target, err := serveOnLoopback(ctx, serve)
	if err != nil {
		return "", err
	}
	proxy := NewFaultProxy(target)
	fleet.Proxies[name] = proxy
	context.AfterFunc(ctx, func() {
		proxy.Close()
		proxy.ReleaseAddress()
	})
	return serveOnLoopback(ctx, proxy.Serve)
}

// OrderCount returns how often an order ran, summed over all shops.
func (fleet *Fleet) OrderCount(order string) (count int) {
	for _, shop := range fleet.Shops {
		count += shop.OrderCounts()[order]
	}
	return count
}

// ActiveStreams returns the number of running and waiting streams of all engines.
func (fleet *Fleet) ActiveStreams() (count int) {
	for _, engine := range fleet.Engines {
		count += engine.ActiveStreams()
	}
	return count
}

// ShopConnections returns the number of open connections to the proxies of shops.
func (fleet *Fleet) ShopConnections() (count int) {
	for name := range fleet.Shops {
		count += fleet.Proxies[name].ConnectionsOpen()
	}
	return count
}

// SetShopFault sets the fault of the shop with a name, or of every shop if the name
// is "all".
func (fleet *Fleet) SetShopFault(name string, fault ShopFault) {
	for shopName, shop := range fleet.Shops {
		if name == "all" || name == shopName {
			shop.SetFault(fault)
		}
	}
}
