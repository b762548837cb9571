// Package lwtticket parses and checks tickets and decides what becomes of a
// submitted one.
//
// A ticket holds the complete new state of each object it touches and the
// number of the state that its author saw. An accepted ticket leads to the next
// number; its record is kept as a row of the table.
package lwtticket

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"lacewingtide/core/lwtdeclaredstate"
	"lacewingtide/core/lwttoml"
)

// Ticket is a decoded ticket.
type Ticket struct {
	// BaseRevision is the number of the declared state that the author saw.
	BaseRevision int64 `json:"base" toml:"base"`
	lwtdeclaredstate.Change
	document lwttoml.Document
	// form holds the problems of the ticket's form.
	form []lwttoml.Problem
}

// Parse decodes a ticket. The problems are those of its form alone; Check
// reports them together with those of its content.
func Parse(content []byte) (Ticket, []lwttoml.Problem) {
	var ticket Ticket
	ticket.document, ticket.form = lwttoml.Decode(content, &ticket)
	return ticket, lwttoml.Sorted(ticket.form)
}

// Hash returns the hexadecimal SHA-256 of the ticket's content. Two tickets
// with the same content have the same hash, however they are written.
func (ticket Ticket) Hash() string {
	// Bounds that JSON can't express are refused by Check before a hash is kept.
	content, _ := json.Marshal(ticket)
	return hashOf(content)
}

func hashOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Conflict says that an object of a ticket was changed after the ticket's base.
type Conflict struct {
	Object lwtdeclaredstate.ObjectID `json:"object"`
	// Revision is the number of the ticket that changed the object last.
	Revision int64 `json:"ticket"`
}

// Error implements error.
func (conflict Conflict) Error() string {
	return fmt.Sprintf("%s was changed by ticket %d after the base of this ticket", conflict.Object, conflict.Revision)
}

// FindConflict returns the first conflict of a ticket with a state.
func FindConflict(state lwtdeclaredstate.State, ticket Ticket) (Conflict, bool) {
	for _, id := range ticket.ObjectIDs() {
		if changed := state.ModRevisions[id]; changed > ticket.BaseRevision {
			return Conflict{Object: id, Revision: changed}, true
		}
	}
	return Conflict{}, false
}

// Apply returns the state after a ticket that Check found without problems.
func Apply(state lwtdeclaredstate.State, ticket Ticket) lwtdeclaredstate.State {
	return state.WithChange(ticket.WithRevision(state.Revision + 1))
}
