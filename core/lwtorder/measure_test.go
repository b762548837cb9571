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

// fleet returns a world with a number of daemons and groups of engines.
func fleet(seed uint64, daemons, groups, engines int) *world {
	world := newWorld(seed, daemons)
	change := lwtdeclaredstate.Change{Revision: 1, Models: []lwtdeclaredstate.Model{{Name: "a", Version: "1"}, {Name: "b", Version: "1"}}}
	for group := range groups {
		for i := range engines {
			change.Engines = append(change.Engines, declared(fmt.Sprintf("g%d", group+1), fmt.Sprintf("e%d.%d", group+1, i+1)))
		}
	}
	state := world.state.WithChange(change)
	for _, engine := range change.Engines {
		world.engines[engine.Name] = &fakeEngine{world: world, name: engine.Name, state: lwtorder.EngineState{
			Incarnation: 1, Config: lwtorder.DeclaredConfig(state, engine, engine.Role),
		}}
	}
	world.declare(state)
	world.boot()
	return world
}

// BenchmarkHandover measures the time from the loss of a holder, at any phase of
// its renewals, to the next order to an engine that ignores fencing numbers.
func BenchmarkHandover(b *testing.B) {
	var waits []float64
	for seed := range uint64(300) {
		world := fleet(seed, 8, 1, 4)
		world.runUntil(20*time.Second + time.Duration(world.random.IntN(3000))*time.Millisecond)
		world.holder("g1").dead = true
		world.announce(memberLag)
		engine := declared("g1", "e1.1")
		engine.Models = []string{"a", "b"}
		world.declare(world.state.WithChange(lwtdeclaredstate.Change{Revision: 2, Engines: []lwtdeclaredstate.Engine{engine}}))
		lost := world.now
		world.runUntil(60 * time.Second)
		if fake := world.engines["e1.1"]; len(fake.accepted) == 1 {
			waits = append(waits, fake.acceptedA[0].Sub(lost).Seconds())
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

// BenchmarkStoreLoad measures the reads and writes of all daemons for their
// leases when each daemon holds one, without failures.
func BenchmarkStoreLoad(b *testing.B) {
	for _, holders := range []int{4, 16, 64, 256} {
		b.Run(fmt.Sprint(holders), func(b *testing.B) {
			world := fleet(1, holders, holders, 1)
			world.runUntil(20 * time.Second)
			reads, writes := world.reads, world.writes
			world.runUntil(50 * time.Second)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(world.reads-reads)/30, "reads/s")
			b.ReportMetric(float64(world.writes-writes)/30, "writes/s")
		})
	}
}

// BenchmarkUpdate measures one Update over the number of engines that a daemon
// orders: a tick at which nothing is due, and an engine's state.
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
					model, _ = model.Update(now, answer(state, read))
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
						model.Update(now.Add(7*time.Second), answer(state, read))
					}
				})
				break
			}
		}
	}
}

func answer(state lwtdeclaredstate.State, read lwtorder.ReadState) lwtorder.StateRead {
	return lwtorder.StateRead{Engine: read.Engine, Attempt: read.Attempt, State: lwtorder.EngineState{
		Incarnation: 1, Config: lwtorder.DeclaredConfig(state, state.Engines[read.Engine], lwtdeclaredstate.RoleMixed),
	}}
}
