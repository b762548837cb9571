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

// submitTimeout is the time after which a submission fails if the store does not
// respond.
const submitTimeout = 10 * time.Second

// submit submits a ticket to the store and waits for its outcome.
func (syncer *stateSyncer) submit(
	ctx context.Context, writeID, operator string, ticket lwtticket.Ticket,
) lwtticket.Result {
	state, found := syncer.State()
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
			syncer.ticketDone(ctx, operator, done)
			return done.Result
		}
		msg = syncer.executeTicketCmd(cmds[0])
	}
}

func (syncer *stateSyncer) ticketDone(ctx context.Context, operator string, done lwtticket.Done) {
	if done.Commit != nil {
		syncer.ticketAccepted(ctx, *done.Commit)
		syncer.awaitActivation(ctx, done.Result.Revision)
	}
	lwtlog.Info(syncer.logger, "ticket-submitted", "outcome", done.Result.Outcome, "number", done.Result.Revision,
		"write-id", done.Result.WriteID, "operator", operator, "reason", done.Result.Reason)
}

// Bounds of the wait for an accepted ticket to become active in this daemon.
const (
	activationTimeout      = 2 * time.Second
	activationPollInterval = time.Millisecond
)

// awaitActivation waits until a revision is active in this daemon, so that the next
// read of the state by the operator includes the accepted ticket. The wait is bounded
// because the daemon may lack earlier tickets and fail to read them.
func (syncer *stateSyncer) awaitActivation(ctx context.Context, revision int64) {
	for deadline := time.Now().Add(activationTimeout); ctx.Err() == nil &&
		time.Now().Before(deadline); time.Sleep(activationPollInterval) {
		if state, _ := syncer.State(); state.Revision >= revision {
			return
		}
	}
}

func (syncer *stateSyncer) executeTicketCmd(cmd lwtticket.Cmd) lwtticket.Msg {
	switch cmd := cmd.(type) {
	case lwtticket.ReadHead:
		var row headRow
		var err error
		if row, err = readHead(syncer.platform); err != nil {
			return syncer.commandFailed(err)
		}
		return lwtticket.HeadRead{HeadVersion: row.version, Head: row.head}
	case lwtticket.ReadIdempotencyRecord:
		var record *lwtticket.IdempotencyRecord
		var err error
		if record, err = readIdempotencyRecord(syncer.platform, cmd.WriteID); err != nil {
			return syncer.commandFailed(err)
		}
		return lwtticket.IdempotencyRecordRead{Record: record}
	case lwtticket.LoadState:
		return syncer.loadState(cmd)
	case lwtticket.StoreSnapshot:
		err := syncer.platform.PutObject(cmd.Object.Hash, cmd.Object.Content)
		if err != nil {
			lwtlog.Warn(syncer.logger, "snapshot-write-failed", "hash", cmd.Object.Hash, "err", err)
		}
		return lwtticket.SnapshotStored{Stored: err == nil}
	case lwtticket.Commit:
		var result lwtticket.CommitResult
		var err error
		if result, err = commitTicket(syncer.platform, cmd); err != nil {
			return syncer.commandFailed(err)
		}
		return result
	case lwtticket.Wait:
		time.Sleep(time.Duration(float64(cmd.For) * (0.5 + rand.Float64()/2)))
	}
	return lwtticket.Waited{}
}

func (syncer *stateSyncer) commandFailed(err error) lwtticket.Msg {
	lwtlog.Warn(syncer.logger, "ticket-attempt-failed", "err", err)
	return lwtticket.CommandFailed{NotSent: errors.Is(err, lwtplatform.ErrNotSent)}
}

func (syncer *stateSyncer) loadState(cmd lwtticket.LoadState) lwtticket.Msg {
	var storeRead lwtstatesync.StoreRead
	var err error
	if storeRead, err = readStore(syncer.platform, cmd.Head.CatchUpFrom(cmd.From.Revision)); err != nil {
		return syncer.commandFailed(err)
	}
	state := cmd.From
	if storeRead.Snapshot != nil {
		state = *storeRead.Snapshot
	}
	for _, record := range storeRead.Records {
		state = state.WithChange(record.Change)
	}
	return lwtticket.StateLoaded{State: state}
}
