package lwtticket

import (
	"fmt"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwttoml"
)

// Outcome is the result of a submission.
type Outcome string

// The outcomes of a submission.
const (
	// OutcomeAccepted means that the ticket is stored and has created a revision.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRefused means that the ticket has no effect now or later.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that the store did not respond. The row of the write id
	// shows whether the ticket was accepted.
	OutcomeUnknown Outcome = "unknown"
)

// Result is the final result of a submission.
type Result struct {
	Outcome Outcome `json:"outcome"`
	WriteID string  `json:"write-id"`
	// Revision is the revision that the ticket created, if accepted.
	Revision int64 `json:"number,omitempty"`
	// Conflict is set if another ticket changed an object first.
	Conflict *Conflict `json:"conflict,omitempty"`
	// Problems are set if Check refused the ticket.
	Problems []lwttoml.Problem `json:"problems,omitempty"`
	// Reason says why the ticket was not accepted.
	Reason string `json:"reason,omitempty"`
	// StoreUnavailable says that the ticket was refused only because the store was
	// unavailable.
	StoreUnavailable bool `json:"unavailable,omitempty"`
}

// Msg is a message to a Submission: Started, HeadRead, IdempotencyRecordRead,
// StateLoaded, SnapshotStored, CommitResult, CommandFailed or Waited.
type Msg any

// Messages to a Submission.
type (
	// Started starts the submission.
	Started struct{}
	// HeadRead carries the row HeadKey; version 0 means that it doesn't exist.
	HeadRead struct {
		HeadVersion int64
		Head        Head
	}
	// IdempotencyRecordRead carries the row of the write id; nil if it doesn't
	// exist.
	IdempotencyRecordRead struct{ Record *IdempotencyRecord }
	// StateLoaded carries the state at the head of LoadState.
	StateLoaded struct{ State lwtdeclaredstate.State }
	// SnapshotStored says whether the snapshot was stored.
	SnapshotStored struct{ Stored bool }
	// CommitResult is the store's response to Commit. If the transaction was not
	// committed, it contains the current rows.
	CommitResult struct {
		Committed   bool
		HeadVersion int64
		Head        Head
		Idempotency *IdempotencyRecord
	}
	// CommandFailed says that a command other than StoreSnapshot got no response.
	CommandFailed struct {
		// NotSent says that the command was not sent to the store.
		NotSent bool
	}
	// Waited says that the time of Wait has passed.
	Waited struct{}
)

// Cmd is a command of a Submission: ReadHead, ReadIdempotencyRecord, LoadState,
// StoreSnapshot, Commit, Wait or Done.
type Cmd any

// Commands of a Submission. At most one is executed at a time.
type (
	// ReadHead reads the row HeadKey.
	ReadHead struct{}
	// ReadIdempotencyRecord reads the row of a write id.
	ReadIdempotencyRecord struct{ WriteID string }
	// LoadState reads the snapshot and tickets that lead from a state to the head.
	LoadState struct {
		From lwtdeclaredstate.State
		Head Head
	}
	// StoreSnapshot writes a snapshot to the object store.
	StoreSnapshot struct{ Object SnapshotObject }
	// Commit writes Head, Record and Idempotency in one transaction, on condition
	// that the row HeadKey has version HeadVersion and that the row of the write id
	// doesn't exist.
	Commit struct {
		HeadVersion int64
		Head        Head
		Record      Record
		Idempotency IdempotencyRecord
	}
	// Wait requests Waited after the given time, to which the caller adds jitter.
	Wait struct{ For time.Duration }
	// Done ends the submission. Commit is the committed transaction; nil if the
	// ticket was not accepted or an earlier submission had committed it.
	Done struct {
		Result Result
		Commit *Commit
	}
)

// Bounds of the wait between attempts when the store doesn't respond.
const (
	initialRetryWait = 100 * time.Millisecond
	maxRetryWait     = 2 * time.Second
)

// Request is an operator's request to submit a ticket.
type Request struct {
	WriteID  string
	Operator string
	Ticket   Ticket
	// Deadline is the time after which no new attempt starts. If a transaction
	// without a response may have been committed by then, the outcome is unknown;
	// otherwise the ticket is refused.
	Deadline time.Time
}

// Submission commits one ticket to the table. It is an immutable state machine
// without I/O.
type Submission struct {
	request     Request
	state       lwtdeclaredstate.State
	headVersion int64
	head        Head
	retryWait   time.Duration
	// pendingCommit is the transaction to send or in flight; lastCommit is the
	// last one sent.
	pendingCommit, lastCommit *Commit
	// mayHaveCommitted says that a transaction without a response may have been
	// committed.
	mayHaveCommitted bool
}

// NewSubmission returns the submission of a request. The state may be older than
// the newest one; the submission reads the tickets since then.
func NewSubmission(request Request, state lwtdeclaredstate.State) Submission {
	return Submission{request: request, state: state, retryWait: initialRetryWait}
}

// Update applies a message and returns the next submission and the command to
// execute.
func (submission Submission) Update(now time.Time, msg Msg) (Submission, []Cmd) {
	switch msg := msg.(type) {
	case Started, Waited:
		// The head is read before the write id. If the row of the write id doesn't
		// exist then, this ticket is not among the tickets up to that head.
		return submission, []Cmd{ReadHead{}}
	case HeadRead:
		submission.headVersion, submission.head = msg.HeadVersion, msg.Head
		return submission, []Cmd{ReadIdempotencyRecord{submission.request.WriteID}}
	case IdempotencyRecordRead:
		return submission.handleIdempotencyRecord(now, msg.Record)
	case StateLoaded:
		if msg.State.Revision != submission.head.Revision {
			return submission.handleFailure(now, CommandFailed{NotSent: true})
		}
		submission.state = msg.State
		return submission.checkAndCommit(now)
	case SnapshotStored:
		return submission.commitWithSnapshot(msg.Stored)
	case CommitResult:
		return submission.handleCommitResult(now, msg)
	case CommandFailed:
		return submission.handleFailure(now, msg)
	}
	return submission, nil
}

func (submission Submission) finish(result Result) (Submission, []Cmd) {
	result.WriteID = submission.request.WriteID
	done := Done{Result: result}
	if attempted := submission.lastCommit; attempted != nil && attempted.Head.Revision == result.Revision {
		done.Commit = attempted
	}
	return submission, []Cmd{done}
}

// handleIdempotencyRecord continues with the row of the write id; nil if it
// doesn't exist.
func (submission Submission) handleIdempotencyRecord(now time.Time, record *IdempotencyRecord) (Submission, []Cmd) {
	switch {
	case record == nil:
		if submission.head.Revision != submission.state.Revision {
			return submission, []Cmd{LoadState{submission.state, submission.head}}
		}
		return submission.checkAndCommit(now)
	case record.TicketHash != submission.request.Ticket.Hash():
		return submission.finish(Result{
			Outcome: OutcomeRefused, Reason: fmt.Sprintf("the write id belongs to another ticket, number %d", record.Revision),
		})
	}
	return submission.finish(Result{Outcome: OutcomeAccepted, Revision: record.Revision})
}

// checkAndCommit checks the ticket against the state at the head and, if it has
// no problems, starts its commit, preceded by a snapshot if one is due.
func (submission Submission) checkAndCommit(now time.Time) (Submission, []Cmd) {
	ticket := submission.request.Ticket
	if conflict, found := FindConflict(submission.state, ticket); found &&
		ticket.BaseRevision <= submission.state.Revision {
		return submission.finish(Result{Outcome: OutcomeRefused, Conflict: &conflict, Reason: conflict.Error()})
	}
	if problems := Check(submission.state, ticket); len(problems) > 0 {
		return submission.finish(Result{Outcome: OutcomeRefused, Problems: problems, Reason: "the ticket has problems"})
	}
	next := Apply(submission.state, ticket)
	commit := Commit{
		HeadVersion: submission.headVersion,
		Head:        Head{Revision: next.Revision, Snapshot: submission.head.Snapshot},
		Record: Record{
			WriteID: submission.request.WriteID, Operator: submission.request.Operator,
			BaseRevision: ticket.BaseRevision, AcceptedAt: now.UTC().Truncate(time.Second),
			Change: ticket.WithRevision(next.Revision),
		},
		Idempotency: IdempotencyRecord{Revision: next.Revision, TicketHash: ticket.Hash()},
	}
	submission.pendingCommit = &commit
	if next.Revision-submission.head.Snapshot.Revision < SnapshotInterval {
		submission.lastCommit = &commit
		return submission, []Cmd{commit}
	}
	var object SnapshotObject
	var err error
	if object, err = EncodeSnapshot(next); err != nil {
		return submission.finish(Result{Outcome: OutcomeRefused, Reason: err.Error()})
	}
	submission.pendingCommit.Head.Snapshot = SnapshotRef{Revision: next.Revision, Hash: object.Hash}
	return submission, []Cmd{StoreSnapshot{object}}
}

// commitWithSnapshot starts the commit after the attempt to store a snapshot. If
// that failed, the head keeps the older snapshot, and the next ticket stores one.
func (submission Submission) commitWithSnapshot(stored bool) (Submission, []Cmd) {
	commit := *submission.pendingCommit
	if !stored {
		commit.Head.Snapshot = submission.head.Snapshot
	}
	submission.pendingCommit, submission.lastCommit = &commit, &commit
	return submission, []Cmd{commit}
}

func (submission Submission) handleCommitResult(now time.Time, result CommitResult) (Submission, []Cmd) {
	if result.Committed {
		return submission.finish(Result{Outcome: OutcomeAccepted, Revision: submission.pendingCommit.Head.Revision})
	}
	submission.pendingCommit = nil
	submission.headVersion, submission.head = result.HeadVersion, result.Head
	return submission.handleIdempotencyRecord(now, result.Idempotency)
}

func (submission Submission) handleFailure(now time.Time, failure CommandFailed) (Submission, []Cmd) {
	if submission.pendingCommit != nil && !failure.NotSent {
		submission.mayHaveCommitted = true
	}
	submission.pendingCommit = nil
	wait := submission.retryWait
	submission.retryWait = min(2*wait, maxRetryWait)
	if !now.Add(wait).After(submission.request.Deadline) {
		return submission, []Cmd{Wait{wait}}
	}
	if submission.mayHaveCommitted {
		return submission.finish(Result{Outcome: OutcomeUnknown, Reason: "the store gave no answer"})
	}
	return submission.finish(Result{
		Outcome: OutcomeRefused, StoreUnavailable: true, Reason: "the store is not available; this attempt did not reach it",
	})
}
