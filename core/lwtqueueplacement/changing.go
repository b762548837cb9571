package lwtqueueplacement

import "time"

// SetEnginesChangingStage sets the engines whose stage is being changed by an order. They
// refuse new work until the change is complete.
func (model *EnginePool) SetEnginesChangingStage(ids []string) {
	for _, engine := range model.order {
		engine.changing = false
	}
	for _, id := range ids {
		if engine, found := model.engines[id]; found {
			engine.changing = true
		}
	}
}

// Busy reports whether any engine has work.
func (model *EnginePool) Busy(now time.Time) bool {
	for _, engine := range model.order {
		if engine.prefillLeft(now) > 0 || engine.running(now) > 0 {
			return true
		}
	}
	return false
}
