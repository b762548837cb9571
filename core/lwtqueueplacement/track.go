package lwtqueueplacement

import (
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtroutetable"
)

// PrefillEngine returns the engine that prefills the prompt, which may be the decode engine.
func (placement Placement) PrefillEngine() lwtdiscovery.Server {
	if placement.Prefill.ID == "" {
		return placement.Decode
	}
	return placement.Prefill
}

// PrefillStarted records that a prompt was sent to the engine that prefills it.
func (enginePool *EnginePool) PrefillStarted(now time.Time, request lwtroutetable.Request, placement Placement) {
	engine, found := enginePool.enginesByID[placement.PrefillEngine().ID]
	if !found {
		return
	}
	engine.ownLoad.PrefillTime += placement.PrefillTime
	if key := request.SharedPrefixKey(); key != "" {
		engine.prefixSentAt[hash(key)] = now
		engine.evictPrefixes(now)
	}
}

// maxPrefixes is the number of prefixes of one engine at which expired ones are removed.
const maxPrefixes = 4096

// evictPrefixes removes prefixes older than prefixCacheTTL if there are maxPrefixes or more.
func (engine *engine) evictPrefixes(now time.Time) {
	if len(engine.prefixSentAt) < maxPrefixes {
		return
	}
	for prefixHash, sentAt := range engine.prefixSentAt {
		if now.Sub(sentAt) >= prefixCacheTTL {
			delete(engine.prefixSentAt, prefixHash)
		}
	}
}

// Parameters of the estimates of prefill time and prefix hit rate.
const (
	// tokenTimeStep is the fraction by which a sample changes the prefill time per token.
	tokenTimeStep = 0.02
	// hitRateWeight is the weight of a sample of the prefix hit rate.
	hitRateWeight = 0.02
	// minSampleTokens is the smallest prompt or prefix that gives a sample. For smaller ones
	// the network accounts for too much of the time.
	minSampleTokens = 1000
	// prefillOverhead is the part of a prefill that does not depend on the prompt: two
	// network hops and the rest of the running step.
	prefillOverhead = 4 * time.Millisecond
)

// PrefillEnded records that the prefill of a request has ended. Took is its duration, or zero
// if it failed.
func (enginePool *EnginePool) PrefillEnded(request lwtroutetable.Request, placement Placement, took time.Duration) {
	engine, found := enginePool.enginesByID[placement.PrefillEngine().ID]
	if !found {
		return
	}
	engine.ownLoad.PrefillTime = max(engine.ownLoad.PrefillTime-placement.PrefillTime, 0)
	if took <= 0 {
		return
	}
	engine.failures = 0
	// A duration that includes queue time is no sample of the prefill time.
	if placement.QueueTime == 0 && placement.Prefill.ID != "" && request.PromptTokens >= minSampleTokens {
		enginePool.updateEstimates(request, placement, max(took-prefillOverhead, 0).Seconds())
	}
}

// updateEstimates updates the prefill time per token from prompts without a cached prefix, and
// the prefix hit rate from the others. Took is the prefill time in seconds. The time per token
// is an estimated median, because stalled responses would distort a mean.
func (enginePool *EnginePool) updateEstimates(request lwtroutetable.Request, placement Placement, took float64) {
	if !placement.PrefixCached {
		if took > float64(request.PromptTokens)*enginePool.prefillSecondsPerToken {
			enginePool.prefillSecondsPerToken *= 1 + tokenTimeStep
		} else {
			enginePool.prefillSecondsPerToken *= 1 - tokenTimeStep
		}
		return
	}
	shared := float64(request.SharedPrefixTokens())
	if shared < minSampleTokens {
		return
	}
	prefilled := took/enginePool.prefillSecondsPerToken - (float64(request.PromptTokens) - shared)
	hitRate := 1 - min(max(prefilled/shared, 0), 1)
	enginePool.prefixHitRate += hitRateWeight * (hitRate - enginePool.prefixHitRate)
}

// DecodeStarted records that a request was sent to its decode engine.
func (enginePool *EnginePool) DecodeStarted(id string) {
	if engine, found := enginePool.enginesByID[id]; found {
		engine.ownLoad.Running++
	}
}

// DecodeEnded records that a request on a decode engine has ended.
func (enginePool *EnginePool) DecodeEnded(id string) {
	if engine, found := enginePool.enginesByID[id]; found {
		engine.ownLoad.Running = max(engine.ownLoad.Running-1, 0)
	}
}

// RecordFailure records a failure of an engine. Other engines are preferred to it for a time
// that grows with each failure in a row.
func (enginePool *EnginePool) RecordFailure(now time.Time, id string) {
	if engine, found := enginePool.enginesByID[id]; found {
		engine.recordFailure(now)
	}
}

// ApplyBackoff applies a backoff that an engine requested: it gets no requests for the duration, at
// most for maxBackoff.
func (enginePool *EnginePool) ApplyBackoff(now time.Time, id string, duration time.Duration) {
	if engine, found := enginePool.enginesByID[id]; found {
		engine.backoff = enginePool.backoffs.extend(now, engine.server, duration)
	}
}

// InBackoff reports whether a backoff that the engine requested is active.
func (enginePool *EnginePool) InBackoff(now time.Time, id string) bool {
	engine, found := enginePool.enginesByID[id]
	return found && engine.backoff.active(now)
}

// RecordSuccess records that an engine responded and resets its failure count.
func (enginePool *EnginePool) RecordSuccess(id string) {
	if engine, found := enginePool.enginesByID[id]; found {
		engine.failures = 0
	}
}

// Loads returns the daemon's own load by engine id, without idle engines.
func (enginePool *EnginePool) Loads() map[string]Load {
	loads := map[string]Load{}
	for id, engine := range enginePool.enginesByID {
		if engine.ownLoad != (Load{}) {
			loads[id] = engine.ownLoad
		}
	}
	return loads
}

// ApplyReport applies the load report of another daemon.
func (enginePool *EnginePool) ApplyReport(now time.Time, daemon string, report LoadReport) {
	applyReport(now, daemon, report, enginePool.enginesByID, func(engine *engine) *peerLoads { return &engine.peerLoads })
}
