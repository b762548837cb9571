package lwtrequestflow_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lacewingtide/core/lwtrequestflow"
	"lacewingtide/core/lwtretry"
	"lacewingtide/core/lwtroutetable"
)

// budgetLimits is the retry budget of the platform's small deployments.
var budgetLimits = lwtretry.SharedBudgetLimits{Ratio: 0.2, Extra: 58, Window: 10 * time.Second}

// arrivalCount counts what servers get of one request beyond its first arrival. The first prefill that a server accepts
// is no arrival.
type arrivalCount struct {
	arrivals        int
	prefillAccepted bool
}

// record counts what a step has sent, by its result, and reports whether it is beyond the first arrival.
func (arrivalCount *arrivalCount) record(step lwtrequestflow.Step, message any) bool {
	failed, isFailure := message.(lwtrequestflow.Failed)
	switch {
	case step != lwtrequestflow.Prefill && step != lwtrequestflow.Send, isFailure && failed.Outcome == lwtretry.NotSent:
		return false
	case step == lwtrequestflow.Prefill && !isFailure && !arrivalCount.prefillAccepted:
		arrivalCount.prefillAccepted = true
		return false
	}
	arrivalCount.arrivals++
	return arrivalCount.arrivals > 1
}

// randomResult returns the result of a step while most servers refuse, cannot be reached or break off.
func randomResult(random *rand.Rand, step lwtrequestflow.Step) any {
	rejected := lwtrequestflow.ResponseStarted{Status: 503, NotRun: true, PromisesNotRun: true}
	misdirected := lwtrequestflow.ResponseStarted{Status: 421, NotRun: true, Misdirected: true}
	unknown, notSent := lwtrequestflow.Failed{Outcome: lwtretry.Unknown}, lwtrequestflow.Failed{Outcome: lwtretry.NotSent}
	refused := lwtrequestflow.Failed{Outcome: lwtretry.Rejected}
	results := map[lwtrequestflow.Step][]any{
		lwtrequestflow.Place:   {lwtrequestflow.Placed{}, lwtrequestflow.Placed{SeparatePrefill: true}, lwtrequestflow.Placed{SeparatePrefill: true}},
		lwtrequestflow.Prefill: {lwtrequestflow.Prefilled{}, refused, refused, unknown, notSent},
		lwtrequestflow.Send: {
			lwtrequestflow.ResponseStarted{Status: 200},
			lwtrequestflow.ResponseStarted{Status: 500},
			lwtrequestflow.ResponseStarted{Status: 503, PromisesNotRun: true},
			rejected, misdirected, misdirected, unknown, notSent,
		},
		lwtrequestflow.Deliver: {
			lwtrequestflow.Delivered{}, lwtrequestflow.Failed{Outcome: lwtretry.Unknown, PartiallyDelivered: true, LastEventID: "3"},
		},
	}[step]
	return results[random.IntN(len(results))]
}

// play runs one request to its end and returns the number of arrivals beyond the first.
func play(random *rand.Rand, now time.Time, budget lwtrequestflow.RetryBudget) (extra int) {
	policies := []lwtroutetable.RetryPolicy{lwtroutetable.RetryIfNotRun, lwtroutetable.RetryAlways, lwtroutetable.RetryResume}
	route := lwtroutetable.Route{RetryPolicy: policies[random.IntN(3)], MaxAttempts: 1 + random.IntN(4), Timeout: 2 * time.Second}
	flow, step := lwtrequestflow.New(now, route, lwtroutetable.Request{}, budget).Start(now)
	var count arrivalCount
	for step != lwtrequestflow.Reject && step != lwtrequestflow.Fail && step != lwtrequestflow.Abort && step != lwtrequestflow.Stop {
		message := randomResult(random, step)
		if flow.HasKVCache() && step == lwtrequestflow.Place {
			message = lwtrequestflow.Placed{}
		}
		if count.record(step, message) {
			extra++
		}
		flow, step = flow.Update(now, step, message)
	}
	return extra
}

// TestEverySendIsWithinTheBudget guards against sends that spend no retry budget, so that daemons together send more than it allows while servers refuse: for one daemon, for some and for hundreds.
func TestEverySendIsWithinTheBudget(t *testing.T) {
	const requests = 20_000
	for _, daemons := range []int{1, 4, 31, 117, 370} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			random, now := rand.New(rand.NewPCG(1, uint64(daemons))), time.Unix(1000, 0)
			budgets := make([]*lwtretry.SharedBudget, daemons)
			for i := range budgets {
				budgets[i] = lwtretry.NewSharedBudget(budgetLimits)
				budgets[i].SetDaemonCount(daemons)
			}
			var extras []int
			for range requests {
				now = now.Add(5 * time.Millisecond)
				budget := budgets[random.IntN(daemons)]
				budget.RecordRequest(now)
				extras = append(extras, play(random, now, budget))
			}
			window := int(budgetLimits.Window / (5 * time.Millisecond))
			allowed := int(budgetLimits.Ratio*float64(window) + budgetLimits.Extra)
			sum, most := 0, 0
			for i, extra := range extras {
				sum += extra
				if i >= window {
					sum -= extras[i-window]
				}
				most = max(most, sum)
			}
			if most > allowed {
				t.Errorf("%d arrivals beyond the first in %s for %d requests, at most %d allowed", most, budgetLimits.Window, window, allowed)
			}
		})
	}
}
