package lwtticket

import (
	"encoding/json"
	"fmt"
	"time"

	"lacewingtide/core/lwtdeclaredstate"
)

// HeadKey is the key of the row that holds the Head.
const HeadKey = "config/head"

// Limits of the stored history.
const (
	// SnapshotInterval is the number of tickets between two snapshots. A
	// starting daemon reads one snapshot and at most this many tickets.
	SnapshotInterval = 32
	// SnapshotThreshold is the number of missing tickets above which a daemon
	// reads a snapshot: 64 tickets of about 2 KB cost less than a snapshot of
	// 0.5 MB.
	SnapshotThreshold = 64
)

// TicketKey returns the key of the row that holds the Record of the ticket that
// created a revision.
func TicketKey(revision int64) string { return fmt.Sprintf("ticket/%d", revision) }

// WriteIDKey returns the key of the row that holds the IdempotencyRecord of a
// write id.
func WriteIDKey(writeID string) string { return "write/" + writeID }

// Head is the content of the row HeadKey.
type Head struct {
	// Revision is the newest revision; zero before the first accepted ticket.
	Revision int64 `json:"number"`
	// Snapshot is the newest snapshot; its revision is zero before the first.
	Snapshot SnapshotRef `json:"snapshot"`
}

// SnapshotRef identifies a stored snapshot of the declared state.
type SnapshotRef struct {
	Revision int64 `json:"number"`
	// Hash is the hexadecimal SHA-256 of the object.
	Hash string `json:"hash"`
}

// IdempotencyRecord is the row of a write id. It exists once a ticket was
// accepted under that write id.
type IdempotencyRecord struct {
	Revision int64 `json:"number"`
	// TicketHash distinguishes a resubmission of the ticket from another ticket
	// with the same write id.
	TicketHash string `json:"ticket-hash"`
}

// Record is an accepted ticket.
type Record struct {
	WriteID string `json:"write-id"`
	// Operator is a prefix of the hash of the operator's key.
	Operator     string                  `json:"operator"`
	BaseRevision int64                   `json:"base"`
	AcceptedAt   time.Time               `json:"accepted"`
	Change       lwtdeclaredstate.Change `json:"change"`
}

// SnapshotObject is an encoded state as kept in the object store.
type SnapshotObject struct {
	Hash    string
	Content []byte
}

// EncodeSnapshot encodes a state as an object addressed by the hash of its
// content.
func EncodeSnapshot(state lwtdeclaredstate.State) (SnapshotObject, error) {
	var content []byte
	var err error
	if content, err = json.Marshal(state); err != nil {
		return SnapshotObject{}, fmt.Errorf("encode state %d: %w", state.Revision, err)
	}
	return SnapshotObject{Hash: hashOf(content), Content: content}, nil
}

// DecodeSnapshot decodes the state of an object. It returns an error if the
// content doesn't match the hash or can't be decoded.
func DecodeSnapshot(object SnapshotObject) (lwtdeclaredstate.State, error) {
	if hash := hashOf(object.Content); hash != object.Hash {
		return lwtdeclaredstate.State{}, fmt.Errorf("snapshot %s has content with hash %s", object.Hash, hash)
	}
	var state lwtdeclaredstate.State
	if err := json.Unmarshal(object.Content, &state); err != nil {
		return lwtdeclaredstate.State{}, fmt.Errorf("decode snapshot %s: %w", object.Hash, err)
	}
	return state.Indexed(), nil
}

// CatchUpPlan lists what to read to get from an older state to the newest one.
type CatchUpPlan struct {
	// Snapshot, if set, replaces the older state first.
	Snapshot *SnapshotRef
	// Tickets are the revisions of the tickets to apply after that, in order.
	Tickets []int64
}

// CatchUpFrom returns what to read to get from the given revision to the head.
func (head Head) CatchUpFrom(revision int64) CatchUpPlan {
	var plan CatchUpPlan
	behind := head.Revision - revision
	if head.Snapshot.Revision > revision && (revision == 0 || behind > SnapshotThreshold) {
		plan.Snapshot = &head.Snapshot
		revision = head.Snapshot.Revision
	}
	for next := revision + 1; next <= head.Revision; next++ {
		plan.Tickets = append(plan.Tickets, next)
	}
	return plan
}
