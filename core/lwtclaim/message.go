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
	// GiveUp is when the answer must be there.
	GiveUp time.Time
}

// Finish says that a granted request ran, with its outcome.
type Finish struct {
	Key     string
	Nonce   string
	Outcome Outcome
}

// Release says that a granted request did not run and never will.
type Release struct {
	Key   string
	Nonce string
}

// Forget says that it is not known whether a granted request ran. Its row stays
// open.
type Forget struct {
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
	Rows  []Stored
}

// Lost says that no answer came for a batch: it may have been applied, or may
// yet be.
type Lost struct{ Batch uint64 }

// Tick says that a time asked for by Wake has come.
type Tick struct{}

func (Open) isMsg()       {}
func (Finish) isMsg()     {}
func (Release) isMsg()    {}
func (Forget) isMsg()     {}
func (Committed) isMsg()  {}
func (Conflicted) isMsg() {}
func (Lost) isMsg()       {}
func (Tick) isMsg()       {}

// Cmd is a command for the code that drives a Model.
type Cmd interface{ isCmd() }

// Commit sends a batch as one transaction. Committed, Conflicted or Lost must
// follow.
type Commit struct {
	Batch  uint64
	Writes []Write
}

// Answer tells the request with the nonce what became of its claim.
type Answer struct {
	Key     string
	Nonce   string
	Verdict Verdict
	// Outcome is set with the verdict Replay.
	Outcome Outcome
}

// Settled tells that the last row of an ended request is in the table: its
// outcome is stored or its key is free again.
type Settled struct {
	Key   string
	Nonce string
}

// Wake asks for a Tick at a time.
type Wake struct{ At time.Time }

func (Commit) isCmd()  {}
func (Answer) isCmd()  {}
func (Wake) isCmd()    {}
func (Settled) isCmd() {}

// Verdict is the result of an Open.
type Verdict int

// The verdicts.
const (
	// Granted means that the request may run now, once.
	Granted Verdict = iota
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
