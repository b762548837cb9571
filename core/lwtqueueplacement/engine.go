// Package lwtqueueplacement decides which engines serve a generation, and when one must
// be refused because no engine can serve it in time.
//
// The load it answers: prompts of thousands of tokens of which two thirds are
// shared by many requests, answers of a few tokens, and bursts of several
// times what the engines can prefill. A prompt whose shared parts are cached costs
// a third of one whose parts are not, so prompts with the same parts go to the
// same engine as long as its queue allows. Under overload a queue that grows
// makes every answer late; refusing early keeps the answers that are given in time.
package lwtqueueplacement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingtide/core/lwtdiscovery"
)

// engine is what a daemon knows of one engine.
type engine struct {
	server lwtdiscovery.Server
	// hash is the hash of the server's id.
	hash  uint64
	own   Load
	peers peerLoads
	// parts holds when this daemon last sent a prompt with a shared part, by the
	// part's hash.
	parts map[uint64]time.Time
	// avoidUntil keeps work away from an engine that failed.
	avoidUntil time.Time
	failures   int
	pause      pause
	// changing says that an order changes the engine's stage now.
	changing bool
}

// prefillLeft returns the time that the engine needs for the prompts sent to it.
func (engine *engine) prefillLeft(now time.Time) time.Duration {
	return engine.own.PrefillTime + engine.peers.sum(now).PrefillTime
}

// running returns the requests that generate tokens on the engine.
func (engine *engine) running(now time.Time) int {
	return engine.own.Running + engine.peers.sum(now).Running
}

// partMemory is how long a part that this daemon sent elsewhere than to its
// home counts as cached there.
const partMemory = 4 * time.Second

// weight ranks engines for a shared part by rendezvous hashing: every daemon
// ranks them alike, and a lost engine moves only its own parts. Its arguments
// are the hashes of the engine's id and of the part. The finalizer of SplitMix64
// spreads their bits.
func weight(engine, part uint64) uint64 {
	mixed := engine ^ part
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

func hash(text string) uint64 { return xxhash.Sum64String(text) }

// Bounds of the time that a failing engine is avoided.
const (
	firstAvoidance = 250 * time.Millisecond
	maxAvoidance   = 4 * time.Second
)

func (engine *engine) failed(now time.Time) {
	engine.avoidUntil = now.Add(min(firstAvoidance<<min(engine.failures, 8), maxAvoidance))
	engine.failures++
}
