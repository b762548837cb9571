package lwtqueueplacement

import (
	"slices"
	"time"

	"lacewingtide/core/lwtdiscovery"
)

// SetEnginesChangingStage sets the ids of the engines that are changing their stage. They
// reject new requests until the change is complete, so none is placed on them.
func (enginePool *EnginePool) SetEnginesChangingStage(now time.Time, ids []string) {
	for _, engine := range enginePool.engines {
		switch {
		case !slices.Contains(ids, engine.server.ID):
			engine.changingSince = time.Time{}
		case engine.changingSince.IsZero():
			engine.changingSince, engine.changingFrom = now, engine.server.Stage
		}
	}
}

// decodeRetryAfter returns the retry delay of a stream that goes on, none of whose decode engines is
// usable: the time until an engine that may run it has changed its stage. Changing says that one is doing so.
func (enginePool *EnginePool) decodeRetryAfter(now time.Time, request PlacementRequest) (delay time.Duration, changing bool) {
	delay, found := enginePool.spec.StageChangeTime+stageOrderDelay, false
	for _, engine := range enginePool.engines {
		if request.VersionFixed && engine.server.Version != request.Version || engine.server.Stage != lwtdiscovery.Prefill ||
			engine.server.Draining {
			continue
		}
		found = true
		if engine.changing() {
			changing = true
			delay = min(delay, enginePool.spec.StageChangeTime-now.Sub(engine.changingSince))
		}
	}
	if !found {
		return noEngineRetryAfter, false
	}
	return max(delay, 0) + stageReportDelay, changing
}

// Streams returns the number of requests that the engines of each software version decode.
func (enginePool *EnginePool) Streams(now time.Time) map[string]int {
	streams := map[string]int{}
	for _, engine := range enginePool.engines {
		if engine.server.Stage != lwtdiscovery.Prefill {
			streams[engine.server.Version] += engine.running(now)
		}
	}
	return streams
}

const (
	// stageOrderDelay is the time until an engine is ordered to take over from one that has failed.
	stageOrderDelay = 500 * time.Millisecond
	// stageReportDelay is the time until the daemons know that an engine has changed its stage.
	stageReportDelay = 300 * time.Millisecond
)

// Busy reports whether any engine has requests in flight.
func (enginePool *EnginePool) Busy(now time.Time) bool {
	for _, engine := range enginePool.engines {
		if engine.pendingPrefillTime(now) > 0 || engine.running(now) > 0 {
			return true
		}
	}
	return false
}
