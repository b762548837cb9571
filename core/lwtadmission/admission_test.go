package lwtadmission_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingtide/core/lwtadmission"
	"lacewingtide/core/lwtdeclaredstate"
)

const maxInterTokenLatency = 32 * time.Millisecond

func newController() *lwtadmission.Controller {
	return lwtadmission.New(lwtadmission.Policy{
		MaxInterTokenLatency: maxInterTokenLatency,
		Objectives: map[lwtdeclaredstate.Class]lwtdeclaredstate.Objective{
			lwtdeclaredstate.ClassChat: {
				TimeToFirstToken: lwtdeclaredstate.Duration(600 * time.Millisecond),
				EndToEndLatency:  lwtdeclaredstate.Duration(20 * time.Second),
			},
		},
	})
}

func drawDuration(t *rapid.T, name string, maximum time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(maximum)).Draw(t, name))
}

// TestDecideIsMonotonic guards against admitting a request whose estimates are
// worse than those of a rejected one, and against a RetryAfter that is too short
// or too long.
func TestDecideIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller := newController()
		for range rapid.IntRange(0, 200).Draw(t, "results") {
			controller.WithResult(lwtdeclaredstate.ClassChat, rapid.Bool().Draw(t, "on time"))
		}
		estimate := lwtadmission.Estimate{
			TimeToFirstToken: drawDuration(t, "first", 2*time.Second), EndToEndLatency: drawDuration(t, "whole", 40*time.Second),
			InterTokenLatency: drawDuration(t, "between", 64*time.Millisecond), MemoryFull: rapid.Bool().Draw(t, "full"),
		}
		worse := estimate
		worse.TimeToFirstToken += drawDuration(t, "more first", time.Second)
		worse.EndToEndLatency += drawDuration(t, "more whole", time.Second)
		request := lwtadmission.Request{Class: lwtdeclaredstate.ClassChat}
		decision, worseDecision := controller.Decide(time.Time{}, request, estimate),
			controller.Decide(time.Time{}, request, worse)
		if decision.Rejection != nil && worseDecision.Rejection == nil {
			t.Fatalf("rejected %+v but admitted %+v", estimate, worse)
		}
		if rejection := decision.Rejection; rejection != nil {
			if rejection.RetryAfter < 250*time.Millisecond || rejection.RetryAfter > time.Minute {
				t.Fatalf("retry after %s for %+v", rejection.RetryAfter, estimate)
			}
		}
	})
}

// TestLateAnswersTightenAdmission guards against admitted requests that keep missing
// their deadlines because the estimates are too low.
func TestLateAnswersTightenAdmission(t *testing.T) {
	controller := newController()
	request := lwtadmission.Request{Class: lwtdeclaredstate.ClassChat}
	estimate := lwtadmission.Estimate{TimeToFirstToken: 400 * time.Millisecond}
	if decision := controller.Decide(time.Time{}, request, estimate); decision.Rejection != nil {
		t.Fatalf("rejected at first: %v", decision.Rejection)
	}
	for range 40 {
		controller.WithResult(lwtdeclaredstate.ClassChat, false)
	}
	if decision := controller.Decide(time.Time{}, request, estimate); decision.Rejection == nil {
		t.Error("admitted although 40 answers were late")
	}
	for range 5000 {
		controller.WithResult(lwtdeclaredstate.ClassChat, true)
	}
	if decision := controller.Decide(time.Time{}, request, estimate); decision.Rejection != nil {
		t.Errorf("rejected although answers are on time again: %v", decision.Rejection)
	}
}

// TestUnknownClassIsAdmitted guards against rejecting requests without a deadline.
func TestUnknownClassIsAdmitted(t *testing.T) {
	decision := newController().Decide(time.Time{}, lwtadmission.Request{Class: lwtdeclaredstate.ClassPlan},
		lwtadmission.Estimate{
			TimeToFirstToken: time.Hour, EndToEndLatency: time.Hour, InterTokenLatency: time.Hour, MemoryFull: true,
		})
	if decision.Rejection != nil {
		t.Errorf("rejected: %v", decision.Rejection)
	}
}

// TestLengthsLearnFromShortGuess guards against an initial length so long that the
// class is always rejected and its real length never learned.
func TestLengthsLearnFromShortGuess(t *testing.T) {
	estimator := lwtadmission.NewLengthEstimator()
	if got := estimator.Expected(lwtdeclaredstate.ClassLookup, 4096); got > 64 {
		t.Errorf("expected length of a class without answers is %d tokens, want at most 64", got)
	}
	for range 500 {
		estimator.WithAnswer(lwtdeclaredstate.ClassLookup, 20).WithAnswer(lwtdeclaredstate.ClassPlan, 1000)
	}
	if got := estimator.Expected(lwtdeclaredstate.ClassLookup, 4096); got != 20 {
		t.Errorf("expects %d tokens, want 20", got)
	}
	if got := estimator.Expected(lwtdeclaredstate.ClassPlan, 100); got != 100 {
		t.Errorf("expects %d tokens, want the limit 100", got)
	}
	if got := estimator.LongestMean(); got != 1000 {
		t.Errorf("longest %d, want 1000", got)
	}
}

// TestCallersOwnDeadline guards against running a request that can't finish by the
// caller's own deadline.
func TestCallersOwnDeadline(t *testing.T) {
	request := lwtadmission.Request{
		Class: lwtdeclaredstate.ClassPlan, Deadline: time.Second, Elapsed: 500 * time.Millisecond,
	}
	decision := newController().Decide(time.Time{}, request, lwtadmission.Estimate{
		EndToEndLatency: 800 * time.Millisecond,
	})
	if decision.Rejection == nil || decision.Rejection.RetryAfter != 300*time.Millisecond {
		t.Errorf("decision %+v, want a rejection with RetryAfter 300ms", decision.Rejection)
	}
	decision = newController().Decide(time.Time{}, request, lwtadmission.Estimate{EndToEndLatency: 400 * time.Millisecond})
	if decision.Rejection != nil {
		t.Errorf("rejected: %v", decision.Rejection)
	}
}
