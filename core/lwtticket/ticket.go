// Package lwtticket parses and checks tickets and commits submitted ones to the
// table.
//
// A ticket contains the complete new state of each object that it changes and
// the revision of the declared state that it is based on. An accepted ticket
// creates the next revision; its record is stored as a row of the table.
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
	// BaseRevision is the revision of the declared state that the ticket is based
	// on.
	BaseRevision int64 `json:"base" toml:"base"`
	lwtdeclaredstate.Change
	document lwttoml.Document
	// formProblems are the problems found while decoding: syntax errors, unknown
	// keys and wrong types.
	formProblems []lwttoml.Problem
}

// Parse decodes a ticket. It returns only the problems found while decoding;
// Check reports them together with the problems of the ticket's content.
func Parse(content []byte) (Ticket, []lwttoml.Problem) {
	var ticket Ticket
	ticket.document, ticket.formProblems = lwttoml.Decode(content, &ticket)
	return ticket, lwttoml.Sorted(ticket.formProblems)
}

// Hash returns the hexadecimal SHA-256 of the ticket's content. It doesn't
// depend on the formatting of the TOML document.
func (ticket Ticket) Hash() string {
	// Marshaling fails only for numbers that JSON can't express. Check refuses
	// them before a hash is stored.
	content, _ := json.Marshal(ticket)
	return hashOf(content)
}

func hashOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Conflict says that an object of a ticket was changed after the ticket's base
// revision.
type Conflict struct {
	Object lwtdeclaredstate.ObjectID `json:"object"`
	// Revision is that of the last ticket that changed the object.
	Revision int64 `json:"ticket"`
}

// Error implements error.
func (conflict Conflict) Error() string {
	return fmt.Sprintf("%s was changed by ticket %d after the base of this ticket", conflict.Object, conflict.Revision)
}

// FindConflict returns the first conflict of a ticket with a state and whether
// there is one.
func FindConflict(state lwtdeclaredstate.State, ticket Ticket) (Conflict, bool) {
	for _, id := range ticket.ObjectIDs() {
		if modified := state.ModRevisions[id]; modified > ticket.BaseRevision {
			return Conflict{Object: id, Revision: modified}, true
		}
	}
	return Conflict{}, false
}

// Apply returns the state that a ticket creates. Check must have found no
// problems in the ticket.
func Apply(state lwtdeclaredstate.State, ticket Ticket) lwtdeclaredstate.State {
	return state.WithChange(ticket.WithRevision(state.Revision + 1))
}
