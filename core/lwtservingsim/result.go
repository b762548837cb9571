package lwtservingsim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewingtide/core/lwtdeclaredstate"
)

// Result counts the outcomes of the requests under one policy.
type Result struct {
	Name    string
	Offered int
	// OnTime counts the requests completed on time.
	OnTime int
	// Rejected counts the requests rejected as not run. Late counts those completed
	// after a deadline or abandoned by the caller. Interrupted counts those whose
	// response was lost.
	Rejected    int
	Late        int
	Interrupted int
	RoleChanges int
	// RanTwice counts the requests that ran twice although they must not be retried.
	RanTwice int
	// RejectedButRan counts the requests that ran but were rejected as not run.
	RejectedButRan          int
	ChatTimeToFirstTokenP95 time.Duration // 95th percentile
	InterTokenLatencyP95    time.Duration // 95th percentile
	Classes                 map[lwtdeclaredstate.Class]ClassResult
	// OnTimeBySlice and OfferedBySlice count requests by time of arrival.
	OnTimeBySlice  []int
	OfferedBySlice []int
	SliceDuration  time.Duration
}

// ClassResult counts the outcomes of the requests of one class.
type ClassResult struct {
	Offered, OnTime, Rejected, Late, Interrupted int
}

// Goodput returns the fraction of the offered requests that were completed on time.
func (result Result) Goodput() float64 {
	if result.Offered == 0 {
		return 0
	}
	return float64(result.OnTime) / float64(result.Offered)
}

// tally collects the measurements of a run.
type tally struct {
	interTokenLatency    *hdrhistogram.Histogram // microseconds
	chatTimeToFirstToken *hdrhistogram.Histogram // microseconds
	roleChanges          int
}

func newTally() tally {
	const maximum, significantFigures = int64(10 * time.Minute / time.Microsecond), 3
	return tally{
		interTokenLatency:    hdrhistogram.New(1, maximum, significantFigures),
		chatTimeToFirstToken: hdrhistogram.New(1, maximum, significantFigures),
	}
}

// recordStep records the inter-token latency of the streams in one step.
func (tally *tally) recordStep(duration time.Duration, streams int) {
	if streams > 0 {
		// Steps are far below the histogram's upper limit, so there is no error.
		_ = tally.interTokenLatency.RecordValues(duration.Microseconds(), int64(streams))
	}
}

func (job *job) onTime() bool {
	return job.finishedAt != 0 && !job.interrupted &&
		job.firstTokenAt-job.arrival.At <= int64(job.arrival.maxTimeToFirstToken) &&
		job.finishedAt-job.arrival.At <= int64(job.arrival.maxEndToEndLatency)
}

const sliceDuration = 10 * time.Second

func (run *run) result() Result {
	slices := int(run.end/int64(sliceDuration)) + 1
	result := Result{
		Name: run.policy.Name, Offered: len(run.jobs), RoleChanges: run.tally.roleChanges, SliceDuration: sliceDuration,
		Classes:       map[lwtdeclaredstate.Class]ClassResult{},
		OnTimeBySlice: make([]int, slices), OfferedBySlice: make([]int, slices),
	}
	for i := range run.jobs {
		run.countOutcome(&result, &run.jobs[i])
	}
	for _, class := range result.Classes {
		result.OnTime += class.OnTime
		result.Rejected += class.Rejected
		result.Late += class.Late
		result.Interrupted += class.Interrupted
	}
	const percentile = 95
	result.ChatTimeToFirstTokenP95 = time.Duration(run.tally.chatTimeToFirstToken.ValueAtPercentile(percentile)) *
		time.Microsecond
	result.InterTokenLatencyP95 = time.Duration(run.tally.interTokenLatency.ValueAtPercentile(percentile)) *
		time.Microsecond
	return result
}

func (run *run) countOutcome(result *Result, job *job) {
	class := result.Classes[job.arrival.Class]
	class.Offered++
	slice := job.arrival.At / int64(sliceDuration)
	result.OfferedBySlice[slice]++
	switch {
	case job.rejected:
		class.Rejected++
		if job.startCount > 0 {
			result.RejectedButRan++
		}
	case job.interrupted:
		class.Interrupted++
	case job.onTime():
		class.OnTime++
		result.OnTimeBySlice[slice]++
	default:
		class.Late++
	}
	if job.arrival.Class == lwtdeclaredstate.ClassOrder && job.startCount > 1 {
		result.RanTwice++
	}
	if job.arrival.Class == lwtdeclaredstate.ClassChat && job.startCount > 0 {
		// A request without a first token counts with its end-to-end deadline.
		timeToFirstToken := job.arrival.maxEndToEndLatency
		if job.firstTokenAt != 0 {
			timeToFirstToken = time.Duration(job.firstTokenAt - job.arrival.At)
		}
		_ = run.tally.chatTimeToFirstToken.RecordValue(max(1, timeToFirstToken.Microseconds()))
	}
	result.Classes[job.arrival.Class] = class
}
