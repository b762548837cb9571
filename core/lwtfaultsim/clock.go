// Package lwtfaultsim runs claims and retries in virtual time: several daemons, a
// table, shops and callers, with faults at every step. It measures the claims'
// cost and checks the guarantees given to callers.
package lwtfaultsim

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at    time.Time
	order int
	run   func()
}

// events is a heap of events by time, then by order of their creation.
type events []event

// Len implements heap.Interface.
func (events events) Len() int { return len(events) }

// Less implements heap.Interface.
func (events events) Less(i, j int) bool {
	if !events[i].at.Equal(events[j].at) {
		return events[i].at.Before(events[j].at)
	}
	return events[i].order < events[j].order
}

// Swap implements heap.Interface.
func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

// Push implements heap.Interface.
func (events *events) Push(value any) { *events = append(*events, value.(event)) }

// Pop implements heap.Interface.
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// clock is the virtual time with its events and its random source.
type clock struct {
	now    time.Time
	queue  events
	count  int
	random *rand.Rand
}

func newClock(seed uint64) clock {
	return clock{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1))}
}

func (clock *clock) after(delay time.Duration, run func()) {
	clock.count++
	heap.Push(&clock.queue, event{clock.now.Add(delay), clock.count, run})
}

func (clock *clock) run() {
	for len(clock.queue) > 0 {
		next := heap.Pop(&clock.queue).(event)
		clock.now = next.at
		next.run()
	}
}

func (clock *clock) chance(share float64) bool { return clock.random.Float64() < share }

func (clock *clock) between(least, most time.Duration) time.Duration {
	return least + time.Duration(clock.random.Int64N(int64(most-least)))
}
