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
	// HeldTokens is the memory that the decode of each token holds: the
	// tokens of prompt and answer, summed over the DecodeTokens.
	HeldTokens float64
}

// Work returns the demand of one request with the given lengths.
func Work(prompt, cached, output float64) Demand {
	return Demand{Requests: 1, PrefillTokens: prompt - cached, DecodeTokens: output, HeldTokens: output * (prompt + output)}
}

// Plus returns the sum of two demands.
func (demand Demand) Plus(other Demand) Demand {
	return Demand{
		demand.Requests + other.Requests, demand.PrefillTokens + other.PrefillTokens,
		demand.DecodeTokens + other.DecodeTokens, demand.HeldTokens + other.HeldTokens,
	}
}

// Times returns the demand multiplied by a factor.
func (demand Demand) Times(factor float64) Demand {
	return Demand{
		demand.Requests * factor, demand.PrefillTokens * factor, demand.DecodeTokens * factor, demand.HeldTokens * factor,
	}
}

// Counts are the engines in service by role.
type Counts struct {
	Prefill, Decode, Mixed int
}

// Total returns the number of engines.
func (counts Counts) Total() int { return counts.Prefill + counts.Decode + counts.Mixed }

// Speeds are the rates in tokens per second of one engine in each role while
// it keeps the objective for the time between tokens.
type Speeds struct {
	Prefill, Decode float64
	// A mixed engine runs at most MixedPrefill prompt tokens without decode,
	// MixedDecode output tokens without prefill, and both BothPrefill and
	// BothDecode at once.
	MixedPrefill, MixedDecode float64
	BothPrefill, BothDecode   float64
}

// memoryUse is the share of an engine's memory that streams fill on average.
// Lengths differ, so engines turn work away well before the mean fills them.
const memoryUse = 0.75

// NewSpeeds returns the speeds of engines with given rates and memory, whose
// streams hold memory as the demand says. No memory means that it is not known
// and bounds nothing.
func NewSpeeds(rates lwtscorerouter.Rates, memoryTokens float64, demand Demand) Speeds {
	limit := lwtscorerouter.DefaultBetweenTokens
	most := math.MaxInt
	if demand.HeldTokens > 0 && memoryTokens > 0 {
		most = max(1, int(memoryUse*memoryTokens/(demand.HeldTokens/demand.DecodeTokens)))
	}
	decode := min(most, int((limit-rates.StepBase)/rates.StepPerStream))
	mixed := min(most, int((limit-rates.Step(0, rates.MixedChunk))/rates.StepPerStream))
	return Speeds{
		Prefill:      float64(rates.PrefillChunk) / rates.Step(0, rates.PrefillChunk).Seconds(),
		Decode:       float64(decode) / rates.Step(decode, 0).Seconds(),
		MixedPrefill: float64(rates.MixedChunk) / rates.Step(0, rates.MixedChunk).Seconds(),
		MixedDecode:  float64(decode) / rates.Step(decode, 0).Seconds(),
		BothPrefill:  float64(rates.MixedChunk) / rates.Step(mixed, rates.MixedChunk).Seconds(),
		BothDecode:   float64(mixed) / rates.Step(mixed, rates.MixedChunk).Seconds(),
	}
}

// mixedDecode returns the output tokens per second of a mixed engine that also
// prefills at a rate.
func (speeds Speeds) mixedDecode(prefill float64) float64 {
	if prefill <= speeds.BothPrefill {
		return speeds.MixedDecode - (speeds.MixedDecode-speeds.BothDecode)*prefill/speeds.BothPrefill
	}
	return speeds.BothDecode * (speeds.MixedPrefill - prefill) / (speeds.MixedPrefill - speeds.BothPrefill)
}

const capacitySteps = 40

// Capacity returns the multiple of a demand that engines can serve.
func Capacity(counts Counts, demand Demand, speeds Speeds) float64 {
	if demand.PrefillTokens <= 0 || demand.DecodeTokens <= 0 {
		return 0
	}
	mixed := float64(counts.Mixed)
	phases := func(prefill float64) (float64, float64) {
		return (float64(counts.Prefill)*speeds.Prefill + mixed*prefill) / demand.PrefillTokens,
			(float64(counts.Decode)*speeds.Decode + mixed*speeds.mixedDecode(prefill)) / demand.DecodeTokens
	}
	low, high := 0.0, speeds.MixedPrefill
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
