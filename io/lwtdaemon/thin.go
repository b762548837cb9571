package lwtdaemon

import (
	"time"

	"lacewingtide/core/lwtstate"
)

const addressKeep = 10 * time.Second

// openLimiter admits every request.
type openLimiter struct{}

// Take implements lwtentry.Limiter.
func (openLimiter) Take(time.Time, lwtstate.Caller) (func(), error) { return func() {}, nil }

// ownAddress answers with the daemon's own address.
type ownAddress struct{ address string }

// Answer implements lwtentry.Addresses.
func (own ownAddress) Answer(time.Time, string) ([]string, time.Duration) {
	return []string{own.address}, addressKeep
}
