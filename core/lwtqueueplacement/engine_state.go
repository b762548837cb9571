package lwtqueueplacement

import "time"

// SetEnginesChangingStage sets the ids of the engines that are changing their stage. They
// reject new requests until the change is complete, so none is placed on them.
func (enginePool *EnginePool) SetEnginesChangingStage(ids []string) {
	for _, engine := range enginePool.engines {
		engine.changingStage = false
	}
	for _, id := range ids {
		if engine, found := enginePool.enginesByID[id]; found {
			engine.changingStage = true
		}
	}
}

// Busy reports whether any engine has requests in flight.
func (enginePool *EnginePool) Busy(now time.Time) bool {
	for _, engine := range enginePool.engines {
		if engine.pendingPrefillTime(now) > 0 || engine.running(now) > 0 {
			return true
		}
	}
	return false
}
