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

// TestMain fixes the seed of rapid, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// home is one daemon's limits with one caller's account.
type home struct {
	name    string
	limits  lwtlimit.Limiter
	account lwtlimit.Usage
	// sees are the daemons that the VM list has or that membership sees.
	sees []string
}

// TestLimitsHoldUnderPartition guards against daemons that together grant more
// than a caller's limits: in a partition, in which neither side's list shrinks,
// and while a dead VM leaves the list of some daemons earlier than of others.
func TestLimitsHoldUnderPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const seconds = 40
		caller := lwtdeclaredstate.Caller{
			Name:        rapid.StringMatching("[a-z]{4}").Draw(t, "caller"),
			Rate:        rapid.Float64Range(0.5, 200).Draw(t, "rate"),
			Concurrency: rapid.IntRange(1, 50).Draw(t, "concurrency"),
		}
		now := time.Unix(1_000_000, 0)
		// The fourth home daemon and its successor are last.
		names := []string{"d0", "d1", "d2", "d3", "d4"}
		homes := make([]home, len(names))
		for i, name := range names {
			part := lwtlimit.QuotaOf(name, names[:4])
			homes[i] = home{name, lwtlimit.New(1 << 20), lwtlimit.NewUsage(now, part), names[:4]}
		}
		// A VM dies; each daemon learns of it at a time of its own, within the
		// settling time of the first.
		dead := rapid.IntRange(0, len(names)-1).Draw(t, "dead")
		left := append(append([]string{}, names[:dead]...), names[dead+1:]...)[:4]
		if rapid.Bool().Draw(t, "no successor") {
			left = left[:3]
		}
		learns := make([]time.Duration, len(names))
		for i := range learns {
			learns[i] = time.Duration(rapid.IntRange(5, 16).Draw(t, "learns")) * time.Second
		}
		admitted, active := 0, 0
		for step := time.Duration(0); step < seconds*time.Second; step += 100 * time.Millisecond {
			for i := range homes {
				if i == dead && step > time.Second {
					continue
				}
				if step > learns[i] {
					homes[i].sees = left
				}
				taken, held := homes[i].send(now.Add(step), caller)
				admitted, active = admitted+taken, active+held
			}
			if active > caller.Concurrency {
				t.Fatalf("%d requests in flight, limit %d", active, caller.Concurrency)
			}
			active = 0
		}
		// Each home may grant one request at once, whatever the rate.
		most := caller.Rate*seconds + max(caller.Rate, 4) + 4
		if float64(admitted) > most {
			t.Fatalf("%d requests admitted in %d s at a limit of %.1f/s", admitted, seconds, caller.Rate)
		}
	})
}

// send takes all that the daemon grants, and ends the requests again. It
// returns how many were granted, and how many ran at once.
func (home *home) send(now time.Time, caller lwtdeclaredstate.Caller) (admitted, held int) {
	home.account = home.account.WithQuota(now, lwtlimit.QuotaOf(home.name, home.sees))
	for {
		limits, account, verdict := home.limits.Acquire(now, caller, home.account)
		home.limits, home.account = limits, account
		if !verdict.Admitted {
			break
		}
		admitted++
	}
	held = home.account.InFlight()
	for range held {
		home.limits, home.account = home.limits.Release(home.account)
	}
	return admitted, held
}

// TestRetryAfterIsEnough guards against a retry time after which the caller is
// turned away again.
func TestRetryAfterIsEnough(t *testing.T) {
	caller := lwtdeclaredstate.Caller{Name: "c", Rate: 0.4}
	now := time.Unix(1_000_000, 0)
	limits, account := lwtlimit.New(10), lwtlimit.NewUsage(now, lwtlimit.QuotaOf("d", []string{"d", "e"}))
	limits, account, first := limits.Acquire(now, caller, account)
	limits, account, second := limits.Acquire(now, caller, account)
	_, _, third := limits.Acquire(now.Add(second.RetryAfter), caller, account)
	if !first.Admitted || second.Admitted || second.Reason != "rate" || !third.Admitted {
		t.Errorf("verdicts %+v %+v %+v", first, second, third)
	}
}

// TestBurstLeavesSlotsForOthers guards against one caller that fills a daemon
// and so costs others their deadlines.
func TestBurstLeavesSlotsForOthers(t *testing.T) {
	const slots = 90
	limits, now := lwtlimit.New(slots), time.Unix(1_000_000, 0)
	accounts := map[string]lwtlimit.Usage{}
	take := func(name string, most int) (admitted int) {
		for range most {
			var verdict lwtlimit.Decision
			limits, accounts[name], verdict = limits.Acquire(now, lwtdeclaredstate.Caller{Name: name}, accounts[name])
			if verdict.Admitted {
				admitted++
			}
		}
		return admitted
	}
	if got := take("greedy", 1000); got != slots*2/3 {
		t.Errorf("the first caller got %d slots, want %d", got, slots*2/3)
	}
	for i := range 10 {
		if got := take(fmt.Sprint("c", i), 1); got != 1 {
			t.Errorf("caller %d got no slot", i)
		}
	}
	if got := take("greedy", 1000); got != 0 {
		t.Errorf("the first caller got %d further slots", got)
	}
}
