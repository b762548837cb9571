package lwtdaemon

import "time"

const addressKeep = 10 * time.Second

// ownAddress answers with the daemon's own address.
type ownAddress struct{ address string }

// Answer implements lwtentry.Addresses.
func (own ownAddress) Answer(time.Time, string) ([]string, time.Duration) {
	return []string{own.address}, addressKeep
}
