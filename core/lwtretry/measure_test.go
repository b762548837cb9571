package lwtretry_test

import (
	"testing"
	"time"

	"lacewingtide/core/lwtretry"
)

// BenchmarkAttempt measures the decisions of one attempt: order of three
// backend servers, breaker, budget and retry.
func BenchmarkAttempt(b *testing.B) {
	var breaker lwtretry.Breaker
	budget := lwtretry.NewBudget()
	servers := []lwtretry.Server{{Address: "a", Near: true}, {Address: "b", Near: true}, {Address: "c"}}
	attempt := lwtretry.Attempt{Outcome: lwtretry.Refused, Number: 1, Deadline: start.Add(time.Second)}
	for i := 0; b.Loop(); i++ {
		servers[0].Breaker = breaker
		lwtretry.Order(start, servers, i)
		breaker = breaker.WithAttempt(start).WithResult(start, false, 0)
		budget, _ = lwtretry.Decide(start, attempt, budget.WithRequest())
	}
}
