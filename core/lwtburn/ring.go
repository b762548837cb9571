package lwtburn

import "time"

// ring holds counts in slots of equal length; a slot is reused once its time
// has left the ring's reach.
type ring struct {
	step  time.Duration
	slots []slot
}

type slot struct {
	// index is the slot's start in steps since the Unix epoch.
	index  int64
	counts Counts
}

func newRing(step time.Duration, slots int) ring {
	return ring{step: step, slots: make([]slot, slots)}
}

func (ring *ring) index(now time.Time) int64 { return now.UnixNano() / int64(ring.step) }

func (ring *ring) add(now time.Time, outcome Outcome) {
	index := ring.index(now)
	slot := &ring.slots[index%int64(len(ring.slots))]
	if slot.index != index {
		slot.index, slot.counts = index, Counts{}
	}
	slot.counts = slot.counts.With(outcome)
}

// sum adds up the slots that began within the window before now.
func (ring *ring) sum(now time.Time, window time.Duration) Counts {
	var counts Counts
	last := ring.index(now)
	first := last - int64(window/ring.step) + 1
	for _, slot := range ring.slots {
		if slot.index >= first && slot.index <= last {
			counts = counts.WithAll(slot.counts)
		}
	}
	return counts
}
