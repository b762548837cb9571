package lwtengine_test

import (
	"errors"
	"net"
	"testing"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlease"
	"lacewingtide/core/lwtorder"
	"lacewingtide/io/lwtengine"
	"lacewingtide/io/lwtstandin"
)

const readTimeout = 100 * time.Millisecond

// startEngine starts an engine that either checks fencing numbers and has no order read
// timeout, or ignores fencing numbers and has the timeout.
func startEngine(t *testing.T, checksFencing bool, listener net.Listener) *lwtstandin.Engine {
	t.Helper()
	options := lwtstandin.DefaultEngineOptions("e1", "a")
	options.ChangeTime = 0
	options.ChecksFencing, options.OrderReadTimeout = checksFencing, 0
	if !checksFencing {
		options.OrderReadTimeout = readTimeout
	}
	engine := lwtstandin.NewEngine(options, 1)
	go func() { _ = engine.Serve(listener) }()
	return engine
}

func order(fencing, sequence int64) lwtorder.Order {
	return lwtorder.Order{
		OrderNumber: lwtorder.OrderNumber{Fencing: fencing, Sequence: sequence}, Incarnation: 1,
		EngineConfig: lwtorder.EngineConfig{Role: lwtdeclaredstate.RoleMixed, Models: map[string]string{"a": "1", "b": "1"}},
	}
}

func expectOrders(t *testing.T, engine *lwtstandin.Engine, want ...lwtorder.OrderNumber) {
	t.Helper()
	accepted, conflicts, _ := engine.AcceptedOrders()
	if len(accepted) != len(want) || conflicts != 0 {
		t.Fatalf("accepted %+v with %d conflicts, want %v", accepted, conflicts, want)
	}
	for i, number := range want {
		if accepted[i].Order.OrderNumber != number {
			t.Errorf("accepted %+v, want %v", accepted, want)
		}
	}
}

// TestOrderArrives guards against orders that engines of either kind do not execute.
func TestOrderArrives(t *testing.T) {
	for _, checks := range []bool{true, false} {
		listener := listen(t)
		engine := startEngine(t, checks, listener)
		outcome, err := lwtengine.New().SendOrder(listener.Addr().String(), order(1, 1), func(time.Time) bool { return true })
		if outcome != lwtorder.OutcomeAccepted || err != nil {
			t.Fatalf("checks fencing %v: outcome %s, error %v; want accepted", checks, outcome, err)
		}
		state, err := lwtengine.New().State(listener.Addr().String())
		if err != nil || state.Config.Models["b"] != "1" ||
			state.LastOrder != (lwtorder.OrderNumber{Fencing: 1, Sequence: 1}) {
			t.Errorf("checks fencing %v: state %+v, error %v; want the order to be applied", checks, state, err)
		}
		expectOrders(t, engine, lwtorder.OrderNumber{Fencing: 1, Sequence: 1})
	}
}

// TestHolderPausedBetweenCheckAndSend guards against an order that takes effect after its
// sender lost the lease: the holder checks its lease, is paused until after the lease has
// expired, and then sends the body.
func TestHolderPausedBetweenCheckAndSend(t *testing.T) {
	t.Run("engine ignores fencing numbers", func(t *testing.T) {
		listener := listen(t)
		engine := startEngine(t, false, listener)
		margin := lwtlease.AddClockDrift(readTimeout)
		lease := lwtlease.Lease{Fencing: 1, Until: time.Now().Add(time.Hour)}
		outcome, _ := lwtengine.New().SendOrder(listener.Addr().String(), order(1, 1), func(now time.Time) bool {
			lease.Until = now.Add(margin + time.Millisecond)
			valid := lease.ValidFor(now, margin)
			time.Sleep(time.Until(lease.Until) + readTimeout)
			return valid
		})
		if outcome == lwtorder.OutcomeAccepted || outcome == lwtorder.OutcomeNotSent {
			t.Errorf("outcome %s of an order whose body arrived too late, want refused or unknown", outcome)
		}
		expectOrders(t, engine)
	})
	t.Run("engine checks fencing numbers", func(t *testing.T) {
		listener := listen(t)
		engine := startEngine(t, true, listener)
		client, address := lwtengine.New(), listener.Addr().String()
		outcome, _ := client.SendOrder(address, order(1, 1), func(time.Time) bool {
			// The next holder sends an order during the pause.
			outcome, err := client.SendOrder(address, order(2, 1), func(time.Time) bool { return true })
			if outcome != lwtorder.OutcomeAccepted || err != nil {
				t.Errorf("next holder: outcome %s, error %v; want accepted", outcome, err)
			}
			return true
		})
		if outcome != lwtorder.OutcomeRefused {
			t.Errorf("outcome %s, want refused", outcome)
		}
		expectOrders(t, engine, lwtorder.OrderNumber{Fencing: 2, Sequence: 1})
	})
}

// TestHolderPausedBeforeCheck guards against sending an order's body after the lease has
// expired.
func TestHolderPausedBeforeCheck(t *testing.T) {
	listener := listen(t)
	engine := startEngine(t, false, listener)
	lease := lwtlease.Lease{Fencing: 1, Until: time.Now()}
	outcome, err := lwtengine.New().SendOrder(listener.Addr().String(), order(1, 1), lease.Valid)
	if outcome != lwtorder.OutcomeNotSent || !errors.Is(err, lwtengine.ErrLeaseTooShort) {
		t.Errorf("outcome %s, error %v; want not-sent and ErrLeaseTooShort", outcome, err)
	}
	expectOrders(t, engine)
}

// TestEnginePausedWhileItReads guards against an engine that executes an order after its read
// timeout because the engine itself was paused.
func TestEnginePausedWhileItReads(t *testing.T) {
	listener := listen(t)
	engine := startEngine(t, false, listener)
	outcome, _ := lwtengine.New().SendOrder(listener.Addr().String(), order(1, 1), func(time.Time) bool {
		resume := engine.PauseOrders()
		time.AfterFunc(2*readTimeout, resume)
		return true
	})
	if outcome == lwtorder.OutcomeAccepted {
		t.Errorf("outcome %s of an order that the engine read too late, want any but accepted", outcome)
	}
	expectOrders(t, engine)
}

// silentListener accepts its first connections but never reads from or writes to them.
type silentListener struct {
	net.Listener
	remaining int
	// conns keeps the connections reachable: the garbage collector would close them.
	conns []net.Conn
}

// Accept implements net.Listener.
func (silentListener *silentListener) Accept() (net.Conn, error) {
	for ; silentListener.remaining > 0; silentListener.remaining-- {
		conn, err := silentListener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		silentListener.conns = append(silentListener.conns, conn)
	}
	return silentListener.Listener.Accept()
}

// TestSilentConnection guards against waiting forever on a connection that carries no data,
// and against reusing it.
func TestSilentConnection(t *testing.T) {
	t.Parallel()
	listener := &silentListener{Listener: listen(t), remaining: 2}
	engine := startEngine(t, false, listener)
	client, address := lwtengine.New(), listener.Addr().String()
	start := time.Now()
	if _, err := client.State(address); err == nil {
		t.Error("State returned no error on a silent connection")
	}
	if outcome, err := client.SendOrder(address, order(1, 1), func(time.Time) bool { return true }); err == nil ||
		outcome != lwtorder.OutcomeNotSent {
		t.Errorf("outcome %s, error %v; want not-sent and an error", outcome, err)
	}
	if elapsed := time.Since(start); elapsed < 2*lwtengine.ProgressTimeout {
		t.Errorf("timed out after %s, want at least %s", elapsed, 2*lwtengine.ProgressTimeout)
	}
	if _, err := client.State(address); err != nil {
		t.Errorf("a new connection failed: %v", err)
	}
	expectOrders(t, engine)
}
