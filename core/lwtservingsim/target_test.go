package lwtservingsim

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
	"time"
)

var (
	targetSeeds   = flag.Uint64("target-seeds", 1, "seeds from 1 for which the targets are measured")
	targetMinutes = flag.Int("target-minutes", 2, "virtual minutes of one run")
)

// Performance targets of the design.
const (
	minGoodputGain          = 1.3
	minClairvoyantRatio     = 0.90
	maxSettingLoss          = 0.02
	maxRoleChangeRatio      = 0.5
	maxFewerChangesLoss     = 0.03
	maxChatTimeToFirstToken = 610 * time.Millisecond
	maxInterTokenLatency    = 32 * time.Millisecond
	minOverloadRatio        = 0.95
	// referenceGoodput is the goodput of least-outstanding at which the policies are
	// compared.
	referenceGoodput = 0.70
)

// trial runs policies with the same deployment and seed.
type trial struct {
	t          *testing.T
	deployment Deployment
	seed       uint64
	duration   time.Duration
}

func (trial trial) experiment(load float64) Experiment {
	return Experiment{
		Deployment: trial.deployment, Seed: trial.seed, Load: load, Duration: trial.duration,
		Failures: DefaultFailures(trial.duration),
	}
}

// run runs policies in parallel on the same arrivals.
func (trial trial) run(load float64, policies ...Policy) []Result {
	experiment := trial.experiment(load)
	arrivals := Arrivals(trial.deployment, trial.seed, load, trial.duration)
	results := make([]Result, len(policies))
	var running sync.WaitGroup
	for i, policy := range policies {
		running.Go(func() { results[i] = Run(experiment, policy, arrivals) })
	}
	running.Wait()
	return results
}

func (trial trial) policy(name string) Policy {
	policies := Policies(trial.deployment)
	return policies[slices.IndexFunc(policies, func(policy Policy) bool { return policy.Name == name })]
}

func (trial trial) policyWithCost(cost float64) Policy {
	policy := trial.policy("lacewingtide")
	policy.Planner.RoleChangeCost = cost
	return policy
}

// referenceLoad searches for the load at which the goodput of least-outstanding drops
// to referenceGoodput.
func (trial trial) referenceLoad() float64 {
	low, high := 0.6, 2.4
	for range 6 {
		middle := (low + high) / 2
		if trial.run(middle, trial.policy("least-outstanding"))[0].Goodput() > referenceGoodput {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

func (trial trial) check(ok bool, format string, args ...any) {
	trial.t.Helper()
	if !ok {
		trial.t.Errorf("missed: %s seed %d: "+format, append([]any{trial.deployment.Name, trial.seed}, args...)...)
		return
	}
	trial.t.Logf("met: %s seed %d: "+format, append([]any{trial.deployment.Name, trial.seed}, args...)...)
}

// TestTargets checks the performance targets of the design at a reduced size. Run
// the full size with
//
//	go test ./core/lwtservingsim -run TestTargets -v -target-seeds 5 -target-minutes 12
func TestTargets(t *testing.T) {
	for _, deployment := range []Deployment{Cristalier(), Himalchhat()} {
		for seed := uint64(1); seed <= *targetSeeds; seed++ {
			t.Run(fmt.Sprintf("%s/seed=%d", deployment.Name, seed), func(t *testing.T) {
				t.Parallel()
				trial := trial{t, deployment, seed, time.Duration(*targetMinutes) * time.Minute}
				// Shorten the period so that a short run covers a full one.
				trial.deployment.MixPeriod = min(trial.deployment.MixPeriod, trial.duration)
				load := trial.referenceLoad()
				trial.checkGoodput(load)
				trial.checkRoleChangeCosts(load)
				trial.checkOverload()
			})
		}
	}
}

func (trial trial) checkGoodput(load float64) {
	trial.t.Helper()
	results := trial.run(load, trial.policy("least-outstanding"), trial.policy("lacewingtide"),
		trial.policy("clairvoyant"))
	least, own, best := results[0], results[1], results[2]
	trial.check(own.Goodput() >= minGoodputGain*least.Goodput(),
		"load %.3f: goodput %.4f is %.3f x least-outstanding (%.4f)",
		load, own.Goodput(), own.Goodput()/least.Goodput(), least.Goodput())
	trial.check(own.Goodput() >= minClairvoyantRatio*best.Goodput(), "load %.3f: goodput is %.3f x clairvoyant (%.4f)",
		load, own.Goodput()/best.Goodput(), best.Goodput())
	trial.checkLatency(load, own)
}

func (trial trial) checkLatency(load float64, result Result) {
	trial.t.Helper()
	trial.check(result.ChatTimeToFirstTokenP95 <= maxChatTimeToFirstToken &&
		result.InterTokenLatencyP95 <= maxInterTokenLatency,
		"load %.3f: chat first token p95 %.3f s, between tokens p95 %.1f ms",
		load, result.ChatTimeToFirstTokenP95.Seconds(), result.InterTokenLatencyP95.Seconds()*1000)
	trial.check(result.RanTwice == 0 && result.RejectedButRan == 0, "load %.3f: ran twice %d, not-run but ran %d",
		load, result.RanTwice, result.RejectedButRan)
}

// checkRoleChangeCosts compares several settings of RoleChangeCost on the same
// arrivals.
func (trial trial) checkRoleChangeCosts(load float64) {
	trial.t.Helper()
	costs := []float64{Cristalier().RoleChangeCost, Himalchhat().RoleChangeCost, 0, math.Inf(1)}
	policies := make([]Policy, 0, len(costs))
	for _, cost := range costs {
		policies = append(policies, trial.policyWithCost(cost))
	}
	results := trial.run(load, policies...)
	bestGoodput := 0.0
	for _, result := range results {
		bestGoodput = max(bestGoodput, result.Goodput())
	}
	own, sparing := results[0], results[1]
	trial.check(own.Goodput() >= (1-maxSettingLoss)*bestGoodput,
		"load %.3f: cost %.0f has goodput %.4f, the best setting %.4f",
		load, costs[0], own.Goodput(), bestGoodput)
	trial.check(float64(sparing.RoleChanges) <= maxRoleChangeRatio*float64(own.RoleChanges) &&
		sparing.Goodput() >= (1-maxFewerChangesLoss)*own.Goodput(),
		"load %.3f: cost %.0f makes %d role changes (goodput %.4f), cost %.0f makes %d (%.4f)",
		load, costs[1], sparing.RoleChanges, sparing.Goodput(), costs[0], own.RoleChanges, own.Goodput())
}

// checkOverload checks that the number of requests answered on time stays near its
// peak when the offered load exceeds the capacity.
func (trial trial) checkOverload() {
	trial.t.Helper()
	const last = 3.0
	peak, final := 0, 0
	for _, load := range []float64{1, 2, last} {
		result := trial.run(load, trial.policy("lacewingtide"))[0]
		trial.checkLatency(load, result)
		peak, final = max(peak, result.OnTime), result.OnTime
	}
	trial.check(float64(final) >= minOverloadRatio*float64(peak), "load %.1f: %.1f on time/s, peak %.1f: %.3f",
		last, float64(final)/trial.duration.Seconds(), float64(peak)/trial.duration.Seconds(), float64(final)/float64(peak))
}
