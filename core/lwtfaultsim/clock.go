// Package lwtfaultsim simulates claims and retries in virtual time: daemons, a
// table, backend servers and callers, with faults at every step. It measures the
// cost of claims and checks the guarantees given to callers.
package lwtfaultsim

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is a function to run at a virtual time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// eventQueue is a heap of events by time, then by order of creation.
type eventQueue []event

// Len implements heap.Interface.
func (queue eventQueue) Len() int { return len(queue) }

// Less implements heap.Interface.
func (queue eventQueue) Less(i, j int) bool {
	if !queue[i].at.Equal(queue[j].at) {
		return queue[i].at.Before(queue[j].at)
	}
	return queue[i].sequence < queue[j].sequence
}

// Swap implements heap.Interface.
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }

// Push implements heap.Interface.
func (queue *eventQueue) Push(value any) { *queue = append(*queue, value.(event)) }

// Pop implements heap.Interface.
func (queue *eventQueue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// clock is the virtual time, with the pending events and the random source.
type clock struct {
	now        time.Time
	queue      eventQueue
	eventCount int
	random     *rand.Rand
}

func newClock(seed uint64) clock {
	return clock{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1))}
}

func (clock *clock) after(delay time.Duration, run func()) {
	clock.eventCount++
	heap.Push(&clock.queue, event{clock.now.Add(delay), clock.eventCount, run})
}

func (clock *clock) run() {
	for len(clock.queue) > 0 {
		next := heap.Pop(&clock.queue).(event)
		clock.now = next.at
		next.run()
	}
}

func (clock *clock) chance(probability float64) bool { return clock.random.Float64() < probability }

func (clock *clock) between(low, high time.Duration) time.Duration {
	return low + time.Duration(clock.random.Int64N(int64(high-low)))
}
