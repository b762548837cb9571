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

// headRow is the head with the version of its row.
type headRow struct {
	version int64
	head    lwtticket.Head
}

// readHead reads the head. Without a row, the head is the zero one, version 0.
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

// readWrite reads the row of a write id; nil when there is none.
func readWrite(platform *lwtplatform.Client, writeID string) (*lwtticket.IdempotencyRecord, error) {
	row, err := platform.Row(lwtticket.WriteIDKey(writeID))
	if errors.Is(err, lwtplatform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return decodeWrite(row)
}

func decodeWrite(row lwtplatform.Row) (*lwtticket.IdempotencyRecord, error) {
	if row.Version == 0 {
		return nil, nil
	}
	var write lwtticket.IdempotencyRecord
	if err := json.Unmarshal(row.Value, &write); err != nil {
		return nil, fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return &write, nil
}

func readRecord(platform *lwtplatform.Client, number int64) (lwtticket.Record, error) {
	var record lwtticket.Record
	var row lwtplatform.Row
	var err error
	if row, err = platform.Row(lwtticket.TicketKey(number)); err != nil {
		return record, fmt.Errorf("ticket %d: %w", number, err)
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
		return nil, fmt.Errorf("snapshot %d: %w", snapshot.Revision, err)
	}
	var state lwtdeclaredstate.State
	if state, err = lwtticket.DecodeSnapshot(lwtticket.SnapshotObject{Hash: snapshot.Hash, Content: content}); err != nil {
		return nil, err
	}
	return &state, nil
}

// readStore reads a snapshot and tickets.
func readStore(platform *lwtplatform.Client, reads lwtticket.CatchUpPlan) (lwtstatesync.StoreRead, error) {
	var loaded lwtstatesync.StoreRead
	if reads.Snapshot != nil {
		var err error
		if loaded.Snapshot, err = readSnapshot(platform, *reads.Snapshot); err != nil {
			return loaded, err
		}
	}
	for _, number := range reads.Tickets {
		var record lwtticket.Record
		var err error
		if record, err = readRecord(platform, number); err != nil {
			return loaded, err
		}
		loaded.Records = append(loaded.Records, record)
	}
	return loaded, nil
}

// commitRows writes an accepted ticket. The result is the version and the rows
// that the transaction found when it was not committed.
func commitRows(platform *lwtplatform.Client, commit lwtticket.Commit) (lwtticket.CommitResult, error) {
	var answered lwtticket.CommitResult
	var transaction lwtplatform.Transaction
	var err error
	if transaction, err = commitTransaction(commit); err != nil {
		return answered, err
	}
	var result lwtplatform.CommitResult
	if result, err = platform.Commit(transaction); err != nil {
		return answered, err
	}
	answered.Committed = result.Committed
	for _, row := range result.Rows {
		if row.Key != lwtticket.HeadKey {
			if answered.Idempotency, err = decodeWrite(row); err != nil {
				return answered, err
			}
			continue
		}
		var head headRow
		if head, err = decodeHead(row); err != nil {
			return answered, err
		}
		answered.HeadVersion, answered.Head = head.version, head.head
	}
	return answered, nil
}

func commitTransaction(commit lwtticket.Commit) (lwtplatform.Transaction, error) {
	write := lwtticket.WriteIDKey(commit.Record.WriteID)
	transaction := lwtplatform.Transaction{Conditions: []lwtplatform.Condition{
		{Key: lwtticket.HeadKey, Version: commit.HeadVersion},
		{Key: write},
	}}
	for _, row := range []struct {
		key   string
		value any
	}{
		{lwtticket.HeadKey, commit.Head},
		{lwtticket.TicketKey(commit.Head.Revision), commit.Record},
		{write, commit.Idempotency},
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
