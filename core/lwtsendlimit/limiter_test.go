package lwtsendlimit_test

import (
	"testing"
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtsendlimit"
)

var start = time.Unix(1000, 0)

func at(offset time.Duration) time.Time { return start.Add(offset) }

func server(id string) lwtdiscovery.Server { return lwtdiscovery.Server{ID: id, StartTime: start} }

// TestOvertakingResponseKeepsLimit guards against a response from before a limit was named ending it.
func TestOvertakingResponseKeepsLimit(t *testing.T) {
	limiter := lwtsendlimit.New("self")
	for _, step := range []struct {
		name            string
		sentAt, arrived time.Duration
		limited         bool
		changed, active bool
	}{
		{"no limit yet", 0, time.Second, false, false, false},
		{"limit named", 1100 * time.Millisecond, 1200 * time.Millisecond, true, true, true},
		{"named again", 1200 * time.Millisecond, 1300 * time.Millisecond, true, false, true},
		{"older response without it", 1000 * time.Millisecond, 1400 * time.Millisecond, false, false, true},
		{"newer response without it", 1500 * time.Millisecond, 1600 * time.Millisecond, false, true, false},
		{"limit named once more", 1700 * time.Millisecond, 1800 * time.Millisecond, true, true, true},
	} {
		changed := limiter.ObserveResponse(at(step.arrived), at(step.sentAt), server("s"), 5, step.limited).Changed
		active := len(limiter.Usage(at(step.arrived))) == 1
		if changed != step.changed || active != step.active {
			t.Errorf("%s: changed %v, active %v; want %v, %v", step.name, changed, active, step.changed, step.active)
		}
	}
}

// TestRestartEndsLimit guards against the limit of a server's earlier process being applied.
func TestRestartEndsLimit(t *testing.T) {
	limiter := lwtsendlimit.New("self")
	limiter.ObserveResponse(at(0), at(0), server("s"), 5, true)
	restarted := server("s")
	restarted.StartTime = at(time.Second)
	limiter.Charge(at(time.Second), restarted)
	if usage := limiter.Usage(at(time.Second)); len(usage) != 1 || usage[0].Sent != 0 {
		t.Errorf("usage %+v, want none of the restarted server", usage)
	}
}

// TestUnconfirmedLimitExpires guards against a limit that is kept forever because its end was missed.
func TestUnconfirmedLimitExpires(t *testing.T) {
	limiter := lwtsendlimit.New("self")
	limiter.ObserveResponse(at(0), at(0), server("s"), 5, true)
	if usage := limiter.Usage(at(2 * time.Second)); len(usage) != 1 {
		t.Errorf("usage after 2s %+v, want the limit", usage)
	}
	if usage := limiter.Usage(at(20 * time.Second)); len(usage) != 0 {
		t.Errorf("usage after 20s %+v, want none", usage)
	}
}

// TestNamedLimitBeginsWithPause guards against a new share on top of what was sent just before.
func TestNamedLimitBeginsWithPause(t *testing.T) {
	limiter := lwtsendlimit.New("self")
	if !limiter.Take(at(0), server("s")) {
		t.Error("a request to a server without a limit is not allowed")
	}
	limiter.ObserveResponse(at(0), at(0), server("s"), 10, true)
	if limiter.Take(at(900*time.Millisecond), server("s")) {
		t.Error("a request is allowed 0.9s after the limit was named")
	}
	next, limited := limiter.NextAt(at(0), server("s"))
	if !limited || next.Before(at(time.Second)) || next.After(at(1200*time.Millisecond)) {
		t.Errorf("next request at %s, limited %v; want between 1s and 1.2s", next.Sub(start), limited)
	}
	if !limiter.Take(next, server("s")) {
		t.Error("no request is allowed at the time that NextAt returned")
	}
}

// TestReportedLimits guards against outdated reports, and a message for each response.
func TestReportedLimits(t *testing.T) {
	limiter := lwtsendlimit.New("self")
	report := func(observedAt time.Duration, perSecond float64, ended bool) lwtsendlimit.Limit {
		return lwtsendlimit.Limit{
			ServerID: "s", StartTime: start, PerSecond: perSecond, Ended: ended, ObservedAt: at(observedAt),
		}
	}
	earlierProcess := report(5*time.Second, 5, false)
	earlierProcess.StartTime = start.Add(-time.Minute)
	for _, step := range []struct {
		name                 string
		limit                lwtsendlimit.Limit
		changed, due, active bool
	}{
		{"first report", report(time.Second, 5, false), true, true, true},
		{"the same, half a second later", report(1500*time.Millisecond, 5, false), false, false, true},
		{"the same, a second later", report(2*time.Second, 5, false), false, true, true},
		{"an older end", report(1800*time.Millisecond, 0, true), false, false, true},
		{"the end", report(3*time.Second, 0, true), true, true, false},
		{"an older limit", report(2500*time.Millisecond, 5, false), false, false, false},
		{"another limit", report(3500*time.Millisecond, 9, false), true, true, true},
		{"an earlier process", earlierProcess, false, false, true},
	} {
		got := limiter.ObserveReport(at(5*time.Second), step.limit)
		active := len(limiter.Usage(at(5*time.Second))) == 1
		if got.Changed != step.changed || got.Due != step.due || active != step.active {
			t.Errorf("%s: changed %v, due %v, active %v; want %v, %v, %v",
				step.name, got.Changed, got.Due, active, step.changed, step.due, step.active)
		}
	}
}
