package lwtmember

import "time"

// Kind names a message between daemons.
type Kind string

// The kinds of messages between daemons.
const (
	KindPing    Kind = "ping"
	KindAck     Kind = "ack"
	KindPingReq Kind = "ping-req"
	KindGossip  Kind = "digest"
	KindLeave   Kind = "leave"
)

// Gossip is the body of all messages between daemons. Which fields are set
// depends on the kind.
type Gossip struct {
	// Sequence pairs an ack with its ping.
	Sequence uint64 `cbor:"1,keyasint,omitempty"`
	// Target is the address that a ping-req asks to probe.
	Target string `cbor:"2,keyasint,omitempty"`
	// Revision is the highest configuration number that the sender knows.
	Revision int64 `cbor:"3,keyasint,omitempty"`
	// TableHash is a hash of the sender's table.
	TableHash uint64     `cbor:"4,keyasint,omitempty"`
	Members   []Member   `cbor:"5,keyasint,omitempty"`
	Metadata  []Metadata `cbor:"6,keyasint,omitempty"`
	// Join asks for the receiver's whole table.
	Join bool `cbor:"7,keyasint,omitempty"`
	// ReceiverUnknown tells that the sender does not know the receiver.
	ReceiverUnknown bool `cbor:"8,keyasint,omitempty"`
	// RequestPage asks for the page of the table after WantAfter.
	RequestPage bool   `cbor:"9,keyasint,omitempty"`
	PageCursor  string `cbor:"10,keyasint,omitempty"`
	// Page marks an answer to Want; Next is the cursor of the next page.
	Page       bool   `cbor:"11,keyasint,omitempty"`
	NextCursor string `cbor:"12,keyasint,omitempty"`
}

// Msg is an input of Model.Update.
type Msg interface{ isMsg() }

// Tick tells that time has passed. It is due every 100 ms.
type Tick struct{}

// Received is a message of another daemon.
type Received struct {
	// From is the sender's peer address.
	From   string
	Kind   Kind
	Gossip Gossip
}

// SetPeers replaces the addresses to try, from the VM list and the settings.
type SetPeers struct{ Addresses []string }

// Leave starts the departure of the daemon itself.
type Leave struct{}

// SetEntryAddress tells that the daemon is ready for callers at an address
// (IP:port).
type SetEntryAddress struct{ Address string }

// SetRevision tells the configuration number that the daemon holds.
type SetRevision struct{ Revision int64 }

// SetMetadata sets a value of the daemon's own digest. Keys over
// MaxDigestKeyBytes, and new keys above MaxDigestValues, are ignored.
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

// Cmd is an output of Model.Update.
type Cmd interface{ isCmd() }

// Send sends a message to a peer address. It may be lost.
type Send struct {
	To     string
	Kind   Kind
	Gossip Gossip
}

// Changed tells that the record of a member is new.
type Changed struct{ Member Member }

// SelfPaused tells that the daemon itself did not run for a time. Views that age
// must be refreshed before the daemon acts on them.
type SelfPaused struct{ Gap time.Duration }

// SelfReplaced tells that another daemon has taken this daemon's address.
type SelfReplaced struct{ By Member }

// NewerRevisionKnown tells that a higher configuration number exists.
type NewerRevisionKnown struct {
	Revision int64
	From     string
}

func (Send) isCmd()               {}
func (Changed) isCmd()            {}
func (SelfPaused) isCmd()         {}
func (SelfReplaced) isCmd()       {}
func (NewerRevisionKnown) isCmd() {}
