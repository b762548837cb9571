package lwtscorerouter_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtscorerouter"
)

// TestPickUsesAvailableEngines guards, for every strategy, against requests routed
// to an engine that is draining or has the wrong role, and against choices that
// differ for equal random sources.
func TestPickUsesAvailableEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := drawEngines(t)
		usable := map[string]lwtdeclaredstate.Role{}
		for i := range engines {
			engines[i].Draining = rapid.IntRange(0, 3).Draw(t, "draining") == 0
			if !engines[i].Draining {
				usable[engines[i].Name] = engines[i].Role
			}
		}
		build := func(strategy lwtscorerouter.Strategy) *lwtscorerouter.Router {
			view := lwtscorerouter.NewView("d1", lwtscorerouter.DefaultCostModel()).WithState(newState(engines))
			return lwtscorerouter.New(view, strategy, rand.New(rand.NewPCG(7, 7)))
		}
		request := drawRequest(t)
		for _, strategy := range lwtscorerouter.Strategies() {
			choice, err := build(strategy).Pick(origin, request)
			again, _ := build(strategy).Pick(origin, request)
			if choice != again {
				t.Fatalf("%s: %v, then %v", strategy, choice, again)
			}
			checkChoice(t, strategy, usable, choice, err)
		}
	})
}

func checkChoice(
	t *rapid.T, strategy lwtscorerouter.Strategy, usable map[string]lwtdeclaredstate.Role, choice lwtscorerouter.Choice,
	err error,
) {
	counts := map[lwtdeclaredstate.Role]int{}
	for _, role := range usable {
		counts[role]++
	}
	mixed := counts[lwtdeclaredstate.RoleMixed]
	possible := counts[lwtdeclaredstate.RolePrefill]+mixed > 0 && counts[lwtdeclaredstate.RoleDecode]+mixed > 0
	if possible == errors.Is(err, lwtscorerouter.ErrNoEngine) {
		t.Fatalf("%s: %v with usable engines %v", strategy, err, usable)
	}
	if !possible {
		return
	}
	role, found := usable[choice.Engine]
	if !found || role == lwtdeclaredstate.RoleDecode {
		t.Fatalf("%s: prefill on %s of %v", strategy, choice.Engine, usable)
	}
	if role, found := usable[choice.DecodeEngine]; choice.Split() && (!found || role == lwtdeclaredstate.RolePrefill) {
		t.Fatalf("%s: decode on %s of %v", strategy, choice.DecodeEngine, usable)
	}
	if !choice.Split() && role != lwtdeclaredstate.RoleMixed {
		t.Fatalf("%s: both phases on an engine with role %s", strategy, role)
	}
}

func mixedFleet(count int) lwtdeclaredstate.State {
	engines := make([]lwtdeclaredstate.Engine, count)
	for i := range engines {
		engines[i] = lwtdeclaredstate.Engine{
			Name: fmt.Sprintf("e%04d", i), Models: []string{"m"}, MemoryBlocks: 256, Role: lwtdeclaredstate.RoleMixed,
		}
	}
	return newState(engines)
}

// TestDaemonsWithOneStaleReportSpread guards against a thundering herd: many
// daemons that all choose the engine that is idle by its last report.
func TestDaemonsWithOneStaleReportSpread(t *testing.T) {
	const daemons, engines = 40, 12
	counts := map[string]int{}
	for daemon := range daemons {
		view := lwtscorerouter.NewView("d", lwtscorerouter.DefaultCostModel()).WithState(mixedFleet(engines))
		for i := 1; i < engines; i++ {
			view.WithLoadReport(fmt.Sprintf("e%04d", i), lwtscorerouter.LoadReport{
				TakenAt: origin, Incarnation: 1, Running: 20, FreeBlocks: 200,
			})
		}
		router := lwtscorerouter.New(view, lwtscorerouter.StrategyTwoChoicesPrefix, rand.New(rand.NewPCG(1, uint64(daemon))))
		request := lwtscorerouter.Request{Model: "m", Class: lwtdeclaredstate.ClassChat, PromptTokens: 500, OutputTokens: 200}
		choice, err := router.Pick(origin, request)
		if err != nil {
			t.Fatal(err)
		}
		counts[choice.Engine]++
	}
	if most := counts["e0000"]; most > daemons/3 {
		t.Errorf("%d of %d daemons chose the idle engine: %v", most, daemons, counts)
	}
}

// TestCacheEventGapMakesBlocksStale guards against counting blocks in full, or not
// at all, when lost events may have evicted them.
func TestCacheEventGapMakesBlocksStale(t *testing.T) {
	view := lwtscorerouter.NewView("d", lwtscorerouter.DefaultCostModel()).WithState(mixedFleet(1))
	router := lwtscorerouter.New(view, lwtscorerouter.StrategyTwoChoicesPrefix, rand.New(rand.NewPCG(1, 1)))
	request := lwtscorerouter.Request{Model: "m", PromptTokens: 5000, OutputTokens: 10, PrefixHashes: []uint64{1, 2}}
	cached := func() int {
		choice, err := router.Pick(origin, request)
		if err != nil {
			t.Fatal(err)
		}
		return choice.CachedTokens
	}
	steps := []struct {
		events []lwtscorerouter.CacheEvent
		want   int
	}{
		{nil, 0},
		{[]lwtscorerouter.CacheEvent{{Sequence: 1, PrefixHash: 1}, {Sequence: 2, PrefixHash: 2}}, 4096},
		{[]lwtscorerouter.CacheEvent{{Sequence: 9, PrefixHash: 1}}, 2048 + 1024}, // 3 to 8 are missing
		{[]lwtscorerouter.CacheEvent{{Sequence: 10, PrefixHash: 2}}, 4096},
		{[]lwtscorerouter.CacheEvent{{Sequence: 11, PrefixHash: 1, Evicted: true}}, 0},
	}
	for i, step := range steps {
		view.WithCacheEvents("e0000", step.events)
		if got := cached(); got != step.want {
			t.Errorf("step %d: %d cached tokens, want %d", i, got, step.want)
		}
	}
	view.WithLoadReport("e0000", lwtscorerouter.LoadReport{TakenAt: origin, Incarnation: 1, FreeBlocks: 256})
	view.WithCacheEvents("e0000", []lwtscorerouter.CacheEvent{{Sequence: 12, PrefixHash: 1}})
	view.WithLoadReport("e0000", lwtscorerouter.LoadReport{TakenAt: origin, Incarnation: 2, FreeBlocks: 256})
	if got := cached(); got != 0 || view.CacheCursor("e0000") != 0 {
		t.Errorf("after a restart: %d cached tokens, cursor %d", got, view.CacheCursor("e0000"))
	}
}

// TestDownEngineIsTriedWhenNoneIsLeft guards against rejecting requests for a
// second after a single failed attempt on the only engine.
func TestDownEngineIsTriedWhenNoneIsLeft(t *testing.T) {
	view := lwtscorerouter.NewView("d", lwtscorerouter.DefaultCostModel()).WithState(mixedFleet(2))
	router := lwtscorerouter.New(view, lwtscorerouter.StrategyTwoChoicesPrefix, rand.New(rand.NewPCG(1, 1)))
	request := lwtscorerouter.Request{Model: "m", PromptTokens: 10, OutputTokens: 10}
	for i, want := range []string{"e0001", "e0000"} {
		view.WithDown("e0000", origin.Add(time.Second))
		if i == 1 {
			view.WithExcluded("e0001", true)
		}
		if choice, err := router.Pick(origin, request); err != nil || choice.Engine != want {
			t.Errorf("chose engine %s (error %v), want %s", choice.Engine, err, want)
		}
	}
}

// TestPrefixesFollowWholeBlocks guards against hashes that depend on how the
// prompt is split into messages, and against equal hashes for different models.
func TestPrefixesFollowWholeBlocks(t *testing.T) {
	text := make([]byte, 3*4*lwtscorerouter.BlockTokens+5)
	whole := lwtscorerouter.PrefixHashes("m", [][]byte{text})
	parts := lwtscorerouter.PrefixHashes("m", [][]byte{text[:100], text[100:9000], text[9000:]})
	other := lwtscorerouter.PrefixHashes("n", [][]byte{text})
	if len(whole) != 3 || fmt.Sprint(whole) != fmt.Sprint(parts) || whole[0] == other[0] {
		t.Errorf("whole %v, parts %v, other model %v", whole, parts, other)
	}
}

// TestSubsetKeepsBothPhases guards against a subset of a large fleet without an
// engine for one of the phases, and against a subset that grows with the fleet.
func TestSubsetKeepsBothPhases(t *testing.T) {
	state := mixedFleet(600)
	change := lwtdeclaredstate.Change{Revision: 2}
	for i, name := range state.EnginesServing("m") {
		engine := state.Engines[name]
		engine.Role = lwtdeclaredstate.RoleDecode
		if i%20 == 0 {
			engine.Role = lwtdeclaredstate.RolePrefill
		}
		change.Engines = append(change.Engines, engine)
	}
	for daemon := range 50 {
		view := lwtscorerouter.NewView(fmt.Sprint("d", daemon), lwtscorerouter.DefaultCostModel()).
			WithState(state.WithChange(change))
		used := map[lwtdeclaredstate.Role]int{}
		for _, status := range view.EngineStatuses(origin) {
			if status.InSubset {
				used[status.Role]++
			}
		}
		if used[lwtdeclaredstate.RolePrefill] == 0 || used[lwtdeclaredstate.RoleDecode] < 20 ||
			used[lwtdeclaredstate.RoleDecode] > 32 {
			t.Fatalf("daemon %d uses %v", daemon, used)
		}
	}
}

// BenchmarkPick measures a decision and the recording of the sent request, with
// four models served by all engines.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{12, 48, 120, 600, 1200, 2400, 4800} {
		b.Run(fmt.Sprintf("engines=%d", count), func(b *testing.B) {
			benchmarkPick(b, count)
		})
	}
}

func benchmarkPick(b *testing.B, count int) {
	models := []string{"m1", "m2", "m3", "m4"}
	change := lwtdeclaredstate.Change{Revision: 1}
	for _, model := range models {
		change.Models = append(change.Models, lwtdeclaredstate.Model{Name: model, Version: "1"})
	}
	roles := []lwtdeclaredstate.Role{lwtdeclaredstate.RoleMixed, lwtdeclaredstate.RolePrefill, lwtdeclaredstate.RoleDecode}
	for i := range count {
		change.Engines = append(change.Engines, lwtdeclaredstate.Engine{
			Name: fmt.Sprintf("e%04d", i), Models: models, Role: roles[i%len(roles)], MemoryBlocks: 256,
			AvailabilityZone: fmt.Sprint("z", i%3),
		})
	}
	view := lwtscorerouter.NewView("d1", lwtscorerouter.DefaultCostModel()).
		WithState(lwtdeclaredstate.New().WithChange(change))
	router := lwtscorerouter.New(view, lwtscorerouter.StrategyTwoChoicesPrefix, rand.New(rand.NewPCG(1, 1)))
	requests := make([]lwtscorerouter.Request, 64)
	for i := range requests {
		prefix := uint64(i%16) << 8
		requests[i] = lwtscorerouter.Request{
			Model: models[i%len(models)], Class: lwtdeclaredstate.ClassChat, PromptTokens: 5000, OutputTokens: 200,
			PrefixHashes: []uint64{prefix, prefix + 1}, AvailabilityZone: "z1",
		}
	}
	now := origin
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(200 * time.Microsecond)
		request := requests[i%len(requests)]
		choice, err := router.Pick(now, request)
		if err != nil {
			b.Fatal(err)
		}
		view.WithSent(now, request, choice)
		view.WithLoadReport(choice.Engine, lwtscorerouter.LoadReport{
			TakenAt: now, Incarnation: 1, Running: i % 50, FreeBlocks: 200,
		})
	}
}
