package lwtticket

import (
	"encoding/json"
	"fmt"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// HeadKey is the key of the row that holds the Head.
const HeadKey = "config/head"

// Bounds of the stored history.
const (
	// SnapshotInterval is the number of tickets between two snapshots. A
	// starting daemon reads one snapshot and at most this many tickets.
	SnapshotInterval = 32
	// SnapshotThreshold is the number of missing tickets from which a daemon reads a
	// snapshot. 64 tickets of about 2 KB cost less than a snapshot of 0.5 MB.
	SnapshotThreshold = 64
)

// TicketKey returns the key of the row that holds the Record of a ticket.
func TicketKey(number int64) string { return fmt.Sprintf("ticket/%d", number) }

// WriteIDKey returns the key of the row that holds the Write of a write id.
func WriteIDKey(writeID string) string { return "write/" + writeID }

// Head is the content of the row HeadKey.
type Head struct {
	// Revision is the number of the newest state. Zero means that no ticket was
	// accepted yet.
	Revision int64 `json:"number"`
	// Snapshot is the newest snapshot; its number is zero before the first.
	Snapshot SnapshotRef `json:"snapshot"`
}

// SnapshotRef names a stored state.
type SnapshotRef struct {
	Revision int64 `json:"number"`
	// Hash is the hexadecimal SHA-256 of the object.
	Hash string `json:"hash"`
}

// IdempotencyRecord is what became of a write id.
type IdempotencyRecord struct {
	Revision int64 `json:"number"`
	// TicketHash tells a repeated submission from another ticket under the
	// same write id.
	TicketHash string `json:"ticket-hash"`
}

// Record is an accepted ticket.
type Record struct {
	WriteID string `json:"write-id"`
	// Operator is the start of the hash of the operator's key.
	Operator     string                  `json:"operator"`
	BaseRevision int64                   `json:"base"`
	AcceptedAt   time.Time               `json:"accepted"`
	Change       lwtdeclaredstate.Change `json:"change"`
}

// SnapshotObject is a state encoded for the object store.
type SnapshotObject struct {
	Hash    string
	Content []byte
}

// EncodeSnapshot returns a state as an object under the hash of its content.
func EncodeSnapshot(state lwtdeclaredstate.State) (SnapshotObject, error) {
	var content []byte
	var err error
	if content, err = json.Marshal(state); err != nil {
		return SnapshotObject{}, fmt.Errorf("encode state %d: %w", state.Revision, err)
	}
	return SnapshotObject{Hash: hashOf(content), Content: content}, nil
}

// DecodeSnapshot returns the state of an object. The error reports content that is not
// what the hash names.
func DecodeSnapshot(object SnapshotObject) (lwtdeclaredstate.State, error) {
	if hash := hashOf(object.Content); hash != object.Hash {
		return lwtdeclaredstate.State{}, fmt.Errorf("snapshot %s has the content of %s", object.Hash, hash)
	}
	var state lwtdeclaredstate.State
	if err := json.Unmarshal(object.Content, &state); err != nil {
		return lwtdeclaredstate.State{}, fmt.Errorf("decode snapshot %s: %w", object.Hash, err)
	}
	return state.Indexed(), nil
}

// CatchUpPlan is what leads from a held state to the newest one.
type CatchUpPlan struct {
	// Snapshot is set when the held state is replaced by a snapshot first.
	Snapshot *SnapshotRef
	// Tickets are the numbers of the tickets to apply then, in order.
	Tickets []int64
}

// CatchUpFrom returns what to read to get from the held number to the head.
func (head Head) CatchUpFrom(held int64) CatchUpPlan {
	var reads CatchUpPlan
	behind := head.Revision - held
	if head.Snapshot.Revision > held && (held == 0 || behind > SnapshotThreshold) {
		reads.Snapshot = &head.Snapshot
		held = head.Snapshot.Revision
	}
	for number := held + 1; number <= head.Revision; number++ {
		reads.Tickets = append(reads.Tickets, number)
	}
	return reads
}
