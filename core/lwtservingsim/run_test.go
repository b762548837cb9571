package lwtservingsim

import (
	"reflect"
	"testing"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtscorerouter"
)

// TestEqualSeedsGiveEqualResults guards against results that depend on the
// order of maps or on state shared between runs.
func TestEqualSeedsGiveEqualResults(t *testing.T) {
	experiment := Experiment{
		Deployment: Himalchhat(), Seed: 3, Load: 1.2, Duration: time.Minute, Failures: DefaultFailures(time.Minute),
	}
	for _, policy := range Policies(experiment.Deployment) {
		run := func() Result {
			return Run(experiment, policy, Arrivals(experiment.Deployment, experiment.Seed, experiment.Load, experiment.Duration))
		}
		if first, second := run(), run(); !reflect.DeepEqual(first, second) {
			t.Errorf("%s: %+v, then %+v", policy.Name, first, second)
		}
	}
}

// TestEveryRequestIsCountedOnce guards against requests that vanish, as when
// an engine crashes while their KV cache is on the way to it.
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

// TestDrainedEngineBecomesIdle guards against an engine that waits for ever for
// the KV cache of a request that was given up, and so never changes its role.
func TestDrainedEngineBecomesIdle(t *testing.T) {
	deployment := Cristalier()
	deployment.FixedRoles = roles(2, 10, 0)
	experiment := Experiment{Deployment: deployment, Seed: 5, Load: 1.5, Duration: 3 * time.Minute}
	policy := Policies(deployment)[2]
	policy.Planner.RoleChangeCost = 0
	run := newRun(experiment, policy, Arrivals(deployment, 5, experiment.Load, experiment.Duration))
	run.play()
	if run.tally.changes == 0 {
		t.Fatal("no role was changed")
	}
	for _, engine := range run.engines {
		if engine.target != "" || engine.inbound != 0 || engine.busy() {
			t.Errorf("%s: wanted role %q, %d inbound, busy %t", engine.name, engine.target, engine.inbound, engine.busy())
		}
	}
}

// TestPrefillSlowsDecode guards against an engine model without interference.
func TestPrefillSlowsDecode(t *testing.T) {
	engine := newEngine(lwtdeclaredstate.Engine{Name: "e", Role: lwtdeclaredstate.RoleMixed}, lwtscorerouter.DefaultCostModel())
	engine.enqueue(&job{arrival: &Arrival{PromptTokens: 256, OutputTokens: 100, whole: time.Minute}, decodeAt: engine})
	alone := engine.begin(0)
	engine.ready = append(engine.ready, engine.filled...)
	engine.filled = nil
	decode := engine.begin(0)
	engine.enqueue(&job{arrival: &Arrival{PromptTokens: 2000, OutputTokens: 1, whole: time.Minute}, decodeAt: engine})
	if both := engine.begin(0); both <= decode || both <= alone {
		t.Errorf("prefill %s, decode %s, both %s", alone, decode, both)
	}
}

// TestLongPromptDoesNotDelayChat guards against a chat that waits for a long
// prompt of a lower priority.
func TestLongPromptDoesNotDelayChat(t *testing.T) {
	engine := newEngine(lwtdeclaredstate.Engine{Name: "e", Role: lwtdeclaredstate.RoleMixed}, lwtscorerouter.DefaultCostModel())
	long := &job{arrival: &Arrival{PromptTokens: 100_000, OutputTokens: 1, whole: time.Hour}, decodeAt: engine, priority: 0}
	chat := &job{arrival: &Arrival{PromptTokens: 200, OutputTokens: 1, whole: time.Hour}, decodeAt: engine, priority: 2}
	engine.enqueue(long)
	engine.begin(0)
	engine.enqueue(chat)
	engine.begin(0)
	if chat.promptLeft != 0 {
		t.Errorf("%d tokens of the chat wait after one step", chat.promptLeft)
	}
	engine.begin(0)
	if long.promptLeft == long.arrival.PromptTokens {
		t.Error("the long prompt makes no progress")
	}
}
