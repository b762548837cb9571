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
	// FarBehind is the number of missing tickets from which a daemon reads a
	// snapshot. 64 tickets of about 2 KB cost less than a snapshot of 0.5 MB.
	FarBehind = 64
)

// TicketKey returns the key of the row that holds the Record of a ticket.
func TicketKey(number int64) string { return fmt.Sprintf("ticket/%d", number) }

// WriteKey returns the key of the row that holds the Write of a write id.
func WriteKey(writeID string) string { return "write/" + writeID }

// Head is the content of the row HeadKey.
type Head struct {
	// Number is the number of the newest state. Zero means that no ticket was
	// accepted yet.
	Number int64 `json:"number"`
	// Snapshot is the newest snapshot; its number is zero before the first.
	Snapshot Snapshot `json:"snapshot"`
}

// Snapshot names a stored state.
type Snapshot struct {
	Number int64 `json:"number"`
	// Hash is the hexadecimal SHA-256 of the object.
	Hash string `json:"hash"`
}

// Write is what became of a write id.
type Write struct {
	Number int64 `json:"number"`
	// TicketHash tells a repeated submission from another ticket under the
	// same write id.
	TicketHash string `json:"ticket-hash"`
}

// Record is an accepted ticket.
type Record struct {
	WriteID string `json:"write-id"`
	// Operator is the start of the hash of the operator's key.
	Operator string                  `json:"operator"`
	Base     int64                   `json:"base"`
	Accepted time.Time               `json:"accepted"`
	Change   lwtdeclaredstate.Change `json:"change"`
}

// Object is a state encoded for the object store.
type Object struct {
	Hash    string
	Content []byte
}

// Encode returns a state as an object under the hash of its content.
func Encode(state lwtdeclaredstate.State) (Object, error) {
	var content []byte
	var err error
	if content, err = json.Marshal(state); err != nil {
		return Object{}, fmt.Errorf("encode state %d: %w", state.Number, err)
	}
	return Object{Hash: hashOf(content), Content: content}, nil
}

// Decode returns the state of an object. The error reports content that is not
// what the hash names.
func Decode(object Object) (lwtdeclaredstate.State, error) {
	if hash := hashOf(object.Content); hash != object.Hash {
		return lwtdeclaredstate.State{}, fmt.Errorf("snapshot %s has the content of %s", object.Hash, hash)
	}
	var state lwtdeclaredstate.State
	if err := json.Unmarshal(object.Content, &state); err != nil {
		return lwtdeclaredstate.State{}, fmt.Errorf("decode snapshot %s: %w", object.Hash, err)
	}
	return state.Indexed(), nil
}

// Reads is what leads from a held state to the newest one.
type Reads struct {
	// Snapshot is set when the held state is replaced by a snapshot first.
	Snapshot *Snapshot
	// Tickets are the numbers of the tickets to apply then, in order.
	Tickets []int64
}

// ReadsFrom returns what to read to get from the held number to the head.
func (head Head) ReadsFrom(held int64) Reads {
	var reads Reads
	behind := head.Number - held
	if head.Snapshot.Number > held && (held == 0 || behind > FarBehind) {
		reads.Snapshot = &head.Snapshot
		held = head.Snapshot.Number
	}
	for number := held + 1; number <= head.Number; number++ {
		reads.Tickets = append(reads.Tickets, number)
	}
	return reads
}
