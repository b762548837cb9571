package lwtclaim_test

import (
	"maps"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// claimModel is what callers may see of one key: taken says that a request
// with the key may have run.
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

// checkHistories guards against answers that no order of the requests of a key
// explains, such as two different requests that were both told done.
func checkHistories(t *testing.T, sim *sim) {
	t.Helper()
	histories := map[string][]porcupine.Operation{}
	for i, trial := range sim.trials {
		end := trial.end.UnixNano()
		if trial.outcome == "unknown" {
			// The request may still take effect after its caller gave up.
			end = sim.now.UnixNano() + 1
		}
		histories[trial.key] = append(histories[trial.key], porcupine.Operation{
			ClientId: i, Call: trial.begin.UnixNano(), Output: trial.outcome, Return: end,
		})
	}
	checked, model := 0, claimModel.ToModel()
	for _, key := range sortedKeys(histories) {
		if len(histories[key]) < 2 {
			continue
		}
		checked++
		if !porcupine.CheckOperations(model, histories[key]) {
			t.Errorf("history of %s is not linearizable: %+v", key, histories[key])
		}
	}
	t.Logf("%d histories of repeated keys checked", checked)
}
