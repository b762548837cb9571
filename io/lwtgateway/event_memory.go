package lwtgateway

import (
	"fmt"
	"sync/atomic"
)

const (
	// ownEventBytes is the size up to which every stream may keep an incomplete event. What exceeds it
	// is taken from the memory that all streams share.
	ownEventBytes = 32 << 10
	// eventMemoryFraction is the part of the VM's memory that all streams share for long events.
	eventMemoryFraction = 0.05
	// defaultEventMemoryBytes is that memory if the VM's is not known.
	defaultEventMemoryBytes = 32 << 20
)

// eventMemory bounds the memory for incomplete events of all streams together: faulty servers may send
// events without end. It is safe for concurrent use.
type eventMemory struct {
	limit int64
	used  atomic.Int64
}

func newEventMemory(limits VMLimits) *eventMemory {
	limit := int64(eventMemoryFraction * float64(limits.MemoryMegabytes<<20))
	if limit <= 0 {
		limit = defaultEventMemoryBytes
	}
	return &eventMemory{limit: limit}
}

// eventShare is the part of the memory that one stream has reserved.
type eventShare struct {
	memory   *eventMemory
	reserved int64
}

// resize reserves the memory for a buffer of some capacity, or releases what is no longer needed. It
// reports whether the memory sufficed.
func (eventShare *eventShare) resize(capacity int) bool {
	needed := max(int64(capacity)-ownEventBytes, 0)
	used := eventShare.memory.used.Add(needed - eventShare.reserved)
	eventShare.reserved = needed
	return used <= eventShare.memory.limit
}

// errEventMemoryExhausted reports an incomplete event for which there is no memory.
var errEventMemoryExhausted = fmt.Errorf("%w: incomplete events of all streams", errResponseTooLong)
