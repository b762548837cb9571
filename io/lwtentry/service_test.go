package lwtentry

import (
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"lacewingtide/core/lwtadmission"
	"lacewingtide/core/lwtstate"
)

// fakeParts are the parts of a server that a call to a service meets.
type fakeParts struct {
	refuse  bool
	outcome string
	results []string
}

func (parts *fakeParts) Take(time.Time, lwtstate.Caller) (func(), error) {
	if parts.refuse {
		return nil, &lwtadmission.Rejection{Reason: "rate", RetryAfter: time.Second}
	}
	return func() {}, nil
}

func (parts *fakeParts) Forward(ctx *fasthttp.RequestCtx, _ string, _ lwtstate.Caller, _ lwtstate.Service, _ string) {
	if parts.outcome != "" {
		ctx.Response.Header.Set(HeaderOutcome, parts.outcome)
	}
}

func (parts *fakeParts) Observe(_ time.Time, result Result) {
	parts.results = append(parts.results, string(result.Class)+" "+result.Outcome)
}

// TestServiceCallsAreObserved guards against a burn report that leaves out
// orders and lookups.
func TestServiceCallsAreObserved(t *testing.T) {
	state := lwtstate.New().WithChange(lwtstate.Change{Number: 1, Services: []lwtstate.Service{{
		Name: "shop", Idempotent: []lwtstate.Call{{Method: "GET", PathPrefix: "/stock"}},
	}}})
	caller := lwtstate.Caller{Name: "c1", Services: []string{"shop"}}
	parts := &fakeParts{}
	server := New(Dependencies{Limiter: parts, Services: parts, Observer: parts, Logger: log.NewNopLogger()})
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
	state := lwtstate.New().WithChange(lwtstate.Change{Number: 1, Models: []lwtstate.Model{{Name: "m", Version: "1"}}})
	server := New(Dependencies{Logger: log.NewNopLogger()})
	for class, refused := range map[string]bool{"order": true, "chat": false} {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.Header.SetMethod("POST")
		ctx.Request.Header.Set("Idempotency-Key", "k1")
		ctx.Request.Header.Set("Lacewingtide-Class", class)
		ctx.Request.SetBodyString(`{"model":"m","messages":[{"role":"user","content":"two prisms"}]}`)
		_, failure := server.newCompletion(ctx, state, lwtstate.Caller{Models: []string{"m"}}, "id")
		if (failure != nil) != refused || refused && (failure.Outcome != OutcomeNotRun || failure.Param != "Idempotency-Key") {
			t.Errorf("class %s: %+v", class, failure)
		}
	}
}
