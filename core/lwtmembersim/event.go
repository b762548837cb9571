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

// event is a tick of a daemon or the delivery of a message to it.
type event struct {
	at         time.Time
	sequence   uint64
	kind       eventKind
	to         string
	generation int // of the daemon, for a tick
	received   lwtmember.Received
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
	last := len(*queue) - 1
	value := (*queue)[last]
	(*queue)[last] = event{}
	*queue = (*queue)[:last]
	return value
}

func (cluster *Cluster) after(delay time.Duration, event event) {
	event.at = cluster.now.Add(delay)
	cluster.push(event)
}

func (cluster *Cluster) push(event event) {
	cluster.eventCount++
	event.sequence = cluster.eventCount
	heap.Push(&cluster.queue, event)
}
