package lwtscorerouter

import "time"

// BlockTokens is the size of a memory block in tokens.
const BlockTokens = 2048

// NumPriorities is the number of priorities at an engine.
const NumPriorities = 4

// CostModel are the speeds of an engine by which costs are estimated.
type CostModel struct {
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// StepBase is the time of a decode step without streams.
	StepBase time.Duration
	// StepPerStream is what each stream adds to a decode step.
	StepPerStream time.Duration
	// MixedChunk bounds the prompt tokens of a step of a mixed engine.
	MixedChunk int
	// PrefillChunk bounds the prompt tokens of a step of a prefill engine.
	PrefillChunk int
	// TransferRate is in tokens of KV cache per second between two engines.
	TransferRate float64
	// TransferBase is the fixed time of a transfer.
	TransferBase time.Duration
}

// DefaultCostModel returns the rates of a mid-size engine. An engine that reports
// its own prefill rate overrides the one given here.
func DefaultCostModel() CostModel {
	return CostModel{
		PrefillRate:   20_000,
		StepBase:      8 * time.Millisecond,
		StepPerStream: 100 * time.Microsecond,
		// A chunk of 256 tokens takes 12.8 ms, so that a mixed engine with
		// 112 streams stays at 32 ms between tokens.
		MixedChunk:   256,
		PrefillChunk: BlockTokens,
		TransferRate: 200_000,
		TransferBase: 5 * time.Millisecond,
	}
}

// StepTime returns the time of a step that decodes streams and prefills tokens.
func (rates CostModel) StepTime(streams int, prefill int) time.Duration {
	return rates.StepBase + time.Duration(streams)*rates.StepPerStream +
		time.Duration(float64(prefill)/rates.PrefillRate*float64(time.Second))
}

// TransferTime returns the time to move the KV cache of tokens between engines.
func (rates CostModel) TransferTime(tokens int) time.Duration {
	return rates.TransferBase + time.Duration(float64(tokens)/rates.TransferRate*float64(time.Second))
}

// speeds are Rates in seconds, as the inner loop uses them.
type speeds struct {
	prefillRate, stepBase, stepPerStream, transferRate, transferBase float64
	mixedChunk, prefillChunk                                         float64
}

func (rates CostModel) speeds() speeds {
	return speeds{
		prefillRate: rates.PrefillRate, stepBase: rates.StepBase.Seconds(), stepPerStream: rates.StepPerStream.Seconds(),
		transferRate: rates.TransferRate, transferBase: rates.TransferBase.Seconds(),
		mixedChunk: float64(rates.MixedChunk), prefillChunk: float64(rates.PrefillChunk),
	}
}

// prefillSpeed returns the prompt tokens per second of an engine that decodes
// streams at the same time.
func (speeds speeds) prefillSpeed(mixed bool, streams float64) float64 {
	chunk := speeds.prefillChunk
	if mixed {
		chunk = speeds.mixedChunk
	} else {
		streams = 0
	}
	return chunk / (speeds.stepBase + streams*speeds.stepPerStream + chunk/speeds.prefillRate)
}
