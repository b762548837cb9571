package lwtfaultsim_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"lacewingtide/core/lwtclaim"
	"lacewingtide/core/lwtfaultsim"
)

// TestNothingRunsTwice guards against an order that runs twice and against a request
// that ran although its caller got the outcome not-run. The faults are lost store
// responses, store outages, crashes of daemons and collectors at any step, backend
// servers that crash before or after an order, and callers that retry through other
// daemons. The test also guards against keys that stay claimed without a cause.
func TestNothingRunsTwice(t *testing.T) {
	const seeds = 4
	requests := make([]int, seeds)
	t.Run("seeds", func(t *testing.T) {
		for seed := range seeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				result := lwtfaultsim.Run(lwtfaultsim.Experiment{
					Seed: uint64(20261204 + seed), Daemons: 6, ClaimOptions: lwtclaim.DefaultOptions(),
					Collectors: seed % 2 * 2, CollectorOptions: lwtclaim.DefaultOptions(),
					Orders: 15_000, ArrivalInterval: 8 * time.Millisecond, MaxRetries: 4, DuplicateRate: 0.05, FaultRate: 0.05,
				})
				for i, violation := range result.Violations {
					if i < 10 {
						t.Error(violation)
					}
				}
				checkHistories(t, result)
				requests[seed] = len(result.Requests)
				t.Logf("%d requests, %d crashes, %d transactions, outcomes %v, %d orders ran",
					len(result.Requests), result.Crashes, result.Transactions, result.OutcomeCounts, result.OrdersExecuted)
			})
		}
	})
	if total := requests[0] + requests[1] + requests[2] + requests[3]; total < 100_000 {
		t.Errorf("%d requests, want 100,000", total)
	}
}

// claimModel specifies which outcomes callers may observe for one key. The state,
// taken, says whether a request with the key has run.
var claimModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(taken, _, outcome any) []any {
		switch {
		case outcome == "done" && taken == false, outcome == "replay" && taken == true:
			return []any{true}
		case outcome == "unknown":
			return []any{taken, true}
		case outcome == "not-run":
			return []any{taken}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// checkHistories fails unless the outcomes of each key are linearizable. An example
// of a violation is two requests that both got the outcome done.
func checkHistories(t *testing.T, result lwtfaultsim.Result) {
	t.Helper()
	histories := map[string][]porcupine.Operation{}
	for i, request := range result.Requests {
		returned := request.End.UnixNano()
		if request.Outcome == "unknown" {
			// The request may still take effect after its caller got the outcome.
			returned = result.End.UnixNano() + 1
		}
		histories[request.Key] = append(histories[request.Key], porcupine.Operation{
			ClientId: i, Call: request.Begin.UnixNano(), Output: request.Outcome, Return: returned,
		})
	}
	model := claimModel.ToModel()
	for _, key := range slices.Sorted(maps.Keys(histories)) {
		if len(histories[key]) > 1 && !porcupine.CheckOperations(model, histories[key]) {
			t.Errorf("history of %s is not linearizable: %+v", key, histories[key])
		}
	}
}
