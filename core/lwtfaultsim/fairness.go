package lwtfaultsim

import (
	"fmt"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtlimit"
)

// FairnessExperiment holds the parameters of a run of one daemon, whose callers send
// requests to engines with a bounded number of streams.
type FairnessExperiment struct {
	Seed uint64
	// Slots is the number of streams that the engines run at once. Further
	// admitted requests wait in FIFO order.
	Slots int
	// Callers is the number of callers. With equal request rates, they together
	// occupy the fraction Load of the slots. The first caller sends requests at
	// BurstFactor times its equal rate.
	Callers     int
	Load        float64
	BurstFactor float64
	// ServiceTime is the mean duration of a stream, and Deadline the time within
	// which it must start.
	ServiceTime, Deadline time.Duration
	// Duration is the time over which callers send requests.
	Duration time.Duration
	// AdmitAll disables admission control: every request is admitted.
	AdmitAll bool
}

// FairnessResult counts the requests of a run.
type FairnessResult struct {
	// OtherRequests counts the requests of all callers except the first, Late those
	// of them that started after their deadline, and Rejected those that were not
	// admitted.
	OtherRequests, Late, Rejected int
	// BurstRequests counts the first caller's requests, and BurstServed those that
	// started within their deadline.
	BurstRequests, BurstServed int
}

// MissRate returns the fraction of the other callers' requests that were rejected or
// started late.
func (result FairnessResult) MissRate() float64 {
	return float64(result.Late+result.Rejected) / float64(result.OtherRequests)
}

type fairnessRun struct {
	clock
	FairnessExperiment
	limiter        lwtlimit.Limiter
	usages         []lwtlimit.Usage
	waiting        []func()
	runningStreams int
	result         FairnessResult
}

// RunFairness runs a fairness experiment in virtual time.
func RunFairness(options FairnessExperiment) FairnessResult {
	run := &fairnessRun{
		clock: newClock(options.Seed), FairnessExperiment: options, limiter: lwtlimit.New(options.Slots),
		usages: make([]lwtlimit.Usage, options.Callers),
	}
	end := run.now.Add(options.Duration)
	for caller := range options.Callers {
		run.scheduleRequests(caller, end)
	}
	run.run()
	return run.result
}

// scheduleRequests makes a caller send requests with exponentially distributed
// intervals until the end.
func (run *fairnessRun) scheduleRequests(caller int, end time.Time) {
	rate := run.Load * float64(run.Slots) / run.ServiceTime.Seconds() / float64(run.Callers)
	if caller == 0 {
		rate *= run.BurstFactor
	}
	run.after(time.Duration(run.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if run.now.Before(end) {
			run.handleRequest(caller)
			run.scheduleRequests(caller, end)
		}
	})
}

func (run *fairnessRun) handleRequest(caller int) {
	if caller == 0 {
		run.result.BurstRequests++
	} else {
		run.result.OtherRequests++
	}
	admitted := run.AdmitAll
	if !run.AdmitAll {
		var decision lwtlimit.Decision
		declared := lwtdeclaredstate.Caller{Name: fmt.Sprint(caller)}
		run.limiter, run.usages[caller], decision = run.limiter.Acquire(run.now, declared, run.usages[caller])
		admitted = decision.Admitted
	}
	if !admitted {
		if caller > 0 {
			run.result.Rejected++
		}
		return
	}
	arrived := run.now
	run.waiting = append(run.waiting, func() { run.serve(caller, arrived) })
	run.startWaiting()
}

func (run *fairnessRun) startWaiting() {
	for run.runningStreams < run.Slots && len(run.waiting) > 0 {
		start := run.waiting[0]
		run.waiting = run.waiting[1:]
		run.runningStreams++
		start()
	}
}

func (run *fairnessRun) serve(caller int, arrived time.Time) {
	late := run.now.Sub(arrived) > run.Deadline
	if late && caller > 0 {
		run.result.Late++
	}
	if !late && caller == 0 {
		run.result.BurstServed++
	}
	run.after(time.Duration(run.random.ExpFloat64()*float64(run.ServiceTime)), func() {
		run.runningStreams--
		if !run.AdmitAll {
			run.limiter, run.usages[caller] = run.limiter.Release(run.usages[caller])
		}
		run.startWaiting()
	})
}
