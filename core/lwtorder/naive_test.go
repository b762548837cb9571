package lwtorder_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtorder"
)

// naive is the reference implementation: a single process without failures that
// applies each declared state immediately.
type naive struct {
	configs map[string][]lwtorder.EngineConfig
}

func (naive naive) declare(state lwtdeclaredstate.State) {
	for name, engine := range state.Engines {
		naive.configs[name] = append(naive.configs[name], lwtorder.DeclaredConfig(state, engine, engine.Role))
	}
}

// compare checks that each order that an engine accepted sets a configuration of
// the naive version or extends one, in the same order, and that the engine ends
// with the naive version's last configuration.
func (naive naive) compare(t *rapid.T, engine *fakeEngine) {
	configs, position := naive.configs[engine.name], 0
	for _, order := range engine.accepted {
		found := slices.IndexFunc(configs[position:], func(config lwtorder.EngineConfig) bool {
			return order.Equal(config) || (order.Extends(config) && order.Role == config.Role)
		})
		if found < 0 {
			t.Fatalf("%s accepted %+v, which is not in %+v", engine.name, order, configs[position:])
		}
		position += found
	}
	last := configs[len(configs)-1]
	if state := engine.state; state.Reconfiguring || !state.Config.Equal(last) {
		t.Fatalf("%s ended as %+v, the naive version as %+v", engine.name, state, last)
	}
}

// history generates a script with random tickets and failures within 90 s.
func history(t *rapid.T) string {
	var text strings.Builder
	text.WriteString("0s models a b\n")
	kind := rapid.SampledFrom(engineKinds)
	for i := range 4 {
		fmt.Fprintf(&text, "0s engine e%d models=a,b %s\n", i+1, kind.Draw(t, "kind"))
	}
	engine := rapid.Map(rapid.IntRange(1, 4), func(i int) string { return fmt.Sprintf("e%d", i) })
	models := rapid.SampledFrom([]string{"a", "b", "a,b"})
	role := rapid.SampledFrom([]string{"mixed", "mixed", "prefill"})
	span := rapid.Map(rapid.IntRange(1, 40), func(s int) string { return fmt.Sprintf("%ds", s) })
	daemon := rapid.SampledFrom([]string{"holder", "holder", "d1", "d2", "d3"})
	steps := rapid.IntRange(3, 14).Draw(t, "steps")
	for range steps {
		at := time.Duration(rapid.IntRange(10_000, 90_000).Draw(t, "at")) * time.Millisecond
		line := rapid.OneOf(
			rapid.Custom(func(t *rapid.T) string {
				return "ticket " + engine.Draw(t, "e") + " models=" + models.Draw(t, "m") + " role=" + role.Draw(t, "r")
			}),
			rapid.Custom(func(t *rapid.T) string {
				verb := rapid.SampledFrom([]string{"pause", "pause-after-check", "cut"}).Draw(t, "verb")
				return verb + " " + daemon.Draw(t, "d") + " " + span.Draw(t, "span")
			}),
			rapid.Custom(func(t *rapid.T) string {
				verb := rapid.SampledFrom([]string{"silent", "pause-engine", "delay-body", "restart"}).Draw(t, "verb")
				return verb + " " + engine.Draw(t, "e") + " " + span.Draw(t, "span")
			}),
			rapid.Custom(func(t *rapid.T) string {
				verb := rapid.SampledFrom([]string{"crash-halfway", "lose-order-answer"}).Draw(t, "verb")
				return verb + " " + engine.Draw(t, "e")
			}),
			rapid.SampledFrom([]string{
				"kill d1", "kill holder", "boot d1", "shutdown d2", "boot d2", "store-lose 2", "store-down 25s",
				"store-slow 5s 30s",
			}),
		).Draw(t, "line")
		fmt.Fprintf(&text, "%s %s\n", at, line)
	}
	return text.String() + "100s boot d3\n101s expect-nothing\n"
}

// TestAgainstNaive compares the Model with the naive version over random histories of
// tickets and failures. It guards against an engine that accepts an order that the
// naive version would not have sent, accepts one in violation of G1 or G3 (see
// fakeEngine.accept), or ends in another state.
func TestAgainstNaive(t *testing.T) {
	// A fixed seed makes the test deterministic.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		text := history(rt)
		simulation := newSimulation(1, 3)
		naive := naive{configs: map[string][]lwtorder.EngineConfig{}}
		simulation.onDeclare = naive.declare
		runLines(t, "history", simulation, parseLines(t, text))
		simulation.runUntil(240 * time.Second)
		if len(simulation.violations) > 0 {
			rt.Fatalf("violations %q after\n%s", simulation.violations, text)
		}
		for _, engine := range simulation.engines {
			naive.compare(rt, engine)
		}
	})
}
