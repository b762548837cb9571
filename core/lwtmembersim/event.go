package lwtmembersim

import (
	"container/heap"
	"time"

	"lacewingtide/core/lwtmember"
)

type eventKind uint8

const (
	tick eventKind = iota
	deliver
)

// event is something that happens to one daemon at a time.
type event struct {
	at       time.Time
	order    uint64
	kind     eventKind
	to       string
	life     int
	received lwtmember.Received
}

// eventQueue orders events by time, and events of one time by their making.
type eventQueue []event

// Len implements heap.Interface.
func (queue eventQueue) Len() int { return len(queue) }

// Less implements heap.Interface.
func (queue eventQueue) Less(i, j int) bool {
	if !queue[i].at.Equal(queue[j].at) {
		return queue[i].at.Before(queue[j].at)
	}
	return queue[i].order < queue[j].order
}

// Swap implements heap.Interface.
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }

// Push implements heap.Interface.
func (queue *eventQueue) Push(value any) { *queue = append(*queue, value.(event)) }

// Pop implements heap.Interface.
func (queue *eventQueue) Pop() any {
	last := len(*queue) - 1
	value := (*queue)[last]
	(*queue)[last] = event{}
	*queue = (*queue)[:last]
	return value
}

func (fleet *Cluster) after(span time.Duration, event event) {
	event.at = fleet.now.Add(span)
	fleet.push(event)
}

func (fleet *Cluster) push(event event) {
	fleet.count++
	event.order = fleet.count
	heap.Push(&fleet.queue, event)
}
