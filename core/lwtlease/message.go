package lwtlease

import "lacewingtide/core/lwtdeclaredstate"

// Row is the content of the table row of a lease.
type Row struct {
	// Version is the row's version in the table; 0 when there is no row.
	Version int64 `json:"-"`
	// Holder identifies one run of one daemon. It is empty after a release.
	Holder  string `json:"holder"`
	Fencing int64  `json:"fencing"`
	// Duration is how long a successor must see the row unchanged.
	Duration lwtdeclaredstate.Duration `json:"duration"`
	// Write numbers the writes of the holder, so that it recognizes its own
	// write after a lost answer.
	Write int64 `json:"write"`
}

// Msg is a message to a Model: Tick, Members, RowRead, Committed, Raise or Release.
type Msg interface{ leaseMsg() }

// Tick comes every TickInterval.
type Tick struct{}

// Members names the live daemons in the form of Row.Holder.
type Members struct{ Names []string }

// RowRead answers a Read.
type RowRead struct {
	Request int64
	// Row is empty when there is no row.
	Row Row
	// Failed says that no answer came.
	Failed bool
}

// Committed answers a Commit.
type Committed struct {
	Request int64
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

// Raise asks for a fencing number above the given one. A holder with a lower
// number takes a new one at once.
type Raise struct{ Above int64 }

func (Raise) leaseMsg()     {}
func (Tick) leaseMsg()      {}
func (Members) leaseMsg()   {}
func (RowRead) leaseMsg()   {}
func (Committed) leaseMsg() {}
func (Release) leaseMsg()   {}

// Cmd is a command of a Model: Read, Commit or Notice.
type Cmd interface{ leaseCmd() }

// Read asks for the lease row, to be answered by RowRead.
type Read struct {
	Group   string
	Request int64
}

// Commit asks to write the row if it still has the version, to be answered by
// Committed.
type Commit struct {
	Group   string
	Request int64
	Version int64
	Row     Row
}

// Notice reports a change of authority for the log.
type Notice struct {
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

func (Read) leaseCmd()   {}
func (Commit) leaseCmd() {}
func (Notice) leaseCmd() {}
