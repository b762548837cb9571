package lwtentry

import (
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtadmission"
	"lacewingtide/core/lwtdeclaredstate"
)

// fakeDependencies implements the dependencies that a service call uses.
type fakeDependencies struct {
	reject  bool
	outcome string
	results []string
}

func (dependencies *fakeDependencies) Acquire(time.Time, lwtdeclaredstate.Caller) (func(), error) {
	if dependencies.reject {
		return nil, &lwtadmission.Rejection{Reason: "rate", RetryAfter: time.Second}
	}
	return func() {}, nil
}

func (dependencies *fakeDependencies) Forward(
	ctx *fasthttp.RequestCtx, _ string, _ lwtdeclaredstate.Caller, _ lwtdeclaredstate.Service, _ string,
) {
	if dependencies.outcome != "" {
		ctx.Response.Header.Set(HeaderOutcome, dependencies.outcome)
	}
}

func (dependencies *fakeDependencies) Observe(_ time.Time, result RequestResult) {
	dependencies.results = append(dependencies.results, string(result.Class)+" "+result.Outcome)
}

// TestServiceCallsAreObserved guards against a burn report that omits orders and lookups
// because service calls are not passed to the observer.
func TestServiceCallsAreObserved(t *testing.T) {
	state := lwtdeclaredstate.New().WithChange(lwtdeclaredstate.Change{Revision: 1, Services: []lwtdeclaredstate.Service{{
		Name: "shop", IdempotentCalls: []lwtdeclaredstate.CallPattern{{Method: "GET", PathPrefix: "/stock"}},
	}}})
	caller := lwtdeclaredstate.Caller{Name: "c1", Services: []string{"shop"}}
	dependencies := &fakeDependencies{}
	server := New(Dependencies{
		Limiter: dependencies, Forwarder: dependencies, Observer: dependencies, Logger: log.NewNopLogger(),
	})
	call := func(method, rest string) {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.Header.SetMethod(method)
		server.handleService(ctx, state, caller, rest)
	}
	call("GET", "shop/stock")
	call("POST", "shop/orders")
	dependencies.outcome = OutcomeUnknown
	call("POST", "shop/orders")
	dependencies.outcome, dependencies.reject = "", true
	call("GET", "shop/stock")
	call("GET", "other/stock")
	want := []string{"lookup done", "order done", "order unknown", "lookup not-run"}
	if !slices.Equal(dependencies.results, want) {
		t.Errorf("observed %q, want %q", dependencies.results, want)
	}
}

// TestOrderCompletionWithKeyIsRefused guards against accepting an idempotency key for a
// completion of class order. Completions are not claimed by key, so the key would not
// prevent a second run.
func TestOrderCompletionWithKeyIsRefused(t *testing.T) {
	state := lwtdeclaredstate.New().WithChange(lwtdeclaredstate.Change{
		Revision: 1, Models: []lwtdeclaredstate.Model{{Name: "m", Version: "1"}},
	})
	server := New(Dependencies{Logger: log.NewNopLogger()})
	for class, rejected := range map[string]bool{"order": true, "chat": false} {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.Header.SetMethod("POST")
		ctx.Request.Header.Set("Idempotency-Key", "k1")
		ctx.Request.Header.Set("Lacewingtide-Class", class)
		ctx.Request.SetBodyString(`{"model":"m","messages":[{"role":"user","content":"two prisms"}]}`)
		_, failure := server.newCompletion(ctx, state, lwtdeclaredstate.Caller{Models: []string{"m"}}, "id")
		if (failure != nil) != rejected ||
			rejected && (failure.Outcome != OutcomeNotRun || failure.Param != "Idempotency-Key") {
			t.Errorf("class %s with an Idempotency-Key: error %+v, want one for class order only", class, failure)
		}
	}
}

// TestDeadlineHeader guards against a Lacewingtide-Deadline header that is ignored or
// misparsed.
func TestDeadlineHeader(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "800ms": 800 * time.Millisecond, "0s": -1, "-1s": -1, "soon": -1,
	} {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.Header.Set("Lacewingtide-Deadline", text)
		deadline, failure := requestDeadline(ctx)
		if failure != nil {
			deadline = -1
		}
		if deadline != want {
			t.Errorf("header %q: deadline %s, want %s", text, deadline, want)
		}
	}
}

// TestRerunKeepsTheSeed guards against a rerun that uses another seed than the first attempt
// because its ID is different. Its tokens would differ from those that the caller already has.
func TestRerunKeepsTheSeed(t *testing.T) {
	raw := []byte(`{"model":"m"}`)
	rerun := rerunID(rerunID("d1-1", "d2-1"), "d3-1")
	if got, want := withSeed(raw, completionBody{}, rerun),
		withSeed(raw, completionBody{}, "d1-1"); !slices.Equal(got, want) {
		t.Errorf("the rerun sends %s, the first run %s", got, want)
	}
	if rerun == "d1-1" || rerun == rerunID("d1-1", "d2-1") {
		t.Errorf("the rerun has the ID of an earlier run: %s", rerun)
	}
}
