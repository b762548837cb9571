package lwtretry_test

import (
	"testing"
	"time"

	"lacewingtide/core/lwtretry"
)

var terms = lwtretry.SharedBudgetLimits{Ratio: 0.2, Extra: 40, Window: 10 * time.Second}

// TestSharedBudget guards against daemons that together send more again than the
// platform allows in any window.
func TestSharedBudget(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, daemons := range []int{1, 4} {
		shared := lwtretry.NewSharedBudget(terms)
		shared.SetDaemonCount(daemons)
		var taken []time.Time
		requests := 0
		for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(20 * time.Millisecond) {
			shared.RecordRequest(now)
			requests++
			if shared.Spend(now) {
				taken = append(taken, now)
			}
		}
		perWindow := float64(requests) / 4
		allowed := terms.Ratio*perWindow + terms.Extra/float64(daemons)
		for i, first := range taken {
			count := 0
			for _, other := range taken[i:] {
				if other.Sub(first) < terms.Window {
					count++
				}
			}
			if float64(count) > allowed {
				t.Fatalf("%d daemons: %d repeats in a window, allowed %.0f", daemons, count, allowed)
			}
		}
		if len(taken) == 0 {
			t.Errorf("%d daemons: no repeat is allowed", daemons)
		}
	}
}

// TestSharedBudgetReturns guards against a budget that stays spent.
func TestSharedBudgetReturns(t *testing.T) {
	shared, now := lwtretry.NewSharedBudget(terms), time.Unix(1000, 0)
	most := int(terms.Extra)
	for range most {
		shared.Spend(now)
	}
	if shared.Spend(now) {
		t.Errorf("more than %d repeats without a request", most)
	}
	if !shared.Spend(now.Add(12 * time.Second)) {
		t.Error("the budget does not return after a window")
	}
}
