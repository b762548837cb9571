package lwtorder_test

import (
	"testing"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlease"
	"lacewingtide/core/lwtorder"
)

// stepper drives the Model of a group with one engine that ignores fencing
// numbers, and responds to the Model's requests.
type stepper struct {
	t     *testing.T
	now   time.Time
	model lwtorder.Model
	read  lwtorder.ReadState
	sent  []lwtorder.SendOrder
	state lwtdeclaredstate.State
}

func newStepper(t *testing.T) *stepper {
	stepper := &stepper{t: t, now: time.Now(), model: lwtorder.New("g"), state: lwtdeclaredstate.New()}
	stepper.declare("a")
	stepper.authorize(1)
	return stepper
}

func (stepper *stepper) send(msg lwtorder.Msg) {
	next, cmds := stepper.model.Update(stepper.now, msg)
	stepper.model = next
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case lwtorder.ReadState:
			stepper.read = cmd
		case lwtorder.SendOrder:
			stepper.sent = append(stepper.sent, cmd)
		case lwtorder.ReadHead:
			stepper.send(lwtorder.HeadRead{Fencing: cmd.Fencing, Revision: stepper.state.Revision})
		}
	}
}

func (stepper *stepper) declare(models ...string) {
	engine := declared("g", "e1")
	engine.Models = models
	stepper.state = stepper.state.WithChange(lwtdeclaredstate.Change{
		Revision: stepper.state.Revision + 1, Engines: []lwtdeclaredstate.Engine{engine},
		Models: []lwtdeclaredstate.Model{{Name: "a", Version: "1"}, {Name: "b", Version: "1"}},
	})
	stepper.send(lwtorder.DeclaredStateChanged{State: stepper.state})
}

func (stepper *stepper) authorize(fencing int64) {
	stepper.send(lwtorder.LeaseChanged{Lease: lwtlease.Lease{
		Group: "g", Fencing: fencing, Until: stepper.now.Add(lwtlease.TTL),
	}})
}

// completeRead completes the read in flight: the engine runs model a.
func (stepper *stepper) completeRead() {
	stepper.send(lwtorder.StateRead{Engine: "e1", Attempt: stepper.read.Attempt, State: lwtorder.EngineState{
		Incarnation: 1,
		Config:      lwtorder.EngineConfig{Role: lwtdeclaredstate.RoleMixed, Models: map[string]string{"a": "1"}},
	}})
}

func (stepper *stepper) tick() {
	stepper.now = stepper.now.Add(lwtorder.TickInterval)
	stepper.send(lwtorder.Tick{})
}

func (stepper *stepper) expectOrders(want int) {
	stepper.t.Helper()
	if len(stepper.sent) != want {
		stepper.t.Fatalf("%d orders, want %d: %+v", len(stepper.sent), want, stepper.model.Status())
	}
}

// TestTwoReadsBeforeFirstOrder guards against an order after a single read to an
// engine that ignores fencing numbers: an order of an earlier lease holder may
// take effect after that read.
func TestTwoReadsBeforeFirstOrder(t *testing.T) {
	stepper := newStepper(t)
	stepper.declare("a", "b")
	stepper.completeRead()
	stepper.expectOrders(0)
	stepper.tick()
	stepper.completeRead()
	stepper.expectOrders(1)
}

// TestNothingBeforeNewReadAfterPause guards against an order based on a state
// that was read before a pause of the process.
func TestNothingBeforeNewReadAfterPause(t *testing.T) {
	stepper := newStepper(t)
	for range 2 {
		stepper.tick()
		stepper.completeRead()
	}
	stepper.now = stepper.now.Add(lwtlease.PauseThreshold + 2*lwtorder.TickInterval)
	stepper.declare("a", "b")
	stepper.expectOrders(0)
}

// TestOwnOrderOnItsWayDelaysTheNext guards against a second order under a new
// fencing number of the same daemon while the first order can still take effect.
func TestOwnOrderOnItsWayDelaysTheNext(t *testing.T) {
	stepper := newStepper(t)
	end := stepper.now.Add(lwtlease.TTL)
	stepper.declare("a", "b")
	for range 2 {
		stepper.tick()
		stepper.completeRead()
	}
	stepper.expectOrders(1)
	stepper.authorize(2)
	for stepper.now.Before(end.Add(-lwtorder.TickInterval)) {
		stepper.tick()
		stepper.completeRead()
		stepper.authorize(2)
	}
	stepper.expectOrders(1)
	for range 4 {
		stepper.tick()
		stepper.completeRead()
	}
	stepper.expectOrders(2)
}
