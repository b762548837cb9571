package lwtdaemon_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtlease"
	"lacewingtide/core/lwtstate"
	"lacewingtide/io/lwtdaemon"
	"lacewingtide/io/lwtsetting"
	"lacewingtide/io/lwtstandin"
)

// eventually waits for a condition that holds in the end, for at most 20 s.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never saw: %s", what)
		}
	}
}

// startOrdered serves an engine that runs model m and adds it to the change as
// one that is declared to run m and n.
func startOrdered(ctx context.Context, t *testing.T, change *lwtstate.Change, name string, checks bool) *lwtstandin.Engine {
	t.Helper()
	options := lwtstandin.DefaultEngineOptions(name, "m")
	options.ChangeTime, options.ChecksFencing = 100*time.Millisecond, checks
	options.Weights, options.ModelBlocks = lwtstandin.NewWeightStore(1000), 10
	engine, listener := lwtstandin.NewEngine(options, 1), listen(t)
	go func() { _ = engine.Serve(listener) }()
	go func() { _ = engine.Run(ctx) }()
	change.Engines = append(change.Engines, lwtstate.Engine{
		Name: name, Address: listener.Addr().String(), Group: "g1", Role: lwtstate.RoleMixed,
		Models: []string{"m", "n"}, ChecksFencing: checks,
		OrderReadTimeout: lwtstate.Duration(options.OrderReadTimeout),
	})
	return engine
}

// TestDaemonOrdersEngines guards against engines that stay as they are although
// the declared state differs, against a repeated order, and against a lease that
// is left behind by a shutdown.
func TestDaemonOrdersEngines(t *testing.T) {
	t.Parallel()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	change := lwtstate.Change{
		Number: 1, Models: []lwtstate.Model{{Name: "m", Version: "1"}, {Name: "n", Version: "1"}},
	}
	engines := []*lwtstandin.Engine{
		startOrdered(ctx, t, &change, "e1", true), startOrdered(ctx, t, &change, "e2", false),
	}
	// One engine is lost halfway through its change.
	engines[0].CrashNextChange()
	platform, platformListener := lwtstandin.NewPlatform(), listen(t)
	go func() { _ = platform.Serve(platformListener) }()
	if err := platform.Declare(change); err != nil {
		t.Fatal(err)
	}
	listeners := lwtdaemon.Listeners{Entry: listen(t), Peer: listen(t), Operator: listen(t)}
	settings := lwtsetting.Default()
	settings.Name, settings.AvailabilityZone = "d1", "z1"
	settings.EntryAddress = listeners.Entry.Addr().String()
	settings.PeerKey = "0123456789abcdef"
	settings.Platform.Address = platformListener.Addr().String()
	settings.Addresses.Keep = lwtstate.Duration(100 * time.Millisecond)
	daemon, err := lwtdaemon.New(settings, listeners, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(ctx) }()
	eventually(t, "both engines steady as declared", func() bool {
		status := daemon.AuthorityStatus()
		if len(status) != 1 || !status[0].Own || len(status[0].Engines) != 2 {
			return false
		}
		for _, engine := range status[0].Engines {
			if engine.Phase != "steady" || !engine.Content.Equal(engine.Target) {
				return false
			}
		}
		return true
	})
	for i, want := range []int{2, 1} {
		if orders, conflicts, _ := engines[i].AcceptedOrders(); len(orders) != want || conflicts != 0 {
			t.Errorf("engine %d took %+v with %d conflicts, want %d orders", i+1, orders, conflicts, want)
		}
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	var lease lwtlease.Row
	row, _ := platform.Table().Row("lease/g1")
	if err := json.Unmarshal(row.Value, &lease); err != nil || lease.Holder != "" || lease.Fencing == 0 {
		t.Errorf("lease row %+v after the shutdown, error %v", lease, err)
	}
}
