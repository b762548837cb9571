package lwtrequestflow_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingtide/core/lwtrequestflow"
	"lacewingtide/core/lwtretry"
	"lacewingtide/core/lwtroutetable"
)

// TestAnyOrderOfEvents guards against orders of events that no script names: a
// request that must not run twice is sent again after its outcome became
// unknown, a request that may have run is refused as not run, more servers get
// it than its route allows, or its course never ends.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := lwtroutetable.Route{
			RetryPolicy: rapid.SampledFrom([]lwtroutetable.RetryPolicy{lwtroutetable.RetryIfNotRun, lwtroutetable.RetryAlways, lwtroutetable.RetryResume}).Draw(t, "repeat"),
			MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"), Timeout: 2 * time.Second,
		}
		now := time.Unix(1000, 0)
		course := lwtrequestflow.New(now, route, lwtroutetable.Request{}, &repeats{left: rapid.IntRange(0, 5).Draw(t, "budget")})
		course, step := course.Start(now)
		maybeRan, begun, runs := false, false, 0
		for steps := 0; ; steps++ {
			if steps > 50 {
				t.Fatal("the course does not end")
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "passed")) * time.Millisecond)
			var message any
			switch step {
			case lwtrequestflow.Place:
				message = rapid.SampledFrom([]any{
					lwtrequestflow.Placed{}, lwtrequestflow.Placed{SeparatePrefill: true}, lwtrequestflow.NotPlaced{RetryAfter: time.Second},
				}).Draw(t, "placed")
			case lwtrequestflow.Prefill:
				message = rapid.SampledFrom([]any{
					lwtrequestflow.Prefilled{},
					lwtrequestflow.Failed{Outcome: lwtretry.Unknown},
					lwtrequestflow.Failed{Outcome: lwtretry.NotSent},
					lwtrequestflow.TimedOut{},
					lwtrequestflow.CallerGone{},
				}).Draw(t, "prefill")
			case lwtrequestflow.Run:
				if maybeRan && route.RetryPolicy == lwtroutetable.RetryIfNotRun {
					t.Fatal("a request that may have run is sent again")
				}
				message = rapid.SampledFrom([]any{
					lwtrequestflow.ResponseStarted{Status: 200},
					lwtrequestflow.ResponseStarted{Status: 500},
					lwtrequestflow.ResponseStarted{Status: 503, NotRun: true},
					lwtrequestflow.Failed{Outcome: lwtretry.Unknown},
					lwtrequestflow.Failed{Outcome: lwtretry.NotSent},
					lwtrequestflow.TimedOut{},
					lwtrequestflow.CallerGone{},
				}).Draw(t, "run")
				switch message := message.(type) {
				case lwtrequestflow.ResponseStarted:
					maybeRan = maybeRan || !message.NotRun
				case lwtrequestflow.Failed:
					maybeRan = maybeRan || message.Outcome.MayHaveRun()
				case lwtrequestflow.TimedOut:
					maybeRan = true
				}
				if failed, ok := message.(lwtrequestflow.Failed); !ok || failed.Outcome != lwtretry.NotSent {
					runs++
				}
			case lwtrequestflow.Deliver:
				message = rapid.SampledFrom([]any{
					lwtrequestflow.Delivered{},
					lwtrequestflow.Failed{Outcome: lwtretry.Unknown, PartiallyDelivered: true, LastEventID: "3"},
					lwtrequestflow.Failed{Outcome: lwtretry.Unknown, PartiallyDelivered: begun},
					lwtrequestflow.TimedOut{PartiallyDelivered: begun},
				}).Draw(t, "deliver")
				if failed, ok := message.(lwtrequestflow.Failed); ok {
					begun = begun || failed.PartiallyDelivered
				}
			default:
				if step == lwtrequestflow.Reject && maybeRan {
					t.Fatal("a request that may have run is refused as not run")
				}
				if begun && step != lwtrequestflow.Abort && step != lwtrequestflow.Stop {
					t.Fatal("an answer that has begun is followed by another")
				}
				// A server that refuses a handle may be sent the request once more.
				if runs > 2*route.MaxAttempts {
					t.Fatalf("%d sends with %d attempts", runs, route.MaxAttempts)
				}
				return
			}
			course, step = course.Update(now, step, message)
		}
	})
}
