package lwtqueueplacement

import (
	"slices"
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtroutetable"
)

// Options are the figures that decisions depend on.
type Options struct {
	// AvailabilityZone is the daemon's own.
	AvailabilityZone string
	// PrefillTimePerToken is how long a prefill engine needs for one token, before any is measured.
	PrefillTimePerToken time.Duration
}

// EnginePool places the generations of one service. It is changed in place by its
// owner and is not safe for concurrent use.
type EnginePool struct {
	terms   Options
	engine  lwtroutetable.EngineSpec
	engines map[string]*engine
	// order holds the engines sorted by id.
	order []*engine
	// tokenTime is the measured time to prefill one token, in seconds.
	tokenTime float64
	// hitShare is the share of shared tokens found in memory where they are
	// expected.
	hitShare float64
}

// NewEnginePool returns a model without engines.
func NewEnginePool(terms Options) *EnginePool {
	return &EnginePool{terms: terms, engines: map[string]*engine{}, tokenTime: terms.PrefillTimePerToken.Seconds(), hitShare: firstHitShare}
}

// SetServers sets the engines of the service. What is known of an engine is
// forgotten when it has started again.
func (model *EnginePool) SetServers(kind lwtroutetable.EngineSpec, servers []lwtdiscovery.Server) {
	model.engine = kind
	engines := map[string]*engine{}
	model.order = model.order[:0]
	for _, server := range servers {
		known, found := model.engines[server.ID]
		if !found || !known.server.SameIncarnation(server) {
			known = &engine{hash: hash(server.ID), parts: map[uint64]time.Time{}}
		}
		known.server = server
		engines[server.ID] = known
		model.order = append(model.order, known)
	}
	model.engines = engines
	slices.SortFunc(model.order, func(a, b *engine) int {
		if a.server.ID < b.server.ID {
			return -1
		}
		return 1
	})
}

// Placement is where a generation runs.
type Placement struct {
	// Prefill is the engine that prefills the prompt. Its id is empty when Run does
	// it itself.
	Prefill lwtdiscovery.Server
	// Decode generates the tokens. If another engine prefills the prompt, ChooseRun
	// chooses it again after that.
	Decode lwtdiscovery.Server
	// PrefillTime is the estimated time to prefill the prompt, without waiting.
	PrefillTime time.Duration
	// QueueTime is the estimated time until the prompt's turn.
	QueueTime time.Duration
	// PrefixCached says that the shared parts are expected to be in memory.
	PrefixCached bool
	// PrefillOverflow says that a decode engine prefills the prompt because no prefill
	// engine has room.
	PrefillOverflow bool
}

// PlacementRequest is one generation that asks for a place.
type PlacementRequest struct {
	Request lwtroutetable.Request
	// TimeToObjective is the time left until the objective; it is negative when it has passed.
	TimeToObjective time.Duration
	// TimeToDeadline is the time left until the caller gives up.
	TimeToDeadline time.Duration
	// SingleEngine asks for an engine that both prefills and runs the request.
	SingleEngine bool
	// KVCacheHolder is the engine that holds the prompt's KV cache; then only an engine
	// that runs the request is needed. Its id is empty when none does.
	KVCacheHolder lwtdiscovery.Server
	// Excluded are engines that have refused or failed this request.
	Excluded map[string]bool
}

// Rejection says why there is no place and when to come back.
type Rejection struct {
	Reason     string
	RetryAfter time.Duration
}

// Place chooses the engines of a generation. With a refusal, the choice is the best
// one that was not good enough, if there is any.
func (model *EnginePool) Place(now time.Time, demand PlacementRequest) (Placement, *Rejection) {
	run := model.pickRun(now, demand)
	if run == nil {
		return Placement{}, model.refuseAll(now)
	}
	if refusal := model.refuseRun(now, run); refusal != nil {
		return Placement{}, refusal
	}
	if demand.KVCacheHolder.ID != "" {
		return model.ChooseDecode(now, demand, Placement{Prefill: demand.KVCacheHolder, Decode: run.server}), nil
	}
	uncached := model.prefillTime(demand.Request.PromptTokens)
	if demand.SingleEngine || decodeSlowness*uncached <= directPrefill {
		return Placement{Decode: run.server, PrefillTime: decodeSlowness * uncached}, nil
	}
	prefill, choice := model.pickPrefill(now, demand, lwtdiscovery.Prefill)
	if prefill != nil && model.refuse(demand, choice) == nil {
		choice.Decode = run.server
		return choice, nil
	}
	return model.prefillAtDecode(now, demand, choice)
}

// refuseRun refuses a request when the engine with the fewest has so many that
// the last of them would wait longer than callers do for a first event.
func (model *EnginePool) refuseRun(now time.Time, run *engine) *Rejection {
	slots := model.engine.Slots
	if slots <= 0 || float64(run.running(now)) < runQueue*float64(slots) {
		return nil
	}
	return &Rejection{Reason: "decode-engines-full", RetryAfter: runRetry}
}

// prefillAtDecode has a decode engine prefill and run the request, when the
// prefill engines have no room. It prefills at half the speed, between the tokens
// of others, so it takes one prompt at a time and only beside few runs.
func (model *EnginePool) prefillAtDecode(now time.Time, demand PlacementRequest, full Placement) (Placement, *Rejection) {
	prefill, choice := model.pickPrefill(now, demand, lwtdiscovery.Decode)
	if prefill != nil && prefill.running(now) <= spillRunning && choice.QueueTime == 0 && model.refuse(demand, choice) == nil {
		choice.Decode, choice.Prefill, choice.PrefillOverflow = choice.Prefill, lwtdiscovery.Server{}, true
		return choice, nil
	}
	return full, model.refuse(demand, full)
}

// Times of placement.
const (
	// directPrefill is the time to prefill a prompt up to which a decode engine
	// does it itself: less than a second hop and the transfer take.
	directPrefill = 4 * time.Millisecond
	// decodeSlowness is how much longer a decode engine prefills a prompt.
	decodeSlowness = 2
	// runQueue is the number of requests for each slot beyond which a decode
	// engine takes no more.
	runQueue = 2.2
	// spillRunning is the number of requests on a decode engine up to which it
	// prefills a long prompt beside them. Each of their tokens waits for a piece of it.
	spillRunning = 5
	// runRetry is when to come back if the decode engines are full: a chat runs
	// for some seconds.
	runRetry = 400 * time.Millisecond
	// noEngineRetry is when to come back if no engine is known.
	noEngineRetry = 500 * time.Millisecond
	// answerMargin is what passes between the end of the prefill and the first
	// event at the caller: the transfer, the first step, and two network hops.
	answerMargin = 25 * time.Millisecond
	// minRetry and maxRetry bound when refused callers come back.
	minRetry = 600 * time.Millisecond
	maxRetry = 2 * time.Second
	// lateWait is the longest wait of a request that will be late.
	lateWait = 90 * time.Millisecond
)

// refuse decides whether a request that would be late is refused. One that is
// late whatever is done waits no longer than leaves the queue to those that can
// still be on time.
func (model *EnginePool) refuse(demand PlacementRequest, choice Placement) *Rejection {
	total := choice.QueueTime + choice.PrefillTime + answerMargin
	switch {
	case total <= demand.TimeToObjective:
		return nil
	case choice.QueueTime <= lateWait && total <= demand.TimeToDeadline:
		return nil
	}
	return &Rejection{Reason: "engines-full", RetryAfter: min(max(choice.QueueTime, minRetry), maxRetry)}
}

// prefillTime returns how long a prefill engine needs for tokens.
func (model *EnginePool) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * model.tokenTime * float64(time.Second))
}

// pickPrefill chooses the engine of a stage on which the prompt is prefilled first. A
// prompt whose parts are not cached also takes time from the prompts behind it,
// so its prefill counts more than its wait.
func (model *EnginePool) pickPrefill(now time.Time, demand PlacementRequest, stage lwtdiscovery.Stage) (*engine, Placement) {
	var best *engine
	var choice Placement
	var bestCost time.Duration
	key := hash(demand.Request.SharedPrefixKey())
	home := model.home(key, stage)
	for _, engine := range model.order {
		if engine.server.Stage != stage || !engine.usable(now, demand) {
			continue
		}
		cached := engine == home || now.Sub(engine.parts[key]) < partMemory
		tokens := demand.Request.PromptTokens
		if cached {
			tokens -= min(int(model.hitShare*float64(demand.Request.SharedPrefixTokens())), tokens)
		}
		took := model.prefillTime(tokens)
		if stage == lwtdiscovery.Decode {
			took *= decodeSlowness
		}
		waiting := engine.prefillLeft(now)
		cost := waiting + missWeight*took
		if engine.avoided(now) {
			cost += avoidedCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = engine, cost
			choice = Placement{Prefill: engine.server, PrefillTime: took, QueueTime: waiting, PrefixCached: cached}
		}
	}
	return best, choice
}

// firstHitShare is the share of shared tokens found in memory before any
// prefill is measured.
const firstHitShare = 0.7

// missWeight weighs the prefill of a prompt against its wait.
const missWeight = 16

// home returns the engine of a stage where the parts of a prompt are kept. Key is the
// hash of its last shared part.
func (model *EnginePool) home(key uint64, stage lwtdiscovery.Stage) *engine {
	var best *engine
	var most uint64
	for _, engine := range model.order {
		if engine.server.Stage != stage || engine.server.Draining {
			continue
		}
		if weight := weight(engine.hash, key); best == nil || weight > most {
			best, most = engine, weight
		}
	}
	return best
}

func (engine *engine) usable(now time.Time, demand PlacementRequest) bool {
	return !engine.server.Draining && !engine.changing && !engine.pause.holds(now) && !demand.Excluded[engine.server.ID]
}

// refuseAll refuses a request that no engine can run.
func (model *EnginePool) refuseAll(now time.Time) *Rejection {
	var paused time.Time
	for _, engine := range model.order {
		if engine.server.Stage != lwtdiscovery.Prefill && !engine.server.Draining {
			paused = engine.pause.earlier(now, paused)
		}
	}
	if refusal := pauseRefusal(now, paused); refusal != nil {
		return refusal
	}
	return &Rejection{Reason: "no-decode-engine", RetryAfter: noEngineRetry}
}

// avoided reports whether an engine has failed lately. It is used only when no
// other is left, because a failure that all engines share says nothing of one.
func (engine *engine) avoided(now time.Time) bool { return now.Before(engine.avoidUntil) }

// avoidedCost and avoidedRunning put engines that failed behind all others.
const (
	avoidedCost    = time.Minute
	avoidedRunning = 1 << 20
)

// pickRun chooses the decode engine with the fewest requests; equals are taken
// in the daemon's own availability zone.
func (model *EnginePool) pickRun(now time.Time, demand PlacementRequest) *engine {
	return model.leastRunning(now, demand, model.terms.AvailabilityZone)
}

// ChooseDecode chooses the engine that runs a request after its prefill, which
// takes longer than most runs: other engines have become free meanwhile. One in
// the availability zone of the prefill engine is preferred, because a transfer
// between zones takes twice as long.
func (model *EnginePool) ChooseDecode(now time.Time, demand PlacementRequest, choice Placement) Placement {
	if run := model.leastRunning(now, demand, choice.Prefill.AvailabilityZone); run != nil {
		choice.Decode = run.server
	}
	return choice
}

// zonePenalty is the number of running requests for which an engine in another
// availability zone is preferred.
const zonePenalty = 3

func (model *EnginePool) leastRunning(now time.Time, demand PlacementRequest, zone string) *engine {
	var best *engine
	least := 0
	for _, engine := range model.order {
		if engine.server.Stage == lwtdiscovery.Prefill || !engine.usable(now, demand) {
			continue
		}
		running := engine.running(now)
		if engine.server.AvailabilityZone != zone {
			running += zonePenalty
		}
		if engine.avoided(now) {
			running += avoidedRunning
		}
		if best == nil || running < least {
			best, least = engine, running
		}
	}
	return best
}
