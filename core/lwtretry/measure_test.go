package lwtretry_test

import (
	"testing"
	"time"

	"lacewingtide/core/lwtretry"
)

// BenchmarkAttempt measures the decisions of one attempt: ranking three backend servers,
// breaker, budget and retry.
func BenchmarkAttempt(b *testing.B) {
	var breaker lwtretry.Breaker
	budget := lwtretry.NewBudget()
	servers := []lwtretry.Candidate{{Address: "a", SameZone: true}, {Address: "b", SameZone: true}, {Address: "c"}}
	attempt := lwtretry.Attempt{Outcome: lwtretry.Rejected, Number: 1, Deadline: start.Add(time.Second)}
	for i := 0; b.Loop(); i++ {
		servers[0].Breaker = breaker
		lwtretry.Rank(start, servers, i)
		breaker = breaker.WithAttempt(start).WithResult(start, false, 0)
		budget, _ = lwtretry.ShouldRetry(start, attempt, budget.WithRequest())
	}
}
