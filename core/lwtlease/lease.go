// Package lwtlease decides which daemon holds the lease of an engine group.
//
// The lease is a row in the platform's table. Only the holder may send orders to
// the engines of the group. Clocks of different VMs are never compared: the holder
// measures the lease from the moment before it sent its write, and a successor
// from the moment after it first read that write.
package lwtlease

import "time"

// Timing and limits of the lease protocol.
const (
	// TTL is the duration of a lease after the write that grants or renews it.
	TTL = 10 * time.Second
	// RenewInterval is the time between two renewals by the holder.
	RenewInterval = 3 * time.Second
	// WatchInterval is the time between two reads by the first successor. It adds
	// directly to the time without a holder after a failure.
	WatchInterval = time.Second
	// StandbyInterval is the time between two reads by the other candidates.
	StandbyInterval = 3 * time.Second
	// TickInterval is the time between two Tick messages.
	TickInterval = 250 * time.Millisecond
	// RankDelay is the additional wait of each further candidate before it takes
	// over.
	RankDelay = time.Second
	// PauseThreshold is how late a tick may be before the process counts as paused.
	PauseThreshold = 2 * time.Second
	// MaxCandidates bounds the daemons that watch a lease, and thereby the store
	// reads.
	MaxCandidates = 3
	// firstBackoff and maxBackoff bound the wait after a request without a
	// response, before jitter.
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 4 * time.Second
	// fencingPerEra is the number of fencing numbers of each era of the store.
	fencingPerEra = 1 << 32
	// maxEndedEras bounds the eras that a commit marks as ended.
	maxEndedEras = 8
	// clockDriftDivisor sets the assumed maximum clock drift: the rates of two
	// clocks differ by at most 1/clockDriftDivisor.
	clockDriftDivisor = 100
)

// Lease is the lease of a group as its holder sees it.
type Lease struct {
	Group  string
	Holder string
	// Fencing is the fencing number. It grows each time the lease is granted anew.
	// Zero means that the daemon does not hold the lease.
	Fencing int64
	// Until is the expiry of the lease on the holder's clock.
	Until time.Time
}

// Valid reports whether the lease is held and has not expired.
func (lease Lease) Valid(now time.Time) bool { return lease.ValidFor(now, 0) }

// ValidFor reports whether the lease stays valid for the given time from now. It
// checks both the monotonic clock and the wall clock, because the monotonic clock
// of some VMs stops while they are suspended.
func (lease Lease) ValidFor(now time.Time, duration time.Duration) bool {
	end := now.Add(duration)
	return lease.Fencing > 0 && end.Before(lease.Until) && end.Round(0).Before(lease.Until.Round(0))
}

// AddClockDrift returns a duration extended by the maximum clock drift.
func AddClockDrift(duration time.Duration) time.Duration {
	return duration + duration/clockDriftDivisor
}

func subtractClockDrift(duration time.Duration) time.Duration {
	return duration - duration/clockDriftDivisor
}
