// Package lwtrouter chooses the engine that serves a request.
package lwtrouter

import (
	"fmt"
	"time"

	"lacewingtide/core/lwtstate"
)

// ErrNoEngine reports that no engine serves the model.
var ErrNoEngine = fmt.Errorf("no engine serves the model")

// Request describes the work of one request.
type Request struct {
	Model   string
	Adapter string
	Class   lwtstate.Class
	// PromptTokens is the estimated number of prompt tokens.
	PromptTokens int
	// OutputTokens is the expected number of output tokens.
	OutputTokens int
	// Prefixes are the hashes of the prompt's growing prefixes, one per block, shortest first.
	Prefixes []uint64
	// AvailabilityZone is the zone of the daemon that routes.
	AvailabilityZone string
}

// Choice is the engine chosen for a request.
type Choice struct {
	Engine string
	// FirstToken is the estimated time to the first token.
	FirstToken time.Duration
}
