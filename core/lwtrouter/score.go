package lwtrouter

import (
	"time"
)

// Weights of the score, which is in seconds of delay.
const (
	// hopCost is added for an engine in another availability zone.
	hopCost = 0.001
	// decodeWeight is the weight of a second of decode against a second
	// before the first token.
	decodeWeight = 0.1
	// interferenceWeight is the weight of a second by which a prefill delays
	// a stream that the same engine decodes.
	interferenceWeight = 0.002
	// fullPenalty, in seconds, ranks engines without a free stream slot or
	// without memory behind all others.
	fullPenalty = 1000
)

// job is a decision in progress.
type job struct {
	request  *Request
	now      int64
	prompt   float64
	output   float64
	blocks   float64
	priority int
	// decode is the decode engine for requests that leave their prefill engine.
	decode candidate
}

// candidate is one engine considered for a phase.
type candidate struct {
	engine int32
	// decode is the engine that decodes: engine itself or another.
	decode int32
	// score ranks candidates; a lower one is better.
	score float64
	// load is the queue that the rules with a load bound compare.
	load  float64
	saved float64
	// first and between are seconds.
	first   float64
	between float64
}

func (view *View) newJob(now time.Time, request *Request) job {
	return job{
		request: request, now: now.UnixNano(), prompt: float64(request.PromptTokens),
		output: float64(request.OutputTokens), priority: Priority(request.Class),
		blocks: float64(request.PromptTokens+request.OutputTokens) / BlockTokens,
		decode: candidate{engine: -1},
	}
}

// elapsed returns the seconds since the engine's report was taken. Beyond a
// second the report says nothing of how far the engine has come.
func (job *job) elapsed(engine *engineView) float64 {
	const most = 1.0
	return min(most, max(0, float64(job.now-engine.takenAt)/float64(time.Second)))
}

// decodeCost returns the score and the time between tokens of decoding on an
// engine.
func (view *View) decodeCost(job *job, engine *engineView) (score, between float64) {
	between = view.rates.stepBase + (engine.streams()+1)*view.rates.stepPerStream
	if engine.mixed() {
		between += view.rates.mixedChunk / engine.prefillRate
	}
	score = decodeWeight * job.output * between
	if between > view.between {
		score += fullPenalty * (1 + between - view.between)
	}
	if job.blocks > float64(engine.report.FreeBlocks)-engine.sent.blocks {
		score += fullPenalty
	}
	return score, between
}

// decodeCandidate scores an engine that gets the KV cache from another.
func (view *View) decodeCandidate(job *job, i int32) candidate {
	engine := &view.engines[i]
	score, between := view.decodeCost(job, engine)
	return candidate{engine: i, decode: i, score: score, load: engine.streams(), between: between}
}

// prefillCandidate scores an engine for the prefill together with the better
// of decoding there and on the job's decode engine.
func (view *View) prefillCandidate(job *job, i int32) (candidate, bool) {
	engine := &view.engines[i]
	speeds := view.rates
	speeds.prefillRate = engine.prefillRate
	speed := speeds.prefillSpeed(engine.mixed(), float64(engine.report.Running))
	saved := min(engine.cache.saved(job.request.Prefixes), max(0, job.prompt-1))
	load := engine.waitingTokens(job.priority, job.elapsed(engine), speed) / speed
	work := (job.prompt - saved) / speed
	result := candidate{engine: i, decode: -1, load: load, saved: saved, first: load + work}
	if engine.zone != job.request.AvailabilityZone {
		result.first += hopCost
	}
	if engine.mixed() {
		result.score = result.first + interferenceWeight*work*float64(engine.report.Running)
		cost, between := view.decodeCost(job, engine)
		result.decode, result.between = i, between
		result.score += cost
		result.load += engine.streams() * speeds.stepPerStream
	}
	view.addSplit(job, &result, engine)
	result.first += result.between
	return result, result.decode >= 0
}

// addSplit moves the decode to another engine when that pays for the transfer.
func (view *View) addSplit(job *job, result *candidate, engine *engineView) {
	if job.decode.engine < 0 || job.decode.engine == result.engine {
		return
	}
	transfer := view.rates.transferBase + job.prompt/view.rates.transferRate
	score := result.first + transfer + job.decode.score
	if engine.mixed() {
		score += interferenceWeight * float64(engine.report.Running) * (job.prompt - result.saved) / engine.prefillRate
		if score >= result.score {
			return
		}
	}
	result.score, result.between, result.decode = score, job.decode.between, job.decode.engine
	result.first += transfer
}

func (view *View) choice(best candidate, output float64) Choice {
	choice := Choice{
		Engine: view.engines[best.engine].name, FirstToken: seconds(best.first),
		Whole: seconds(best.first + output*best.between), BetweenTokens: seconds(best.between),
		CachedTokens: int(best.saved), prefill: best.engine, decode: best.decode,
	}
	if best.decode != best.engine {
		choice.DecodeEngine = view.engines[best.decode].name
	}
	return choice
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// serves reports whether an engine may take the request.
func (engine *engineView) serves(job *job) bool {
	return engine.available(job.now) && engine.hasAdapter(job.request.Adapter)
}
