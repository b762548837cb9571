package lwtqueueplacement_test

import (
	"fmt"
	"testing"
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtqueueplacement"
)

// rateLimits holds when the servers at their limit take a request again, by server id.
type rateLimits map[string]time.Time

func (rateLimits rateLimits) Allows(_ time.Time, server lwtdiscovery.Server) bool {
	_, limited := rateLimits[server.ID]
	return !limited
}

func (rateLimits rateLimits) NextAt(_ time.Time, server lwtdiscovery.Server) (time.Time, bool) {
	at, limited := rateLimits[server.ID]
	return at, limited
}

// TestServerAtLimitIsSkipped guards against requests to a server at its limit, and waiting when all are.
func TestServerAtLimitIsSkipped(t *testing.T) {
	soon, late := start.Add(1500*time.Millisecond), start.Add(time.Minute)
	for _, test := range []struct {
		name   string
		limits rateLimits
		// chosen is the only server that may be chosen, or empty if the request is rejected.
		chosen     string
		retryAfter time.Duration
	}{
		{"one at its limit", rateLimits{"p0": soon}, "p1", 0},
		{"all at their limits", rateLimits{"p0": soon, "p1": late}, "", 1500 * time.Millisecond},
		{"no share in any limit", rateLimits{"p0": {}, "p1": {}}, "", time.Second},
	} {
		pool := lwtqueueplacement.NewServerPool(lwtqueueplacement.Options{RateLimits: test.limits})
		pool.SetServers([]lwtdiscovery.Server{{ID: "p0", Address: "a0"}, {ID: "p1", Address: "a1"}})
		for first := range 4 {
			server, rejection := pool.Place(start, nil, first)
			if server.ID != test.chosen || (rejection == nil) != (test.chosen != "") {
				t.Errorf("%s: server %q, rejection %+v; want %q", test.name, server.ID, rejection, test.chosen)
			}
			if rejection != nil && (rejection.Reason != "servers-limit" || rejection.RetryAfter != test.retryAfter) {
				t.Errorf("%s: rejection %+v, want servers-limit and %s", test.name, rejection, test.retryAfter)
			}
		}
	}
}

// TestEngineAtLimitIsSkipped guards against prompts and decodes on an engine at its limit.
func TestEngineAtLimitIsSkipped(t *testing.T) {
	limits := rateLimits{}
	pool := lwtqueueplacement.NewEnginePool(lwtqueueplacement.Options{
		AvailabilityZone: "z0", PrefillTimePerToken: 3 * time.Microsecond, RateLimits: limits,
	})
	pool.SetServers(engineSpec, engineServers(3, 2))
	limits["prefill-1"], limits["decode-0"] = start.Add(time.Second), start.Add(time.Second)
	for prefix := range 20 {
		placement, rejection := pool.Place(start, placementRequest(longPrompt(prefix)))
		if rejection != nil || placement.Prefill.ID == "prefill-1" || placement.Decode.ID != "decode-1" {
			t.Errorf("prefix %d: engines %q and %q, rejection %+v; want neither engine at its limit",
				prefix, placement.Prefill.ID, placement.Decode.ID, rejection)
		}
	}
	limits["decode-1"] = start.Add(700 * time.Millisecond)
	_, rejection := pool.Place(start, placementRequest(longPrompt(0)))
	if rejection == nil || rejection.Reason != "servers-limit" || rejection.RetryAfter != 700*time.Millisecond {
		t.Errorf("all decode engines at their limits: rejection %+v, want servers-limit and 700ms", rejection)
	}
	limits["decode-1"] = start.Add(1900 * time.Millisecond)
	pool.ApplyBackoff(start, "decode-0", 800*time.Millisecond)
	_, rejection = pool.Place(start, placementRequest(longPrompt(0)))
	if rejection == nil || rejection.Reason != "servers-pause" || rejection.RetryAfter != 800*time.Millisecond {
		t.Errorf("a backoff that ends before the limit: rejection %+v, want servers-pause and 800ms", rejection)
	}
}

// TestNoPlacementWithoutServer guards against a request that is placed on no server and not rejected.
func TestNoPlacementWithoutServer(t *testing.T) {
	pool := newEnginePool(3, 2)
	for i := range 3 {
		pool.ApplyBackoff(start, fmt.Sprint("prefill-", i), 1500*time.Millisecond)
	}
	for i := range 2 {
		for range 12 {
			pool.DecodeStarted(fmt.Sprint("decode-", i))
		}
	}
	placement, rejection := pool.Place(start, placementRequest(longPrompt(0)))
	if rejection == nil || rejection.Reason != "servers-pause" || rejection.RetryAfter != 1500*time.Millisecond {
		t.Errorf("placement on %q and %q, rejection %+v; want servers-pause and 1.5s",
			placement.Prefill.ID, placement.Decode.ID, rejection)
	}
}
