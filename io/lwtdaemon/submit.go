package lwtdaemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtstatesync"
	"lacewingtide/core/lwtticket"
	"lacewingtide/io/lwtlog"
	"lacewingtide/io/lwtplatform"
)

// submitTimeout is the time after which an operator is told that the store
// gave no answer.
const submitTimeout = 10 * time.Second

// submit takes a ticket to the store and waits for its outcome.
func (declared *declared) submit(ctx context.Context, writeID, operator string, ticket lwtticket.Ticket) lwtticket.Result {
	state, found := declared.State()
	if !found {
		state = lwtdeclaredstate.New()
	}
	submission := lwtticket.NewSubmission(lwtticket.Request{
		WriteID: writeID, Operator: operator, Ticket: ticket, Deadline: time.Now().Add(submitTimeout),
	}, state)
	var msg lwtticket.Msg = lwtticket.Started{}
	for {
		var cmds []lwtticket.Cmd
		submission, cmds = submission.Update(time.Now(), msg)
		if done, found := cmds[0].(lwtticket.Done); found {
			declared.submitted(ctx, operator, done)
			return done.Result
		}
		msg = declared.carryOut(cmds[0])
	}
}

func (declared *declared) submitted(ctx context.Context, operator string, done lwtticket.Done) {
	if done.Commit != nil {
		declared.accepted(ctx, *done.Commit)
		declared.awaitForce(ctx, done.Result.Revision)
	}
	lwtlog.Info(declared.logger, "ticket-submitted", "outcome", done.Result.Outcome, "number", done.Result.Revision,
		"write-id", done.Result.WriteID, "operator", operator, "reason", done.Result.Reason)
}

// Bounds of the wait for an accepted ticket to come into force here.
const (
	forceWait = 2 * time.Second
	forcePoll = time.Millisecond
)

// awaitForce waits until a number is in force in this daemon, so that an
// operator who asks it next sees the accepted ticket. A daemon that lacks
// earlier tickets and can't read them does not make the operator wait longer.
func (declared *declared) awaitForce(ctx context.Context, number int64) {
	for deadline := time.Now().Add(forceWait); ctx.Err() == nil && time.Now().Before(deadline); time.Sleep(forcePoll) {
		if state, _ := declared.State(); state.Revision >= number {
			return
		}
	}
}

func (declared *declared) carryOut(cmd lwtticket.Cmd) lwtticket.Msg {
	switch cmd := cmd.(type) {
	case lwtticket.ReadHead:
		var row headRow
		var err error
		if row, err = readHead(declared.platform); err != nil {
			return declared.submissionFailed(err)
		}
		return lwtticket.HeadRead{HeadVersion: row.version, Head: row.head}
	case lwtticket.ReadIdempotencyRecord:
		var write *lwtticket.IdempotencyRecord
		var err error
		if write, err = readWrite(declared.platform, cmd.WriteID); err != nil {
			return declared.submissionFailed(err)
		}
		return lwtticket.IdempotencyRecordRead{Record: write}
	case lwtticket.LoadState:
		return declared.loadState(cmd)
	case lwtticket.StoreSnapshot:
		err := declared.platform.PutObject(cmd.Object.Hash, cmd.Object.Content)
		if err != nil {
			lwtlog.Warn(declared.logger, "snapshot-write-failed", "hash", cmd.Object.Hash, "err", err)
		}
		return lwtticket.SnapshotStored{Stored: err == nil}
	case lwtticket.Commit:
		var answered lwtticket.CommitResult
		var err error
		if answered, err = commitRows(declared.platform, cmd); err != nil {
			return declared.submissionFailed(err)
		}
		return answered
	case lwtticket.Wait:
		time.Sleep(time.Duration(float64(cmd.For) * (0.5 + rand.Float64()/2)))
	}
	return lwtticket.Waited{}
}

func (declared *declared) submissionFailed(err error) lwtticket.Msg {
	lwtlog.Warn(declared.logger, "ticket-attempt-failed", "err", err)
	return lwtticket.CommandFailed{NotSent: errors.Is(err, lwtplatform.ErrNotSent)}
}

func (declared *declared) loadState(cmd lwtticket.LoadState) lwtticket.Msg {
	var loaded lwtstatesync.StoreRead
	var err error
	if loaded, err = readStore(declared.platform, cmd.Head.CatchUpFrom(cmd.From.Revision)); err != nil {
		return declared.submissionFailed(err)
	}
	state := cmd.From
	if loaded.Snapshot != nil {
		state = *loaded.Snapshot
	}
	for _, record := range loaded.Records {
		state = state.WithChange(record.Change)
	}
	return lwtticket.StateLoaded{State: state}
}
