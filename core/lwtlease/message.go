package lwtlease

import (
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// Row is the content of the table row of a lease.
type Row struct {
	// Version is the row's version in the table, or 0 if there is no row.
	Version int64 `json:"-"`
	// StoreEra is the era of the store in which the row was read: it rises by one each
	// time the store comes back from an older copy. Era is the one in which the row was
	// written, as far as its writer knew. Both are 0 for a store that never does.
	StoreEra int64 `json:"-"`
	Era      int64 `json:"era,omitempty"`
	// Holder identifies one process of one daemon. It is empty after a release.
	Holder  string `json:"holder"`
	Fencing int64  `json:"fencing"`
	// TTL is how long a successor must see the row unchanged before it may take
	// over.
	TTL lwtdeclaredstate.Duration `json:"duration"`
	// WriteSequence numbers the writes of the holder, so that it recognizes its own
	// write after a lost response.
	WriteSequence int64 `json:"write"`
}

// Msg is a message to a Model: Tick, SetMembers, SetHandover, RowRead, CommitResult,
// RaiseFencing or Release.
type Msg interface{ leaseMsg() }

// Tick drives the timers of the model. It must be sent every TickInterval.
type Tick struct{}

// SetMembers sets the live daemons, named as in Row.Holder.
type SetMembers struct{ Names []string }

// SetHandover sets the minimum time between the release of the lease by another daemon, as this
// daemon saw it, and its acquisition by this one. The time keeps the orders of two daemons apart
// when a planned shutdown releases the lease before it expires. It is 0 at first.
type SetHandover struct{ Minimum time.Duration }

// RowRead is the result of a ReadRow.
type RowRead struct {
	RequestID int64
	// Row is empty if there is no row.
	Row Row
	// Failed is set if no response was received.
	Failed bool
}

// CommitResult is the result of a Commit.
type CommitResult struct {
	RequestID int64
	// Row is the row after the transaction: the written row or, after a conflict,
	// the row in the table.
	Row Row
	// Conflict is set if the transaction was not applied because the row had
	// another version.
	Conflict bool
	// Failed is set if no response was received. The transaction may have been
	// applied.
	Failed bool
}

// Release makes the holder release the lease. It must only be sent when no order
// that was sent under the lease can still take effect.
type Release struct{}

// RaiseFencing requires a fencing number above the given one. A holder whose number
// is not above it writes a new one immediately.
type RaiseFencing struct{ Above int64 }

func (RaiseFencing) leaseMsg() {}
func (Tick) leaseMsg()         {}
func (SetMembers) leaseMsg()   {}
func (SetHandover) leaseMsg()  {}
func (RowRead) leaseMsg()      {}
func (CommitResult) leaseMsg() {}
func (Release) leaseMsg()      {}

// Cmd is a command of a Model: ReadRow, Commit or LogLeaseChange.
type Cmd interface{ leaseCmd() }

// ReadRow reads the lease row. The result must be sent as RowRead.
type ReadRow struct {
	Group     string
	RequestID int64
}

// Commit writes the row if it still has the version and no other commit has marked the era
// Row.Era as ended, and marks EndedEras as ended, all in one transaction. The result must be
// sent as CommitResult. Without the marks, a version that the store gives out again after a
// restore would let a commit of an earlier era through.
type Commit struct {
	Group     string
	RequestID int64
	Version   int64
	Row       Row
}

// EndedEras returns the latest eras before that of the commit. Older ones have no daemons.
func (commit Commit) EndedEras() []int64 {
	var eras []int64
	for era := max(commit.Row.Era-maxEndedEras, firstEra); era < commit.Row.Era; era++ {
		eras = append(eras, era)
	}
	return eras
}

// LogLeaseChange logs a change of the lease.
type LogLeaseChange struct {
	Group   string
	Event   Event
	Fencing int64
}

// Event is the log event for a change of the lease.
type Event string

// The changes of a lease.
const (
	EventGranted           Event = "lease-granted"
	EventLost              Event = "lease-lost"
	EventDroppedAfterPause Event = "lease-dropped-after-pause"
	EventReleased          Event = "lease-released"
)

func (ReadRow) leaseCmd()        {}
func (Commit) leaseCmd()         {}
func (LogLeaseChange) leaseCmd() {}
