package lwtscorerouter

import "time"

// BlockTokens is the size of a block, the unit of engine memory, in tokens of KV cache.
const BlockTokens = 2048

// NumPriorities is the number of request priorities.
const NumPriorities = 4

// CostModel describes the speed of an engine, for latency estimates.
type CostModel struct {
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// StepBase is the fixed time of a decode step.
	StepBase time.Duration
	// StepPerStream is the time that each stream adds to a decode step.
	StepPerStream time.Duration
	// MixedChunk is the most prompt tokens that a mixed engine prefills in a step.
	MixedChunk int
	// PrefillChunk is the most prompt tokens that a prefill engine prefills in a step.
	PrefillChunk int
	// TransferRate is the speed of a KV cache transfer, in tokens per second.
	TransferRate float64
	// TransferBase is the fixed time of a KV cache transfer.
	TransferBase time.Duration
}

// DefaultCostModel returns the cost model of a mid-size engine. A prefill rate
// reported by an engine overrides the one given here.
func DefaultCostModel() CostModel {
	return CostModel{
		PrefillRate:   20_000,
		StepBase:      8 * time.Millisecond,
		StepPerStream: 100 * time.Microsecond,
		// A chunk of 256 tokens takes 12.8 ms, so a mixed engine with 112 streams
		// has an inter-token latency of 32 ms.
		MixedChunk:   256,
		PrefillChunk: BlockTokens,
		TransferRate: 200_000,
		TransferBase: 5 * time.Millisecond,
	}
}

// StepTime returns the time of a step that decodes one token of each stream and
// prefills prefillTokens.
func (costModel CostModel) StepTime(streams int, prefillTokens int) time.Duration {
	return costModel.StepBase + time.Duration(streams)*costModel.StepPerStream +
		time.Duration(float64(prefillTokens)/costModel.PrefillRate*float64(time.Second))
}

// TransferTime returns the time to transfer the KV cache of so many tokens.
func (costModel CostModel) TransferTime(tokens int) time.Duration {
	return costModel.TransferBase + time.Duration(float64(tokens)/costModel.TransferRate*float64(time.Second))
}

// costRates holds a CostModel as floats, with times in seconds, so that scoring
// an engine needs no conversions.
type costRates struct {
	prefillRate, stepBase, stepPerStream, transferRate, transferBase float64
	mixedChunk, prefillChunk                                         float64
}

func (costModel CostModel) rates() costRates {
	return costRates{
		prefillRate: costModel.PrefillRate, stepBase: costModel.StepBase.Seconds(),
		stepPerStream: costModel.StepPerStream.Seconds(), transferRate: costModel.TransferRate,
		transferBase: costModel.TransferBase.Seconds(), mixedChunk: float64(costModel.MixedChunk),
		prefillChunk: float64(costModel.PrefillChunk),
	}
}

// prefillThroughput returns the prompt tokens per second of an engine. A mixed
// engine decodes the given number of streams at the same time.
func (rates costRates) prefillThroughput(mixed bool, streams float64) float64 {
	chunk := rates.prefillChunk
	if mixed {
		chunk = rates.mixedChunk
	} else {
		streams = 0
	}
	return chunk / (rates.stepBase + streams*rates.stepPerStream + chunk/rates.prefillRate)
}
