package lwtorder_test

import (
	"testing"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlease"
	"lacewingtide/core/lwtorder"
)

// TestNoReservationWhileOneIsFreed guards against a slow ReleaseReservations that
// deletes a reservation made after it was sent, so that two groups could take
// their last replicas of a model out of service at the same time.
func TestNoReservationWhileOneIsFreed(t *testing.T) {
	now := time.Unix(1000, 0)
	engine := lwtdeclaredstate.Engine{
		Name: "e1", Group: "g1", Role: lwtdeclaredstate.RoleDecode, Models: []string{"m"}, ChecksFencing: true,
	}
	other := engine
	other.Name, other.Group = "e2", "g2"
	state := lwtdeclaredstate.New().WithChange(lwtdeclaredstate.Change{
		Revision: 1, Engines: []lwtdeclaredstate.Engine{engine, other},
		Models: []lwtdeclaredstate.Model{{Name: "m", Version: "1"}},
	})
	model := lwtorder.New("g1")
	var reserved, releasing int64
	update := func(msg lwtorder.Msg) {
		queue := []lwtorder.Msg{msg}
		for len(queue) > 0 {
			var cmds []lwtorder.Cmd
			model, cmds = model.Update(now, queue[0])
			queue = queue[1:]
			for _, cmd := range cmds {
				switch cmd := cmd.(type) {
				case lwtorder.ReadHead:
					queue = append(queue, lwtorder.HeadRead{Fencing: cmd.Fencing, Revision: 1})
				case lwtorder.ReadState:
					queue = append(queue, lwtorder.StateRead{Engine: cmd.Engine, Attempt: cmd.Attempt, State: lwtorder.EngineState{
						Incarnation: 1,
						Config:      lwtorder.EngineConfig{Role: lwtdeclaredstate.RoleMixed, Models: map[string]string{"m": "1"}},
					}})
				case lwtorder.ReserveModels:
					reserved = cmd.Attempt
				case lwtorder.ReleaseReservations:
					releasing = cmd.Attempt
				}
			}
		}
	}
	tick := func(span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(250 * time.Millisecond) {
			update(lwtorder.Tick{})
		}
	}
	update(lwtorder.DeclaredStateChanged{State: state})
	update(lwtorder.LeaseChanged{Lease: lwtlease.Lease{Fencing: 1, Until: now.Add(time.Hour)}})
	tick(5 * time.Second)
	if reserved == 0 {
		t.Fatal("no reservation requested")
	}
	update(lwtorder.ReserveResult{Engine: "e1", Attempt: reserved, Models: []string{"m"}})
	tick(time.Second)
	if releasing == 0 {
		t.Fatal("a reservation that was not granted is not released")
	}
	before := reserved
	tick(5 * time.Second)
	if reserved != before {
		t.Error("reserved while an earlier release was in flight")
	}
	update(lwtorder.ReleaseResult{Attempt: releasing})
	tick(3 * time.Second)
	if reserved == before {
		t.Error("no new reservation after the release result")
	}
}
