// Package lwtscorerouter chooses the engines that serve a request. It scores each
// engine by estimated latency, cached prefixes and load, and selects one by a
// configurable strategy.
package lwtscorerouter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// ErrNoEngine is returned when no engine serves the model.
var ErrNoEngine = fmt.Errorf("no engine serves the model")

// Request describes one request to be routed.
type Request struct {
	Model   string
	Adapter string
	Class   lwtdeclaredstate.Class
	// PromptTokens is the estimated number of prompt tokens.
	PromptTokens int
	// OutputTokens is the expected number of output tokens.
	OutputTokens int
	// PrefixHashes are the hashes of the prompt's prefixes, one per whole block,
	// shortest first; see the function PrefixHashes.
	PrefixHashes []uint64
	// Deadline is the caller's own limit on the end-to-end latency; 0 means none.
	Deadline time.Duration
	// AvailabilityZone is the zone of the routing daemon.
	AvailabilityZone string
}

// Choice names the engines chosen for a request and the estimated latencies.
type Choice struct {
	// Engine runs the prefill.
	Engine string
	// DecodeEngine runs the decode after a transfer of the KV cache. It is
	// empty when Engine runs both phases.
	DecodeEngine string
	// TimeToFirstToken, EndToEndLatency and InterTokenLatency are estimates.
	TimeToFirstToken  time.Duration
	EndToEndLatency   time.Duration
	InterTokenLatency time.Duration
	// CachedTokens is the estimated number of prompt tokens in the engine's
	// prefix cache.
	CachedTokens int
	// DecidedAt is the time of the decision.
	DecidedAt time.Time
	// MemoryFull says that the chosen engine lacks memory for the request.
	MemoryFull bool
	// queueTime is the queue time, in seconds, estimated from the reported queue
	// and not corrected by the learned factor. serviceTime is the rest of
	// TimeToFirstToken.
	queueTime, serviceTime float64
	// prefillIndex and decodeIndex are indexes into View.engines.
	prefillIndex int32
	decodeIndex  int32
}

// Split reports whether prefill and decode run on different engines.
func (choice Choice) Split() bool { return choice.DecodeEngine != "" }

// Router chooses engines from the view of one daemon. It is not safe for
// concurrent use.
type Router struct {
	view     *View
	strategy Strategy
	random   *rand.Rand
	// candidates is a buffer that is reused to avoid an allocation per decision.
	candidates []candidate
}

// New returns a router for a view. The random source must not be shared with
// another goroutine.
func New(view *View, strategy Strategy, random *rand.Rand) *Router {
	return &Router{view: view, strategy: strategy, random: random}
}

// View returns the router's view.
func (router *Router) View() *View { return router.view }

// Pick chooses engines for a request. It returns ErrNoEngine when no
// available engine of the model can run the prefill or the decode. It does not
// record the request; call View.WithSent when the request is sent.
func (router *Router) Pick(now time.Time, request Request) (Choice, error) {
	decision := router.view.newDecision(now, &request)
	chosen, found := router.scoreAndSelect(&decision)
	if !found {
		// No other engine is left, so fall back to engines that are marked as down.
		decision.includeDown = true
		if chosen, found = router.scoreAndSelect(&decision); !found {
			return Choice{}, ErrNoEngine
		}
	}
	choice := router.view.newChoice(&decision, chosen)
	choice.DecidedAt = now
	return choice, nil
}

// scoreAndSelect selects the best decode engine, then scores each prefill engine
// together with it and selects one of them.
func (router *Router) scoreAndSelect(decision *decision) (candidate, bool) {
	view := router.view
	engines := view.subsetByModel[decision.request.Model]
	router.candidates = router.candidates[:0]
	for _, i := range engines {
		if engine := &view.engines[i]; engine.runsDecode() && engine.canServe(decision) {
			router.candidates = append(router.candidates, view.scoreDecode(decision, i))
		}
	}
	decision.bestDecode, _ = router.selectCandidate(router.candidates)
	router.candidates = router.candidates[:0]
	for _, i := range engines {
		if engine := &view.engines[i]; engine.runsPrefill() && engine.canServe(decision) {
			if candidate, found := view.scorePrefill(decision, i); found {
				router.candidates = append(router.candidates, candidate)
			}
		}
	}
	return router.selectCandidate(router.candidates)
}
