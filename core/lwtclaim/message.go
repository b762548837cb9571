package lwtclaim

import "time"

// Msg is a message to a Model.
type Msg interface{ isMsg() }

// Open asks for the claim of a key. The answer is exactly one Answer command
// with the same nonce.
type Open struct {
	Key string
	// Nonce is unique to the request.
	Nonce string
	// RequestHash identifies the content of the request.
	RequestHash string
	// Deadline is when the answer must be there.
	Deadline time.Time
}

// Finish says that a granted request ran, with its outcome.
type Finish struct {
	Key      string
	Nonce    string
	Response Response
}

// Release says that a granted request did not run and never will.
type Release struct {
	Key   string
	Nonce string
}

// LeaveOpen says that it is not known whether a granted request ran. Its row stays
// open.
type LeaveOpen struct {
	Key   string
	Nonce string
}

// Committed says that a batch was applied and its rows have the version.
type Committed struct {
	Batch   uint64
	Version int64
}

// Conflicted says that a batch was not applied, with the rows that the table
// held instead, one for each write of the batch.
type Conflicted struct {
	Batch uint64
	Rows  []StoredRow
}

// CommitUnknown says that no answer came for a batch: it may have been applied, or may
// yet be.
type CommitUnknown struct{ Batch uint64 }

// Tick says that a time asked for by Wake has come.
type Tick struct{}

func (Open) isMsg()          {}
func (Finish) isMsg()        {}
func (Release) isMsg()       {}
func (LeaveOpen) isMsg()     {}
func (Committed) isMsg()     {}
func (Conflicted) isMsg()    {}
func (CommitUnknown) isMsg() {}
func (Tick) isMsg()          {}

// Cmd is a command for the code that drives a Model.
type Cmd interface{ isCmd() }

// Commit sends a batch as one transaction. Committed, Conflicted or Lost must
// follow.
type Commit struct {
	Batch  uint64
	Writes []Write
}

// OpenResult tells the request with the nonce what became of its claim.
type OpenResult struct {
	Key      string
	Nonce    string
	Decision Decision
	// Response is set with the verdict Replay.
	Response Response
}

// Settled tells that the last row of an ended request is in the table: its
// outcome is stored or its key is free again.
type Settled struct {
	Key   string
	Nonce string
}

// ScheduleTick asks for a Tick at a time.
type ScheduleTick struct{ At time.Time }

func (Commit) isCmd()       {}
func (OpenResult) isCmd()   {}
func (ScheduleTick) isCmd() {}
func (Settled) isCmd()      {}

// Decision is the result of an Open.
type Decision int

// The verdicts.
const (
	// Granted means that the request may run now, once.
	Granted Decision = iota
	// NotRun means that this request did not run: the store is unavailable or
	// the daemon holds too many claims.
	NotRun
	// InProgress means that a request with the key may be running or may have
	// run. Its outcome is unknown.
	InProgress
	// Replay means that a request with the key ran; its outcome is given.
	Replay
	// Mismatch means that the key belongs to a different request. This one did
	// not run.
	Mismatch
)
