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
			Repeat:   rapid.SampledFrom([]lwtroutetable.Repeat{lwtroutetable.Never, lwtroutetable.Always, lwtroutetable.Resume}).Draw(t, "repeat"),
			Attempts: rapid.IntRange(1, 3).Draw(t, "attempts"), Timeout: 2 * time.Second,
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
					lwtrequestflow.Placed{}, lwtrequestflow.Placed{Prefill: true}, lwtrequestflow.NoRoom{RetryAfter: time.Second},
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
				if maybeRan && route.Repeat == lwtroutetable.Never {
					t.Fatal("a request that may have run is sent again")
				}
				message = rapid.SampledFrom([]any{
					lwtrequestflow.Answered{Status: 200},
					lwtrequestflow.Answered{Status: 500},
					lwtrequestflow.Answered{Status: 503, NotRun: true},
					lwtrequestflow.Failed{Outcome: lwtretry.Unknown},
					lwtrequestflow.Failed{Outcome: lwtretry.NotSent},
					lwtrequestflow.TimedOut{},
					lwtrequestflow.CallerGone{},
				}).Draw(t, "run")
				switch message := message.(type) {
				case lwtrequestflow.Answered:
					maybeRan = maybeRan || !message.NotRun
				case lwtrequestflow.Failed:
					maybeRan = maybeRan || message.Outcome.Ran()
				case lwtrequestflow.TimedOut:
					maybeRan = true
				}
				if failed, ok := message.(lwtrequestflow.Failed); !ok || failed.Outcome != lwtretry.NotSent {
					runs++
				}
			case lwtrequestflow.Deliver:
				message = rapid.SampledFrom([]any{
					lwtrequestflow.Delivered{},
					lwtrequestflow.Failed{Outcome: lwtretry.Unknown, Begun: true, LastEvent: "3"},
					lwtrequestflow.Failed{Outcome: lwtretry.Unknown, Begun: begun},
					lwtrequestflow.TimedOut{Begun: begun},
				}).Draw(t, "deliver")
				if failed, ok := message.(lwtrequestflow.Failed); ok {
					begun = begun || failed.Begun
				}
			default:
				if step == lwtrequestflow.Refuse && maybeRan {
					t.Fatal("a request that may have run is refused as not run")
				}
				if begun && step != lwtrequestflow.Cut && step != lwtrequestflow.Stop {
					t.Fatal("an answer that has begun is followed by another")
				}
				// A server that refuses a handle may be sent the request once more.
				if runs > 2*route.Attempts {
					t.Fatalf("%d sends with %d attempts", runs, route.Attempts)
				}
				return
			}
			course, step = course.Update(now, step, message)
		}
	})
}
