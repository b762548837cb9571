// Package lwtqueueplacement chooses the engines that prefill and decode a request, and
// rejects the request if no engine can serve it in time.
//
// It is designed for prompts of thousands of tokens, two thirds of them in prefixes that
// many requests share, for responses of a few tokens, and for bursts of several times the
// prefill capacity. Prefilling a prompt whose shared prefix is cached takes a third of the
// time, so prompts with the same prefix go to the same engine as long as its queue allows.
// Under overload a growing queue would make every response late; rejecting early keeps the
// admitted requests on time.
package lwtqueueplacement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingtide/core/lwtdiscovery"
)

// engine is a daemon's state for one engine.
type engine struct {
	server lwtdiscovery.Server
	// hash is the hash of the server id.
	hash      uint64
	ownLoad   Load
	peerLoads peerLoads
	// prefixSentAt holds when this daemon last sent a prompt with a shared prefix to the
	// engine, by the hash of the prefix key.
	prefixSentAt map[uint64]time.Time
	// avoidUntil is when an engine that failed is used normally again.
	avoidUntil time.Time
	failures   int
	backoff    backoff
	// changingSince is when the engine began to change its stage from changingFrom, or zero if the holder
	// of the order lease does not report a change.
	changingSince time.Time
	changingFrom  lwtdiscovery.Stage
}

// changing reports whether the engine is changing its stage. Its own entry says when it has changed, some
// hundred milliseconds before the holder of the order lease does.
func (engine *engine) changing() bool {
	return !engine.changingSince.IsZero() && engine.server.Stage == engine.changingFrom
}

// pendingPrefillTime returns the estimated time to prefill all prompts that were sent to the
// engine and are not prefilled yet.
func (engine *engine) pendingPrefillTime(now time.Time) time.Duration {
	return engine.ownLoad.PrefillTime + engine.peerLoads.sum(now).PrefillTime
}

// running returns the number of requests that the engine decodes.
func (engine *engine) running(now time.Time) int {
	return engine.ownLoad.Running + engine.peerLoads.sum(now).Running
}

// prefixCacheTTL is how long a prefix that this daemon sent to another engine than the
// preferred one is assumed to be cached there.
const prefixCacheTTL = 4 * time.Second

// rendezvousWeight ranks engines for a shared prefix by rendezvous hashing: all daemons
// compute the same ranking, and the loss of an engine moves only the prefixes that it owned.
// The arguments are the hashes of the engine id and of the prefix key; the finalizer of
// SplitMix64 mixes their bits.
func rendezvousWeight(engineHash, prefixHash uint64) uint64 {
	mixed := engineHash ^ prefixHash
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

func hash(text string) uint64 { return xxhash.Sum64String(text) }

// The time for which an engine that failed is avoided doubles with each failure in a row.
const (
	initialAvoidTime = 250 * time.Millisecond
	maxAvoidTime     = 4 * time.Second
)

func (engine *engine) recordFailure(now time.Time) {
	engine.avoidUntil = now.Add(min(initialAvoidTime<<min(engine.failures, 8), maxAvoidTime))
	engine.failures++
}
