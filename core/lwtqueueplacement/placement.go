package lwtqueueplacement

import (
	"slices"
	"time"

	"lacewingtide/core/lwtdiscovery"
	"lacewingtide/core/lwtroutetable"
)

// Options configures an EnginePool.
type Options struct {
	// AvailabilityZone is the zone of the daemon.
	AvailabilityZone string
	// PrefillTimePerToken is the initial estimate of the time in which a prefill engine
	// prefills one token.
	PrefillTimePerToken time.Duration
	// RateLimits holds the rate limits of the engines. Nil means none.
	RateLimits RateLimits
}

// EnginePool places the requests of one service on its engines. It is not safe for
// concurrent use.
type EnginePool struct {
	options     Options
	spec        lwtroutetable.EngineSpec
	enginesByID map[string]*engine
	// engines holds the engines sorted by id.
	engines []*engine
	// versions holds the software versions of the engines, sorted.
	versions []string
	backoffs backoffs
	// prefillSecondsPerToken is the estimated time in which a prefill engine prefills one
	// token, in seconds.
	prefillSecondsPerToken float64
	// prefixHitRate is the estimated fraction of shared tokens that are found in the prefix
	// cache of an engine that is expected to hold them.
	prefixHitRate float64
}

// NewEnginePool returns a pool without engines.
func NewEnginePool(options Options) *EnginePool {
	if options.RateLimits == nil {
		options.RateLimits = unlimited{}
	}
	return &EnginePool{
		options: options, enginesByID: map[string]*engine{}, prefillSecondsPerToken: options.PrefillTimePerToken.Seconds(),
		prefixHitRate: initialPrefixHitRate, backoffs: backoffs{},
	}
}

// SetServers sets the engines of the service and their common properties. The state of an
// engine that has restarted is reset.
func (enginePool *EnginePool) SetServers(spec lwtroutetable.EngineSpec, servers []lwtdiscovery.Server) {
	enginePool.spec = spec
	engines := map[string]*engine{}
	enginePool.engines, enginePool.versions = enginePool.engines[:0], enginePool.versions[:0]
	for _, server := range servers {
		if !slices.Contains(enginePool.versions, server.Version) {
			enginePool.versions = append(enginePool.versions, server.Version)
		}
		pooled, found := enginePool.enginesByID[server.ID]
		if !found || !pooled.server.SameIncarnation(server) {
			pooled = &engine{
				hash: hash(server.ID), prefixSentAt: map[uint64]time.Time{}, backoff: enginePool.backoffs[incarnationOf(server)],
			}
		}
		pooled.server = server
		engines[server.ID] = pooled
		enginePool.engines = append(enginePool.engines, pooled)
	}
	enginePool.enginesByID = engines
	slices.Sort(enginePool.versions)
	slices.SortFunc(enginePool.engines, func(a, b *engine) int {
		if a.server.ID < b.server.ID {
			return -1
		}
		return 1
	})
}

// Placement names the engines of a request and the estimates that led to them.
type Placement struct {
	// Prefill is the engine that prefills the prompt. Its id is empty if Decode does it.
	Prefill lwtdiscovery.Server
	// Decode is the engine that generates the tokens. If another engine prefills the prompt,
	// ChooseDecode chooses it again after the prefill.
	Decode lwtdiscovery.Server
	// PrefillTime is the estimated time to prefill the prompt, without QueueTime.
	PrefillTime time.Duration
	// QueueTime is the estimated time that the prompt waits before its prefill.
	QueueTime time.Duration
	// PrefixCached reports whether the shared prefix is expected to be cached there.
	PrefixCached bool
	// PrefillOverflow reports whether a decode engine prefills the prompt because all prefill
	// engines are full.
	PrefillOverflow bool
	// cost ranks placements of the same request on engines of different software versions.
	cost placementCost
}

// placementCost is the cost of a placement: that of the prefill and, if it is the same, the number of
// requests on the decode engine.
type placementCost struct {
	prefill time.Duration
	running int
}

func (cost placementCost) less(other placementCost) bool {
	if cost.prefill != other.prefill {
		return cost.prefill < other.prefill
	}
	return cost.running < other.running
}

// PlacementRequest is a request to be placed.
type PlacementRequest struct {
	Request lwtroutetable.Request
	// TimeToObjective is the time left until the latency objective is missed. It is negative
	// after that.
	TimeToObjective time.Duration
	// TimeToDeadline is the time left until the caller gives up.
	TimeToDeadline time.Duration
	// SingleEngine asks for one engine for both prefill and decode.
	SingleEngine bool
	// KVCacheHolder is the engine that holds the prompt's KV cache, so that only a decode
	// engine is needed. Its id is empty if there is none.
	KVCacheHolder lwtdiscovery.Server
	// Excluded holds the ids of engines that rejected or failed this request.
	Excluded map[string]bool
	// Continues says that the request goes on with a stream of which its caller has received events.
	Continues bool
	// Version is the only software version that may run the request, if VersionFixed is set.
	Version      string
	VersionFixed bool
}

// Rejection says why a request was not placed and after which time to retry it.
type Rejection struct {
	Reason     string
	RetryAfter time.Duration
	// ReadyIn is the time until an engine is expected to take the request that is changing its stage now,
	// or 0 if there is none. The request may wait for it.
	ReadyIn time.Duration
}

// Place chooses the engines of a request, all of one software version: what one version writes, an
// engine of another one can't read. If it rejects the request, the placement is the best one that was
// found, or zero.
func (enginePool *EnginePool) Place(now time.Time, request PlacementRequest) (Placement, *Rejection) {
	if request.KVCacheHolder.ID != "" {
		request.Version, request.VersionFixed = request.KVCacheHolder.Version, true
	}
	if request.VersionFixed || len(enginePool.versions) < 2 {
		return enginePool.placeWithinVersion(now, request)
	}
	var best Placement
	var rejection *Rejection
	for i, version := range enginePool.versions {
		request.Version, request.VersionFixed = version, true
		placement, rejected := enginePool.placeWithinVersion(now, request)
		better := rejected == nil && (rejection != nil || placement.cost.less(best.cost)) ||
			rejected != nil && rejection != nil && rejected.RetryAfter < rejection.RetryAfter
		if i == 0 || better {
			best, rejection = placement, rejected
		}
	}
	return best, rejection
}

// placeWithinVersion is Place for engines that request allows, which have the same version.
func (enginePool *EnginePool) placeWithinVersion(now time.Time, request PlacementRequest) (Placement, *Rejection) {
	decodeEngine, running := enginePool.chooseInitialDecode(now, request)
	if decodeEngine == nil {
		rejection := enginePool.rejectWithoutEngine(now, lwtdiscovery.Decode, reasonNoDecodeEngine)
		if rejection.Reason == reasonNoDecodeEngine && request.Continues {
			delay, changing := enginePool.decodeRetryAfter(now, request)
			rejection.RetryAfter = max(delay, noEngineRetryAfter)
			if changing {
				rejection.ReadyIn = delay
			}
		}
		return Placement{}, rejection
	}
	if rejection := enginePool.rejectIfDecodeFull(now, decodeEngine); rejection != nil {
		return Placement{}, rejection
	}
	if request.KVCacheHolder.ID != "" {
		return enginePool.ChooseDecode(now, request, Placement{
			Prefill: request.KVCacheHolder, Decode: decodeEngine.server,
		}), nil
	}
	uncached := enginePool.prefillTime(request.Request.PromptTokens)
	if request.SingleEngine || decodePrefillFactor*uncached <= maxSingleEnginePrefillTime {
		return Placement{
			Decode: decodeEngine.server, PrefillTime: decodePrefillFactor * uncached, cost: placementCost{running: running},
		}, nil
	}
	prefillEngine, placement := enginePool.choosePrefillEngine(now, request, lwtdiscovery.Prefill)
	if prefillEngine != nil && enginePool.rejectIfLate(request, placement) == nil {
		placement.Decode, placement.cost.running = decodeEngine.server, running
		return placement, nil
	}
	return enginePool.prefillOnDecodeEngine(now, request, placement)
}

// reasonNoDecodeEngine is the reason of a rejection, as logged: no decode engine is usable.
const reasonNoDecodeEngine = "no-decode-engine"

// rejectIfDecodeFull rejects a request if the least loaded decode engine has so many requests
// that a further one would wait longer for its first event than callers do.
func (enginePool *EnginePool) rejectIfDecodeFull(now time.Time, decodeEngine *engine) *Rejection {
	slots := enginePool.spec.Slots
	if slots <= 0 || float64(decodeEngine.running(now)) < maxDecodeRequestsPerSlot*float64(slots) {
		return nil
	}
	return &Rejection{Reason: "decode-engines-full", RetryAfter: decodeFullRetryAfter}
}

// prefillOnDecodeEngine places both stages on a decode engine if the prefill engines are
// full or none is usable. Overloaded is the best placement with a prefill engine, or zero. A
// decode engine prefills at half the speed, interleaved with decode steps, so it takes one
// prompt at a time and only while it decodes few requests.
func (enginePool *EnginePool) prefillOnDecodeEngine(
	now time.Time, request PlacementRequest, overloaded Placement,
) (Placement, *Rejection) {
	decodeEngine, placement := enginePool.choosePrefillEngine(now, request, lwtdiscovery.Decode)
	idle := decodeEngine != nil && decodeEngine.running(now) <= maxOverflowRunning && placement.QueueTime == 0
	if decodeEngine != nil && (idle || request.Continues) && enginePool.rejectIfLate(request, placement) == nil {
		placement.Decode, placement.Prefill, placement.PrefillOverflow = placement.Prefill, lwtdiscovery.Server{}, true
		return placement, nil
	}
	if overloaded.Prefill.ID == "" {
		return Placement{}, enginePool.rejectWithoutEngine(now, lwtdiscovery.Prefill, "no-prefill-engine")
	}
	return overloaded, enginePool.rejectIfLate(request, overloaded)
}

const (
	// maxSingleEnginePrefillTime is the longest prefill that a decode engine always does
	// itself. A second network hop and the KV cache transfer take longer.
	maxSingleEnginePrefillTime = 4 * time.Millisecond
	// decodePrefillFactor is the prefill time on a decode engine relative to a prefill engine.
	decodePrefillFactor = 2
	// maxDecodeRequestsPerSlot is the number of requests per slot, running and queued, at which
	// a decode engine is full.
	maxDecodeRequestsPerSlot = 2.2
	// maxOverflowRunning is the largest number of requests on a decode engine that also
	// prefills a long prompt. Each of their tokens waits for a chunk of the prefill.
	maxOverflowRunning = 5
	// decodeFullRetryAfter is the retry delay if the decode engines are full. A chat runs for
	// some seconds.
	decodeFullRetryAfter = 400 * time.Millisecond
	// noEngineRetryAfter is the retry delay if there is no engine for a stage.
	noEngineRetryAfter = 500 * time.Millisecond
	// firstEventOverhead is the time from the end of the prefill to the first event at the
	// caller: the KV cache transfer, the first decode step, and two network hops.
	firstEventOverhead = 25 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay of rejected requests.
	minRetryAfter = 600 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxLateQueueTime is the longest queue time of a request that will miss its objective.
	maxLateQueueTime = 90 * time.Millisecond
)

// rejectIfLate rejects a request that would miss its objective, unless the queue is short and
// the deadline can be met. The short queue leaves the capacity to requests that can still be
// on time. A stream that goes on has met its objective before; it is rejected if it would miss its
// deadline.
func (enginePool *EnginePool) rejectIfLate(request PlacementRequest, placement Placement) *Rejection {
	total := placement.QueueTime + placement.PrefillTime + firstEventOverhead
	switch {
	case total <= request.TimeToObjective:
		return nil
	case (request.Continues || placement.QueueTime <= maxLateQueueTime) && total <= request.TimeToDeadline:
		return nil
	}
	return &Rejection{Reason: "engines-full", RetryAfter: min(max(placement.QueueTime, minRetryAfter), maxRetryAfter)}
}

// prefillTime returns the estimated time in which a prefill engine prefills tokens.
func (enginePool *EnginePool) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * enginePool.prefillSecondsPerToken * float64(time.Second))
}

// choosePrefillEngine chooses the engine of a stage with the lowest cost for the prefill of a
// prompt. A cache miss also delays the prompts behind it, so the prefill time weighs more than
// the queue time.
func (enginePool *EnginePool) choosePrefillEngine(
	now time.Time, request PlacementRequest, stage lwtdiscovery.Stage,
) (*engine, Placement) {
	var best *engine
	var placement Placement
	var bestCost time.Duration
	prefixHash := hash(request.Request.SharedPrefixKey())
	preferred := enginePool.preferredEngine(prefixHash, stage)
	for _, engine := range enginePool.engines {
		if engine.server.Stage != stage || !enginePool.usable(now, engine, request) {
			continue
		}
		cached := engine == preferred || now.Sub(engine.prefixSentAt[prefixHash]) < prefixCacheTTL
		tokens := request.Request.PromptTokens
		if cached {
			tokens -= min(int(enginePool.prefixHitRate*float64(request.Request.SharedPrefixTokens())), tokens)
		}
		prefillTime := enginePool.prefillTime(tokens)
		if stage == lwtdiscovery.Decode {
			prefillTime *= decodePrefillFactor
		}
		queueTime := engine.pendingPrefillTime(now)
		cost := queueTime + prefillTimeWeight*prefillTime
		if engine.recentlyFailed(now) {
			cost += failedEngineCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = engine, cost
			placement = Placement{
				Prefill: engine.server, PrefillTime: prefillTime, QueueTime: queueTime, PrefixCached: cached,
				cost: placementCost{prefill: cost},
			}
		}
	}
	return best, placement
}

// initialPrefixHitRate is the prefix hit rate that is assumed before the first sample.
const initialPrefixHitRate = 0.7

// prefillTimeWeight is the weight of the prefill time relative to the queue time.
const prefillTimeWeight = 16

// preferredEngine returns the engine of a stage that owns a shared prefix by rendezvous
// hashing. PrefixHash is the hash of the prefix key.
func (enginePool *EnginePool) preferredEngine(prefixHash uint64, stage lwtdiscovery.Stage) *engine {
	var best *engine
	var bestWeight uint64
	for _, engine := range enginePool.engines {
		if engine.server.Stage != stage || engine.server.Draining {
			continue
		}
		if weight := rendezvousWeight(engine.hash, prefixHash); best == nil || weight > bestWeight {
			best, bestWeight = engine, weight
		}
	}
	return best
}

func (enginePool *EnginePool) usable(now time.Time, engine *engine, request PlacementRequest) bool {
	return !engine.server.Draining && !engine.changing() && !engine.backoff.active(now) &&
		(!request.VersionFixed || engine.server.Version == request.Version) && !request.Excluded[engine.server.ID] && enginePool.options.RateLimits.Allows(now, engine.server)
}

// rejectWithoutEngine rejects a request for which no engine of a stage is usable. Reason is used
// if neither backoffs nor rate limits are the cause.
func (enginePool *EnginePool) rejectWithoutEngine(now time.Time, stage lwtdiscovery.Stage, reason string) *Rejection {
	var unavailability unavailability
	for _, engine := range enginePool.engines {
		prefills := engine.server.Stage == lwtdiscovery.Prefill
		if prefills == (stage == lwtdiscovery.Prefill) && !engine.server.Draining {
			unavailability = unavailability.withServer(now, engine.server, engine.backoff, enginePool.options.RateLimits)
		}
	}
	if rejection := unavailability.reject(now); rejection != nil {
		return rejection
	}
	return &Rejection{Reason: reason, RetryAfter: noEngineRetryAfter}
}

// recentlyFailed reports whether the engine has failed recently. Such an engine is the last
// choice but stays usable, because a failure that all engines share says nothing about one.
func (engine *engine) recentlyFailed(now time.Time) bool { return now.Before(engine.avoidUntil) }

// failedEngineCost and failedEngineRunning rank engines that failed recently behind all others.
const (
	failedEngineCost    = time.Minute
	failedEngineRunning = 1 << 20
)

// chooseInitialDecode chooses the least loaded decode engine, with a preference for the
// daemon's availability zone.
func (enginePool *EnginePool) chooseInitialDecode(now time.Time, request PlacementRequest) (best *engine, running int) {
	return enginePool.leastLoadedDecodeEngine(now, request, enginePool.options.AvailabilityZone)
}

// ChooseDecode chooses the decode engine again after the prefill, which takes longer than most
// decodes, so that other engines may have become free. It prefers the availability zone of the
// prefill engine, because a KV cache transfer between zones takes twice as long, and has its software
// version. If no engine is usable, the placement is unchanged.
func (enginePool *EnginePool) ChooseDecode(now time.Time, request PlacementRequest, placement Placement) Placement {
	request.Version, request.VersionFixed = placement.Prefill.Version, true
	if decodeEngine, _ := enginePool.leastLoadedDecodeEngine(now, request,
		placement.Prefill.AvailabilityZone); decodeEngine != nil {
		placement.Decode = decodeEngine.server
	}
	return placement
}

// crossZonePenalty is the number of running requests that an engine in another availability
// zone counts as having in addition.
const crossZonePenalty = 3

// leastLoadedDecodeEngine returns the usable engine for decode with the fewest running
// requests, or nil, and their number. Engines outside of zone count crossZonePenalty more.
func (enginePool *EnginePool) leastLoadedDecodeEngine(
	now time.Time, request PlacementRequest, zone string,
) (best *engine, bestRunning int) {
	for _, engine := range enginePool.engines {
		if engine.server.Stage == lwtdiscovery.Prefill || !enginePool.usable(now, engine, request) {
			continue
		}
		running := engine.running(now)
		if engine.server.AvailabilityZone != zone {
			running += crossZonePenalty
		}
		if engine.recentlyFailed(now) {
			running += failedEngineRunning
		}
		if best == nil || running < bestRunning {
			best, bestRunning = engine, running
		}
	}
	return best, bestRunning
}
