package lwtorder_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlease"
	"lacewingtide/core/lwtorder"
)

func declared(group, name string) lwtdeclaredstate.Engine {
	return lwtdeclaredstate.Engine{
		Name: name, Address: name, Group: group, Role: lwtdeclaredstate.RoleMixed, Models: []string{"a"},
		OrderReadTimeout: lwtdeclaredstate.Duration(time.Second), MemoryBlocks: 20,
	}
}

// newFleet returns a started simulation with the given numbers of daemons, groups
// and engines per group.
func newFleet(seed uint64, daemons, groups, engines int) *simulation {
	simulation := newSimulation(seed, daemons)
	change := lwtdeclaredstate.Change{
		Revision: 1, Models: []lwtdeclaredstate.Model{{Name: "a", Version: "1"}, {Name: "b", Version: "1"}},
	}
	for group := range groups {
		for i := range engines {
			change.Engines = append(change.Engines, declared(fmt.Sprintf("g%d", group+1), fmt.Sprintf("e%d.%d", group+1, i+1)))
		}
	}
	state := simulation.state.WithChange(change)
	for _, engine := range change.Engines {
		simulation.engines[engine.Name] = &fakeEngine{simulation: simulation, name: engine.Name, state: lwtorder.EngineState{
			Incarnation: 1, Config: lwtorder.DeclaredConfig(state, engine, engine.Role),
		}}
	}
	simulation.declare(state)
	simulation.boot()
	return simulation
}

// BenchmarkHandover measures the time from the crash of a lease holder, at a
// random point of its renewal interval, to the next order to an engine that
// ignores fencing numbers.
func BenchmarkHandover(b *testing.B) {
	var waits []float64
	for seed := range uint64(300) {
		simulation := newFleet(seed, 8, 1, 4)
		simulation.runUntil(20*time.Second + time.Duration(simulation.rng.IntN(3000))*time.Millisecond)
		simulation.holder("g1").dead = true
		simulation.announce(memberDetectionDelay)
		engine := declared("g1", "e1.1")
		engine.Models = []string{"a", "b"}
		simulation.declare(
			simulation.state.WithChange(lwtdeclaredstate.Change{Revision: 2, Engines: []lwtdeclaredstate.Engine{engine}}),
		)
		lost := simulation.now
		simulation.runUntil(60 * time.Second)
		if fake := simulation.engines["e1.1"]; len(fake.accepted) == 1 {
			waits = append(waits, fake.acceptedAt[0].Sub(lost).Seconds())
		} else {
			b.Fatalf("seed %d: %d orders", seed, len(fake.accepted))
		}
	}
	slices.Sort(waits)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(waits[len(waits)/2], "s-median")
	b.ReportMetric(waits[len(waits)*99/100], "s-99th")
	b.ReportMetric(waits[len(waits)-1], "s-max")
}

// BenchmarkStoreLoad measures the reads and writes per second of all daemons for
// their leases when each daemon holds one and nothing fails.
func BenchmarkStoreLoad(b *testing.B) {
	for _, holders := range []int{4, 16, 64, 256} {
		b.Run(fmt.Sprint(holders), func(b *testing.B) {
			simulation := newFleet(1, holders, holders, 1)
			simulation.runUntil(20 * time.Second)
			reads, writes := simulation.reads, simulation.writes
			simulation.runUntil(50 * time.Second)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(simulation.reads-reads)/30, "reads/s")
			b.ReportMetric(float64(simulation.writes-writes)/30, "writes/s")
		})
	}
}

// BenchmarkUpdate measures one Update by the number of engines in the group: a
// tick when nothing is due, and the state of one engine.
func BenchmarkUpdate(b *testing.B) {
	now := time.Now()
	for _, engines := range []int{1, 4, 16, 64} {
		change := lwtdeclaredstate.Change{Revision: 1, Models: []lwtdeclaredstate.Model{{Name: "a", Version: "1"}}}
		for i := range engines {
			change.Engines = append(change.Engines, declared("g", fmt.Sprintf("e%02d", i)))
		}
		state := lwtdeclaredstate.New().WithChange(change)
		model, _ := lwtorder.New("g").Update(now, lwtorder.DeclaredStateChanged{State: state})
		model, cmds := model.Update(now, lwtorder.LeaseChanged{
			Lease: lwtlease.Lease{Group: "g", Fencing: 1, Until: now.Add(time.Hour)},
		})
		for range 2 {
			var next []lwtorder.Cmd
			for _, cmd := range cmds {
				if read, found := cmd.(lwtorder.ReadState); found {
					model, _ = model.Update(now, stateRead(state, read))
				}
			}
			model, next = model.Update(now.Add(time.Second), lwtorder.Tick{})
			cmds = next
		}
		later := now.Add(1100 * time.Millisecond)
		b.Run(fmt.Sprintf("tick/%d", engines), func(b *testing.B) {
			for b.Loop() {
				model.Update(later, lwtorder.Tick{})
			}
		})
		model, cmds = model.Update(now.Add(7*time.Second), lwtorder.Stop{})
		for _, cmd := range cmds {
			if read, found := cmd.(lwtorder.ReadState); found {
				b.Run(fmt.Sprintf("state/%d", engines), func(b *testing.B) {
					for b.Loop() {
						model.Update(now.Add(7*time.Second), stateRead(state, read))
					}
				})
				break
			}
		}
	}
}

func stateRead(state lwtdeclaredstate.State, read lwtorder.ReadState) lwtorder.StateRead {
	return lwtorder.StateRead{Engine: read.Engine, Attempt: read.Attempt, State: lwtorder.EngineState{
		Incarnation: 1, Config: lwtorder.DeclaredConfig(state, state.Engines[read.Engine], lwtdeclaredstate.RoleMixed),
	}}
}
