package lwtdaemon

import (
	"encoding/json"
	"errors"
	"fmt"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwtstatesync"
	"lacewingtide/core/lwtticket"
	"lacewingtide/io/lwtplatform"
)

// headRow is the head of the ticket log and the version of its row.
type headRow struct {
	version int64
	head    lwtticket.Head
}

// readHead reads the head. If the row does not exist, it returns the zero value.
func readHead(platform *lwtplatform.Client) (headRow, error) {
	var head headRow
	row, err := platform.Row(lwtticket.HeadKey)
	if errors.Is(err, lwtplatform.ErrNotFound) {
		return head, nil
	}
	if err != nil {
		return head, err
	}
	return decodeHead(row)
}

func decodeHead(row lwtplatform.Row) (headRow, error) {
	head := headRow{version: row.Version}
	if row.Version == 0 {
		return head, nil
	}
	if err := json.Unmarshal(row.Value, &head.head); err != nil {
		return head, fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return head, nil
}

// readIdempotencyRecord reads the row of a write id; nil if it does not exist.
func readIdempotencyRecord(platform *lwtplatform.Client, writeID string) (*lwtticket.IdempotencyRecord, error) {
	row, err := platform.Row(lwtticket.WriteIDKey(writeID))
	if errors.Is(err, lwtplatform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return decodeIdempotencyRecord(row)
}

func decodeIdempotencyRecord(row lwtplatform.Row) (*lwtticket.IdempotencyRecord, error) {
	if row.Version == 0 {
		return nil, nil
	}
	var record lwtticket.IdempotencyRecord
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return nil, fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return &record, nil
}

func readTicket(platform *lwtplatform.Client, revision int64) (lwtticket.Record, error) {
	var record lwtticket.Record
	var row lwtplatform.Row
	var err error
	if row, err = platform.Row(lwtticket.TicketKey(revision)); err != nil {
		return record, fmt.Errorf("ticket %d: %w", revision, err)
	}
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return record, fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return record, nil
}

func readSnapshot(platform *lwtplatform.Client, snapshot lwtticket.SnapshotRef) (*lwtdeclaredstate.State, error) {
	var content []byte
	var err error
	if content, err = platform.Object(snapshot.Hash); err != nil {
		return nil, fmt.Errorf("read snapshot %d: %w", snapshot.Revision, err)
	}
	var state lwtdeclaredstate.State
	if state, err = lwtticket.DecodeSnapshot(lwtticket.SnapshotObject{Hash: snapshot.Hash, Content: content}); err != nil {
		return nil, err
	}
	return &state, nil
}

// readStore reads the snapshot, if any, and the tickets of a plan.
func readStore(platform *lwtplatform.Client, plan lwtticket.CatchUpPlan) (lwtstatesync.StoreRead, error) {
	var storeRead lwtstatesync.StoreRead
	if plan.Snapshot != nil {
		var err error
		if storeRead.Snapshot, err = readSnapshot(platform, *plan.Snapshot); err != nil {
			return storeRead, err
		}
	}
	for _, revision := range plan.Tickets {
		var record lwtticket.Record
		var err error
		if record, err = readTicket(platform, revision); err != nil {
			return storeRead, err
		}
		storeRead.Records = append(storeRead.Records, record)
	}
	return storeRead, nil
}

// commitTicket writes an accepted ticket, the new head and the idempotency record in
// one transaction. If the transaction is not committed, the result contains the
// conflicting rows.
func commitTicket(platform *lwtplatform.Client, commit lwtticket.Commit) (lwtticket.CommitResult, error) {
	var commitResult lwtticket.CommitResult
	var transaction lwtplatform.Transaction
	var err error
	if transaction, err = commitTransaction(commit); err != nil {
		return commitResult, err
	}
	var result lwtplatform.CommitResult
	if result, err = platform.Commit(transaction); err != nil {
		return commitResult, err
	}
	commitResult.Committed = result.Committed
	for _, row := range result.Rows {
		if row.Key != lwtticket.HeadKey {
			if commitResult.Idempotency, err = decodeIdempotencyRecord(row); err != nil {
				return commitResult, err
			}
			continue
		}
		var head headRow
		if head, err = decodeHead(row); err != nil {
			return commitResult, err
		}
		commitResult.HeadVersion, commitResult.Head = head.version, head.head
	}
	return commitResult, nil
}

func commitTransaction(commit lwtticket.Commit) (lwtplatform.Transaction, error) {
	writeIDKey := lwtticket.WriteIDKey(commit.Record.WriteID)
	transaction := lwtplatform.Transaction{Conditions: []lwtplatform.Condition{
		{Key: lwtticket.HeadKey, Version: commit.HeadVersion},
		{Key: writeIDKey},
	}}
	for _, row := range []struct {
		key   string
		value any
	}{
		{lwtticket.HeadKey, commit.Head},
		{lwtticket.TicketKey(commit.Head.Revision), commit.Record},
		{writeIDKey, commit.Idempotency},
	} {
		var value []byte
		var err error
		if value, err = json.Marshal(row.value); err != nil {
			return transaction, fmt.Errorf("encode row %s: %w", row.key, err)
		}
		transaction.Puts = append(transaction.Puts, lwtplatform.Put{Key: row.key, Value: value})
	}
	return transaction, nil
}
