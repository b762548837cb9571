package lwtservingsim

import (
	"reflect"
	"testing"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtscorerouter"
)

// TestEqualSeedsGiveEqualResults guards against results that depend on map iteration
// order or on state shared between runs.
func TestEqualSeedsGiveEqualResults(t *testing.T) {
	experiment := Experiment{
		Deployment: Himalchhat(), Seed: 3, Load: 1.2, Duration: time.Minute, Failures: DefaultFailures(time.Minute),
	}
	for _, policy := range Policies(experiment.Deployment) {
		run := func() Result {
			return Run(experiment, policy,
				Arrivals(experiment.Deployment, experiment.Seed, experiment.Load, experiment.Duration))
		}
		if first, second := run(), run(); !reflect.DeepEqual(first, second) {
			t.Errorf("%s: %+v, then %+v", policy.Name, first, second)
		}
	}
}

// TestEveryRequestIsCountedOnce guards against lost requests, for example when an
// engine crashes while a KV cache is being transferred to it.
func TestEveryRequestIsCountedOnce(t *testing.T) {
	experiment := Experiment{
		Deployment: Cristalier(), Seed: 4, Load: 2, Duration: time.Minute, Failures: DefaultFailures(time.Minute),
	}
	for _, policy := range Policies(experiment.Deployment) {
		arrivals := Arrivals(experiment.Deployment, experiment.Seed, experiment.Load, experiment.Duration)
		result := Run(experiment, policy, arrivals)
		if sum := result.OnTime + result.Rejected + result.Late + result.Interrupted; sum != len(arrivals) {
			t.Errorf("%s: %d of %d requests counted", policy.Name, sum, len(arrivals))
		}
	}
}

// TestDrainedEngineBecomesIdle guards against an engine that never changes its role
// because it waits for the KV cache of an abandoned request.
func TestDrainedEngineBecomesIdle(t *testing.T) {
	deployment := Cristalier()
	deployment.FixedRoles = roleList(2, 10, 0)
	experiment := Experiment{Deployment: deployment, Seed: 5, Load: 1.5, Duration: 3 * time.Minute}
	policy := Policies(deployment)[2]
	policy.Planner.RoleChangeCost = 0
	run := newRun(experiment, policy, Arrivals(deployment, 5, experiment.Load, experiment.Duration))
	run.execute()
	if run.tally.roleChanges == 0 {
		t.Fatal("no role was changed")
	}
	for _, engine := range run.engines {
		if engine.targetRole != "" || engine.inboundTransfers != 0 || engine.hasWork() {
			t.Errorf("%s: target role %q, %d inbound transfers, has work %t",
				engine.name, engine.targetRole, engine.inboundTransfers, engine.hasWork())
		}
	}
}

// TestPrefillSlowsDecode guards against an engine model in which prefill and decode
// don't slow each other down.
func TestPrefillSlowsDecode(t *testing.T) {
	engine := newEngine(lwtdeclaredstate.Engine{Name: "e", Role: lwtdeclaredstate.RoleMixed},
		lwtscorerouter.DefaultCostModel())
	engine.enqueue(&job{
		arrival: &Arrival{PromptTokens: 256, OutputTokens: 100, maxEndToEndLatency: time.Minute}, decodeEngine: engine,
	})
	alone := engine.beginStep(0)
	engine.readyToDecode = append(engine.readyToDecode, engine.prefillsCompleting...)
	engine.prefillsCompleting = nil
	decode := engine.beginStep(0)
	engine.enqueue(&job{
		arrival: &Arrival{PromptTokens: 2000, OutputTokens: 1, maxEndToEndLatency: time.Minute}, decodeEngine: engine,
	})
	if both := engine.beginStep(0); both <= decode || both <= alone {
		t.Errorf("prefill %s, decode %s, both %s", alone, decode, both)
	}
}

// TestLongPromptDoesNotDelayChat guards against a chat request that waits for a long
// prompt of lower priority.
func TestLongPromptDoesNotDelayChat(t *testing.T) {
	engine := newEngine(lwtdeclaredstate.Engine{Name: "e", Role: lwtdeclaredstate.RoleMixed},
		lwtscorerouter.DefaultCostModel())
	long := &job{
		arrival:      &Arrival{PromptTokens: 100_000, OutputTokens: 1, maxEndToEndLatency: time.Hour},
		decodeEngine: engine, priority: 0,
	}
	chat := &job{
		arrival:      &Arrival{PromptTokens: 200, OutputTokens: 1, maxEndToEndLatency: time.Hour},
		decodeEngine: engine, priority: 2,
	}
	engine.enqueue(long)
	engine.beginStep(0)
	engine.enqueue(chat)
	engine.beginStep(0)
	if chat.remainingPromptTokens != 0 {
		t.Errorf("%d tokens of the chat wait after one step", chat.remainingPromptTokens)
	}
	engine.beginStep(0)
	if long.remainingPromptTokens == long.arrival.PromptTokens {
		t.Error("the long prompt makes no progress")
	}
}
