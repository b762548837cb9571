package lwtplatform

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestOutageLetsOneProbeThrough guards against a daemon sending more than one probe at a
// time during an outage, or probing too early: the calls of all daemons together would
// overload a recovering store.
func TestOutageLetsOneProbeThrough(t *testing.T) {
	limiter, now := newCallLimiter(epoch, 100), epoch
	for range outageFailures {
		var call admission
		if limiter, call = limiter.admit(now); call != admitted {
			t.Fatalf("admission %v before the outage is detected, want admitted", call)
		}
		limiter = limiter.recordResult(now, call, false, 1)
	}
	backoff := minBackoff
	for range 8 {
		if _, call := limiter.admit(now.Add(backoff - 1)); call != rejectedInOutage {
			t.Fatalf("admission %v before the end of the backoff of %s, want a rejection", call, backoff)
		}
		now = now.Add(backoff)
		var call admission
		if limiter, call = limiter.admit(now); call != admittedProbe {
			t.Fatalf("admission %v, want a probe after the backoff of %s", call, backoff)
		}
		if _, second := limiter.admit(now.Add(time.Hour)); second != rejectedInOutage {
			t.Fatalf("admission %v while a probe is in flight, want a rejection", second)
		}
		// The late failure of a call from before the outage must not end the probe.
		limiter = limiter.recordResult(now, admitted, false, 1)
		if _, second := limiter.admit(now.Add(time.Hour)); second != rejectedInOutage {
			t.Fatalf("admission %v while a probe is in flight, after a late failure, want a rejection", second)
		}
		limiter = limiter.recordResult(now, admittedProbe, false, 1)
		backoff = min(2*backoff, defaultMaxBackoff)
	}
	limiter, _ = limiter.admit(now.Add(time.Minute))
	if _, call := limiter.recordResult(now, admittedProbe, true, 1).admit(now); call != admitted {
		t.Errorf("admission %v after the outage, want admitted", call)
	}
}

// TestBudgetBoundsCalls guards against a daemon exceeding its share of the store's
// capacity.
func TestBudgetBoundsCalls(t *testing.T) {
	limiter := newCallLimiter(epoch, 1).withRate(10)
	calls := 0
	for step := range 10_000 {
		var call admission
		if limiter, call = limiter.admit(epoch.Add(time.Duration(step) * time.Millisecond)); call == admitted {
			calls++
			limiter = limiter.recordResult(epoch, call, true, 0)
		}
	}
	if want := maxBurst + 99; calls != want {
		t.Errorf("%d calls in 10 s, want %d", calls, want)
	}
}
