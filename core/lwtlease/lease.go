// Package lwtlease decides which daemon holds the lease of an engine group.
//
// The lease is a row of the platform's table. Only the holder may send orders
// to the engines of the group. Clocks of different VMs are never compared: the
// holder counts from the moment before it sent its write, a successor from the
// moment after it first read that write.
package lwtlease

import "time"

// Times of the lease protocol.
const (
	// TTL is how long a lease lasts after the write that grants it.
	TTL = 10 * time.Second
	// RenewInterval is the time between two renewals by the holder.
	RenewInterval = 3 * time.Second
	// WatchInterval is the time between two reads by the first successor. It
	// adds directly to the time without a holder.
	WatchInterval = time.Second
	// StandbyInterval is the time between two reads by the other candidates.
	StandbyInterval = 3 * time.Second
	// TickInterval is the time between two Tick messages.
	TickInterval = 250 * time.Millisecond
	// RankDelay is how much longer each further candidate waits.
	RankDelay = time.Second
	// PauseThreshold is how late a tick may come before the process counts as paused.
	PauseThreshold = 2 * time.Second
	// MaxCandidates bounds the daemons that watch a lease, and so the reads.
	MaxCandidates = 3
	// firstBackoff and maxBackoff bound the wait after a call without an answer.
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 4 * time.Second
	// driftShare is the largest difference of two clocks' rates, as 1/driftShare.
	driftShare = 100
)

// Lease is the authority over a group that a daemon believes to hold.
type Lease struct {
	Group  string
	Holder string
	// Fencing grows with each change of authority. Zero means no authority.
	Fencing int64
	// Until is the end of the lease on the holder's clock.
	Until time.Time
}

// Valid reports whether the lease is in force.
func (lease Lease) Valid(now time.Time) bool { return lease.ValidFor(now, 0) }

// ValidFor reports whether the lease stays in force for a span from now on. It
// looks at the monotonic clock and at the wall clock, because the monotonic
// clock of some VMs stops while they are suspended.
func (lease Lease) ValidFor(now time.Time, span time.Duration) bool {
	end := now.Add(span)
	return lease.Fencing > 0 && end.Before(lease.Until) && end.Round(0).Before(lease.Until.Round(0))
}

// AddClockDrift returns a span lengthened by the largest drift of a clock.
func AddClockDrift(span time.Duration) time.Duration { return span + span/driftShare }

func lessDrift(span time.Duration) time.Duration { return span - span/driftShare }
