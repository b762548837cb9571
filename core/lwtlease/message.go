package lwtlease

import "lacewingtide/core/lwtdeclaredstate"

// Row is the content of the table row of a lease.
type Row struct {
	// Version is the row's version in the table; 0 when there is no row.
	Version int64 `json:"-"`
	// Holder identifies one run of one daemon. It is empty after a release.
	Holder  string `json:"holder"`
	Fencing int64  `json:"fencing"`
	// TTL is how long a successor must see the row unchanged.
	TTL lwtdeclaredstate.Duration `json:"duration"`
	// WriteSequence numbers the writes of the holder, so that it recognizes its own
	// write after a lost answer.
	WriteSequence int64 `json:"write"`
}

// Msg is a message to a Model: Tick, Members, RowRead, Committed, Raise or Release.
type Msg interface{ leaseMsg() }

// Tick comes every TickInterval.
type Tick struct{}

// SetMembers names the live daemons in the form of Row.Holder.
type SetMembers struct{ Names []string }

// RowRead answers a Read.
type RowRead struct {
	RequestID int64
	// Row is empty when there is no row.
	Row Row
	// Failed says that no answer came.
	Failed bool
}

// CommitResult answers a Commit.
type CommitResult struct {
	RequestID int64
	// Row is the row after the transaction: the one written, or the one that
	// stood in its way.
	Row Row
	// Conflict says that the transaction was not applied.
	Conflict bool
	// Failed says that no answer came. The transaction may have been applied.
	Failed bool
}

// Release asks the holder to give up the lease. It must be sent only when no
// order under the lease can take effect any more.
type Release struct{}

// RaiseFencing asks for a fencing number above the given one. A holder with a lower
// number takes a new one at once.
type RaiseFencing struct{ Above int64 }

func (RaiseFencing) leaseMsg() {}
func (Tick) leaseMsg()         {}
func (SetMembers) leaseMsg()   {}
func (RowRead) leaseMsg()      {}
func (CommitResult) leaseMsg() {}
func (Release) leaseMsg()      {}

// Cmd is a command of a Model: Read, Commit or Notice.
type Cmd interface{ leaseCmd() }

// ReadRow asks for the lease row, to be answered by RowRead.
type ReadRow struct {
	Group     string
	RequestID int64
}

// Commit asks to write the row if it still has the version, to be answered by
// Committed.
type Commit struct {
	Group     string
	RequestID int64
	Version   int64
	Row       Row
}

// LogLeaseChange reports a change of authority for the log.
type LogLeaseChange struct {
	Group   string
	Event   Event
	Fencing int64
}

// Event names a change of authority.
type Event string

// The changes of authority.
const (
	EventGranted  Event = "lease-granted"
	EventLost     Event = "lease-lost"
	EventPaused   Event = "lease-dropped-after-pause"
	EventReleased Event = "lease-released"
)

func (ReadRow) leaseCmd()        {}
func (Commit) leaseCmd()         {}
func (LogLeaseChange) leaseCmd() {}
