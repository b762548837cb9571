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

// fakeParts are the parts of a server that a call to a service meets.
type fakeParts struct {
	refuse  bool
	outcome string
	results []string
}

func (parts *fakeParts) Acquire(time.Time, lwtdeclaredstate.Caller) (func(), error) {
	if parts.refuse {
		return nil, &lwtadmission.Rejection{Reason: "rate", RetryAfter: time.Second}
	}
	return func() {}, nil
}

func (parts *fakeParts) Forward(ctx *fasthttp.RequestCtx, _ string, _ lwtdeclaredstate.Caller, _ lwtdeclaredstate.Service, _ string) {
	if parts.outcome != "" {
		ctx.Response.Header.Set(HeaderOutcome, parts.outcome)
	}
}

func (parts *fakeParts) Observe(_ time.Time, result RequestResult) {
	parts.results = append(parts.results, string(result.Class)+" "+result.Outcome)
}

// TestServiceCallsAreObserved guards against a burn report that leaves out
// orders and lookups.
func TestServiceCallsAreObserved(t *testing.T) {
	state := lwtdeclaredstate.New().WithChange(lwtdeclaredstate.Change{Revision: 1, Services: []lwtdeclaredstate.Service{{
		Name: "shop", IdempotentCalls: []lwtdeclaredstate.CallPattern{{Method: "GET", PathPrefix: "/stock"}},
	}}})
	caller := lwtdeclaredstate.Caller{Name: "c1", Services: []string{"shop"}}
	parts := &fakeParts{}
	server := New(Dependencies{Limiter: parts, Forwarder: parts, Observer: parts, Logger: log.NewNopLogger()})
	call := func(method, rest string) {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.Header.SetMethod(method)
		server.handleService(ctx, state, caller, rest)
	}
	call("GET", "shop/stock")
	call("POST", "shop/orders")
	parts.outcome = OutcomeUnknown
	call("POST", "shop/orders")
	parts.outcome, parts.refuse = "", true
	call("GET", "shop/stock")
	call("GET", "other/stock")
	want := []string{"lookup done", "order done", "order unknown", "lookup not-run"}
	if !slices.Equal(parts.results, want) {
		t.Errorf("observed %q, want %q", parts.results, want)
	}
}

// TestOrderCompletionWithKeyIsRefused guards against a caller that relies on a
// key to run a completion once, although completions are not claimed.
func TestOrderCompletionWithKeyIsRefused(t *testing.T) {
	state := lwtdeclaredstate.New().WithChange(lwtdeclaredstate.Change{Revision: 1, Models: []lwtdeclaredstate.Model{{Name: "m", Version: "1"}}})
	server := New(Dependencies{Logger: log.NewNopLogger()})
	for class, refused := range map[string]bool{"order": true, "chat": false} {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.Header.SetMethod("POST")
		ctx.Request.Header.Set("Idempotency-Key", "k1")
		ctx.Request.Header.Set("Lacewingtide-Class", class)
		ctx.Request.SetBodyString(`{"model":"m","messages":[{"role":"user","content":"two prisms"}]}`)
		_, failure := server.newCompletion(ctx, state, lwtdeclaredstate.Caller{Models: []string{"m"}}, "id")
		if (failure != nil) != refused || refused && (failure.Outcome != OutcomeNotRun || failure.Param != "Idempotency-Key") {
			t.Errorf("class %s: %+v", class, failure)
		}
	}
}

// TestDeadlineHeader guards against a caller's deadline that is ignored or
// misread.
func TestDeadlineHeader(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "800ms": 800 * time.Millisecond, "0s": -1, "-1s": -1, "soon": -1} {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.Header.Set("Lacewingtide-Deadline", text)
		deadline, failure := requestDeadline(ctx)
		if failure != nil {
			deadline = -1
		}
		if deadline != want {
			t.Errorf("header %q: %s, want %s", text, deadline, want)
		}
	}
}

// TestRerunKeepsTheSeed guards against a request that runs anew under another
// name with another seed, and so answers differently in the middle.
func TestRerunKeepsTheSeed(t *testing.T) {
	raw := []byte(`{"model":"m"}`)
	again := rerunName(rerunName("d1-1", "d2-1"), "d3-1")
	if got, want := withSeed(raw, completionBody{}, again), withSeed(raw, completionBody{}, "d1-1"); !slices.Equal(got, want) {
		t.Errorf("rerun sends %s, first run %s", got, want)
	}
	if again == "d1-1" || again == rerunName("d1-1", "d2-1") {
		t.Errorf("the rerun has the name of an earlier run: %s", again)
	}
}
