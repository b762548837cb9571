package lwtgateway

import (
	"fmt"
	"math"
	"sync/atomic"
)

// Parts of the VM's memory that others may fill. The garbage collector, the kernel's buffers and what the
// daemon itself knows need the rest.
const (
	// callerMemoryFraction is the part for connections, requests and buffered responses of all callers.
	callerMemoryFraction = 0.68
	// eventMemoryFraction is the part for long incomplete events of all streams.
	eventMemoryFraction = 0.05
	// defaultVMMemoryMegabytes is the VM's memory if the settings do not name it.
	defaultVMMemoryMegabytes = 640
)

// memoryTier says how much of the VM's memory may be in use for a reservation to succeed.
type memoryTier struct {
	// maxBytes is the largest reservation of the tier.
	maxBytes int
	fraction float64
}

// memoryTiers holds the tiers, those of the smallest reservations first. Large requests leave memory for
// short ones, which are not to wait for uploads, and both leave some for connections, so that their callers
// get a response.
var memoryTiers = [...]memoryTier{{16 << 10, callerMemoryFraction}, {256 << 10, 0.6}, {math.MaxInt, 0.55}}

// memoryPart returns a part of the VM's memory in bytes.
func memoryPart(limits VMLimits, fraction float64) int64 {
	megabytes := limits.MemoryMegabytes
	if megabytes <= 0 {
		megabytes = defaultVMMemoryMegabytes
	}
	return int64(fraction * float64(megabytes<<20))
}

// callerMemory is the account of the memory that callers fill. It implements lwthttp.Memory and is safe
// for concurrent use.
type callerMemory struct {
	// limits holds the limit of each tier in bytes.
	limits [len(memoryTiers)]int64
	used   atomic.Int64
}

func newCallerMemory(limits VMLimits) *callerMemory {
	callerMemory := &callerMemory{}
	for i, tier := range memoryTiers {
		callerMemory.limits[i] = memoryPart(limits, tier.fraction)
	}
	return callerMemory
}

// Reserve implements lwthttp.Memory.
func (callerMemory *callerMemory) Reserve(bytes int) bool {
	if callerMemory.used.Add(int64(bytes)) <= callerMemory.limit(bytes) {
		return true
	}
	callerMemory.used.Add(-int64(bytes))
	return false
}

// limit returns how many bytes may be in use after a reservation.
func (callerMemory *callerMemory) limit(bytes int) int64 {
	for i, tier := range memoryTiers {
		if bytes <= tier.maxBytes {
			return callerMemory.limits[i]
		}
	}
	return 0
}

// Release implements lwthttp.Memory.
func (callerMemory *callerMemory) Release(bytes int) { callerMemory.used.Add(-int64(bytes)) }

// ownEventBytes is the size up to which every stream may keep an incomplete event. What exceeds it is
// taken from the memory that all streams share.
const ownEventBytes = 32 << 10

// eventMemory bounds the memory for incomplete events of all streams together: faulty servers may send
// events without end. It is safe for concurrent use.
type eventMemory struct {
	limit int64
	used  atomic.Int64
}

func newEventMemory(limits VMLimits) *eventMemory {
	return &eventMemory{limit: memoryPart(limits, eventMemoryFraction)}
}

// eventShare is the part of the memory that one stream has reserved.
type eventShare struct {
	memory   *eventMemory
	reserved int64
}

// resize reserves the memory for a buffer of some capacity, or releases what is no longer needed. It
// reports whether the memory sufficed; if not, the reservation is as before.
func (eventShare *eventShare) resize(capacity int) bool {
	needed := max(int64(capacity)-ownEventBytes, 0)
	added := needed - eventShare.reserved
	if eventShare.memory.used.Add(added) > eventShare.memory.limit && added > 0 {
		eventShare.memory.used.Add(-added)
		return false
	}
	eventShare.reserved = needed
	return true
}

// append appends bytes to an incomplete event. The memory for a larger buffer is reserved before it is
// allocated; append reports whether there was enough.
func (eventShare *eventShare) append(pending, more []byte) ([]byte, bool) {
	if len(pending)+len(more) > cap(pending) {
		grown := max(2*cap(pending), len(pending)+len(more))
		if !eventShare.resize(grown) {
			return pending, false
		}
		pending = append(make([]byte, 0, grown), pending...)
	}
	return append(pending, more...), true
}

// errEventMemoryExhausted reports an incomplete event for which there is no memory.
var errEventMemoryExhausted = fmt.Errorf("%w: incomplete events of all streams", errResponseTooLong)
