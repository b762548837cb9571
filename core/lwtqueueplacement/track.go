package lwtqueueplacement

import (
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtroutetable"
)

// PrefillEngine returns the engine that prefills the prompt.
func (choice Placement) PrefillEngine() lwtdiscovery.Server {
	if choice.Prefill.ID == "" {
		return choice.Decode
	}
	return choice.Prefill
}

// PrefillStarted notes that a prompt was sent to the engine that prefills it.
func (model *EnginePool) PrefillStarted(now time.Time, request lwtroutetable.Request, choice Placement) {
	engine, found := model.engines[choice.PrefillEngine().ID]
	if !found {
		return
	}
	engine.own.PrefillTime += choice.PrefillTime
	if key := request.SharedPrefixKey(); key != "" {
		engine.parts[hash(key)] = now
		engine.forget(now)
	}
}

// maxParts bounds the parts remembered of one engine.
const maxParts = 4096

func (engine *engine) forget(now time.Time) {
	if len(engine.parts) < maxParts {
		return
	}
	for part, used := range engine.parts {
		if now.Sub(used) >= partMemory {
			delete(engine.parts, part)
		}
	}
}

// Weights of the measured prefill time.
const (
	// tokenStep is the share by which a sample moves the time of a token.
	tokenStep = 0.02
	// hitWeight is the weight of a sample of the share found in memory.
	hitWeight = 0.02
	// minSampleTokens is the size from which a prefill is measured; below it,
	// the network's share is too large.
	minSampleTokens = 1000
	// prefillOverhead is what a prefill takes beside the prompt's own time: two
	// network hops and the end of the step that is running.
	prefillOverhead = 4 * time.Millisecond
)

// PrefillEnded notes that the prefill of a request has ended. Took is how long it
// took, or zero when it failed.
func (model *EnginePool) PrefillEnded(request lwtroutetable.Request, choice Placement, took time.Duration) {
	engine, found := model.engines[choice.PrefillEngine().ID]
	if !found {
		return
	}
	engine.own.PrefillTime = max(engine.own.PrefillTime-choice.PrefillTime, 0)
	if took <= 0 {
		return
	}
	engine.failures = 0
	// Only what had no queue before it shows how long the prompt itself takes.
	if choice.QueueTime == 0 && choice.Prefill.ID != "" && request.PromptTokens >= minSampleTokens {
		model.measure(request, choice, max(took-prefillOverhead, 0).Seconds())
	}
}

// measure learns the time of a token from prompts that no engine has in memory,
// as a median, which stalled answers do not spoil, and the share of shared
// tokens found in memory from the others.
func (model *EnginePool) measure(request lwtroutetable.Request, choice Placement, took float64) {
	if !choice.PrefixCached {
		if took > float64(request.PromptTokens)*model.tokenTime {
			model.tokenTime *= 1 + tokenStep
		} else {
			model.tokenTime *= 1 - tokenStep
		}
		return
	}
	shared := float64(request.SharedPrefixTokens())
	if shared < minSampleTokens {
		return
	}
	read := took/model.tokenTime - (float64(request.PromptTokens) - shared)
	hit := 1 - min(max(read/shared, 0), 1)
	model.hitShare += hitWeight * (hit - model.hitShare)
}

// DecodeStarted notes that a request was sent to the engine that runs it.
func (model *EnginePool) DecodeStarted(id string) {
	if engine, found := model.engines[id]; found {
		engine.own.Running++
	}
}

// DecodeEnded notes that a run has ended.
func (model *EnginePool) DecodeEnded(id string) {
	if engine, found := model.engines[id]; found {
		engine.own.Running = max(engine.own.Running-1, 0)
	}
}

// RecordFailure keeps work away from an engine for a while.
func (model *EnginePool) RecordFailure(now time.Time, id string) {
	if engine, found := model.engines[id]; found {
		engine.failed(now)
	}
}

// Pause keeps requests away from an engine for as long as it asks for.
func (model *EnginePool) Pause(now time.Time, id string, span time.Duration) {
	if engine, found := model.engines[id]; found {
		engine.pause = engine.pause.extended(now, span)
	}
}

// Paused reports whether an engine wants no request now.
func (model *EnginePool) Paused(now time.Time, id string) bool {
	engine, found := model.engines[id]
	return found && engine.pause.holds(now)
}

// RecordSuccess notes that an engine answered.
func (model *EnginePool) RecordSuccess(id string) {
	if engine, found := model.engines[id]; found {
		engine.failures = 0
	}
}

// Loads returns the daemon's own load by engine, without idle engines.
func (model *EnginePool) Loads() map[string]Load {
	loads := map[string]Load{}
	for id, engine := range model.engines {
		if engine.own != (Load{}) {
			loads[id] = engine.own
		}
	}
	return loads
}

// ApplyReport notes what another daemon has sent to the engines.
func (model *EnginePool) ApplyReport(now time.Time, daemon string, report LoadReport) {
	applyReport(now, daemon, report, model.engines, func(engine *engine) *peerLoads { return &engine.peers })
}
