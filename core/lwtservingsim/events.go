package lwtservingsim

import "container/heap"

// event is an action scheduled at a point in virtual time.
type event struct {
	at       int64
	sequence int64
	action   func(now int64)
}

// timeline is the event queue of the simulation. Events with the same time run in
// the order in which they were scheduled.
type timeline struct {
	events   eventHeap
	sequence int64
}

func (timeline *timeline) schedule(at int64, action func(now int64)) {
	timeline.sequence++
	heap.Push(&timeline.events, event{at, timeline.sequence, action})
}

// runUntil runs all events with times up to and including end.
func (timeline *timeline) runUntil(end int64) {
	for len(timeline.events) > 0 && timeline.events[0].at <= end {
		next := heap.Pop(&timeline.events).(event)
		next.action(next.at)
	}
}

type eventHeap []event

// Len implements heap.Interface.
func (events eventHeap) Len() int { return len(events) }

// Less implements heap.Interface.
func (events eventHeap) Less(i, j int) bool {
	if events[i].at != events[j].at {
		return events[i].at < events[j].at
	}
	return events[i].sequence < events[j].sequence
}

// Swap implements heap.Interface.
func (events eventHeap) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

// Push implements heap.Interface.
func (events *eventHeap) Push(value any) { *events = append(*events, value.(event)) }

// Pop implements heap.Interface.
func (events *eventHeap) Pop() any {
	last := len(*events) - 1
	value := (*events)[last]
	(*events)[last] = event{}
	*events = (*events)[:last]
	return value
}
