package lwtroleplanner

import (
	"math"

	"lacewingtide/core/lwtscorerouter"
)

// Demand is the work offered to a set of engines per second.
type Demand struct {
	Requests float64
	// PrefillTokens excludes prompt tokens found in prefix caches.
	PrefillTokens float64
	DecodeTokens  float64
	// KVCacheTokens is the sum, over the DecodeTokens, of the KV cache that a
	// stream reserves while it decodes one token: its prompt and output tokens.
	KVCacheTokens float64
}

// RequestDemand returns the demand of one request with the given lengths.
func RequestDemand(promptTokens, cachedTokens, outputTokens float64) Demand {
	return Demand{
		Requests: 1, PrefillTokens: promptTokens - cachedTokens, DecodeTokens: outputTokens,
		KVCacheTokens: outputTokens * (promptTokens + outputTokens),
	}
}

// Add returns the sum of two demands.
func (demand Demand) Add(other Demand) Demand {
	return Demand{
		demand.Requests + other.Requests, demand.PrefillTokens + other.PrefillTokens,
		demand.DecodeTokens + other.DecodeTokens, demand.KVCacheTokens + other.KVCacheTokens,
	}
}

// Scale returns the demand multiplied by a factor.
func (demand Demand) Scale(factor float64) Demand {
	return Demand{
		demand.Requests * factor, demand.PrefillTokens * factor, demand.DecodeTokens * factor, demand.KVCacheTokens * factor,
	}
}

// RoleCounts is the number of engines by role.
type RoleCounts struct {
	Prefill, Decode, Mixed int
}

// Total returns the number of engines.
func (counts RoleCounts) Total() int { return counts.Prefill + counts.Decode + counts.Mixed }

// Throughput holds the tokens per second of one engine in each role while it meets
// the inter-token latency objective.
type Throughput struct {
	Prefill, Decode float64
	// A mixed engine reaches MixedPrefillOnly without decode, MixedDecodeOnly
	// without prefill, or ConcurrentPrefill and ConcurrentDecode at the same time.
	MixedPrefillOnly, MixedDecodeOnly   float64
	ConcurrentPrefill, ConcurrentDecode float64
}

// maxMemoryUtilization is the fraction of an engine's memory that streams fill on
// average. Stream lengths vary, so a higher mean would often exceed the memory.
const maxMemoryUtilization = 0.75

// NewThroughput returns the throughput of an engine with the given cost model and
// memory in tokens. The demand determines how much memory each stream reserves.
// memoryTokens of 0 means unknown and sets no limit.
func NewThroughput(costModel lwtscorerouter.CostModel, memoryTokens float64, demand Demand) Throughput {
	maxLatency := lwtscorerouter.DefaultInterTokenLatency
	maxStreams := math.MaxInt
	if demand.KVCacheTokens > 0 && memoryTokens > 0 {
		maxStreams = max(1, int(maxMemoryUtilization*memoryTokens/(demand.KVCacheTokens/demand.DecodeTokens)))
	}
	decodeStreams := min(maxStreams, int((maxLatency-costModel.StepBase)/costModel.StepPerStream))
	mixedStreams := min(maxStreams, int((maxLatency-costModel.StepTime(0, costModel.MixedChunk))/costModel.StepPerStream))
	return Throughput{
		Prefill:           float64(costModel.PrefillChunk) / costModel.StepTime(0, costModel.PrefillChunk).Seconds(),
		Decode:            float64(decodeStreams) / costModel.StepTime(decodeStreams, 0).Seconds(),
		MixedPrefillOnly:  float64(costModel.MixedChunk) / costModel.StepTime(0, costModel.MixedChunk).Seconds(),
		MixedDecodeOnly:   float64(decodeStreams) / costModel.StepTime(decodeStreams, 0).Seconds(),
		ConcurrentPrefill: float64(costModel.MixedChunk) / costModel.StepTime(mixedStreams, costModel.MixedChunk).Seconds(),
		ConcurrentDecode:  float64(mixedStreams) / costModel.StepTime(mixedStreams, costModel.MixedChunk).Seconds(),
	}
}

// mixedDecodeRate returns the output tokens per second of a mixed engine that
// prefills prefillRate tokens per second. It interpolates linearly between the
// rates in Throughput.
func (throughput Throughput) mixedDecodeRate(prefillRate float64) float64 {
	if prefillRate <= throughput.ConcurrentPrefill {
		return throughput.MixedDecodeOnly -
			(throughput.MixedDecodeOnly-throughput.ConcurrentDecode)*prefillRate/throughput.ConcurrentPrefill
	}
	return throughput.ConcurrentDecode * (throughput.MixedPrefillOnly - prefillRate) /
		(throughput.MixedPrefillOnly - throughput.ConcurrentPrefill)
}

const bisectionSteps = 40

// Capacity returns the multiple of a demand that the engines can serve, or 0 for a
// demand without prefill or decode. It searches by bisection for the prefill rate
// of the mixed engines at which both phases serve the same multiple.
func Capacity(counts RoleCounts, demand Demand, throughput Throughput) float64 {
	if demand.PrefillTokens <= 0 || demand.DecodeTokens <= 0 {
		return 0
	}
	mixed := float64(counts.Mixed)
	phases := func(prefill float64) (float64, float64) {
		return (float64(counts.Prefill)*throughput.Prefill + mixed*prefill) / demand.PrefillTokens,
			(float64(counts.Decode)*throughput.Decode + mixed*throughput.mixedDecodeRate(prefill)) / demand.DecodeTokens
	}
	low, high := 0.0, throughput.MixedPrefillOnly
	for range bisectionSteps {
		middle := (low + high) / 2
		if prefill, decode := phases(middle); prefill < decode {
			low = middle
		} else {
			high = middle
		}
	}
	prefill, decode := phases(high)
	return min(prefill, decode)
}
