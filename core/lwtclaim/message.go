package lwtclaim

import "time"

// Msg is a message to a Model.
type Msg interface{ isMsg() }

// Open requests the claim of a key. Exactly one OpenResult with the same nonce
// follows.
type Open struct {
	Key string
	// Nonce is unique to the request.
	Nonce string
	// RequestHash identifies the content of the request.
	RequestHash string
	// Deadline is the time by which the result must be returned.
	Deadline time.Time
}

// Finish reports that a granted request ran, with its response.
type Finish struct {
	Key      string
	Nonce    string
	Response Response
}

// Release reports that a granted request did not run and never will.
type Release struct {
	Key   string
	Nonce string
}

// LeaveOpen reports that it is not known whether a granted request ran. Its row
// stays open.
type LeaveOpen struct {
	Key   string
	Nonce string
}

// Committed reports that a batch was applied and that its rows have the given
// version.
type Committed struct {
	Batch   uint64
	Version int64
}

// Conflicted reports that a batch was not applied. Rows are the current rows of
// the table, one for each write of the batch.
type Conflicted struct {
	Batch uint64
	Rows  []StoredRow
}

// CommitUnknown reports that no response was received for a batch. It may have
// been applied, or may still be applied later.
type CommitUnknown struct{ Batch uint64 }

// Tick reports that the time of a ScheduleTick has come.
type Tick struct{}

func (Open) isMsg()          {}
func (Finish) isMsg()        {}
func (Release) isMsg()       {}
func (LeaveOpen) isMsg()     {}
func (Committed) isMsg()     {}
func (Conflicted) isMsg()    {}
func (CommitUnknown) isMsg() {}
func (Tick) isMsg()          {}

// Cmd is a command that a Model or a Collector returns.
type Cmd interface{ isCmd() }

// Commit sends a batch as one transaction. Committed, Conflicted or CommitUnknown
// must follow.
type Commit struct {
	// Batch is the number of the batch, which its result must repeat.
	Batch  uint64
	Writes []Write
}

// OpenResult is the result of the Open with the same nonce.
type OpenResult struct {
	Key      string
	Nonce    string
	Decision Decision
	// Response is set if Decision is Replay.
	Response Response
}

// Settled reports that the final row of a request is in the table: its response
// is stored, or its key is free again.
type Settled struct {
	Key   string
	Nonce string
}

// ScheduleTick requests a Tick at a time.
type ScheduleTick struct{ At time.Time }

func (Commit) isCmd()       {}
func (OpenResult) isCmd()   {}
func (ScheduleTick) isCmd() {}
func (Settled) isCmd()      {}

// Decision is the result of an Open.
type Decision int

// The decisions on a claim.
const (
	// Granted means that the request may run now, once.
	Granted Decision = iota
	// NotRun means that this request did not run, because the store is
	// unavailable or the daemon holds too many claims.
	NotRun
	// InProgress means that another request with the key may be running or may
	// have run. Its outcome is unknown.
	InProgress
	// Replay means that a request with the key ran. Its response is given.
	Replay
	// Mismatch means that the key belongs to a different request. This request
	// did not run.
	Mismatch
)
