package lwtmember

import "time"

// Kind is the kind of a message between daemons.
type Kind string

// The kinds of messages between daemons.
const (
	KindPing Kind = "ping"
	KindAck  Kind = "ack"
	// KindPingReq asks for an indirect probe.
	KindPingReq Kind = "ping-req"
	// KindGossip carries updates, page requests and pages. It is named "digest"
	// on the wire.
	KindGossip Kind = "digest"
	KindLeave  Kind = "leave"
)

// Gossip is the body of all messages between daemons. Which fields are set
// depends on the kind.
type Gossip struct {
	// Sequence pairs an ack with its ping.
	Sequence uint64 `cbor:"1,keyasint,omitempty"`
	// Target is the address to probe for a ping-req.
	Target string `cbor:"2,keyasint,omitempty"`
	// Revision is the highest revision of the declared state that the sender
	// knows.
	Revision int64 `cbor:"3,keyasint,omitempty"`
	// TableHash is the hash of the sender's table, including its own record.
	TableHash uint64     `cbor:"4,keyasint,omitempty"`
	Members   []Member   `cbor:"5,keyasint,omitempty"`
	Metadata  []Metadata `cbor:"6,keyasint,omitempty"`
	// Join asks for the receiver's whole table.
	Join bool `cbor:"7,keyasint,omitempty"`
	// ReceiverUnknown is set if the receiver is not in the sender's table.
	ReceiverUnknown bool `cbor:"8,keyasint,omitempty"`
	// RequestPage asks for the page of the table after PageCursor.
	RequestPage bool   `cbor:"9,keyasint,omitempty"`
	PageCursor  string `cbor:"10,keyasint,omitempty"`
	// Page marks a message as a page of the table. NextCursor is the cursor of
	// the next page; it is empty after the last page.
	Page       bool   `cbor:"11,keyasint,omitempty"`
	NextCursor string `cbor:"12,keyasint,omitempty"`
}

// Msg is an input of Model.Update.
type Msg interface{ isMsg() }

// Tick drives the timers of the model. It must be sent every 100 ms.
type Tick struct{}

// Received is a message from another daemon.
type Received struct {
	// From is the sender's peer address.
	From   string
	Kind   Kind
	Gossip Gossip
}

// SetPeers replaces the peer addresses from the VM list and the settings.
type SetPeers struct{ Addresses []string }

// Leave makes the daemon leave the cluster.
type Leave struct{}

// SetEntryAddress sets the address (IP:port) at which the daemon accepts callers.
type SetEntryAddress struct{ Address string }

// SetRevision sets the revision of the declared state that the daemon has.
type SetRevision struct{ Revision int64 }

// SetMetadata sets a value of the daemon's own metadata. It is ignored if the key
// is longer than MaxMetadataKeyBytes or if there would be more than
// MaxMetadataValues values.
type SetMetadata struct {
	Key   string
	Value int64
}

func (Tick) isMsg()            {}
func (Received) isMsg()        {}
func (SetPeers) isMsg()        {}
func (Leave) isMsg()           {}
func (SetRevision) isMsg()     {}
func (SetEntryAddress) isMsg() {}
func (SetMetadata) isMsg()     {}

// Cmd is a command that Model.Update returns.
type Cmd interface{ isCmd() }

// Send sends a message to a peer address. The message may be lost.
type Send struct {
	To     string
	Kind   Kind
	Gossip Gossip
}

// Changed reports that a member was added or its record changed.
type Changed struct{ Member Member }

// SelfPaused reports that the daemon itself did not run for the gap. State that
// may be stale must be refreshed before the daemon acts on it.
type SelfPaused struct{ Gap time.Duration }

// SelfReplaced reports that a newer daemon runs at this daemon's address.
type SelfReplaced struct{ By Member }

// NewerRevisionKnown reports that a newer revision of the declared state exists.
type NewerRevisionKnown struct {
	Revision int64
	From     string
}

func (Send) isCmd()               {}
func (Changed) isCmd()            {}
func (SelfPaused) isCmd()         {}
func (SelfReplaced) isCmd()       {}
func (NewerRevisionKnown) isCmd() {}
