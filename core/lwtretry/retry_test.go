package lwtretry_test

import (
	"testing"
	"time"

	"lacewingtide/core/lwtretry"
)

var start = time.Unix(1_000_000, 0)

// TestOnlyCertainAttemptsAreRepeated guards against retrying a request that is not idempotent
// and may have run.
func TestOnlyCertainAttemptsAreRepeated(t *testing.T) {
	cases := []struct {
		name    string
		attempt lwtretry.Attempt
		want    bool
	}{
		{"not sent", lwtretry.Attempt{Outcome: lwtretry.NotSent, Number: 1}, true},
		{"rejected", lwtretry.Attempt{Outcome: lwtretry.Rejected, Number: 1}, true},
		{"unknown", lwtretry.Attempt{Outcome: lwtretry.Unknown, Number: 1}, false},
		{"unknown idempotent", lwtretry.Attempt{Outcome: lwtretry.Unknown, Idempotent: true, Number: 1}, true},
		{"done", lwtretry.Attempt{Outcome: lwtretry.Done, Idempotent: true, Number: 1}, false},
		{"too many", lwtretry.Attempt{Outcome: lwtretry.NotSent, Number: lwtretry.MaxAttempts}, false},
		{"late", lwtretry.Attempt{Outcome: lwtretry.NotSent, Number: 1, Deadline: start}, false},
	}
	for _, test := range cases {
		if test.attempt.Deadline.IsZero() {
			test.attempt.Deadline = start.Add(time.Second)
		}
		if _, got := lwtretry.ShouldRetry(start, test.attempt, lwtretry.NewBudget()); got != test.want {
			t.Errorf("%s: retry %v, want %v", test.name, got, test.want)
		}
	}
}

// TestWholeOutcomeForgetsNoRun guards against reporting "not-run" for a request that an earlier
// attempt may have run.
func TestWholeOutcomeForgetsNoRun(t *testing.T) {
	for _, first := range []lwtretry.Outcome{lwtretry.NotSent, lwtretry.Rejected, lwtretry.Unknown, lwtretry.Done} {
		for _, second := range []lwtretry.Outcome{lwtretry.NotSent, lwtretry.Rejected, lwtretry.Unknown, lwtretry.Done} {
			combined := first.Combine(second)
			if combined.MayHaveRun() != (first.MayHaveRun() || second.MayHaveRun()) || combined != second.Combine(first) {
				t.Errorf("outcomes %v and %v combine to %v", first, second, combined)
			}
		}
	}
}

// TestBudgetBoundsRetries guards against retries that multiply the load on a failing backend
// server.
func TestBudgetBoundsRetries(t *testing.T) {
	const requests = 10_000
	budget, retries := lwtretry.NewBudget(), 0
	initial := budget.Left()
	for range requests {
		budget = budget.WithRequest()
		for more := true; more; {
			if budget, more = budget.Spend(); more {
				retries++
			}
		}
	}
	if maxRetries := initial + requests/10; retries > maxRetries {
		t.Errorf("%d retries of %d requests, want at most %d", retries, requests, maxRetries)
	}
}

// TestBreakerEjectsAndProbes guards against sending requests to a failing server, and against a
// server that receives none after it has recovered.
func TestBreakerEjectsAndProbes(t *testing.T) {
	var breaker lwtretry.Breaker
	now := start
	for range 5 {
		breaker = breaker.WithAttempt(now).WithResult(now, true, 0)
	}
	if breaker.Allows(now) {
		t.Fatal("the server receives requests after 5 failures")
	}
	now = now.Add(time.Second)
	if !breaker.Allows(now) {
		t.Fatal("the server receives no probe after the probe interval")
	}
	probing := breaker.WithAttempt(now)
	if probing.Allows(now) {
		t.Error("two probes run at once")
	}
	if afterTimeout := now.Add(10 * time.Second); !probing.Allows(afterTimeout) {
		t.Error("a probe without a result blocks the server for ever")
	}
	if failed := probing.WithResult(now, true, 0.5); failed.Allows(now.Add(300 * time.Millisecond)) {
		t.Error("the probe interval does not grow after a failed probe")
	}
	if !probing.WithResult(now, false, 0).Allows(now) {
		t.Error("the server receives no requests after a successful probe")
	}
}

// TestBreakerEjectsOutliers guards against not ejecting a server that fails every other request
// and so never fails several times in a row.
func TestBreakerEjectsOutliers(t *testing.T) {
	var breaker lwtretry.Breaker
	for i := 0; i < 30 && !breaker.Open(); i++ {
		breaker = breaker.WithAttempt(start).WithResult(start, i%2 == 0, 0)
	}
	if !breaker.Open() {
		t.Error("a server that failed half of its requests is not ejected")
	}
}

// TestOrderOfBackendServers guards against sending requests to draining servers, and against
// ejecting all servers of a service when all of them fail.
func TestOrderOfBackendServers(t *testing.T) {
	var open lwtretry.Breaker
	for range 5 {
		open = open.WithResult(start, true, 0)
	}
	got := lwtretry.Rank(start, []lwtretry.Candidate{
		{Address: "far"},
		{Address: "near", SameZone: true},
		{Address: "draining", SameZone: true, Draining: true},
		{Address: "busy", SameZone: true, InFlight: 3},
		{Address: "broken", SameZone: true, Breaker: open},
	}, 0)
	if want := []string{"near", "busy", "far"}; len(got) != 3 || got[0] != want[0] || got[1] != want[1] ||
		got[2] != want[2] {
		t.Errorf("got %v, want %v", got, want)
	}
	all := []lwtretry.Candidate{{Address: "a", Breaker: open}, {Address: "b", Breaker: open}}
	if got := lwtretry.Rank(start, all, 0); len(got) != 1 {
		t.Errorf("%d of 2 servers with open breakers receive requests, want 1", len(got))
	}
}

// TestHedgeFollowsTheTail guards against hedging lookups of ordinary latency and requests that
// are not idempotent.
func TestHedgeFollowsTheTail(t *testing.T) {
	hedge := lwtretry.NewHedge()
	hedged := 0
	for i := range 20_000 {
		took := 20 * time.Millisecond
		if i%50 == 0 {
			took = time.Second
		}
		hedge = hedge.WithSample(took)
		if i > 10_000 && took > hedge.Delay() {
			hedged++
		}
	}
	if hedge.Delay() > 60*time.Millisecond || hedged > 1000 {
		t.Errorf("delay %v, %d of 10,000 lookups hedged, want at most 60ms and 1000", hedge.Delay(), hedged)
	}
	if _, hedges := hedge.ShouldHedge(time.Minute, false, lwtretry.NewBudget()); hedges {
		t.Error("a request that is not idempotent is hedged")
	}
}
