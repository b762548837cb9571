package lwtretry_test

import (
	"testing"
	"time"

	"lacewingtide/core/lwtretry"
)

var sharedBudgetLimits = lwtretry.SharedBudgetLimits{Ratio: 0.2, Extra: 40, Window: 10 * time.Second}

// TestSharedBudget guards against daemons that together retry more often in some window than the
// platform allows.
func TestSharedBudget(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, daemons := range []int{1, 4} {
		sharedBudget := lwtretry.NewSharedBudget(sharedBudgetLimits)
		sharedBudget.SetDaemonCount(daemons)
		var spent []time.Time
		requests := 0
		for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(20 * time.Millisecond) {
			sharedBudget.RecordRequest(now)
			requests++
			if sharedBudget.Spend(now) {
				spent = append(spent, now)
			}
		}
		perWindow := float64(requests) / 4
		allowed := sharedBudgetLimits.Ratio*perWindow + sharedBudgetLimits.Extra/float64(daemons)
		for i, first := range spent {
			count := 0
			for _, other := range spent[i:] {
				if other.Sub(first) < sharedBudgetLimits.Window {
					count++
				}
			}
			if float64(count) > allowed {
				t.Fatalf("%d daemons: %d retries in a window, want at most %.0f", daemons, count, allowed)
			}
		}
		if len(spent) == 0 {
			t.Errorf("%d daemons: no retry is allowed", daemons)
		}
	}
}

// TestSharedBudgetReturns guards against a budget that stays exhausted after its window.
func TestSharedBudgetReturns(t *testing.T) {
	sharedBudget, now := lwtretry.NewSharedBudget(sharedBudgetLimits), time.Unix(1000, 0)
	extra := int(sharedBudgetLimits.Extra)
	for range extra {
		sharedBudget.Spend(now)
	}
	if sharedBudget.Spend(now) {
		t.Errorf("more than %d retries without a request", extra)
	}
	if !sharedBudget.Spend(now.Add(12 * time.Second)) {
		t.Error("the budget is still exhausted after a window")
	}
}
