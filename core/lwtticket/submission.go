package lwtticket

import (
	"fmt"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwttoml"
)

// Outcome is what became of a submission.
type Outcome string

// The outcomes of a submission.
const (
	// OutcomeAccepted means that the ticket is stored under a number.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeRefused means that the ticket has no effect and never will.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that the store gave no answer; reading the write id tells
	// what became of the ticket.
	OutcomeUnknown Outcome = "unknown"
)

// Result is the end of a submission.
type Result struct {
	Outcome Outcome `json:"outcome"`
	WriteID string  `json:"write-id"`
	// Revision is the ticket's number when accepted.
	Revision int64 `json:"number,omitempty"`
	// Conflict is set when another ticket changed an object first.
	Conflict *Conflict `json:"conflict,omitempty"`
	// Problems are set when the check refused the ticket.
	Problems []lwttoml.Problem `json:"problems,omitempty"`
	// Reason says in words why the ticket is not accepted.
	Reason string `json:"reason,omitempty"`
	// StoreUnavailable says that the ticket was refused only for want of the store.
	StoreUnavailable bool `json:"unavailable,omitempty"`
}

// Msg is an event that a submission learns of: Started, HeadRead, WriteRead,
// StateLoaded, SnapshotStored, Answered, Failed or Waited.
type Msg any

// Messages to a submission.
type (
	// Started begins the submission.
	Started struct{}
	// HeadRead is the row HeadKey; version 0 means that it does not exist.
	HeadRead struct {
		HeadVersion int64
		Head        Head
	}
	// IdempotencyRecordRead is the row of the write id, nil when it does not exist.
	IdempotencyRecordRead struct{ Record *IdempotencyRecord }
	// StateLoaded is the state of the head that LoadState names.
	StateLoaded struct{ State lwtdeclaredstate.State }
	// SnapshotStored tells whether the object is stored.
	SnapshotStored struct{ Stored bool }
	// CommitResult is the store's answer to Commit. When not committed, it holds
	// the current rows.
	CommitResult struct {
		Committed   bool
		HeadVersion int64
		Head        Head
		Idempotency *IdempotencyRecord
	}
	// CommandFailed tells that a command other than StoreSnapshot had no answer.
	CommandFailed struct {
		// NotSent says that the command did not leave the daemon.
		NotSent bool
	}
	// Waited tells that the wait is over.
	Waited struct{}
)

// Cmd is a command of a submission: ReadHead, ReadWrite, LoadState,
// StoreSnapshot, Commit, Wait or Done.
type Cmd any

// Commands of a submission. At most one is carried out at a time.
type (
	// ReadHead reads the row HeadKey.
	ReadHead struct{}
	// ReadIdempotencyRecord reads the row of a write id.
	ReadIdempotencyRecord struct{ WriteID string }
	// LoadState reads what leads from a state to the head.
	LoadState struct {
		From lwtdeclaredstate.State
		Head Head
	}
	// StoreSnapshot stores an object.
	StoreSnapshot struct{ Object SnapshotObject }
	// Commit writes Head, Record and Write in one transaction, on condition
	// that HeadKey has the version and the row of the write id is absent.
	Commit struct {
		HeadVersion int64
		Head        Head
		Record      Record
		Idempotency IdempotencyRecord
	}
	// Wait sends Waited after about the given time; the caller adds jitter.
	Wait struct{ For time.Duration }
	// Done ends the submission. Commit is the transaction that was accepted; nil
	// when the ticket is not accepted or was by another submission.
	Done struct {
		Result Result
		Commit *Commit
	}
)

// Waits between attempts after the store gave no answer.
const (
	firstWait = 100 * time.Millisecond
	longWait  = 2 * time.Second
)

// Request is what an operator submits.
type Request struct {
	WriteID  string
	Operator string
	Ticket   Ticket
	// Deadline is when the operator is told that the outcome is unknown.
	Deadline time.Time
}

// Submission takes one ticket to the table. It is a pure state machine.
type Submission struct {
	request     Request
	state       lwtdeclaredstate.State
	headVersion int64
	head        Head
	wait        time.Duration
	// committing is the transaction on its way; attempted is the last one sent.
	committing, attempted *Commit
	// sent says that a transaction may have taken effect unseen.
	sent bool
}

// NewSubmission returns the submission of a request. State is any state that
// was in force; the submission reads the tickets since then.
func NewSubmission(request Request, state lwtdeclaredstate.State) Submission {
	return Submission{request: request, state: state, wait: firstWait}
}

// Update takes a message and returns the submission after it and its next
// command.
func (submission Submission) Update(now time.Time, msg Msg) (Submission, []Cmd) {
	switch msg := msg.(type) {
	case Started, Waited:
		// The head is read before the write id: when the write id is then
		// absent, no ticket up to that head is this one.
		return submission, []Cmd{ReadHead{}}
	case HeadRead:
		submission.headVersion, submission.head = msg.HeadVersion, msg.Head
		return submission, []Cmd{ReadIdempotencyRecord{submission.request.WriteID}}
	case IdempotencyRecordRead:
		return submission.resolved(now, msg.Record)
	case StateLoaded:
		if msg.State.Revision != submission.head.Revision {
			return submission.failed(now, CommandFailed{NotSent: true})
		}
		submission.state = msg.State
		return submission.decide(now)
	case SnapshotStored:
		return submission.snapshotStored(msg.Stored)
	case CommitResult:
		return submission.answered(now, msg)
	case CommandFailed:
		return submission.failed(now, msg)
	}
	return submission, nil
}

func (submission Submission) done(result Result) (Submission, []Cmd) {
	result.WriteID = submission.request.WriteID
	done := Done{Result: result}
	if attempted := submission.attempted; attempted != nil && attempted.Head.Revision == result.Revision {
		done.Commit = attempted
	}
	return submission, []Cmd{done}
}

// resolved goes on with the row of the write id, nil when it is absent.
func (submission Submission) resolved(now time.Time, write *IdempotencyRecord) (Submission, []Cmd) {
	switch {
	case write == nil:
		if submission.head.Revision != submission.state.Revision {
			return submission, []Cmd{LoadState{submission.state, submission.head}}
		}
		return submission.decide(now)
	case write.TicketHash != submission.request.Ticket.Hash():
		return submission.done(Result{
			Outcome: OutcomeRefused, Reason: fmt.Sprintf("the write id belongs to another ticket, number %d", write.Revision),
		})
	}
	return submission.done(Result{Outcome: OutcomeAccepted, Revision: write.Revision})
}

// decide checks the ticket against the state of the head.
func (submission Submission) decide(now time.Time) (Submission, []Cmd) {
	ticket := submission.request.Ticket
	if conflict, found := FindConflict(submission.state, ticket); found && ticket.BaseRevision <= submission.state.Revision {
		return submission.done(Result{Outcome: OutcomeRefused, Conflict: &conflict, Reason: conflict.Error()})
	}
	if problems := Check(submission.state, ticket); len(problems) > 0 {
		return submission.done(Result{Outcome: OutcomeRefused, Problems: problems, Reason: "the ticket has problems"})
	}
	next := Apply(submission.state, ticket)
	commit := Commit{
		HeadVersion: submission.headVersion,
		Head:        Head{Revision: next.Revision, Snapshot: submission.head.Snapshot},
		Record: Record{
			WriteID: submission.request.WriteID, Operator: submission.request.Operator,
			BaseRevision: ticket.BaseRevision, AcceptedAt: now.UTC().Truncate(time.Second), Change: ticket.WithRevision(next.Revision),
		},
		Idempotency: IdempotencyRecord{Revision: next.Revision, TicketHash: ticket.Hash()},
	}
	submission.committing = &commit
	if next.Revision-submission.head.Snapshot.Revision < SnapshotInterval {
		submission.attempted = &commit
		return submission, []Cmd{commit}
	}
	var object SnapshotObject
	var err error
	if object, err = EncodeSnapshot(next); err != nil {
		return submission.done(Result{Outcome: OutcomeRefused, Reason: err.Error()})
	}
	submission.committing.Head.Snapshot = SnapshotRef{Revision: next.Revision, Hash: object.Hash}
	return submission, []Cmd{StoreSnapshot{object}}
}

// snapshotStored commits. Without its snapshot the ticket keeps the older one,
// and the next ticket stores one.
func (submission Submission) snapshotStored(stored bool) (Submission, []Cmd) {
	commit := *submission.committing
	if !stored {
		commit.Head.Snapshot = submission.head.Snapshot
	}
	submission.committing, submission.attempted = &commit, &commit
	return submission, []Cmd{commit}
}

func (submission Submission) answered(now time.Time, answer CommitResult) (Submission, []Cmd) {
	if answer.Committed {
		return submission.done(Result{Outcome: OutcomeAccepted, Revision: submission.committing.Head.Revision})
	}
	submission.committing = nil
	submission.headVersion, submission.head = answer.HeadVersion, answer.Head
	return submission.resolved(now, answer.Idempotency)
}

func (submission Submission) failed(now time.Time, failure CommandFailed) (Submission, []Cmd) {
	if submission.committing != nil && !failure.NotSent {
		submission.sent = true
	}
	submission.committing = nil
	wait := submission.wait
	submission.wait = min(2*wait, longWait)
	if !now.Add(wait).After(submission.request.Deadline) {
		return submission, []Cmd{Wait{wait}}
	}
	if submission.sent {
		return submission.done(Result{Outcome: OutcomeUnknown, Reason: "the store gave no answer"})
	}
	return submission.done(Result{
		Outcome: OutcomeRefused, StoreUnavailable: true, Reason: "the store is not available; this attempt did not reach it",
	})
}
