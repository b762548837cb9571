package lwtfaultsim

import (
	"fmt"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlimit"
)

// FairnessExperiment describes a run of one daemon whose callers offer work to engines
// with a bounded number of streams.
type FairnessExperiment struct {
	Seed uint64
	// Slots is the number of streams that the engines run at once; further
	// admitted ones wait in order.
	Slots int
	// Callers offer equal shares that together fill Load of the slots; the
	// first one offers Burst times its share.
	Callers     int
	Load        float64
	BurstFactor float64
	// ServiceTime is the mean time of one stream, and Deadline the time within
	// which it must begin.
	ServiceTime, Deadline time.Duration
	Duration              time.Duration
	// AdmitAll turns fair shares off: every request is admitted.
	AdmitAll bool
}

// FairnessResult is what the callers saw.
type FairnessResult struct {
	// OtherRequests counts the requests of the callers that kept to their shares,
	// Late those among them that began after their deadline, and Rejected those
	// not admitted.
	OtherRequests, Late, Rejected int
	// BurstRequests and BurstServed count the first caller's requests.
	BurstRequests, BurstServed int
}

// MissRate returns the share of the others' requests that were not served in time.
func (result FairnessResult) MissRate() float64 {
	return float64(result.Late+result.Rejected) / float64(result.OtherRequests)
}

type fairness struct {
	clock
	FairnessExperiment
	limits   lwtlimit.Limiter
	accounts []lwtlimit.Usage
	waiting  []func()
	running  int
	result   FairnessResult
}

// RunFairness carries out a run in virtual time.
func RunFairness(options FairnessExperiment) FairnessResult {
	run := &fairness{
		clock: newClock(options.Seed), FairnessExperiment: options, limits: lwtlimit.New(options.Slots),
		accounts: make([]lwtlimit.Usage, options.Callers),
	}
	end := run.now.Add(options.Duration)
	for caller := range options.Callers {
		run.offer(caller, end)
	}
	run.run()
	return run.result
}

// offer has a caller send requests until the end.
func (run *fairness) offer(caller int, end time.Time) {
	rate := run.Load * float64(run.Slots) / run.ServiceTime.Seconds() / float64(run.Callers)
	if caller == 0 {
		rate *= run.BurstFactor
	}
	run.after(time.Duration(run.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if run.now.Before(end) {
			run.request(caller)
			run.offer(caller, end)
		}
	})
}

func (run *fairness) request(caller int) {
	if caller == 0 {
		run.result.BurstRequests++
	} else {
		run.result.OtherRequests++
	}
	admitted := run.AdmitAll
	if !run.AdmitAll {
		var verdict lwtlimit.Decision
		declared := lwtdeclaredstate.Caller{Name: fmt.Sprint(caller)}
		run.limits, run.accounts[caller], verdict = run.limits.Acquire(run.now, declared, run.accounts[caller])
		admitted = verdict.Admitted
	}
	if !admitted {
		if caller > 0 {
			run.result.Rejected++
		}
		return
	}
	arrived := run.now
	run.waiting = append(run.waiting, func() { run.serve(caller, arrived) })
	run.next()
}

func (run *fairness) next() {
	for run.running < run.Slots && len(run.waiting) > 0 {
		begin := run.waiting[0]
		run.waiting = run.waiting[1:]
		run.running++
		begin()
	}
}

func (run *fairness) serve(caller int, arrived time.Time) {
	late := run.now.Sub(arrived) > run.Deadline
	if late && caller > 0 {
		run.result.Late++
	}
	if !late && caller == 0 {
		run.result.BurstServed++
	}
	run.after(time.Duration(run.random.ExpFloat64()*float64(run.ServiceTime)), func() {
		run.running--
		if !run.AdmitAll {
			run.limits, run.accounts[caller] = run.limits.Release(run.accounts[caller])
		}
		run.next()
	})
}
