package lwtburn

import "time"

// ring is a ring buffer of counts per time slot. A slot is reused once its time is
// older than the slots of the ring cover.
type ring struct {
	slotDuration time.Duration
	slots        []slot
}

type slot struct {
	// index is the slot's start in slot durations since the Unix epoch.
	index  int64
	counts Counts
}

func newRing(slotDuration time.Duration, slots int) ring {
	return ring{slotDuration: slotDuration, slots: make([]slot, slots)}
}

func (ring *ring) index(now time.Time) int64 { return now.UnixNano() / int64(ring.slotDuration) }

func (ring *ring) add(now time.Time, outcome Outcome) {
	index := ring.index(now)
	slot := &ring.slots[index%int64(len(ring.slots))]
	if slot.index != index {
		slot.index, slot.counts = index, Counts{}
	}
	slot.counts = slot.counts.With(outcome)
}

// sum returns the sum of the slots of the window that ends with the slot of now.
func (ring *ring) sum(now time.Time, window time.Duration) Counts {
	var counts Counts
	last := ring.index(now)
	first := last - int64(window/ring.slotDuration) + 1
	for _, slot := range ring.slots {
		if slot.index >= first && slot.index <= last {
			counts = counts.WithAll(slot.counts)
		}
	}
	return counts
}
