package lwtdaemon_test

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/io/lwtcommand"
	"lacewingtide/io/lwtentry"
	"lacewingtide/io/lwtstandin"
)

// commandVariable is the environment variable that makes the test binary run as the
// lacewingtide command, so that tests can kill daemon processes.
const commandVariable = "LACEWINGTIDE_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(commandVariable) != "" {
		os.Exit(lwtcommand.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// testBackend contains the backend servers of a test: a platform stand-in, one engine
// and one shop order server.
type testBackend struct {
	platform string
	shop     *lwtstandin.Shop
}

func newTestBackend(t testing.TB) testBackend {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	platform, platformListener := lwtstandin.NewPlatform(), listen(t)
	engine, engineListener := lwtstandin.NewEngine(lwtstandin.DefaultEngineOptions("e1", "m"), 1), listen(t)
	shop, shopListener := lwtstandin.NewShop("s1"), listen(t)
	for _, serve := range []func() error{
		func() error { return platform.Serve(platformListener) },
		func() error { return engine.Serve(engineListener) },
		func() error { return engine.Run(ctx) },
		func() error { return shop.Serve(shopListener) },
	} {
		go func() { _ = serve() }()
	}
	declare(t, platform, engineListener, shopListener)
	return testBackend{platform: platformListener.Addr().String(), shop: shop}
}

func declare(t testing.TB, platform *lwtstandin.Platform, engine, shop net.Listener) {
	t.Helper()
	if err := platform.Declare(lwtdeclaredstate.Change{
		Engines: []lwtdeclaredstate.Engine{{
			Name: "e1", Address: engine.Addr().String(), Role: lwtdeclaredstate.RoleMixed, Models: []string{"m"},
		}},
		Models: []lwtdeclaredstate.Model{{Name: "m", Version: "1"}},
		Callers: []lwtdeclaredstate.Caller{{
			Name: "c1", KeyHash: lwtentry.HashKey(callerKey), Models: []string{"m"}, Services: []string{"shop"},
		}},
		Services: []lwtdeclaredstate.Service{{
			Name:            "shop",
			BackendServers:  []lwtdeclaredstate.BackendServer{{Address: shop.Addr().String()}},
			IdempotentCalls: []lwtdeclaredstate.CallPattern{{Method: "GET", PathPrefix: "/stock"}},
			Timeout:         lwtdeclaredstate.Duration(10 * time.Second),
		}},
	}); err != nil {
		t.Fatal(err)
	}
}
