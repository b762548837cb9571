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

// eventually waits for a condition that holds in the end, for at most 20 s.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never saw: %s", what)
		}
	}
}

// ordered is a daemon that brings engines to the declared state.
type ordered struct {
	daemon   *lwtdaemon.Daemon
	platform *lwtstandin.Platform
	change   lwtdeclaredstate.Change
	engines  []*lwtstandin.Engine
}

func newOrdered() *ordered {
	return &ordered{platform: lwtstandin.NewPlatform(), change: lwtdeclaredstate.Change{
		Revision: 1, Models: []lwtdeclaredstate.Model{{Name: "m", Version: "1"}, {Name: "n", Version: "1"}},
	}}
}

// serve starts an engine that runs model m and declares it.
func (ordered *ordered) serve(ctx context.Context, t *testing.T, declared lwtdeclaredstate.Engine) *lwtstandin.Engine {
	t.Helper()
	options := lwtstandin.DefaultEngineOptions(declared.Name, "m")
	options.ChangeTime, options.ChecksFencing = 100*time.Millisecond, declared.ChecksFencing
	options.Weights, options.ModelBlocks = lwtstandin.NewWeightStore(1000), 10
	engine, listener := lwtstandin.NewEngine(options, 1), listen(t)
	go func() { _ = engine.Serve(listener) }()
	go func() { _ = engine.Run(ctx) }()
	declared.Address = listener.Addr().String()
	declared.OrderReadTimeout = lwtdeclaredstate.Duration(options.OrderReadTimeout)
	ordered.change.Engines = append(ordered.change.Engines, declared)
	ordered.engines = append(ordered.engines, engine)
	return engine
}

// run starts the daemon and returns the channel of its end.
func (ordered *ordered) run(ctx context.Context, t *testing.T) <-chan error {
	t.Helper()
	platformListener := listen(t)
	go func() { _ = ordered.platform.Serve(platformListener) }()
	if err := ordered.platform.Declare(ordered.change); err != nil {
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
	if ordered.daemon, err = lwtdaemon.New(settings, listeners, log.NewNopLogger()); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- ordered.daemon.Run(ctx) }()
	return ended
}

// settled reports whether all engines are known and as declared.
func (ordered *ordered) settled() bool {
	known := 0
	for _, group := range ordered.daemon.GroupStatuses() {
		for _, engine := range group.Engines {
			if engine.Phase != lwtorder.PhaseSteady || !engine.Config.Equal(engine.Target) {
				return false
			}
			known++
		}
	}
	return known == len(ordered.engines)
}

func both() []string { return []string{"m", "n"} }

// TestDaemonOrdersEngines guards against engines that stay as they are although
// the declared state differs, against a repeated order, and against a lease that
// is left behind by a shutdown.
func TestDaemonOrdersEngines(t *testing.T) {
	t.Parallel()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ordered := newOrdered()
	engine := lwtdeclaredstate.Engine{Name: "e1", Group: "g1", Role: lwtdeclaredstate.RoleMixed, Models: both(), ChecksFencing: true}
	// One engine is lost halfway through its change.
	ordered.serve(ctx, t, engine).CrashDuringNextChange()
	engine.Name, engine.ChecksFencing = "e2", false
	ordered.serve(ctx, t, engine)
	ended := ordered.run(ctx, t)
	eventually(t, "both engines steady as declared", ordered.settled)
	for i, want := range []int{2, 1} {
		if orders, conflicts, _ := ordered.engines[i].AcceptedOrders(); len(orders) != want || conflicts != 0 {
			t.Errorf("engine %d took %+v with %d conflicts, want %d orders", i+1, orders, conflicts, want)
		}
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	var lease lwtlease.Row
	row, _ := ordered.platform.Table().Row("lease/g1")
	if err := json.Unmarshal(row.Value, &lease); err != nil || lease.Holder != "" || lease.Fencing == 0 {
		t.Errorf("lease row %+v after the shutdown, error %v", lease, err)
	}
}

// TestLastCopiesOfTwoGroupsTakeTurns guards against two groups that take their
// only copies of a model out of service at the same time, and against a
// reservation that is left behind.
func TestLastCopiesOfTwoGroupsTakeTurns(t *testing.T) {
	t.Parallel()
	ordered := newOrdered()
	engine := lwtdeclaredstate.Engine{
		Name: "e1", Group: "g1", Role: lwtdeclaredstate.RoleDecode, Models: []string{"m"}, ChecksFencing: true,
	}
	ordered.serve(t.Context(), t, engine)
	engine.Name, engine.Group = "e2", "g2"
	ordered.serve(t.Context(), t, engine)
	ordered.run(t.Context(), t)
	eventually(t, "both engines in their role", ordered.settled)
	first, _, _ := ordered.engines[0].AcceptedOrders()
	second, _, _ := ordered.engines[1].AcceptedOrders()
	if len(first) != 1 || len(second) != 1 {
		t.Fatalf("orders %+v and %+v", first, second)
	}
	// The second engine is drained for 3 s after the first one serves again.
	if apart := second[0].At.Sub(first[0].At).Abs(); apart < lwtorder.DrainPropagationDelay {
		t.Errorf("the orders were only %s apart", apart)
	}
	eventually(t, "no reservation", func() bool { return len(ordered.platform.Table().Rows("reservation/")) == 0 })
}
