package lwtscorerouter

import (
	"time"
)

// Weights of the score, which is in seconds of latency.
const (
	// crossZoneCost, in seconds, is added for an engine in another availability zone.
	crossZoneCost = 0.001
	// decodeWeight is the weight of a second of decode relative to a second of
	// time to first token.
	decodeWeight = 0.1
	// interferenceWeight is the weight of a second by which a prefill delays each
	// stream that the same engine decodes.
	interferenceWeight = 0.002
	// capacityPenalty, in seconds, ranks engines without a free stream slot or
	// without memory behind all others.
	capacityPenalty = 1000
)

// decision holds the inputs of one routing decision.
type decision struct {
	request      *Request
	now          int64 // Unix nanoseconds
	promptTokens float64
	outputTokens float64
	// blocks is the memory, in blocks, that the request reserves while it decodes.
	blocks   float64
	priority int
	// queueTimeFactor is the learned ratio of actual to estimated queue time.
	queueTimeFactor float64
	// bestDecode is the decode engine to use when prefill and decode are split.
	// Its engineIndex is -1 when there is none.
	bestDecode candidate
	// includeDown says that engines marked as down are candidates too.
	includeDown bool
}

// candidate is one engine considered for a phase. Times are in seconds.
type candidate struct {
	engineIndex int32
	// decodeIndex is the engine that decodes, which may be the same one, or -1.
	decodeIndex int32
	// score ranks candidates; a lower one is better.
	score float64
	// load is compared with the load bound of the strategies that have one: queue
	// time for a prefill engine, streams for a decode engine.
	load         float64
	cachedTokens float64
	// queueTime is not corrected by the learned factor.
	queueTime         float64
	timeToFirstToken  float64
	interTokenLatency float64
	// memoryFull says that the engine lacks memory for the request.
	memoryFull bool
}

func (view *View) newDecision(now time.Time, request *Request) decision {
	priority := request.Class.Priority()
	return decision{
		request: request, now: now.UnixNano(), promptTokens: float64(request.PromptTokens),
		outputTokens: float64(request.OutputTokens), priority: priority,
		queueTimeFactor: view.queueTimes.forPriority(priority),
		blocks:          float64(request.PromptTokens+request.OutputTokens) / BlockTokens,
		bestDecode:      candidate{engineIndex: -1},
	}
}

// sinceReport returns the seconds since the engine's report was taken, at most 1:
// an older report does not tell how much of its queue is done.
func (decision *decision) sinceReport(engine *engineView) float64 {
	const most = 1.0
	return min(most, max(0, float64(decision.now-engine.reportTakenAt)/float64(time.Second)))
}

// decodeCost returns the score and the inter-token latency in seconds of decoding
// on an engine, and whether the engine lacks memory for the request. Set
// prefillsToo when the engine prefills at the same time.
func (view *View) decodeCost(
	decision *decision, engine *engineView, prefillsToo bool,
) (score, interTokenLatency float64, memoryFull bool) {
	interTokenLatency = view.costs.stepBase + (engine.expectedStreams()+1)*view.costs.stepPerStream
	if prefillsToo {
		interTokenLatency += view.costs.mixedChunk / engine.prefillRate
	}
	score = decodeWeight * decision.outputTokens * interTokenLatency
	if interTokenLatency > view.maxInterTokenLatency {
		score += capacityPenalty * (1 + interTokenLatency - view.maxInterTokenLatency)
	}
	memoryFull = decision.blocks > float64(engine.report.FreeBlocks)-engine.sentSinceReport.blocks*engine.senderFactor
	if memoryFull {
		score += capacityPenalty
	}
	return score, interTokenLatency, memoryFull
}

// scoreDecode scores an engine for a decode whose KV cache comes from another
// engine.
func (view *View) scoreDecode(decision *decision, i int32) candidate {
	engine := &view.engines[i]
	score, interTokenLatency, memoryFull := view.decodeCost(decision, engine,
		engine.isMixed() && engine.hasPromptsWaiting())
	return candidate{
		engineIndex: i, decodeIndex: i, score: score, load: engine.expectedStreams(),
		interTokenLatency: interTokenLatency, memoryFull: memoryFull,
	}
}

// scorePrefill scores an engine for the prefill, with the decode either on the
// same engine or on decision.bestDecode, whichever is better. It returns false
// when neither can decode.
func (view *View) scorePrefill(decision *decision, i int32) (candidate, bool) {
	engine := &view.engines[i]
	rates := view.costs
	rates.prefillRate = engine.prefillRate
	throughput := rates.prefillThroughput(engine.isMixed(), float64(engine.report.Running))
	cachedTokens := min(engine.cache.cachedTokens(decision.request.PrefixHashes), max(0, decision.promptTokens-1))
	queueTime := engine.waitingTokens(decision.priority, decision.sinceReport(engine), throughput) / throughput
	load := queueTime * decision.queueTimeFactor
	prefillTime := (decision.promptTokens - cachedTokens) / throughput
	result := candidate{
		engineIndex: i, decodeIndex: -1, load: load, queueTime: queueTime, cachedTokens: cachedTokens,
		timeToFirstToken: load + prefillTime,
	}
	if engine.zone != decision.request.AvailabilityZone {
		result.timeToFirstToken += crossZoneCost
	}
	if engine.isMixed() {
		result.score = result.timeToFirstToken + interferenceWeight*prefillTime*float64(engine.report.Running)
		cost, interTokenLatency, memoryFull := view.decodeCost(decision, engine, true)
		result.decodeIndex, result.interTokenLatency, result.memoryFull = i, interTokenLatency, memoryFull
		result.score += cost
		result.load += engine.expectedStreams() * rates.stepPerStream
	}
	view.considerSplit(decision, &result, engine)
	result.timeToFirstToken += result.interTokenLatency
	return result, result.decodeIndex >= 0
}

// considerSplit moves the decode to decision.bestDecode when that improves the
// score despite the KV cache transfer.
func (view *View) considerSplit(decision *decision, result *candidate, engine *engineView) {
	if decision.bestDecode.engineIndex < 0 || decision.bestDecode.engineIndex == result.engineIndex {
		return
	}
	transferTime := view.costs.transferBase + decision.promptTokens/view.costs.transferRate
	score := result.timeToFirstToken + transferTime + decision.bestDecode.score
	if engine.isMixed() {
		if view.costs.stepBase+engine.expectedStreams()*view.costs.stepPerStream+view.costs.mixedChunk/engine.prefillRate >
			view.maxInterTokenLatency {
			score += capacityPenalty
		}
		score += interferenceWeight * float64(engine.report.Running) *
			(decision.promptTokens - result.cachedTokens) / engine.prefillRate
		if score >= result.score {
			return
		}
	}
	result.score, result.interTokenLatency, result.decodeIndex = score,
		decision.bestDecode.interTokenLatency, decision.bestDecode.engineIndex
	result.memoryFull = decision.bestDecode.memoryFull
	result.timeToFirstToken += transferTime
}

// newChoice converts the selected candidate into the exported form.
func (view *View) newChoice(decision *decision, best candidate) Choice {
	choice := Choice{
		Engine: view.engines[best.engineIndex].name, TimeToFirstToken: durationFromSeconds(best.timeToFirstToken),
		EndToEndLatency:   durationFromSeconds(best.timeToFirstToken + decision.outputTokens*best.interTokenLatency),
		InterTokenLatency: durationFromSeconds(best.interTokenLatency),
		CachedTokens:      int(best.cachedTokens), MemoryFull: best.memoryFull,
		queueTime: best.queueTime, serviceTime: best.timeToFirstToken - best.queueTime*decision.queueTimeFactor,
		prefillIndex: best.engineIndex, decodeIndex: best.decodeIndex,
	}
	if best.decodeIndex != best.engineIndex {
		choice.DecodeEngine = view.engines[best.decodeIndex].name
	}
	return choice
}

func durationFromSeconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// canServe reports whether an engine may take the request.
func (engine *engineView) canServe(decision *decision) bool {
	return engine.available(decision.now, decision.includeDown) && engine.hasAdapter(decision.request.Adapter)
}
