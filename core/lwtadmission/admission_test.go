package lwtadmission_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingtide/core/lwtadmission"
	"lacewingtide/core/lwtdeclaredstate"
)

const betweenTokens = 32 * time.Millisecond

func newAdmission() *lwtadmission.Controller {
	return lwtadmission.New(lwtadmission.Policy{
		MaxInterTokenLatency: betweenTokens,
		Objectives: map[lwtdeclaredstate.Class]lwtdeclaredstate.Objective{
			lwtdeclaredstate.ClassChat: {
				TimeToFirstToken: lwtdeclaredstate.Duration(600 * time.Millisecond), EndToEndLatency: lwtdeclaredstate.Duration(20 * time.Second),
			},
		},
	})
}

func drawSpan(t *rapid.T, name string, most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, name))
}

// TestDecideIsMonotonic guards against admitting a request that is estimated to
// fare worse than a rejected one, and against rejections without a retry time
// or with one beyond any use.
func TestDecideIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		admission := newAdmission()
		for range rapid.IntRange(0, 200).Draw(t, "results") {
			admission.WithResult(lwtdeclaredstate.ClassChat, rapid.Bool().Draw(t, "on time"))
		}
		estimate := lwtadmission.Estimate{
			TimeToFirstToken: drawSpan(t, "first", 2*time.Second), EndToEndLatency: drawSpan(t, "whole", 40*time.Second),
			InterTokenLatency: drawSpan(t, "between", 64*time.Millisecond), MemoryFull: rapid.Bool().Draw(t, "full"),
		}
		worse := estimate
		worse.TimeToFirstToken += drawSpan(t, "more first", time.Second)
		worse.EndToEndLatency += drawSpan(t, "more whole", time.Second)
		request := lwtadmission.Request{Class: lwtdeclaredstate.ClassChat}
		verdict, worseVerdict := admission.Decide(time.Time{}, request, estimate), admission.Decide(time.Time{}, request, worse)
		if verdict.Rejection != nil && worseVerdict.Rejection == nil {
			t.Fatalf("rejected %+v but admitted %+v", estimate, worse)
		}
		if rejection := verdict.Rejection; rejection != nil {
			if rejection.RetryAfter < 250*time.Millisecond || rejection.RetryAfter > time.Minute {
				t.Fatalf("retry after %s for %+v", rejection.RetryAfter, estimate)
			}
		}
	})
}

// TestLateAnswersTightenAdmission guards against a bias of the estimates that
// makes admitted answers late for ever.
func TestLateAnswersTightenAdmission(t *testing.T) {
	admission := newAdmission()
	request := lwtadmission.Request{Class: lwtdeclaredstate.ClassChat}
	near := lwtadmission.Estimate{TimeToFirstToken: 400 * time.Millisecond}
	if verdict := admission.Decide(time.Time{}, request, near); verdict.Rejection != nil {
		t.Fatalf("rejected at first: %v", verdict.Rejection)
	}
	for range 40 {
		admission.WithResult(lwtdeclaredstate.ClassChat, false)
	}
	if verdict := admission.Decide(time.Time{}, request, near); verdict.Rejection == nil {
		t.Error("admitted although 40 answers were late")
	}
	for range 5000 {
		admission.WithResult(lwtdeclaredstate.ClassChat, true)
	}
	if verdict := admission.Decide(time.Time{}, request, near); verdict.Rejection != nil {
		t.Errorf("rejected although answers are on time again: %v", verdict.Rejection)
	}
}

// TestUnknownClassIsAdmitted guards against rejecting work that has no deadline.
func TestUnknownClassIsAdmitted(t *testing.T) {
	verdict := newAdmission().Decide(time.Time{}, lwtadmission.Request{Class: lwtdeclaredstate.ClassPlan},
		lwtadmission.Estimate{TimeToFirstToken: time.Hour, EndToEndLatency: time.Hour, InterTokenLatency: time.Hour, MemoryFull: true})
	if verdict.Rejection != nil {
		t.Errorf("rejected: %v", verdict.Rejection)
	}
}

// TestLengthsLearnFromShortGuess guards against a class that is expected to be
// long before its first answer, is rejected for it and so never learned.
func TestLengthsLearnFromShortGuess(t *testing.T) {
	lengths := lwtadmission.NewLengthEstimator()
	if got := lengths.Expected(lwtdeclaredstate.ClassLookup, 4096); got > 64 {
		t.Errorf("expects %d tokens of an unknown class", got)
	}
	for range 500 {
		lengths.WithAnswer(lwtdeclaredstate.ClassLookup, 20).WithAnswer(lwtdeclaredstate.ClassPlan, 1000)
	}
	if got := lengths.Expected(lwtdeclaredstate.ClassLookup, 4096); got != 20 {
		t.Errorf("expects %d tokens, want 20", got)
	}
	if got := lengths.Expected(lwtdeclaredstate.ClassPlan, 100); got != 100 {
		t.Errorf("expects %d tokens, want the limit 100", got)
	}
	if got := lengths.LongestMean(); got != 1000 {
		t.Errorf("longest %d, want 1000", got)
	}
}

// TestCallersOwnDeadline guards against work that can't end by the caller's own
// deadline and is run all the same.
func TestCallersOwnDeadline(t *testing.T) {
	request := lwtadmission.Request{Class: lwtdeclaredstate.ClassPlan, Deadline: time.Second, Elapsed: 500 * time.Millisecond}
	verdict := newAdmission().Decide(time.Time{}, request, lwtadmission.Estimate{EndToEndLatency: 800 * time.Millisecond})
	if verdict.Rejection == nil || verdict.Rejection.RetryAfter != 300*time.Millisecond {
		t.Errorf("verdict %+v, want a rejection with 300ms to wait", verdict.Rejection)
	}
	verdict = newAdmission().Decide(time.Time{}, request, lwtadmission.Estimate{EndToEndLatency: 400 * time.Millisecond})
	if verdict.Rejection != nil {
		t.Errorf("rejected: %v", verdict.Rejection)
	}
}
