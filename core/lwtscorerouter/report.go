package lwtscorerouter

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// LoadReport is what an engine said of its work.
type LoadReport struct {
	// TakenAt is the latest time, on the daemon's clock, at which the report
	// can have been taken. Work sent later is not part of it.
	TakenAt     time.Time
	Incarnation int64
	// Role is the role that the engine runs in. Empty means as declared.
	Role lwtdeclaredstate.Role
	// Reconfiguring says that the engine is carrying out a change of role or models.
	Reconfiguring bool
	// Running are the streams being decoded; Waiting are the requests whose
	// prefill is not complete.
	Running int
	Waiting int
	// WaitingTokens are the prompt tokens still to prefill, by priority.
	WaitingTokens [NumPriorities]int
	// FreeBlocks is the free memory in blocks of BlockTokens tokens.
	FreeBlocks int
	// PrefillRate is in prompt tokens per second. Zero means not reported.
	PrefillRate float64
}

// sentWork is a request that a daemon sent to an engine.
type sentWork struct {
	at       int64 // Unix nanoseconds
	tokens   float64
	streams  float64
	blocks   float64
	priority int
}

// sentLog is the work sent since the last report was taken.
type sentLog struct {
	items   []sentWork
	tokens  [NumPriorities]float64
	streams float64
	blocks  float64
}

func (log *sentLog) add(work sentWork) {
	log.items = append(log.items, work)
	log.tokens[work.priority] += work.tokens
	log.streams += work.streams
	log.blocks += work.blocks
}

// forget drops the work that a report of the given time includes. The sums are
// built anew, so that rounding errors do not add up.
func (log *sentLog) forget(takenAt int64) {
	keep := log.items[:0]
	for _, work := range log.items {
		if work.at > takenAt {
			keep = append(keep, work)
		}
	}
	*log = sentLog{items: keep}
	for _, work := range keep {
		log.tokens[work.priority] += work.tokens
		log.streams += work.streams
		log.blocks += work.blocks
	}
}
