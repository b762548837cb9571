package lwtrequestflow_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingtide/core/lwtrequestflow"
	"lacewingtide/core/lwtretry"
	"lacewingtide/core/lwtroutetable"
)

// TestAnyOrderOfEvents checks random sequences of events, which the scripts do not cover. It
// guards against a request that must not run twice being sent again after an unknown outcome,
// a request that may have run being reported as not run, by the daemon or by a server, more attempts than the route allows,
// and a flow that never ends.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := lwtroutetable.Route{
			RetryPolicy: rapid.SampledFrom([]lwtroutetable.RetryPolicy{
				lwtroutetable.RetryIfNotRun, lwtroutetable.RetryAlways, lwtroutetable.RetryResume,
			}).Draw(t, "policy"),
			MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"), Timeout: 2 * time.Second,
		}
		now := time.Unix(1000, 0)
		flow := lwtrequestflow.New(now, route, lwtroutetable.Request{}, &retryBudget{
			remaining: rapid.IntRange(0, 5).Draw(t, "budget"),
		})
		flow, step := flow.Start(now)
		mayHaveRun, partiallyDelivered, sends := false, false, 0
		for steps := 0; ; steps++ {
			if steps > 50 {
				t.Fatal("the flow has not ended after 50 steps")
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "passed")) * time.Millisecond)
			var message any
			switch step {
			case lwtrequestflow.Place:
				message = rapid.SampledFrom([]any{
					lwtrequestflow.Placed{},
					lwtrequestflow.Placed{SeparatePrefill: true},
					lwtrequestflow.NotPlaced{RetryAfter: time.Second},
				}).Draw(t, "placed")
			case lwtrequestflow.Prefill:
				message = rapid.SampledFrom([]any{
					lwtrequestflow.Prefilled{},
					lwtrequestflow.Failed{Outcome: lwtretry.Unknown},
					lwtrequestflow.Failed{Outcome: lwtretry.NotSent},
					lwtrequestflow.TimedOut{},
					lwtrequestflow.CallerDisconnected{},
				}).Draw(t, "prefill")
			case lwtrequestflow.Send:
				if mayHaveRun && route.RetryPolicy == lwtroutetable.RetryIfNotRun {
					t.Fatal("a request that may have run is sent again")
				}
				message = rapid.SampledFrom([]any{
					lwtrequestflow.ResponseStarted{Status: 200},
					lwtrequestflow.ResponseStarted{Status: 500},
					lwtrequestflow.ResponseStarted{Status: 503, PromisesNotRun: true},
					lwtrequestflow.ResponseStarted{Status: 503, NotRun: true, PromisesNotRun: true},
					lwtrequestflow.Failed{Outcome: lwtretry.Unknown},
					lwtrequestflow.Failed{Outcome: lwtretry.NotSent},
					lwtrequestflow.TimedOut{},
					lwtrequestflow.CallerDisconnected{},
				}).Draw(t, "run")
				switch message := message.(type) {
				case lwtrequestflow.ResponseStarted:
					mayHaveRun = mayHaveRun || !message.NotRun
				case lwtrequestflow.Failed:
					mayHaveRun = mayHaveRun || message.Outcome.MayHaveRun()
				case lwtrequestflow.TimedOut:
					mayHaveRun = true
				}
				if failed, ok := message.(lwtrequestflow.Failed); !ok || failed.Outcome != lwtretry.NotSent {
					sends++
				}
			case lwtrequestflow.Deliver:
				message = rapid.SampledFrom([]any{
					lwtrequestflow.Delivered{},
					lwtrequestflow.Failed{Outcome: lwtretry.Unknown, PartiallyDelivered: true, LastEventID: "3"},
					lwtrequestflow.Failed{Outcome: lwtretry.Unknown, PartiallyDelivered: partiallyDelivered},
					lwtrequestflow.TimedOut{PartiallyDelivered: partiallyDelivered},
				}).Draw(t, "deliver")
				if failed, ok := message.(lwtrequestflow.Failed); ok {
					partiallyDelivered = partiallyDelivered || failed.PartiallyDelivered
				}
			default:
				if step == lwtrequestflow.Reject && mayHaveRun {
					t.Fatal("a request that may have run is rejected as not run")
				}
				if partiallyDelivered && step != lwtrequestflow.Abort && step != lwtrequestflow.Stop {
					t.Fatal("a response that has begun is followed by another")
				}
				// A server that rejects a KV cache handle may be sent the request a second time.
				if sends > 2*route.MaxAttempts {
					t.Fatalf("the request was sent %d times, with %d attempts allowed", sends, route.MaxAttempts)
				}
				return
			}
			flow, step = flow.Update(now, step, message)
			if response, ok := message.(lwtrequestflow.ResponseStarted); ok && response.PromisesNotRun && step == lwtrequestflow.Deliver {
				t.Fatalf("a status is delivered that promises that the request has not run: %+v", response)
			}
		}
	})
}
