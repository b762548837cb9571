package lwtscorerouter

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// LoadReport is the load that an engine reported.
type LoadReport struct {
	// TakenAt is the latest time, on the daemon's clock, at which the engine can
	// have taken the report. Requests sent later are not included in it.
	TakenAt     time.Time
	Incarnation int64
	// Role is the engine's current role. Empty means the declared one.
	Role lwtdeclaredstate.Role
	// Reconfiguring says that the engine is changing its role or models.
	Reconfiguring bool
	// Running is the number of streams being decoded. Waiting is the number of
	// requests whose prefill is not complete.
	Running int
	Waiting int
	// WaitingTokens is the number of prompt tokens still to prefill, by priority.
	WaitingTokens [NumPriorities]int
	// FreeBlocks is the free memory in blocks of BlockTokens tokens.
	FreeBlocks int
	// PrefillRate is in prompt tokens per second. Zero means not reported.
	PrefillRate float64
}

// sentRequest is the work that one request adds to an engine.
type sentRequest struct {
	sentAt        int64 // Unix nanoseconds
	prefillTokens float64
	streams       float64
	blocks        float64
	priority      int
}

// sentLog holds the requests sent to an engine since its last report was taken,
// and their sums.
type sentLog struct {
	requests      []sentRequest
	prefillTokens [NumPriorities]float64
	streams       float64
	blocks        float64
}

func (log *sentLog) add(request sentRequest) {
	log.requests = append(log.requests, request)
	log.prefillTokens[request.priority] += request.prefillTokens
	log.streams += request.streams
	log.blocks += request.blocks
}

// dropReported removes the requests that a report taken at the given time
// includes. It recomputes the sums so that rounding errors don't accumulate.
func (log *sentLog) dropReported(takenAt int64) {
	kept := log.requests[:0]
	for _, request := range log.requests {
		if request.sentAt > takenAt {
			kept = append(kept, request)
		}
	}
	*log = sentLog{requests: kept}
	for _, request := range kept {
		log.prefillTokens[request.priority] += request.prefillTokens
		log.streams += request.streams
		log.blocks += request.blocks
	}
}
