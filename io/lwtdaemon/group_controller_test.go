package lwtdaemon_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlease"
	"lacewingtide/core/lwtorder"
	"lacewingtide/io/lwtdaemon"
	"lacewingtide/io/lwtsetting"
	"lacewingtide/io/lwtstandin"
)

// eventually waits until a condition is true, and fails the test after 20 s.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not reached within 20 s: %s", description)
		}
	}
}

// orderFleet contains a daemon and the engines that it brings to the declared state.
type orderFleet struct {
	daemon   *lwtdaemon.Daemon
	platform *lwtstandin.Platform
	change   lwtdeclaredstate.Change
	engines  []*lwtstandin.Engine
}

func newOrderFleet() *orderFleet {
	return &orderFleet{platform: lwtstandin.NewPlatform(), change: lwtdeclaredstate.Change{
		Revision: 1, Models: []lwtdeclaredstate.Model{{Name: "m", Version: "1"}, {Name: "n", Version: "1"}},
	}}
}

// startEngine starts an engine that serves model m, and declares it.
func (fleet *orderFleet) startEngine(
	ctx context.Context, t *testing.T, declared lwtdeclaredstate.Engine,
) *lwtstandin.Engine {
	t.Helper()
	options := lwtstandin.DefaultEngineOptions(declared.Name, "m")
	options.ChangeTime, options.ChecksFencing = 100*time.Millisecond, declared.ChecksFencing
	options.Weights, options.ModelBlocks = lwtstandin.NewWeightStore(1000), 10
	engine, listener := lwtstandin.NewEngine(options, 1), listen(t)
	go func() { _ = engine.Serve(listener) }()
	go func() { _ = engine.Run(ctx) }()
	declared.Address = listener.Addr().String()
	declared.OrderReadTimeout = lwtdeclaredstate.Duration(options.OrderReadTimeout)
	fleet.change.Engines = append(fleet.change.Engines, declared)
	fleet.engines = append(fleet.engines, engine)
	return engine
}

// startDaemon starts the daemon and returns a channel with the result of its Run.
func (fleet *orderFleet) startDaemon(ctx context.Context, t *testing.T) <-chan error {
	t.Helper()
	platformListener := listen(t)
	go func() { _ = fleet.platform.Serve(platformListener) }()
	if err := fleet.platform.Declare(fleet.change); err != nil {
		t.Fatal(err)
	}
	listeners := lwtdaemon.Listeners{Entry: listen(t), Peer: listen(t), Operator: listen(t)}
	settings := lwtsetting.Default()
	settings.Name, settings.AvailabilityZone = "d1", "z1"
	settings.EntryAddress = listeners.Entry.Addr().String()
	settings.PeerKey = "0123456789abcdef"
	settings.Platform.Address = platformListener.Addr().String()
	settings.Addresses.DrainTime = lwtdeclaredstate.Duration(100 * time.Millisecond)
	var err error
	if fleet.daemon, err = lwtdaemon.New(settings, listeners, log.NewNopLogger()); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- fleet.daemon.Run(ctx) }()
	return ended
}

// converged reports whether the daemon controls all engines and all have the declared
// configuration.
func (fleet *orderFleet) converged() bool {
	engines := 0
	for _, group := range fleet.daemon.GroupStatuses() {
		for _, engine := range group.Engines {
			if engine.Phase != lwtorder.PhaseSteady || !engine.Config.Equal(engine.Target) {
				return false
			}
			engines++
		}
	}
	return engines == len(fleet.engines)
}

func bothModels() []string { return []string{"m", "n"} }

// TestDaemonOrdersEngines guards against engines that are not brought to the declared
// state, against an order that is sent twice, and against a lease that is still held
// after a shutdown.
func TestDaemonOrdersEngines(t *testing.T) {
	t.Parallel()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	fleet := newOrderFleet()
	engineSpec := lwtdeclaredstate.Engine{
		Name: "e1", Group: "g1", Role: lwtdeclaredstate.RoleMixed, Models: bothModels(), ChecksFencing: true,
	}
	// The first engine crashes during its change.
	fleet.startEngine(ctx, t, engineSpec).CrashDuringNextChange()
	engineSpec.Name, engineSpec.ChecksFencing = "e2", false
	fleet.startEngine(ctx, t, engineSpec)
	ended := fleet.startDaemon(ctx, t)
	eventually(t, "both engines steady as declared", fleet.converged)
	for i, want := range []int{2, 1} {
		if orders, conflicts, _ := fleet.engines[i].AcceptedOrders(); len(orders) != want || conflicts != 0 {
			t.Errorf("engine %d accepted %+v with %d conflicts, want %d orders", i+1, orders, conflicts, want)
		}
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	var lease lwtlease.Row
	row, _ := fleet.platform.Table().Row("lease/g1")
	if err := json.Unmarshal(row.Value, &lease); err != nil || lease.Holder != "" || lease.Fencing == 0 {
		t.Errorf("lease row %+v after the shutdown, error %v", lease, err)
	}
}

// TestLastCopiesOfTwoGroupsTakeTurns guards against two groups that take their last
// replicas of a model out of service at the same time, and against a reservation that
// is not released.
func TestLastCopiesOfTwoGroupsTakeTurns(t *testing.T) {
	t.Parallel()
	fleet := newOrderFleet()
	engineSpec := lwtdeclaredstate.Engine{
		Name: "e1", Group: "g1", Role: lwtdeclaredstate.RoleDecode, Models: []string{"m"}, ChecksFencing: true,
	}
	fleet.startEngine(t.Context(), t, engineSpec)
	engineSpec.Name, engineSpec.Group = "e2", "g2"
	fleet.startEngine(t.Context(), t, engineSpec)
	fleet.startDaemon(t.Context(), t)
	eventually(t, "both engines in their role", fleet.converged)
	first, _, _ := fleet.engines[0].AcceptedOrders()
	second, _, _ := fleet.engines[1].AcceptedOrders()
	if len(first) != 1 || len(second) != 1 {
		t.Fatalf("orders %+v and %+v", first, second)
	}
	// The drain of the second engine starts once the first one serves again, and takes
	// 3 s.
	if gap := second[0].At.Sub(first[0].At).Abs(); gap < lwtorder.DrainPropagationDelay {
		t.Errorf("the orders were only %s apart", gap)
	}
	eventually(t, "no reservation", func() bool { return len(fleet.platform.Table().Rows("reservation/")) == 0 })
}
