// Package lwtscorerouter chooses the engine that serves a request.
package lwtscorerouter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// ErrNoEngine reports that no engine serves the model.
var ErrNoEngine = fmt.Errorf("no engine serves the model")

// Request describes the work of one request.
type Request struct {
	Model   string
	Adapter string
	Class   lwtdeclaredstate.Class
	// PromptTokens is the estimated number of prompt tokens.
	PromptTokens int
	// OutputTokens is the expected number of output tokens.
	OutputTokens int
	// PrefixHashes are the hashes of the prompt's growing prefixes, one per block, shortest first.
	PrefixHashes []uint64
	// Deadline is the caller's own bound on the time to the whole answer; 0 for none.
	Deadline time.Duration
	// AvailabilityZone is the zone of the daemon that routes.
	AvailabilityZone string
}

// Choice is the engine chosen for a request, with what the request is
// estimated to meet there.
type Choice struct {
	// Engine runs the prefill.
	Engine string
	// DecodeEngine runs the decode after a transfer of the KV cache. It is
	// empty when Engine runs both phases.
	DecodeEngine string
	// TimeToFirstToken is the estimated time to the first token.
	TimeToFirstToken time.Duration
	// EndToEndLatency is the estimated time to the whole answer.
	EndToEndLatency time.Duration
	// InterTokenLatency is the estimated time between two tokens.
	InterTokenLatency time.Duration
	// CachedTokens are the prompt tokens that the engine's prefix cache is
	// expected to save.
	CachedTokens int
	// DecidedAt is the time of the choice.
	DecidedAt time.Time
	// MemoryFull says that no engine was found with memory for the request.
	MemoryFull bool
	// wait and work are the parts of FirstToken in seconds: the queue as
	// reported, and all else.
	wait, work float64
	prefill    int32
	decode     int32
}

// Split reports whether prefill and decode run on different engines.
func (choice Choice) Split() bool { return choice.DecodeEngine != "" }

// Router chooses engines by the view of one daemon. It is not safe for
// concurrent use.
type Router struct {
	view   *View
	rule   Strategy
	random *rand.Rand
	// scores holds the candidates of the decision in progress; it is kept to
	// avoid an allocation per decision.
	scores []candidate
}

// New returns a router over a view. The random source must not be shared with
// another goroutine.
func New(view *View, rule Strategy, random *rand.Rand) *Router {
	return &Router{view: view, rule: rule, random: random}
}

// View returns the view that the router decides by.
func (router *Router) View() *View { return router.view }

// Pick chooses engines for a request. It returns ErrNoEngine when no
// available engine of the model runs one of the phases. It doesn't record the
// request: View.WithSent does when the request is sent.
func (router *Router) Pick(now time.Time, request Request) (Choice, error) {
	job := router.view.newJob(now, &request)
	chosen, found := router.pick(&job)
	if !found {
		// No engine is left: those found down are tried again.
		job.tryDown = true
		if chosen, found = router.pick(&job); !found {
			return Choice{}, ErrNoEngine
		}
	}
	choice := router.view.choice(&job, chosen)
	choice.DecidedAt = now
	return choice, nil
}

func (router *Router) pick(job *job) (candidate, bool) {
	view := router.view
	engines := view.byModel[job.request.Model]
	router.scores = router.scores[:0]
	for _, i := range engines {
		if engine := &view.engines[i]; engine.decodes() && engine.serves(job) {
			router.scores = append(router.scores, view.decodeCandidate(job, i))
		}
	}
	job.decode, _ = router.choose(router.scores)
	router.scores = router.scores[:0]
	for _, i := range engines {
		if engine := &view.engines[i]; engine.prefills() && engine.serves(job) {
			if candidate, found := view.prefillCandidate(job, i); found {
				router.scores = append(router.scores, candidate)
			}
		}
	}
	return router.choose(router.scores)
}
