package lwtplatform

import (
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestOutageLetsOneProbeThrough guards against daemons that together press on
// a store that is coming back.
func TestOutageLetsOneProbeThrough(t *testing.T) {
	gate, now := newGate(epoch, 100), epoch
	for range outageFailures {
		var call admission
		if gate, call = gate.admit(now); call != admitted {
			t.Fatalf("call %v before the outage is known", call)
		}
		gate = gate.ended(now, call, false, 1)
	}
	backoff := firstBackoff
	for range 8 {
		if _, call := gate.admit(now.Add(backoff - 1)); call != inOutage {
			t.Fatalf("call %v before the backoff of %s is over", call, backoff)
		}
		now = now.Add(backoff)
		var call admission
		if gate, call = gate.admit(now); call != probe {
			t.Fatalf("call %v, want a probe after %s", call, backoff)
		}
		if _, second := gate.admit(now.Add(time.Hour)); second != inOutage {
			t.Fatalf("call %v beside a probe", second)
		}
		// A call from before the outage ends late and must not free the probe.
		gate = gate.ended(now, admitted, false, 1)
		if _, second := gate.admit(now.Add(time.Hour)); second != inOutage {
			t.Fatalf("call %v beside a probe after a late failure", second)
		}
		gate = gate.ended(now, probe, false, 1)
		backoff = min(2*backoff, defaultMaxBackoff)
	}
	gate, _ = gate.admit(now.Add(time.Minute))
	if _, call := gate.ended(now, probe, true, 1).admit(now); call != admitted {
		t.Errorf("call %v after the outage", call)
	}
}

// TestBudgetBoundsCalls guards against one daemon that takes the share of the
// others.
func TestBudgetBoundsCalls(t *testing.T) {
	gate := newGate(epoch, 1).withRate(10)
	calls := 0
	for step := range 10_000 {
		var call admission
		if gate, call = gate.admit(epoch.Add(time.Duration(step) * time.Millisecond)); call == admitted {
			calls++
			gate = gate.ended(epoch, call, true, 0)
		}
	}
	if want := budgetBurst + 99; calls != want {
		t.Errorf("%d calls in 10 s, want %d", calls, want)
	}
}
