package lwtscorerouter

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
	// queueFactor is the learned wait per second of reported queue.
	queueFactor float64
	// decode is the decode engine for requests that leave their prefill engine.
	decode candidate
	// tryDown has engines considered that were found down.
	tryDown bool
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
	// wait is the queue as reported, in seconds.
	wait float64
	// first and between are seconds.
	first   float64
	between float64
	// full says that the engine lacks memory for the request.
	full bool
}

func (view *View) newJob(now time.Time, request *Request) job {
	priority := request.Class.Priority()
	return job{
		request: request, now: now.UnixNano(), prompt: float64(request.PromptTokens),
		output: float64(request.OutputTokens), priority: priority, queueFactor: view.queues.of(priority),
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
// engine, and whether the engine lacks memory for it. Prefills says that the
// engine prefills at the same time.
func (view *View) decodeCost(job *job, engine *engineView, prefills bool) (score, between float64, full bool) {
	between = view.rates.stepBase + (engine.streams()+1)*view.rates.stepPerStream
	if prefills {
		between += view.rates.mixedChunk / engine.prefillRate
	}
	score = decodeWeight * job.output * between
	if between > view.between {
		score += fullPenalty * (1 + between - view.between)
	}
	full = job.blocks > float64(engine.report.FreeBlocks)-engine.sent.blocks*engine.senders
	if full {
		score += fullPenalty
	}
	return score, between, full
}

// decodeCandidate scores an engine that gets the KV cache from another.
func (view *View) decodeCandidate(job *job, i int32) candidate {
	engine := &view.engines[i]
	score, between, full := view.decodeCost(job, engine, engine.mixed() && engine.prefilling())
	return candidate{engine: i, decode: i, score: score, load: engine.streams(), between: between, full: full}
}

// prefillCandidate scores an engine for the prefill together with the better
// of decoding there and on the job's decode engine.
func (view *View) prefillCandidate(job *job, i int32) (candidate, bool) {
	engine := &view.engines[i]
	speeds := view.rates
	speeds.prefillRate = engine.prefillRate
	speed := speeds.prefillSpeed(engine.mixed(), float64(engine.report.Running))
	saved := min(engine.cache.saved(job.request.PrefixHashes), max(0, job.prompt-1))
	wait := engine.waitingTokens(job.priority, job.elapsed(engine), speed) / speed
	load := wait * job.queueFactor
	work := (job.prompt - saved) / speed
	result := candidate{engine: i, decode: -1, load: load, wait: wait, saved: saved, first: load + work}
	if engine.zone != job.request.AvailabilityZone {
		result.first += hopCost
	}
	if engine.mixed() {
		result.score = result.first + interferenceWeight*work*float64(engine.report.Running)
		cost, between, full := view.decodeCost(job, engine, true)
		result.decode, result.between, result.full = i, between, full
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
		if view.rates.stepBase+engine.streams()*view.rates.stepPerStream+view.rates.mixedChunk/engine.prefillRate > view.between {
			score += fullPenalty
		}
		score += interferenceWeight * float64(engine.report.Running) * (job.prompt - result.saved) / engine.prefillRate
		if score >= result.score {
			return
		}
	}
	result.score, result.between, result.decode = score, job.decode.between, job.decode.engine
	result.full = job.decode.full
	result.first += transfer
}

func (view *View) choice(job *job, best candidate) Choice {
	choice := Choice{
		Engine: view.engines[best.engine].name, TimeToFirstToken: seconds(best.first),
		EndToEndLatency: seconds(best.first + job.output*best.between), InterTokenLatency: seconds(best.between),
		CachedTokens: int(best.saved), MemoryFull: best.full,
		wait: best.wait, work: best.first - best.wait*job.queueFactor, prefill: best.engine, decode: best.decode,
	}
	if best.decode != best.engine {
		choice.DecodeEngine = view.engines[best.decode].name
	}
	return choice
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// serves reports whether an engine may take the request.
func (engine *engineView) serves(job *job) bool {
	return engine.available(job.now, job.tryDown) && engine.hasAdapter(job.request.Adapter)
}
