package lwtservingsim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lacewingtide/core/lwtdeclaredstate"
)

// Result is what became of the requests under one policy.
type Result struct {
	Name    string
	Offered int
	// OnTime are the requests answered completely and on time.
	OnTime int
	// Rejected were told not-run. Late were answered after a deadline or
	// given up by the caller. Cut lost their answer.
	Rejected    int
	Late        int
	Interrupted int
	RoleChanges int
	// RanTwice are the requests that must not be repeated and ran twice.
	RanTwice int
	// RejectedButRan were told not-run and ran.
	RejectedButRan          int
	ChatTimeToFirstTokenP95 time.Duration // 95th percentile
	InterTokenLatencyP95    time.Duration // 95th percentile
	Classes                 map[lwtdeclaredstate.Class]ClassResult
	// OnTimeBySlice and OfferedBySlice count requests by time of arrival.
	OnTimeBySlice  []int
	OfferedBySlice []int
	SliceDuration  time.Duration
}

// ClassResult is what became of the requests of one class.
type ClassResult struct {
	Offered, OnTime, Rejected, Late, Interrupted int
}

// Goodput returns the share of the offered requests answered completely and
// on time.
func (result Result) Goodput() float64 {
	if result.Offered == 0 {
		return 0
	}
	return float64(result.OnTime) / float64(result.Offered)
}

// tally collects what a run measures.
type tally struct {
	between *hdrhistogram.Histogram // microseconds
	first   *hdrhistogram.Histogram // microseconds
	changes int
}

func newTally() tally {
	const most, figures = int64(10 * time.Minute / time.Microsecond), 3
	return tally{between: hdrhistogram.New(1, most, figures), first: hdrhistogram.New(1, most, figures)}
}

// step records the time between tokens of the streams of one step.
func (tally *tally) step(duration time.Duration, streams int) {
	if streams > 0 {
		// Steps are far below the histogram's range.
		_ = tally.between.RecordValues(duration.Microseconds(), int64(streams))
	}
}

func (j *job) onTime() bool {
	return j.doneAt != 0 && !j.cut && j.firstAt-j.arrival.At <= int64(j.arrival.first) &&
		j.doneAt-j.arrival.At <= int64(j.arrival.whole)
}

const sliceTime = 10 * time.Second

func (run *run) result() Result {
	slices := int(run.end/int64(sliceTime)) + 1
	result := Result{
		Name: run.policy.Name, Offered: len(run.jobs), RoleChanges: run.tally.changes, SliceDuration: sliceTime,
		Classes:       map[lwtdeclaredstate.Class]ClassResult{},
		OnTimeBySlice: make([]int, slices), OfferedBySlice: make([]int, slices),
	}
	for i := range run.jobs {
		run.count(&result, &run.jobs[i])
	}
	for _, class := range result.Classes {
		result.OnTime += class.OnTime
		result.Rejected += class.Rejected
		result.Late += class.Late
		result.Interrupted += class.Interrupted
	}
	const percentile = 95
	result.ChatTimeToFirstTokenP95 = time.Duration(run.tally.first.ValueAtPercentile(percentile)) * time.Microsecond
	result.InterTokenLatencyP95 = time.Duration(run.tally.between.ValueAtPercentile(percentile)) * time.Microsecond
	return result
}

func (run *run) count(result *Result, j *job) {
	class := result.Classes[j.arrival.Class]
	class.Offered++
	slice := j.arrival.At / int64(sliceTime)
	result.OfferedBySlice[slice]++
	switch {
	case j.rejected:
		class.Rejected++
		if j.starts > 0 {
			result.RejectedButRan++
		}
	case j.cut:
		class.Interrupted++
	case j.onTime():
		class.OnTime++
		result.OnTimeBySlice[slice]++
	default:
		class.Late++
	}
	if j.arrival.Class == lwtdeclaredstate.ClassOrder && j.starts > 1 {
		result.RanTwice++
	}
	if j.arrival.Class == lwtdeclaredstate.ClassChat && j.starts > 0 {
		// A request without a first token counts with its deadline for the whole answer.
		first := j.arrival.whole
		if j.firstAt != 0 {
			first = time.Duration(j.firstAt - j.arrival.At)
		}
		_ = run.tally.first.RecordValue(max(1, first.Microseconds()))
	}
	result.Classes[j.arrival.Class] = class
}
