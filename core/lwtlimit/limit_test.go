package lwtlimit_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlimit"
)

// TestMain fixes the seed of rapid, so that the tests are deterministic.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// homeDaemon is one home daemon of a caller, with its limiter and the caller's usage.
type homeDaemon struct {
	name    string
	limiter lwtlimit.Limiter
	usage   lwtlimit.Usage
	// homeNames are the caller's home daemons by this daemon's VM list and
	// membership.
	homeNames []string
}

// TestLimitsHoldUnderPartition guards against daemons that together grant more than
// a caller's limits: during a partition, in which the list of home daemons shrinks
// on neither side, and after the failure of a VM, which some daemons detect earlier
// than others.
func TestLimitsHoldUnderPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const seconds = 40
		caller := lwtdeclaredstate.Caller{
			Name:        rapid.StringMatching("[a-z]{4}").Draw(t, "caller"),
			Rate:        rapid.Float64Range(0.5, 200).Draw(t, "rate"),
			Concurrency: rapid.IntRange(1, 50).Draw(t, "concurrency"),
		}
		now := time.Unix(1_000_000, 0)
		// d0 to d3 are the home daemons. d4 replaces one that fails.
		names := []string{"d0", "d1", "d2", "d3", "d4"}
		homes := make([]homeDaemon, len(names))
		for i, name := range names {
			quota := lwtlimit.QuotaOf(name, names[:4])
			homes[i] = homeDaemon{name, lwtlimit.New(1 << 20), lwtlimit.NewUsage(now, quota), names[:4]}
		}
		// A VM fails. Each daemon detects it at a different time, all within
		// quotaSettleTime of the first.
		dead := rapid.IntRange(0, len(names)-1).Draw(t, "dead")
		remaining := append(append([]string{}, names[:dead]...), names[dead+1:]...)[:4]
		if rapid.Bool().Draw(t, "no successor") {
			remaining = remaining[:3]
		}
		detectsAfter := make([]time.Duration, len(names))
		for i := range detectsAfter {
			detectsAfter[i] = time.Duration(rapid.IntRange(5, 16).Draw(t, "learns")) * time.Second
		}
		admitted, inFlight := 0, 0
		for elapsed := time.Duration(0); elapsed < seconds*time.Second; elapsed += 100 * time.Millisecond {
			for i := range homes {
				if i == dead && elapsed > time.Second {
					continue
				}
				if elapsed > detectsAfter[i] {
					homes[i].homeNames = remaining
				}
				homeAdmitted, homeInFlight := homes[i].acquireAndRelease(now.Add(elapsed), caller)
				admitted, inFlight = admitted+homeAdmitted, inFlight+homeInFlight
			}
			if inFlight > caller.Concurrency {
				t.Fatalf("%d requests in flight, limit %d", inFlight, caller.Concurrency)
			}
			inFlight = 0
		}
		// Each home daemon may grant one request at the start, regardless of the rate.
		maxAdmitted := caller.Rate*seconds + max(caller.Rate, 4) + 4
		if float64(admitted) > maxAdmitted {
			t.Fatalf("%d requests admitted in %d s, limit %.1f/s", admitted, seconds, caller.Rate)
		}
	})
}

// acquireAndRelease acquires until the daemon rejects a request, and then releases
// all requests. It returns how many were admitted, and how many were in flight at
// once.
func (home *homeDaemon) acquireAndRelease(now time.Time, caller lwtdeclaredstate.Caller) (admitted, inFlight int) {
	home.usage = home.usage.WithQuota(now, lwtlimit.QuotaOf(home.name, home.homeNames))
	for {
		limiter, usage, decision := home.limiter.Acquire(now, caller, home.usage)
		home.limiter, home.usage = limiter, usage
		if !decision.Admitted {
			break
		}
		admitted++
	}
	inFlight = home.usage.InFlight()
	for range inFlight {
		home.limiter, home.usage = home.limiter.Release(home.usage)
	}
	return admitted, inFlight
}

// TestRetryAfterIsEnough guards against a RetryAfter that is too short, so that the
// retry is rejected again.
func TestRetryAfterIsEnough(t *testing.T) {
	caller := lwtdeclaredstate.Caller{Name: "c", Rate: 0.4}
	now := time.Unix(1_000_000, 0)
	limiter, usage := lwtlimit.New(10), lwtlimit.NewUsage(now, lwtlimit.QuotaOf("d", []string{"d", "e"}))
	limiter, usage, first := limiter.Acquire(now, caller, usage)
	limiter, usage, second := limiter.Acquire(now, caller, usage)
	_, _, third := limiter.Acquire(now.Add(second.RetryAfter), caller, usage)
	if !first.Admitted || second.Admitted || second.Reason != "rate" || !third.Admitted {
		t.Errorf("decisions %+v %+v %+v", first, second, third)
	}
}

// TestBurstLeavesSlotsForOthers guards against a caller that takes all slots of a
// daemon, so that other callers miss their deadlines.
func TestBurstLeavesSlotsForOthers(t *testing.T) {
	const slots = 90
	limiter, now := lwtlimit.New(slots), time.Unix(1_000_000, 0)
	usages := map[string]lwtlimit.Usage{}
	acquire := func(name string, attempts int) (admitted int) {
		for range attempts {
			var decision lwtlimit.Decision
			limiter, usages[name], decision = limiter.Acquire(now, lwtdeclaredstate.Caller{Name: name}, usages[name])
			if decision.Admitted {
				admitted++
			}
		}
		return admitted
	}
	if got := acquire("greedy", 1000); got != slots*2/3 {
		t.Errorf("the first caller got %d slots, want %d", got, slots*2/3)
	}
	for i := range 10 {
		if got := acquire(fmt.Sprint("c", i), 1); got != 1 {
			t.Errorf("caller %d got no slot", i)
		}
	}
	if got := acquire("greedy", 1000); got != 0 {
		t.Errorf("the first caller got %d further slots", got)
	}
}
