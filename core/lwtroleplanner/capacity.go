package lwtroleplanner

import (
	"math"

	"lacewingtide/core/lwtscorerouter"
)

// Demand is the work offered to a group of engines per second.
type Demand struct {
	Requests float64
	// PrefillTokens leaves out what prefix caches save.
	PrefillTokens float64
	DecodeTokens  float64
	// KVCacheTokens is the memory that the decode of each token holds: the
	// tokens of prompt and answer, summed over the DecodeTokens.
	KVCacheTokens float64
}

// RequestDemand returns the demand of one request with the given lengths.
func RequestDemand(prompt, cached, output float64) Demand {
	return Demand{Requests: 1, PrefillTokens: prompt - cached, DecodeTokens: output, KVCacheTokens: output * (prompt + output)}
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

// RoleCounts are the engines in service by role.
type RoleCounts struct {
	Prefill, Decode, Mixed int
}

// Total returns the number of engines.
func (counts RoleCounts) Total() int { return counts.Prefill + counts.Decode + counts.Mixed }

// Throughput are the rates in tokens per second of one engine in each role while
// it keeps the objective for the time between tokens.
type Throughput struct {
	Prefill, Decode float64
	// A mixed engine runs at most MixedPrefill prompt tokens without decode,
	// MixedDecode output tokens without prefill, and both BothPrefill and
	// BothDecode at once.
	MixedPrefillOnly, MixedDecodeOnly   float64
	ConcurrentPrefill, ConcurrentDecode float64
}

// memoryUse is the share of an engine's memory that streams fill on average.
// Lengths differ, so engines turn work away well before the mean fills them.
const memoryUse = 0.75

// NewThroughput returns the speeds of engines with given rates and memory, whose
// streams hold memory as the demand says. No memory means that it is not known
// and bounds nothing.
func NewThroughput(rates lwtscorerouter.CostModel, memoryTokens float64, demand Demand) Throughput {
	limit := lwtscorerouter.DefaultInterTokenLatency
	most := math.MaxInt
	if demand.KVCacheTokens > 0 && memoryTokens > 0 {
		most = max(1, int(memoryUse*memoryTokens/(demand.KVCacheTokens/demand.DecodeTokens)))
	}
	decode := min(most, int((limit-rates.StepBase)/rates.StepPerStream))
	mixed := min(most, int((limit-rates.StepTime(0, rates.MixedChunk))/rates.StepPerStream))
	return Throughput{
		Prefill:           float64(rates.PrefillChunk) / rates.StepTime(0, rates.PrefillChunk).Seconds(),
		Decode:            float64(decode) / rates.StepTime(decode, 0).Seconds(),
		MixedPrefillOnly:  float64(rates.MixedChunk) / rates.StepTime(0, rates.MixedChunk).Seconds(),
		MixedDecodeOnly:   float64(decode) / rates.StepTime(decode, 0).Seconds(),
		ConcurrentPrefill: float64(rates.MixedChunk) / rates.StepTime(mixed, rates.MixedChunk).Seconds(),
		ConcurrentDecode:  float64(mixed) / rates.StepTime(mixed, rates.MixedChunk).Seconds(),
	}
}

// mixedDecode returns the output tokens per second of a mixed engine that also
// prefills at a rate.
func (speeds Throughput) mixedDecode(prefill float64) float64 {
	if prefill <= speeds.ConcurrentPrefill {
		return speeds.MixedDecodeOnly - (speeds.MixedDecodeOnly-speeds.ConcurrentDecode)*prefill/speeds.ConcurrentPrefill
	}
	return speeds.ConcurrentDecode * (speeds.MixedPrefillOnly - prefill) / (speeds.MixedPrefillOnly - speeds.ConcurrentPrefill)
}

const capacitySteps = 40

// Capacity returns the multiple of a demand that engines can serve.
func Capacity(counts RoleCounts, demand Demand, speeds Throughput) float64 {
	if demand.PrefillTokens <= 0 || demand.DecodeTokens <= 0 {
		return 0
	}
	mixed := float64(counts.Mixed)
	phases := func(prefill float64) (float64, float64) {
		return (float64(counts.Prefill)*speeds.Prefill + mixed*prefill) / demand.PrefillTokens,
			(float64(counts.Decode)*speeds.Decode + mixed*speeds.mixedDecode(prefill)) / demand.DecodeTokens
	}
	low, high := 0.0, speeds.MixedPrefillOnly
	for range capacitySteps {
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
