package lwtqueueplacement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingtide/core/lwtqueueplacement"
	"lacewingtide/core/lwtroutetable"
)

// multiDaemonSim simulates several daemons that place prompts on the same engines and learn of
// each other's prompts only from load reports.
type multiDaemonSim struct {
	daemons []*simDaemon
	// engineFreeAt is when each engine has prefilled all prompts that it was sent.
	engineFreeAt   map[string]time.Time
	cachedPrefixes map[string]bool
	// promptInterval and otherInterval are the times until a report of a prompt and of other
	// changes.
	promptInterval, otherInterval time.Duration

	onTime, late, rejected int
}

type simDaemon struct {
	pool        *lwtqueueplacement.EnginePool
	reporter    lwtqueueplacement.LoadReporter
	reportedAt  time.Time
	promptAdded bool
	pending     []pendingPrefill
}

func newMultiDaemonSim(daemons, engines int, promptInterval, otherInterval time.Duration) *multiDaemonSim {
	sim := &multiDaemonSim{
		engineFreeAt: map[string]time.Time{}, cachedPrefixes: map[string]bool{}, promptInterval: promptInterval,
		otherInterval: otherInterval,
	}
	for i := range daemons {
		// Stagger the reports of the daemons.
		offset := otherInterval * time.Duration(i) / time.Duration(daemons)
		sim.daemons = append(sim.daemons, &simDaemon{pool: newEnginePool(engines, engines/2), reportedAt: start.Add(-offset)})
	}
	return sim
}

// run simulates requests at a rate per second for a duration, in steps of a millisecond, and
// counts how many are on time.
func (sim *multiDaemonSim) run(rate int, duration time.Duration) {
	random := rand.New(rand.NewPCG(3, 4))
	arrived := 0
	for now := start; now.Before(start.Add(duration + 3*time.Second)); now = now.Add(time.Millisecond) {
		for _, daemon := range sim.daemons {
			sim.finishPrefills(now, daemon)
		}
		sim.exchangeReports(now)
		for ; arrived < int(float64(rate)*min(now.Sub(start), duration).Seconds()); arrived++ {
			sim.place(now, sim.daemons[random.IntN(len(sim.daemons))], longPrompt(random.IntN(300)))
		}
	}
}

func (sim *multiDaemonSim) place(now time.Time, daemon *simDaemon, request lwtroutetable.Request) {
	placement, rejection := daemon.pool.Place(now, placementRequest(request))
	if rejection != nil {
		sim.rejected++
		return
	}
	daemon.pool.PrefillStarted(now, request, placement)
	daemon.promptAdded = true
	id := placement.PrefillEngine().ID
	tokens := request.PromptTokens
	if key := id + request.SharedPrefixKey(); sim.cachedPrefixes[key] {
		tokens -= request.SharedPrefixTokens()
	} else {
		sim.cachedPrefixes[key] = true
	}
	begin := now
	if sim.engineFreeAt[id].After(now) {
		begin = sim.engineFreeAt[id]
	}
	sim.engineFreeAt[id] = begin.Add(time.Duration(tokens) * simPrefillTimePerToken)
	daemon.pending = append(daemon.pending, pendingPrefill{
		endsAt: sim.engineFreeAt[id], placement: placement, request: request, arrivedAt: now,
	})
}

func (sim *multiDaemonSim) finishPrefills(now time.Time, daemon *simDaemon) {
	remaining := daemon.pending[:0]
	for _, prefill := range daemon.pending {
		switch took := prefill.endsAt.Sub(prefill.arrivedAt); {
		case prefill.endsAt.After(now):
			remaining = append(remaining, prefill)
			continue
		case took <= 125*time.Millisecond:
			sim.onTime++
			daemon.pool.PrefillEnded(prefill.request, prefill.placement, took)
		default:
			sim.late++
			daemon.pool.PrefillEnded(prefill.request, prefill.placement, took)
		}
	}
	daemon.pending = remaining
}

func (sim *multiDaemonSim) exchangeReports(now time.Time) {
	for i, daemon := range sim.daemons {
		since := now.Sub(daemon.reportedAt)
		if since < sim.otherInterval && (!daemon.promptAdded || since < sim.promptInterval) {
			continue
		}
		next, report, due := daemon.reporter.Report(now, daemon.pool.Loads())
		daemon.reporter, daemon.reportedAt, daemon.promptAdded = next, now, false
		for j, other := range sim.daemons {
			if due && i != j {
				other.pool.ApplyReport(now, fmt.Sprint(i), report)
			}
		}
	}
}

// TestCrowd guards against daemons that overload the same engines because they learn of each
// other's prompts too late. Many daemons must serve at least 0.85 of the requests on time that
// a single daemon serves, which sees all prompts; 0.85 of the best plan is the requirement.
func TestCrowd(t *testing.T) {
	const engines, daemons, duration = 32, 31, 3 * time.Second
	rate := engines * int(time.Second/(3500*simPrefillTimePerToken))
	single := newMultiDaemonSim(1, engines, time.Second, time.Second)
	single.run(rate, duration)
	multiple := newMultiDaemonSim(daemons, engines, lwtqueueplacement.PromptReportInterval(daemons),
		lwtqueueplacement.ReportInterval(daemons, false))
	multiple.run(rate, duration)
	t.Logf("one daemon: %d on time, %d late, %d rejected", single.onTime, single.late, single.rejected)
	t.Logf("%d daemons: %d on time, %d late, %d rejected", daemons, multiple.onTime, multiple.late, multiple.rejected)
	if float64(multiple.onTime) < 0.85*float64(single.onTime) {
		t.Errorf("%d daemons serve %d requests on time, one daemon serves %d", daemons, multiple.onTime, single.onTime)
	}
}

// TestReportsKeepLoads guards against a wrong load of an engine after reports were lost: the
// next full report must correct it.
func TestReportsKeepLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver := newEnginePool(3, 2), newEnginePool(3, 2)
		now, reporter, lost := start, lwtqueueplacement.LoadReporter{}, false
		var pending []lwtqueueplacement.Placement
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * time.Millisecond)
			placement, rejection := sender.Place(now, placementRequest(unsharedPrompt))
			if rejection == nil && rapid.Bool().Draw(t, "starts") {
				sender.PrefillStarted(now, unsharedPrompt, placement)
				pending = append(pending, placement)
			} else if len(pending) > 0 {
				sender.PrefillEnded(unsharedPrompt, pending[0], 0)
				pending = pending[1:]
			}
			next, report, due := reporter.Report(now, sender.Loads())
			reporter = next
			switch {
			case due && rapid.IntRange(0, 4).Draw(t, "loss") == 0:
				lost = true
			case due:
				receiver.ApplyReport(now, "sender", report)
				lost = lost && !report.Full
			}
			if !lost {
				comparePools(t, now, sender, receiver)
			}
		}
	})
}

// TestUnchangedLoadsStay guards against a load that does not change expiring at the other
// daemons because it is not reported again.
func TestUnchangedLoadsStay(t *testing.T) {
	loads := map[string]lwtqueueplacement.Load{"prefill-0": {PrefillTime: 80 * time.Millisecond}}
	pool, reporter := newEnginePool(1, 1), lwtqueueplacement.LoadReporter{}
	for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(100 * time.Millisecond) {
		next, report, due := reporter.Report(now, loads)
		if reporter = next; due {
			pool.ApplyReport(now, "other", report)
		}
		if placement, _ := pool.Place(now, placementRequest(unsharedPrompt)); placement.QueueTime != 80*time.Millisecond {
			t.Fatalf("queue time %s after %s, want the 80ms that another daemon reported", placement.QueueTime, now.Sub(start))
		}
	}
}

// unsharedPrompt has no shared prefix.
var unsharedPrompt = lwtroutetable.Request{PromptTokens: 9000, OutputTokens: 2}

// comparePools fails if the pools choose different engines or expect different queue times.
func comparePools(t *rapid.T, now time.Time, sender, receiver *lwtqueueplacement.EnginePool) {
	want, wantRejection := sender.Place(now, placementRequest(unsharedPrompt))
	got, gotRejection := receiver.Place(now, placementRequest(unsharedPrompt))
	if (wantRejection == nil) != (gotRejection == nil) || got.QueueTime != want.QueueTime ||
		got.Prefill.ID != want.Prefill.ID {
		t.Fatalf("receiver expects a queue time of %s on %s, sender %s on %s",
			got.QueueTime, got.Prefill.ID, want.QueueTime, want.Prefill.ID)
	}
}
