package lwtdaemon

import (
	"time"

	"lacewingtide/io/lwtentry"
)

const addressKeep = 10 * time.Second

// ownAddress answers with the daemon's own address.
type ownAddress struct{ address string }

// Answer implements lwtentry.Addresses.
func (own ownAddress) Answer(time.Time, string) ([]string, time.Duration) {
	return []string{own.address}, addressKeep
}

// discardObserver keeps nothing.
type discardObserver struct{}

// Observe implements lwtentry.Observer.
func (discardObserver) Observe(time.Time, lwtentry.Result) {}
